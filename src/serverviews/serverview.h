#pragma once

#include "framework/global/clock.h"
#include "limits/ratelimiter.h"
#include "serverviews/coldstate.h"
#include "serverviews/serverentry.h"
#include "serverviews/workpace.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace marjoram {

/// An entry's knowledge of one backend server and of its own requests there.
struct server_view
{
    server_entry entry;
    /// Until then the server is slow because it has just started.
    time_us warmUpUntil;
    /// Whether the published entry, or the server's report, says that it is leaving.
    bool publishedLeaving = false;
    bool reportedLeaving = false;
    /// Start time of the process that has stated in an answer that it is leaving. Such a process
    /// never accepts new work again, whatever older lists and reports say.
    std::optional<std::int64_t> statedLeavingBornUnixMs;
    /// A later process has been seen at its address, so this one has ended; the list lags behind.
    bool replaced = false;
    /// Known only from its reporter; not in the published list yet. Its pool is the one that its
    /// models belong to, if there is just one.
    bool announced = false;
    std::vector<std::string> announcedModels;
    /// When a published list first lacked this announced server.
    std::optional<time_us> listingMissedSince;
    /// When the server was removed from the published list; it may still finish running requests.
    std::optional<time_us> unlistedAt;
    /// Expected shutdown time; set only while leaving().
    std::optional<time_us> shutdownAt;

    // --- load
    std::optional<load_sample> load;
    time_us loadAt;
    work_pace pace;
    std::optional<server_report> report;
    time_us reportAt;
    /// Its reporter may exist and has not been heard since the process became known.
    bool reporterAwaited = false;
    /// When the process last answered its reporter, at the least.
    time_us answeredAt{INT64_MIN / 2};
    /// Requests of this process that are in progress there.
    std::uint32_t inFlight = 0;
    /// Forecast KV cache memory of this process's generations there, in tokens.
    std::uint64_t forecastTokens = 0;
    /// Requests and tokens sent since the last load sample or report, which do not include them.
    std::uint32_t sentSinceReport = 0;
    std::uint64_t tokensSinceReport = 0;

    // --- rate limit
    std::optional<server_rate_limit> rateLimit;
    time_us rateLimitSeenAt;
    /// When the reporter was last told of the limit.
    time_us rateLimitSharedAt;
    /// This entry's share of the limit; used while no reporter grants requests within it.
    rate_limiter ownShare{{}};
    /// It gets no new work until then, to keep to its limit.
    time_us limitedUntil;

    /// Limit while it is cold.
    cold_state cold;

    /// The server has turned a request away and wants no others until then.
    time_us pausedUntil;

    // --- health
    /// Moving average of failed requests, weighted towards recent ones.
    double failureRate = 0.0;
    std::uint32_t outcomeCount = 0;
    std::uint32_t consecutiveFailures = 0;
    std::uint32_t ejections = 0;
    /// It has been ejected and has not succeeded since.
    bool onProbation = false;
    time_us ejectedUntil;

    /// When it may get a request, by its limits and its pause.
    auto availableAt(time_us now) const -> time_us
    {
        return std::max({limitedUntil, pausedUntil, cold.availableAt(now)});
    }
    /// Whether it gets no new work because it is about to shut down.
    auto leaving() const -> bool
    {
        return publishedLeaving || reportedLeaving || statedLeavingBornUnixMs
               || unlistedAt.has_value();
    }
};

} // namespace marjoram
