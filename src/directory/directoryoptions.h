#pragma once

#include "directory/listwatch.h"

#include <algorithm>

namespace marjoram {

/// Times within which the operators expect changes of the directory service to be in force.
struct directory_bounds
{
    /// Until a server whose entry says that it is leaving gets no more requests.
    std::int64_t leavingMs = 2'000;
    /// Until a new configuration is used.
    std::int64_t configurationMs = 2'000;
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
/// entries make them. Thread safe. Precondition: the bounds are positive.
inline auto directoryOptionsFor(const directory_bounds &bounds) -> directory_options
{
    // Servers write heartbeats constantly; the pause lets many of them arrive in one answer. The
    // rest of the bound is for an answer on its way and for a compaction of the history.
    constexpr double PAUSE_SHARE = 0.65;
    constexpr double EXPECTANT_PAUSE_SHARE = 0.15;
    constexpr double LONG_POLL_SHARE = 0.75;
    constexpr double BACKOFF_SHARE = 0.4;
    constexpr std::int64_t MIN_BACKOFF_US = 400 * US_PER_MS;
    // Time to notice that the connection of a watch is dead, beyond the duration of the watch.
    constexpr std::int64_t DEAD_WATCH_MS = 1'000;
    const auto shareOf = [](std::int64_t ms, double share) {
        return static_cast<std::int64_t>(share * static_cast<double>(ms));
    };
    const auto backoffUs = [&](std::int64_t boundMs) {
        return std::max(MIN_BACKOFF_US, shareOf(boundMs, BACKOFF_SHARE) * US_PER_MS);
    };
    const auto longestWatchMs = std::max(DEAD_WATCH_MS, bounds.contactMs - DEAD_WATCH_MS);
    return {.configuration = {.longPollMs = std::min(bounds.configurationMs, longestWatchMs),
                              .maxBackoffUs = backoffUs(bounds.configurationMs)},
            .servers
            = {.watchPauseUs = shareOf(bounds.leavingMs, PAUSE_SHARE) * US_PER_MS,
               .expectantPauseUs = shareOf(bounds.leavingMs, EXPECTANT_PAUSE_SHARE) * US_PER_MS,
               .longPollMs = shareOf(bounds.leavingMs, LONG_POLL_SHARE),
               .maxBackoffUs = backoffUs(bounds.leavingMs),
               .removalGraceUs = 2 * US_PER_SECOND,
               .restoreHoldUs = 6 * US_PER_SECOND}};
}

} // namespace marjoram
