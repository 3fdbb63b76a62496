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
struct placement_ask
{
    std::string dataCentre;
    const pool_entry *pool = nullptr;
    const std::vector<std::string> *avoided = nullptr;
    /// Whether it is a generation, which needs memory.
    bool generation = false;
    /// Whether it runs elsewhere and moves; a copy between data centres takes twice the time.
    bool moving = false;
    /// Memory it is expected to need, in tokens.
    std::uint64_t tokensExpected = 0;
    /// Entries that choose by the same reports.
    std::uint32_t entries = 1;
    time_us now;
};

/// Chooses a backend server, or none when none has room.
template <typename P>
concept placement_policy
    = requires(const placement_ask &ask, const std::vector<const server_view *> &usable,
               random_source &random)
{
    {
        P::choose(ask, usable, random)
        } -> std::same_as<const server_view *>;
};

/// Memory of an engine that is taken or spoken for, in tokens.
inline auto takenTokens(const server_view &view) -> std::uint64_t
{
    if (!view.report) {
        return view.heldTokens;
    }
    const auto reported = view.report->usedTokens + view.report->nextTokens + view.tokensSince;
    return std::max(reported, view.heldTokens);
}

/// Requests at a server, those sent since its last account included.
inline auto occupancy(const server_view &view) -> std::uint32_t
{
    auto known = view.inFlight;
    if (view.report) {
        known = std::max(known, view.report->running + view.report->waiting + view.sentSince);
    } else if (view.load) {
        known = std::max(known, view.load->running + view.load->waiting);
    }
    return known;
}

/// Prompts that a server has to read before that of a new request.
inline auto promptsAhead(const server_view &view) -> std::uint32_t
{
    const auto known = view.report ? view.report->starting + view.report->waiting : 0;
    return known + view.sentSince;
}

/// Of a random sample, the server with the least of its memory or slots taken and the fewest
/// prompts to read. An engine without room is not chosen for new work.
struct most_room
{
    static auto choose(const placement_ask &ask, const std::vector<const server_view *> &usable,
                       random_source &random) -> const server_view *
    {
        std::vector<const server_view *> open;
        for (const auto *view : usable) {
            const auto &avoided = *ask.avoided;
            if (std::find(avoided.begin(), avoided.end(), view->entry.id) == avoided.end()
                && hasRoom(ask, *view)) {
                open.push_back(view);
            }
        }
        const server_view *best = nullptr;
        double bestScore = 0.0;
        for (std::size_t left = sampleSize(ask, open.size()); left > 0; --left) {
            // Moves the drawn one to the end, so that none is drawn twice.
            const auto drawn = random() % open.size();
            const auto *view = std::exchange(open[drawn], open.back());
            open.pop_back();
            const auto score = scoreOf(ask, *view) + jitter(ask, random);
            if (!best || score < bestScore) {
                best = view;
                bestScore = score;
            }
        }
        return best;
    }
    static auto hasRoom(const placement_ask &ask, const server_view &view) -> bool
    {
        if (!ask.generation || !ask.pool->engine) {
            return true;
        }
        const auto usable = static_cast<double>(capacityOf(ask, view))
                            * (ask.moving ? USABLE_MEMORY_MOVING : USABLE_MEMORY);
        const auto growing = ask.moving ? 0 : occupancy(view) * GROWTH_TOKENS;
        const auto needed = takenTokens(view) + growing + ask.tokensExpected;
        return occupancy(view) < ask.pool->engine->slots && static_cast<double>(needed) <= usable;
    }

private:
    /// Servers that one choice looks at, for each server that an entry would have to itself.
    static constexpr std::size_t SAMPLE_PER_SHARE = 2;
    static constexpr std::size_t LEAST_SAMPLE = 2;
    /// Memory beyond this share is left to the growth of what runs, and to what moves here.
    static constexpr double USABLE_MEMORY = 0.92;
    /// Memory by which each run on an engine is expected to grow while others end.
    static constexpr std::uint64_t GROWTH_TOKENS = 300;
    /// A run that must move is worth more than room for growth; the engine refuses if it is full.
    static constexpr double USABLE_MEMORY_MOVING = 1.0;
    /// A remote server is chosen when it is this much emptier.
    static constexpr double REMOTE_PENALTY = 0.03;
    static constexpr double REMOTE_PENALTY_MOVING = 0.3;
    static constexpr double COLD_PENALTY = 0.5;
    /// Width of the draw between servers that look alike.
    static constexpr double JITTER = 0.04;
    /// The same for moves: servers leave together, and their runs must not all ask the emptiest
    /// one, whose link takes one at a time.
    static constexpr double JITTER_MOVING = 0.25;
    /// A prompt to be read first delays about as much as this share of memory is worth.
    static constexpr double PER_PROMPT_AHEAD = 0.15;

    /// The more entries choose by the same reports, the fewer servers each looks at: otherwise all
    /// would choose the same until the next report.
    static auto sampleSize(const placement_ask &ask, std::size_t open) -> std::size_t
    {
        const auto entries = std::max<std::size_t>(1, ask.entries);
        const auto share = (SAMPLE_PER_SHARE * open + entries - 1) / entries;
        return ask.moving ? open : std::min(open, std::max(share, LEAST_SAMPLE));
    }
    static auto capacityOf(const placement_ask &ask, const server_view &view) -> std::uint64_t
    {
        const auto reported = view.report ? view.report->capacityTokens : 0;
        return std::max<std::uint64_t>(1, reported > 0 ? reported : ask.pool->engine->memoryTokens);
    }
    static auto jitter(const placement_ask &ask, random_source &random) -> double
    {
        const auto width = ask.moving ? JITTER_MOVING : JITTER;
        return width * static_cast<double>(random() >> 11) * 0x1.0p-53;
    }
    static auto scoreOf(const placement_ask &ask, const server_view &view) -> double
    {
        const auto penalty = ask.moving ? REMOTE_PENALTY_MOVING : REMOTE_PENALTY;
        auto score = view.entry.dataCentre == ask.dataCentre ? 0.0 : penalty;
        score += view.coldUntil > ask.now ? COLD_PENALTY : 0.0;
        const auto slots = std::max<std::uint32_t>(1, view.entry.slots);
        const auto bySlots = static_cast<double>(occupancy(view)) / slots;
        if (!ask.generation || !ask.pool->engine) {
            return score + bySlots;
        }
        const auto byMemory
            = static_cast<double>(takenTokens(view)) / static_cast<double>(capacityOf(ask, view));
        const auto ahead = ask.moving ? 0 : promptsAhead(view);
        return score + std::max(byMemory, bySlots) + PER_PROMPT_AHEAD * ahead;
    }
};

} // namespace marjoram
