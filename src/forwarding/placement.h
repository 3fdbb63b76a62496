#pragma once

#include "framework/global/identifiers.h"
#include "limits/kvforecast.h"
#include "manifest/routetable.h"
#include "serverviews/serverview.h"

#include <algorithm>
#include <string>
#include <vector>

namespace marjoram {

/// What is known of the request for which a server is chosen.
struct placement_query
{
    std::string dataCentre;
    const pool_entry *pool = nullptr;
    const std::vector<std::string> *excludedServers = nullptr;
    /// Whether it is a generation, which needs memory.
    bool generation = false;
    /// Whether it runs elsewhere and moves; a copy between data centres takes twice the time.
    bool moving = false;
    /// Memory it is expected to need, in tokens.
    std::uint64_t expectedTokens = 0;
    /// Entries that choose by the same reports.
    std::uint32_t entries = 1;
    time_us now;
};

/// Chooses a backend server, or none when none has room.
template <typename P>
concept placement_policy
    = requires(const placement_query &query, const std::vector<const server_view *> &candidates,
               random_source &random)
{
    {
        P::choose(query, candidates, random)
        } -> std::same_as<const server_view *>;
};

/// Memory of an engine that is taken or spoken for, in tokens.
inline auto committedTokens(const server_view &view) -> std::uint64_t
{
    if (!view.report) {
        return view.forecastTokens;
    }
    const auto reported
        = view.report->usedTokens + view.report->nextTokens + view.tokensSinceReport;
    return std::max(reported, view.forecastTokens);
}

/// Requests at a server, those sent since its last account included.
inline auto occupancy(const server_view &view) -> std::uint32_t
{
    auto known = view.inFlight;
    if (view.report) {
        known = std::max(known, view.report->running + view.report->waiting + view.sentSinceReport);
    } else if (view.load) {
        known = std::max(known, view.load->running + view.load->waiting);
    }
    return known;
}

/// Prompts that a server has to read before that of a new request.
inline auto promptsAhead(const server_view &view) -> std::uint32_t
{
    const auto known = view.report ? view.report->starting + view.report->waiting : 0;
    return known + view.sentSinceReport;
}

/// Of a random sample, the server with the least of its memory or slots taken and the fewest
/// prompts to read. An engine without room is not chosen for new work.
struct sampled_least_loaded
{
    static auto choose(const placement_query &query,
                       const std::vector<const server_view *> &candidates, random_source &random)
        -> const server_view *
    {
        std::vector<const server_view *> withRoom;
        for (const auto *view : candidates) {
            const auto &excludedServers = *query.excludedServers;
            if (std::find(excludedServers.begin(), excludedServers.end(), view->entry.id)
                    == excludedServers.end()
                && hasRoom(query, *view)) {
                withRoom.push_back(view);
            }
        }
        const server_view *best = nullptr;
        double bestScore = 0.0;
        for (std::size_t remaining = sampleSize(query, withRoom.size()); remaining > 0;
             --remaining) {
            // Moves the drawn one to the end, so that none is index twice.
            const auto index = random() % withRoom.size();
            const auto *view = std::exchange(withRoom[index], withRoom.back());
            withRoom.pop_back();
            const auto score = scoreOf(query, *view) + jitter(query, random);
            if (!best || score < bestScore) {
                best = view;
                bestScore = score;
            }
        }
        return best;
    }
    static auto hasRoom(const placement_query &query, const server_view &view) -> bool
    {
        if (!query.generation || !query.pool->engine) {
            return true;
        }
        const auto candidates = static_cast<double>(capacityOf(query, view))
                                * (query.moving ? USABLE_MEMORY_MOVING : USABLE_MEMORY);
        const auto growthTokens = query.moving ? 0 : occupancy(view) * GROWTH_TOKENS;
        const auto needed = committedTokens(view) + growthTokens + query.expectedTokens;
        return occupancy(view) < query.pool->engine->slots
               && static_cast<double>(needed) <= candidates;
    }

private:
    /// Servers that one choice looks at, for each server that an entry would have to itself.
    static constexpr std::size_t SAMPLES_PER_SHARE = 2;
    static constexpr std::size_t MIN_SAMPLE = 2;
    /// Memory beyond this share is remaining to the growth of what runs, and to what moves here.
    static constexpr double USABLE_MEMORY = 0.92;
    /// Memory by which each run on an engine is expected to grow while others end.
    static constexpr std::uint64_t GROWTH_TOKENS = 300;
    /// A run that must move is worth more than room for growth; the engine refuses if it is full.
    static constexpr double USABLE_MEMORY_MOVING = 1.0;
    /// A remote server is chosen when it is this much emptier.
    static constexpr double REMOTE_PENALTY = 0.03;
    static constexpr double REMOTE_PENALTY_MOVING = 0.3;
    static constexpr double WARM_UP_PENALTY = 0.5;
    /// Width of the draw between servers that look alike.
    static constexpr double JITTER = 0.04;
    /// The same for moves: servers leave together, and their runs must not all query the emptiest
    /// one, whose link takes one at a time.
    static constexpr double JITTER_MOVING = 0.25;
    /// A prompt to be read first delays about as much as this share of memory is worth.
    static constexpr double PROMPT_AHEAD_PENALTY = 0.15;

    /// The more entries choose by the same reports, the fewer servers each looks at: otherwise all
    /// would choose the same until the next report.
    static auto sampleSize(const placement_query &query, std::size_t withRoom) -> std::size_t
    {
        const auto entries = std::max<std::size_t>(1, query.entries);
        const auto share = (SAMPLES_PER_SHARE * withRoom + entries - 1) / entries;
        return query.moving ? withRoom : std::min(withRoom, std::max(share, MIN_SAMPLE));
    }
    static auto capacityOf(const placement_query &query, const server_view &view) -> std::uint64_t
    {
        const auto reported = view.report ? view.report->capacityTokens : 0;
        return std::max<std::uint64_t>(1,
                                       reported > 0 ? reported : query.pool->engine->memoryTokens);
    }
    static auto jitter(const placement_query &query, random_source &random) -> double
    {
        const auto width = query.moving ? JITTER_MOVING : JITTER;
        return width * static_cast<double>(random() >> 11) * 0x1.0p-53;
    }
    static auto scoreOf(const placement_query &query, const server_view &view) -> double
    {
        const auto penalty = query.moving ? REMOTE_PENALTY_MOVING : REMOTE_PENALTY;
        auto score = view.entry.dataCentre == query.dataCentre ? 0.0 : penalty;
        score += view.warmUpUntil > query.now ? WARM_UP_PENALTY : 0.0;
        const auto slots = std::max<std::uint32_t>(1, view.entry.slots);
        const auto slotShare = static_cast<double>(occupancy(view)) / slots;
        if (!query.generation || !query.pool->engine) {
            return score + slotShare;
        }
        const auto memoryShare = static_cast<double>(committedTokens(view))
                                 / static_cast<double>(capacityOf(query, view));
        const auto ahead = query.moving ? 0 : promptsAhead(view);
        return score + std::max(memoryShare, slotShare) + PROMPT_AHEAD_PENALTY * ahead;
    }
};

} // namespace marjoram
