#pragma once

#include "framework/global/clock.h"
#include "framework/global/enumnames.h"
#include "serverviews/serverview.h"

#include <array>

namespace marjoram {

/// Whether a stream that only the end of its connection has ended is complete.
enum class stream_end { complete, cut, undecided };
inline constexpr std::array streamEndNames{
    enum_name<stream_end>{stream_end::complete, "complete"},
    enum_name<stream_end>{stream_end::cut, "cut"},
    enum_name<stream_end>{stream_end::undecided, "undecided"},
};
constexpr auto namesOf(stream_end) -> const auto &
{
    return streamEndNames;
}

/// Options for deciding whether such a stream is complete.
struct stream_end_options
{
    /// How long to wait for a report that shows whether the server's process has survived the end.
    std::int64_t confirmationUs = 500 * US_PER_MS;
    /// How much later than the end the process must have answered its reporter: the end may be
    /// known late, and the age of an answer in whole milliseconds.
    std::int64_t survivalUs = 20 * US_PER_MS;
    /// A server may cut its streams this long before it shuts down.
    std::int64_t shutdownMarginUs = 300 * US_PER_MS;
};

/// Whether the process has answered its reporter since a moment. Thread safe.
inline auto hasAnsweredSince(const server_view &view, time_us moment,
                             const stream_end_options &options) -> bool
{
    return view.report && view.report->answering && view.answeredAt >= moment + options.survivalUs;
}

/// Decides by what is known of the server's process: one that has ended, or is about to, closes the
/// connections of its unfinished streams like those of finished ones. `view` is that of the process
/// that ran the request, null if it is no longer known. Thread safe.
inline auto decideStreamEnd(const server_view *view, time_us endedAt, time_us now,
                            const stream_end_options &options) -> stream_end
{
    if (!view || view->replaced) {
        return stream_end::cut;
    }
    const auto shutsDown = view->leaving() && view->shutdownAt
                           && endedAt + options.shutdownMarginUs >= *view->shutdownAt;
    if (shutsDown || (view->report && !view->report->answering)) {
        return stream_end::cut;
    }
    if (hasAnsweredSince(*view, endedAt, options)) {
        return stream_end::complete;
    }
    // A reporter that is silent may have ended with the server.
    const auto hasReporter = view->report || view->reporterAwaited;
    if (hasReporter && now - endedAt < options.confirmationUs) {
        return stream_end::undecided;
    }
    return hasReporter || view->leaving() ? stream_end::cut : stream_end::complete;
}

} // namespace marjoram
