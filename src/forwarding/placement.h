#pragma once

#include "forwarding/placementquery.h"
#include "forwarding/plainplacement.h"
#include "framework/global/identifiers.h"
#include "limits/kvforecast.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <string>
#include <vector>

namespace marjoram {

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

/// Takes a random sample of the servers with room. For a plain request it chooses the one that
/// plain_placement scores lowest; for a generation the one where it adds the least time, to itself
/// and to the generations that run there. So long generations gather on fast engines, and prompts
/// are read where few generations have to pause for them.
struct sampled_least_added_time
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
        const auto usPerToken = typicalUsPerToken(query, candidates);
        const plain_placement plain(query, candidates);
        const server_view *best = nullptr;
        double bestScore = 0.0;
        for (std::size_t remaining = sampleSize(query, plain, withRoom.size()); remaining > 0;
             --remaining) {
            // Removes the sampled element, so that none is sampled twice.
            const auto index = random() % withRoom.size();
            const auto *view = std::exchange(withRoom[index], withRoom.back());
            withRoom.pop_back();
            const auto score = isGeneration(query) ? addedUs(query, *view, usPerToken, random)
                                                   : plain.score(*view, random);
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
        const auto availableAt = query.moving
                                     ? std::max(view.pausedUntil, view.cold.availableAt(query.now))
                                     : view.availableAt(query.now);
        if (availableAt > query.now) {
            return false;
        }
        if (!isGeneration(query)) {
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
    /// Larger for engines: their reporters keep entries from choosing the same one together.
    static constexpr std::size_t MIN_ENGINE_SAMPLE = 6;
    /// The rest of the memory is kept free for running generations to grow and for generations that
    /// move here.
    static constexpr double USABLE_MEMORY = 0.92;
    /// Expected growth of each running generation until others end.
    static constexpr std::uint64_t GROWTH_TOKENS = 300;
    /// Moving a generation matters more than keeping room for growth; a full engine refuses it.
    static constexpr double USABLE_MEMORY_MOVING = 1.0;

    // --- generations

    /// Time per output token while no report tells it.
    static constexpr double DEFAULT_US_PER_TOKEN = 10'000.0;
    /// Time by which a token of a prompt delays the generations that run meanwhile, and the prompts
    /// that are to be read after it.
    static constexpr double US_PER_PROMPT_TOKEN = 75.0;
    static constexpr double WAIT_US_PER_PROMPT_TOKEN = 150.0;
    /// Time by which one more generation delays each token of the others.
    static constexpr double US_PER_TOKEN_AND_RUN = 120.0;
    static constexpr double TYPICAL_PROMPT_TOKENS = 2'500.0;
    /// Waiting for the first token counts the more, the shorter the latency target is.
    static constexpr double URGENT_TARGET_US = 3.0 * US_PER_SECOND;
    /// A generation on a full engine may be preempted, and may not all be moved when the engine
    /// leaves: this time and that of its own output count by the square of the memory in use.
    static constexpr double CROWDING_US = 5.0 * US_PER_SECOND;
    /// What a host says of its slowness changes several times a second.
    static constexpr double SLOWDOWN_HALF_LIFE_US = 0.5 * US_PER_SECOND;
    static constexpr double USUAL_PERCENT = 100.0;
    /// Bounds on what the measured pace of one engine says about reading prompts.
    static constexpr double MIN_RELATIVE_PACE = 0.5;
    static constexpr double MAX_RELATIVE_PACE = 4.0;
    static constexpr double REMOTE_US = 0.1 * US_PER_SECOND;
    /// A copy to another data centre takes twice as long, and the runs that wait for their turn at
    /// the leaving engine may miss it.
    static constexpr double REMOTE_MOVING_US = 10.0 * US_PER_SECOND;
    static constexpr double WARM_UP_US = 2.0 * US_PER_SECOND;
    static constexpr double JITTER_US = 0.1 * US_PER_SECOND;
    /// Larger for moves: servers often leave together, and their generations would otherwise all
    /// ask the emptiest server, whose link takes one copy at a time.
    static constexpr double JITTER_MOVING_US = 2.0 * US_PER_SECOND;

    static auto isGeneration(const placement_query &query) -> bool
    {
        return query.generation && query.pool->engine.has_value();
    }
    /// The more entries place by the same reports, the smaller the sample of each; otherwise all
    /// would choose the same servers until the next report.
    static auto sampleSize(const placement_query &query, const plain_placement &plain,
                           std::size_t withRoom) -> std::size_t
    {
        if (query.moving || (!isGeneration(query) && plain.comparesAll())) {
            return withRoom;
        }
        const auto entries = std::max<std::size_t>(1, query.entries);
        const auto share = (SAMPLES_PER_SHARE * withRoom + entries - 1) / entries;
        const auto least = isGeneration(query) ? MIN_ENGINE_SAMPLE : MIN_SAMPLE;
        return std::min(withRoom, std::max(share, least));
    }
    static auto capacityOf(const placement_query &query, const server_view &view) -> std::uint64_t
    {
        const auto reported = view.report ? view.report->capacityTokens : 0;
        return std::max<std::uint64_t>(1,
                                       reported > 0 ? reported : query.pool->engine->memoryTokens);
    }
    static auto usPerTokenOf(const placement_query &query, const server_view &view)
        -> std::optional<double>
    {
        if (!view.report || view.report->usPerEvent == 0) {
            return std::nullopt;
        }
        const auto tokens = std::max<std::uint32_t>(1, query.pool->engine->tokensPerEvent);
        return static_cast<double>(view.report->usPerEvent) / tokens;
    }
    /// Mean over the servers whose pace is known.
    static auto typicalUsPerToken(const placement_query &query,
                                  const std::vector<const server_view *> &views) -> double
    {
        double sum = 0.0;
        std::size_t known = 0;
        for (const auto *view : views) {
            const auto pace = isGeneration(query) ? usPerTokenOf(query, *view) : std::nullopt;
            sum += pace.value_or(0.0);
            known += pace ? 1 : 0;
        }
        return known > 0 ? sum / static_cast<double>(known) : DEFAULT_US_PER_TOKEN;
    }
    static auto statesSlowness(const server_view &view) -> bool
    {
        return view.report && view.report->slowdownPercent > 0;
    }
    /// Time to read a prompt there, relative to the pool: by the engine's pace, and by how slow its
    /// host is at this moment. Prompts are read within the time for which that lasts; output takes
    /// longer. 1 where engines do not state how slow they are.
    static auto promptTimeFactor(const placement_query &query, const server_view &view,
                                 double relativePace) -> double
    {
        if (!statesSlowness(view)) {
            return 1.0;
        }
        const auto ageUs = static_cast<double>(query.now - view.reportAt);
        const auto kept = std::exp2(-std::max(ageUs, 0.0) / SLOWDOWN_HALF_LIFE_US);
        const auto stated = static_cast<double>(view.report->slowdownPercent) / USUAL_PERCENT;
        const auto slowdown = 1.0 + (stated - 1.0) * kept;
        return std::clamp(relativePace, MIN_RELATIVE_PACE, MAX_RELATIVE_PACE) * slowdown;
    }
    /// Time that the generation would take there, apart from reading its own prompt if engines do
    /// not state how slow they are, and that it would add to the generations that run there.
    static auto addedUs(const placement_query &query, const server_view &view,
                        double typicalUsPerToken, random_source &random) -> double
    {
        const auto output = static_cast<double>(query.outputTokens);
        const auto running = static_cast<double>(occupancy(view));
        const auto usPerToken = usPerTokenOf(query, view).value_or(typicalUsPerToken);
        const auto ownUs = output * usPerToken;
        const auto promptFactor = promptTimeFactor(query, view, usPerToken / typicalUsPerToken);
        const auto othersUs
            = running
              * (static_cast<double>(query.promptTokens) * US_PER_PROMPT_TOKEN * promptFactor
                 + output * US_PER_TOKEN_AND_RUN);
        const auto targetUs
            = std::max(static_cast<double>(query.latencyTargetUs), double{US_PER_MS});
        // An engine that states its slowness is chosen for reading the prompt too.
        const auto ownPromptTokens
            = statesSlowness(view) ? static_cast<double>(query.promptTokens) : 0.0;
        const auto waitUs = query.moving
                                ? 0.0
                                : (promptsAhead(view) * TYPICAL_PROMPT_TOKENS + ownPromptTokens)
                                      * WAIT_US_PER_PROMPT_TOKEN * promptFactor
                                      * (1.0 + URGENT_TARGET_US / targetUs);
        const auto memoryShare = static_cast<double>(committedTokens(view))
                                 / static_cast<double>(capacityOf(query, view));
        const auto full = std::max(memoryShare, slotShare(view));
        const auto remoteUs = query.moving ? REMOTE_MOVING_US : REMOTE_US;
        return waitUs + ownUs + othersUs + (ownUs + CROWDING_US) * full * full
               + (view.entry.dataCentre == query.dataCentre ? 0.0 : remoteUs)
               + (view.warmUpUntil > query.now ? WARM_UP_US : 0.0)
               + drawn(query.moving ? JITTER_MOVING_US : JITTER_US, random);
    }
};

} // namespace marjoram
