#pragma once

#include "framework/global/clock.h"
#include "serverviews/serverentry.h"

#include <cstdint>
#include <optional>

namespace marjoram {

/// What an entry knows of one backend server, and of its own work there.
struct server_view
{
    server_entry entry;
    /// End of the time for which the server is slow after its start.
    time_us warmUpUntil;
    /// The published entry, or the server itself, says that it leaves.
    bool publishedLeaving = false;
    bool reportedLeaving = false;
    /// It is known from its reporter alone, and the published list has not shown it yet.
    bool announced = false;
    /// Since when a published list is there that does not show it.
    std::optional<time_us> listingMissedSince;
    /// When its entry was removed; it may serve on for a while what it has.
    std::optional<time_us> unlistedAt;
    /// When it is expected to be gone; only while leaving().
    std::optional<time_us> shutdownAt;

    // --- load
    std::optional<load_sample> load;
    time_us loadAt;
    std::optional<server_report> report;
    time_us reportAt;
    /// This process's requests that are under way there.
    std::uint32_t inFlight = 0;
    /// Memory of this process's generations there, in tokens, as forecast.
    std::uint64_t forecastTokens = 0;
    /// Requests and tokens sent since the last load or report, which cannot know them.
    std::uint32_t sentSinceReport = 0;
    std::uint64_t tokensSinceReport = 0;

    // --- health
    /// Share of failed requests, the recent ones weighing most.
    double failureRate = 0.0;
    std::uint32_t outcomeCount = 0;
    std::uint32_t consecutiveFailures = 0;
    std::uint32_t ejections = 0;
    /// It has been ejected and has not succeeded since.
    bool onProbation = false;
    time_us ejectedUntil;

    /// Whether it may get no new work, since it goes.
    auto leaving() const -> bool
    {
        return publishedLeaving || reportedLeaving || unlistedAt.has_value();
    }
};

} // namespace marjoram
