#pragma once

#include "forwarding/forwardingoptions.h"
#include "forwarding/placement.h"
#include "locality/spillover.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marjoram {

/// A data centre has begun or ended to send requests of a pool away, and the figures that decided
/// it.
struct spillover_change
{
    std::string pool;
    bool spilling = false;
    spill_reason reason = spill_reason::slower_here;
    double useHere = 0.0;
    std::vector<spill_target> targets;
};

/// Applies spillover decisions to placement: first choices, retries and moves, of generations and
/// plain requests. One decision for each pool. Not thread safe: belongs to one duty.
template <placement_policy Placement, clock_source Clock,
          spillover_decision Decision = spillover<Clock>>
class pool_locality
{
public:
    /// Precondition: `options` outlives the object.
    pool_locality(const forwarding_options &options, Clock clock)
        : m_options(options)
        , m_clock(clock)
    { }

    /// Chooses a server for the request, or null if none has room. `query.dataCentre` is that of
    /// this entry, or of the server that a run is moved from. Precondition: query.pool is set.
    auto choose(placement_query query, const std::vector<const server_view *> &candidates,
                random_source &random) -> const server_view *
    {
        auto &pool = poolOf(query);
        refresh(pool, query, candidates);
        const auto here = subset(candidates, [&](const server_view &view) {
            return view.entry.dataCentre == query.dataCentre;
        });
        if (!query.moving && query.failedDataCentres) {
            auto open = admitted(pool, query, candidates, random);
            open.insert(open.end(), here.begin(), here.end());
            return Placement::choose(query, open, random);
        }
        if (!query.moving) {
            if (const auto *view = chooseByShare(pool, query, candidates, random)) {
                return view;
            }
        }
        const auto *near = Placement::choose(query, here, random);
        if (near && !isFull(query, *near)) {
            return near;
        }
        const auto *remote
            = Placement::choose(query, admitted(pool, query, candidates, random), random);
        return remote ? remote : near;
    }
    /// Counts a request that is sent to another data centre. Returns why it goes there.
    auto onSent(const pool_entry &pool, const server_view &view, std::uint64_t tokens)
        -> std::optional<spill_reason>
    {
        const auto found = m_pools.find(pool.name);
        if (found == m_pools.end() || view.entry.dataCentre == m_options.dataCentre) {
            return std::nullopt;
        }
        auto &decision = found->second.decision;
        decision.onSent(view.entry.dataCentre, pool.engine ? static_cast<double>(tokens) : 1.0);
        return decision.reason();
    }
    /// Takes the size of a complete response.
    auto onResponse(const pool_entry &pool, std::uint64_t bytes) -> void
    {
        constexpr double LATEST_WEIGHT = 0.05;
        const auto found = m_pools.find(pool.name);
        if (found != m_pools.end()) {
            auto &mean = found->second.bytesPerResponse;
            mean += (static_cast<double>(bytes) - mean) * LATEST_WEIGHT;
        }
    }
    /// Returns the latest change once.
    auto takeChange() -> std::optional<spillover_change>
    {
        return std::exchange(m_change, std::nullopt);
    }

private:
    /// Output of a generation while none has been placed.
    static constexpr double DEFAULT_OUTPUT_TOKENS = 300.0;

    struct pool_state
    {
        Decision decision;
        double outputTokens = DEFAULT_OUTPUT_TOKENS;
        double bytesPerResponse = 0.0;
    };

    static auto isEngine(const placement_query &query) -> bool
    {
        return query.pool->engine.has_value();
    }
    static auto subset(const std::vector<const server_view *> &from, auto &&predicate)
        -> std::vector<const server_view *>
    {
        std::vector<const server_view *> out;
        std::copy_if(from.begin(), from.end(), std::back_inserter(out),
                     [&](const server_view *view) { return predicate(*view); });
        return out;
    }
    auto poolOf(const placement_query &query) -> pool_state &
    {
        const auto &options
            = isEngine(query) ? m_options.locality.generations : m_options.locality.plain;
        return m_pools.try_emplace(query.pool->name, pool_state{Decision(options, m_clock)})
            .first->second;
    }
    /// A plain server accepts requests beyond its slots, which then wait there.
    static auto isFull(const placement_query &query, const server_view &view) -> bool
    {
        return !isEngine(query) && !query.moving && slotShare(view) >= 1.0;
    }
    static auto unitsOf(const placement_query &query) -> double
    {
        return isEngine(query)
                   ? static_cast<double>(std::max<std::uint64_t>(1, query.expectedTokens))
                   : 1.0;
    }
    auto chooseByShare(pool_state &pool, const placement_query &query,
                       const std::vector<const server_view *> &candidates, random_source &random)
        -> const server_view *
    {
        const auto *target = pool.decision.drawTarget(random);
        if (!target || !mayGo(pool, query, candidates, target->dataCentre, random)) {
            // Reports tell about engines; the load of plain servers is known from answers alone.
            target = isEngine(query) ? nullptr : dueProbe(pool);
        }
        if (!target) {
            return nullptr;
        }
        const auto there = subset(candidates, [&](const server_view &view) {
            return view.entry.dataCentre == target->dataCentre;
        });
        return Placement::choose(query, there, random);
    }
    static auto dueProbe(const pool_state &pool) -> const spill_target *
    {
        const auto &targets = pool.decision.targets();
        const auto found
            = std::find_if(targets.begin(), targets.end(), [&](const spill_target &target) {
                  return pool.decision.probeDue(target.dataCentre);
              });
        return found == targets.end() ? nullptr : &*found;
    }
    auto mayGo(pool_state &pool, const placement_query &query,
               const std::vector<const server_view *> &candidates, const std::string &to,
               random_source &random) -> bool
    {
        double own = 0.0;
        for (const auto *view : candidates) {
            if (view->entry.dataCentre == to) {
                own += isEngine(query) ? static_cast<double>(view->forecastTokens) : view->inFlight;
            }
        }
        return pool.decision.mayGo(to, unitsOf(query), own, random);
    }
    /// Servers of the other data centres to which the request may go now. A run that is moved may
    /// always return to the data centre of this entry.
    auto admitted(pool_state &pool, const placement_query &query,
                  const std::vector<const server_view *> &candidates, random_source &random)
        -> std::vector<const server_view *>
    {
        std::map<std::string_view, bool> open{{query.dataCentre, false}};
        open.try_emplace(m_options.dataCentre, true);
        return subset(candidates, [&](const server_view &view) {
            const auto found = open.find(view.entry.dataCentre);
            if (found != open.end()) {
                return found->second;
            }
            const auto may = mayGo(pool, query, candidates, view.entry.dataCentre, random);
            return open.emplace(view.entry.dataCentre, may).first->second;
        });
    }

    auto refresh(pool_state &pool, const placement_query &query,
                 const std::vector<const server_view *> &candidates) -> void
    {
        constexpr double LATEST_WEIGHT = 0.05;
        if (isEngine(query) && !query.moving) {
            pool.outputTokens
                += (static_cast<double>(query.outputTokens) - pool.outputTokens) * LATEST_WEIGHT;
        }
        if (!pool.decision.updateDue()) {
            return;
        }
        const auto changed
            = pool.decision.update({.here = m_options.dataCentre,
                                    .loads = loadsOf(pool, query, candidates),
                                    .entries = query.entries,
                                    .latencyTargetUs = static_cast<double>(query.latencyTargetUs),
                                    .bytesPerResponse = pool.bytesPerResponse});
        if (changed) {
            m_change = {.pool = query.pool->name,
                        .spilling = pool.decision.spilling(),
                        .reason = pool.decision.reason(),
                        .useHere = pool.decision.useHere(),
                        .targets = pool.decision.targets()};
        }
    }
    auto loadsOf(const pool_state &pool, const placement_query &query,
                 const std::vector<const server_view *> &candidates) const
        -> std::vector<data_centre_load>
    {
        std::map<std::string_view, data_centre_load> loads;
        std::map<std::string_view, double> paces;
        for (const auto *view : candidates) {
            const auto &name = view->entry.dataCentre;
            auto &load = loads.try_emplace(name, data_centre_load{.name = name}).first->second;
            const auto remote = name != m_options.dataCentre;
            // Cold servers are no targets for others; limited and pausing ones have no room.
            const auto cold = remote && view->warmUpUntil > query.now;
            const auto age = figureAgeUs(query, *view);
            const auto unknown = remote && (!age || *age > maxAgeUs(query));
            if (cold || unknown || view->availableAt(query.now) > query.now) {
                continue;
            }
            ++load.servers;
            load.ageUs = std::max(load.ageUs, remote ? *age : 0);
            addLoad(query, *view, load);
            const auto workUs = workUsOf(pool, query, *view);
            load.workUs += workUs;
            paces[name] += workUs > 0.0 ? 1.0 : 0.0;
        }
        std::vector<data_centre_load> out;
        for (auto &[name, load] : loads) {
            load.workUs /= std::max(1.0, paces[name]);
            out.push_back(std::move(load));
        }
        return out;
    }
    auto maxAgeUs(const placement_query &query) const -> std::int64_t
    {
        return isEngine(query) ? m_options.locality.generations.maxAgeUs
                               : m_options.locality.plain.maxAgeUs;
    }
    static auto figureAgeUs(const placement_query &query, const server_view &view)
        -> std::optional<std::int64_t>
    {
        if (isEngine(query)) {
            return view.report && view.report->answering
                       ? std::optional(std::max<std::int64_t>(0, query.now - view.reportAt))
                       : std::nullopt;
        }
        return view.load ? std::optional(std::max<std::int64_t>(0, query.now - view.loadAt))
                         : std::nullopt;
    }
    static auto addLoad(const placement_query &query, const server_view &view,
                        data_centre_load &load) -> void
    {
        if (!isEngine(query)) {
            const auto slots = static_cast<double>(std::max<std::uint32_t>(1, view.entry.slots));
            load.slots += slots;
            load.capacity += slots;
            load.used += std::min(slots, static_cast<double>(occupancy(view)));
            return;
        }
        const auto reported = view.report ? view.report->capacityTokens : 0;
        const auto capacity = static_cast<double>(
            std::max<std::uint64_t>(1, reported > 0 ? reported : query.pool->engine->memoryTokens));
        const auto share = std::max(static_cast<double>(committedTokens(view)) / capacity,
                                    static_cast<double>(occupancy(view))
                                        / std::max<std::uint32_t>(1, query.pool->engine->slots));
        load.slots += query.pool->engine->slots;
        load.capacity += capacity;
        load.used += capacity * std::min(1.0, share);
    }
    static auto workUsOf(const pool_state &pool, const placement_query &query,
                         const server_view &view) -> double
    {
        if (!isEngine(query)) {
            return view.pace.usualUs
                   * view.pace.slowdown(query.now, query.plain.slowdownHalfLifeUs);
        }
        const auto tokens = std::max<std::uint32_t>(1, query.pool->engine->tokensPerEvent);
        return view.report ? pool.outputTokens * view.report->usPerEvent / tokens : 0.0;
    }

    const forwarding_options &m_options;
    Clock m_clock;
    std::map<std::string, pool_state> m_pools;
    std::optional<spillover_change> m_change;
};

} // namespace marjoram
