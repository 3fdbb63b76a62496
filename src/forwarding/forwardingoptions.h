#pragma once

#include "forwarding/forwardtypes.h"
#include "forwarding/runmover.h"
#include "limits/retrywindow.h"

namespace marjoram {

/// Options of the forwarding of requests.
struct forwarding_options
{
    std::string dataCentre;
    retry_window_options retries;
    /// Entries that share the budget of retries until reports tell how many there are.
    std::uint32_t initialEntryCount = 32;
    run_mover_options moves;
    /// Longest wait of a generation for room, as a share of its latency target: beyond an eighth
    /// a caller is better served by coming back.
    double maxWaitShare = 0.12;
    /// Pause before a waiting request tries again; each is drawn from the range.
    std::int64_t minPlacementRetryUs = 30 * US_PER_MS;
    std::int64_t maxPlacementRetryUs = 90 * US_PER_MS;
    /// Reporters that are asked in a row before the request waits.
    std::uint32_t maxRoomRequests = 4;
    /// Time for a reporter to answer, and answers missed after which a request is sent unasked.
    std::int64_t roomTimeoutUs = 25 * US_PER_MS;
    std::uint32_t maxUnanswered = 2;
    /// Silence after which a server counts as having no reporter.
    std::int64_t reportMaxAgeUs = 1 * US_PER_SECOND;
    /// Time to read a prompt between the tokens of others, and the share of a latency target that
    /// may pass with reading the prompts of others.
    std::int64_t prefillUs = 350 * US_PER_MS;
    double prefillShare = 0.6;
    /// Sends of one request, those included that a server refused to run.
    std::uint32_t maxSends = 3;
    /// Requests open at once.
    std::size_t maxOpenRequests = 8'000;
    /// Pause after which refused callers are asked to come back; each is drawn from the range.
    std::int64_t minRetryAfterMs = 400;
    std::int64_t maxRetryAfterMs = 1'200;
    /// Time after which a repeatable call is tried elsewhere, in latency targets.
    double hedgeAfterTargets = 2.0;
    /// Share of the output limit that a generation is expected to use without an estimate.
    double assumedOutputShare = 0.5;
    /// Time of one output token, for whether a generation can end before the process does.
    std::int64_t usPerToken = 4 * US_PER_MS;
};

/// Times that are measured.
enum class latency_kind { plain_answer, first_event, longest_pause, room_request, move };
inline constexpr std::array latencyKindNames{
    enum_name<latency_kind>{latency_kind::plain_answer, "plain_answer"},
    enum_name<latency_kind>{latency_kind::first_event, "first_event"},
    enum_name<latency_kind>{latency_kind::longest_pause, "longest_pause"},
    enum_name<latency_kind>{latency_kind::room_request, "room_question"},
    enum_name<latency_kind>{latency_kind::move, "move"},
};
constexpr auto namesOf(latency_kind) -> const auto &
{
    return latencyKindNames;
}

/// Takes the actions of a forwarding_core.
template <typename S>
concept forwarding_sink
    = requires(S &sink, forward_action action, server_command command, log_event event,
               const std::string &id, std::vector<log_field> fields)
{
    sink.toCaller(action);
    sink.toServer(command);
    sink.toReporter(reporter_command{});
    sink.log(event, id, fields);
    sink.observe(latency_kind::move, std::int64_t{});
};

} // namespace marjoram
