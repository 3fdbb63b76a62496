#pragma once

#include "framework/global/clock.h"
#include "framework/global/enumnames.h"
#include "serverviews/serverview.h"

#include <array>

namespace marjoram {

/// Whether a stream that only the end of its connection has ended is complete.
enum class stream_end {
    complete,
    cut,
    undecided,
    /// Nothing has shown it in the usual time, or the server is silent.
    unconfirmed
};
inline constexpr std::array streamEndNames{
    enum_name<stream_end>{stream_end::complete, "complete"},
    enum_name<stream_end>{stream_end::cut, "cut"},
    enum_name<stream_end>{stream_end::undecided, "undecided"},
    enum_name<stream_end>{stream_end::unconfirmed, "unconfirmed"},
};
constexpr auto namesOf(stream_end) -> const auto &
{
    return streamEndNames;
}

/// What a server's own answer to a query has shown of the process that ran a stream.
enum class process_sign { none, survived, ended };
inline constexpr std::array processSignNames{
    enum_name<process_sign>{process_sign::none, "none"},
    enum_name<process_sign>{process_sign::survived, "survived"},
    enum_name<process_sign>{process_sign::ended, "ended"},
};
constexpr auto namesOf(process_sign) -> const auto &
{
    return processSignNames;
}

/// A stream that only the end of its connection has ended.
struct closed_stream
{
    time_us endedAt;
    /// By a query that was sent after the end.
    process_sign sign = process_sign::none;
};

/// Options for deciding whether such a stream is complete.
struct stream_end_options
{
    /// How long to wait for a report that shows whether the server's process has survived the end.
    std::int64_t confirmationUs = 500 * US_PER_MS;
    /// How much later than the end the process must have answered its reporter, or been queried:
    /// the end may be known late, and the age of an answer in whole milliseconds.
    std::int64_t survivalUs = 20 * US_PER_MS;
    /// A server may cut its streams this long before it shuts down.
    std::int64_t shutdownMarginUs = 300 * US_PER_MS;
    /// Time after the end at which the server itself is queried if no report has shown anything,
    /// and the interval between further queries. Longer than the interval between reports, since
    /// they cost the server nothing.
    std::int64_t queryAfterUs = 300 * US_PER_MS;
    std::int64_t queryIntervalUs = 500 * US_PER_MS;
};

/// Whether the process has answered its reporter since a moment. Thread safe.
inline auto hasAnsweredSince(const server_view &view, time_us moment,
                             const stream_end_options &options) -> bool
{
    return view.report && view.report->answering && view.answeredAt >= moment + options.survivalUs;
}

/// Whether the reporter of a server states that its server does not answer. Thread safe.
inline auto isReportedSilent(const server_view &view) -> bool
{
    return view.report && !view.report->answering;
}

/// Decides by what is known of the server's process: one that has ended, or is about to, closes the
/// connections of its unfinished streams like those of finished ones. Silence shows neither.
/// `view` is that of the process that ran the request, null if it is no longer known. Thread safe.
inline auto decideStreamEnd(const server_view *view, const closed_stream &closed, time_us now,
                            const stream_end_options &options) -> stream_end
{
    if (!view || view->replaced || closed.sign == process_sign::ended) {
        return stream_end::cut;
    }
    const auto shutsDown = view->leaving() && view->shutdownAt
                           && closed.endedAt + options.shutdownMarginUs >= *view->shutdownAt;
    if (shutsDown) {
        return stream_end::cut;
    }
    if (closed.sign == process_sign::survived || hasAnsweredSince(*view, closed.endedAt, options)) {
        return stream_end::complete;
    }
    const auto hasReporter = view->report || view->reporterAwaited;
    if (!hasReporter && !view->leaving()) {
        return stream_end::complete;
    }
    const auto expired = now - closed.endedAt >= options.confirmationUs;
    return expired || isReportedSilent(*view) ? stream_end::unconfirmed : stream_end::undecided;
}

} // namespace marjoram
