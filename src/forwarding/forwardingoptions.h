#pragma once

#include "forwarding/completionforecast.h"
#include "forwarding/crashquarantine.h"
#include "forwarding/forwardtypes.h"
#include "forwarding/placementquery.h"
#include "forwarding/runmover.h"
#include "forwarding/streamend.h"
#include "forwarding/streamorigins.h"
#include "forwarding/waitingoptions.h"
#include "limits/retrywindow.h"
#include "locality/spillovertypes.h"

namespace marjoram {

/// How requests are placed on servers of other data centres.
struct locality_options
{
    locality_mode mode = locality_mode::fixed;
    spillover_options generations{.remoteCostUs = 100 * US_PER_MS};
    /// Plain requests are short, so a change of their share shows at once.
    spillover_options plain{
        .remoteCostUs = 1 * US_PER_MS, .maxStep = 0.1, .minDirectionUs = 1 * US_PER_SECOND};
};

/// Options for forwarding requests.
struct forwarding_options
{
    std::string dataCentre;
    retry_window_options retries;
    /// Number of entries assumed to share the retry budget until reports give the real number.
    std::uint32_t initialEntryCount = 32;
    run_mover_options moves;
    stream_end_options streamEnds;
    stream_origins_options origins;
    crash_quarantine_options quarantine;
    /// Longest wait of a generation for room, as a share of its latency target. Beyond an eighth of
    /// the target, retrying later serves the caller better.
    double maxWaitShare = 0.12;
    waiting_options waiting;
    /// Range of the random pause before a waiting request looks for a server again.
    std::int64_t minPlacementRetryUs = 30 * US_PER_MS;
    std::int64_t maxPlacementRetryUs = 90 * US_PER_MS;
    /// Number of reporters asked in a row before a request waits.
    std::uint32_t maxRoomRequests = 4;
    /// Time a reporter has to answer, and the number of missed answers after which a request is
    /// sent without asking.
    std::int64_t roomTimeoutUs = 25 * US_PER_MS;
    std::uint32_t maxUnanswered = 2;
    /// A server whose last report is older counts as having no reporter.
    std::int64_t reportMaxAgeUs = 1 * US_PER_SECOND;
    /// Time to read one prompt while other generations produce tokens, and the share of the latency
    /// target that may be spent on reading earlier prompts.
    std::int64_t prefillUs = 350 * US_PER_MS;
    double prefillShare = 0.6;
    /// Limit on sends per request, including those that a server refused to run.
    std::uint32_t maxSends = 3;
    /// Limit on concurrently open requests.
    std::size_t maxOpenRequests = 8'000;
    /// Range of the random retry delay given to refused callers, also as shares of their latency
    /// target; the later one holds. A caller that may wait longer returns when more of the work
    /// that was in its way has ended.
    std::int64_t minRetryAfterMs = 400;
    std::int64_t maxRetryAfterMs = 1'200;
    double minRetryShare = 0.25;
    double maxRetryShare = 0.6;
    /// Longest retry delay given to a caller that is refused because the process stops, as a share
    /// of its latency target.
    double stoppingRetryShare = 0.35;
    /// Time after which a repeatable request is retried on another server, in latency targets.
    double hedgeAfterTargets = 2.0;
    /// Share of the output limit that a generation without an estimate is expected to use.
    double assumedOutputShare = 0.5;
    completion_forecast_options completion;
    plain_placement_options plain;
    locality_options locality;
};

/// Latencies that are measured.
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

/// Receives the actions of a forwarding_core.
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
