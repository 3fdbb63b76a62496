#pragma once

#include "directory/listwatch.h"

#include <algorithm>
#include <optional>

namespace marjoram {

/// Times within which the operators expect changes of the directory service to be in force.
struct directory_bounds
{
    /// Until a server whose entry says that it is leaving gets no more requests.
    std::int64_t leavingMs = 2'000;
    /// Until a new configuration is used.
    std::int64_t configurationMs = 2'000;
    /// Until the servers of an evacuated data centre get no more requests; unset where operators
    /// publish no evacuations. The same feed tells of them and of the configuration.
    std::optional<std::int64_t> evacuationMs;
    /// Time after a disturbance during which the other bounds do not hold.
    std::int64_t contactMs = 3'000;
};

/// Options of directory_duty.
struct directory_options
{
    list_watch_options configuration;
    list_watch_options servers;
};

/// Reads the directory service as seldom as the bounds allow: each call has a price, and all
/// entries make them. After a disturbance changes are known within the bounds, whenever it began:
/// calls end and are repeated in time for that. Thread safe. Precondition: the bounds are positive.
inline auto directoryOptionsFor(const directory_bounds &bounds) -> directory_options
{
    // Servers write heartbeats constantly; the pause lets many of them arrive in one answer. The
    // rest of the bound is for an answer on its way and for a compaction of the history.
    constexpr double PAUSE_SHARE = 0.65;
    constexpr double EXPECTANT_PAUSE_SHARE = 0.15;
    constexpr double SERVERS_LONG_POLL_SHARE = 0.75;
    constexpr double BACKOFF_SHARE = 0.4;
    constexpr std::int64_t MIN_BACKOFF_MS = 400;
    // The service answers in milliseconds, and may be slowed down a hundredfold.
    constexpr std::int64_t MAX_ANSWER_TIMEOUT_MS = 900;
    constexpr double ANSWER_TIMEOUT_SHARE = 0.3;
    // Part of the time after a disturbance for the call that succeeds: a new connection, another
    // listing, and the time until a change is applied.
    constexpr double SUCCESS_SHARE = 0.1;
    constexpr std::int64_t MIN_PAUSE_MS = 100;
    constexpr std::int64_t MIN_LONG_POLL_MS = 100;
    constexpr std::int64_t REMOVAL_GRACE_MS = 2'000;
    constexpr std::int64_t RESTORE_HOLD_MS = 6'000;
    const auto shareOf = [](std::int64_t ms, double share) {
        return static_cast<std::int64_t>(share * static_cast<double>(ms));
    };
    const auto retryOf = [&](std::int64_t boundMs, std::int64_t maxReturnMs) {
        const auto backoffMs = std::max(MIN_BACKOFF_MS, shareOf(boundMs, BACKOFF_SHARE));
        return retry_schedule_options{.maxBackoffUs = backoffMs * US_PER_MS,
                                      .maxReturnUs = maxReturnMs * US_PER_MS};
    };
    const auto answerTimeoutMs
        = std::min(MAX_ANSWER_TIMEOUT_MS, shareOf(bounds.contactMs, ANSWER_TIMEOUT_SHARE));
    const auto maxReturnMs = bounds.contactMs - shareOf(bounds.contactMs, SUCCESS_SHARE);
    const auto longestWatchMs
        = std::max(MIN_LONG_POLL_MS, maxReturnMs - answerTimeoutMs - MIN_PAUSE_MS);
    // Removals that are seen first after a disturbance are held back, which takes its share of the
    // bound.
    const auto serversReturnMs = maxReturnMs + bounds.leavingMs - REMOVAL_GRACE_MS;
    const auto operatorMs
        = std::min(bounds.configurationMs, bounds.evacuationMs.value_or(bounds.configurationMs));
    const answer_deadline_options answer{.silenceUs = answerTimeoutMs * US_PER_MS};
    return {.configuration = {.longPollMs = std::min(operatorMs, longestWatchMs),
                              .answer = answer,
                              .retry = retryOf(operatorMs, maxReturnMs)},
            .servers
            = {.watchPauseUs = shareOf(bounds.leavingMs, PAUSE_SHARE) * US_PER_MS,
               .expectantPauseUs = shareOf(bounds.leavingMs, EXPECTANT_PAUSE_SHARE) * US_PER_MS,
               .longPollMs = shareOf(bounds.leavingMs, SERVERS_LONG_POLL_SHARE),
               .answer = answer,
               .retry = retryOf(bounds.leavingMs, serversReturnMs),
               .removalGraceUs = REMOVAL_GRACE_MS * US_PER_MS,
               .restoreHoldUs = RESTORE_HOLD_MS * US_PER_MS}};
}

} // namespace marjoram
