#pragma once

#include "framework/global/identifiers.h"
#include "limits/kvforecast.h"
#include "manifest/routetable.h"
#include "serverviews/serverview.h"

#include <algorithm>
#include <string>
#include <vector>

namespace marjoram {

/// Properties of the request that a placement policy uses.
struct placement_query
{
    std::string dataCentre;
    const pool_entry *pool = nullptr;
    const std::vector<std::string> *excludedServers = nullptr;
    /// Whether the request is a generation, which needs KV cache memory.
    bool generation = false;
    /// Whether a running generation is being moved. A copy between data centres takes twice as
    /// long.
    bool moving = false;
    /// Expected KV cache memory, in tokens.
    std::uint64_t expectedTokens = 0;
    /// Number of entries that place requests by the same reports.
    std::uint32_t entries = 1;
    time_us now;
};

/// Chooses a backend server, or null if none has room.
template <typename P>
concept placement_policy
    = requires(const placement_query &query, const std::vector<const server_view *> &candidates,
               random_source &random)
{
    {
        P::choose(query, candidates, random)
        } -> std::same_as<const server_view *>;
};

/// KV cache memory of an engine that is used or reserved, in tokens.
inline auto committedTokens(const server_view &view) -> std::uint64_t
{
    if (!view.report) {
        return view.forecastTokens;
    }
    const auto reported
        = view.report->usedTokens + view.report->nextTokens + view.tokensSinceReport;
    return std::max(reported, view.forecastTokens);
}

/// Requests at a server, including those sent since its last report.
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

/// Prompts that a server must read before that of a new request.
inline auto promptsAhead(const server_view &view) -> std::uint32_t
{
    const auto known = view.report ? view.report->starting + view.report->waiting : 0;
    return known + view.sentSinceReport;
}

/// Takes a random sample of the servers with room and chooses the one with the lowest share of
/// memory or slots in use and the fewest prompts to read.
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
            // Removes the sampled element, so that none is sampled twice.
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
        // The target of a move is limited by its reporter.
        const auto availableAt = query.moving ? view.pausedUntil : view.availableAt();
        if (availableAt > query.now) {
            return false;
        }
        if (!query.generation || !query.pool->engine) {
            return true;
        }
        const auto usableTokens = static_cast<double>(capacityOf(query, view))
                                  * (query.moving ? USABLE_MEMORY_MOVING : USABLE_MEMORY);
        const auto growthTokens = query.moving ? 0 : occupancy(view) * GROWTH_TOKENS;
        const auto needed = committedTokens(view) + growthTokens + query.expectedTokens;
        return occupancy(view) < query.pool->engine->slots
               && static_cast<double>(needed) <= usableTokens;
    }

private:
    /// Sample size per server in an entry's share of the pool.
    static constexpr std::size_t SAMPLES_PER_SHARE = 2;
    static constexpr std::size_t MIN_SAMPLE = 2;
    /// The rest of the memory is kept free for running generations to grow and for generations that
    /// move here.
    static constexpr double USABLE_MEMORY = 0.92;
    /// Expected growth of each running generation until others end.
    static constexpr std::uint64_t GROWTH_TOKENS = 300;
    /// Moving a generation matters more than keeping room for growth; a full engine refuses it.
    static constexpr double USABLE_MEMORY_MOVING = 1.0;
    /// A server in another data centre is chosen only if its load is lower by this much.
    static constexpr double REMOTE_PENALTY = 0.03;
    static constexpr double REMOTE_PENALTY_MOVING = 0.3;
    static constexpr double WARM_UP_PENALTY = 0.5;
    /// Size of the random offset that spreads requests over equally loaded servers.
    static constexpr double JITTER = 0.04;
    /// Larger for moves: servers often leave together, and their generations would otherwise all
    /// ask the emptiest server, whose link takes one copy at a time.
    static constexpr double JITTER_MOVING = 0.25;
    /// The delay of reading one earlier prompt weighs as much as this share of memory.
    static constexpr double PROMPT_AHEAD_PENALTY = 0.15;

    /// The more entries place by the same reports, the smaller the sample of each; otherwise all
    /// would choose the same servers until the next report.
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
