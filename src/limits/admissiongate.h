#pragma once

#include "limits/kvforecast.h"
#include "limits/stepmodel.h"
#include "limits/waitingqueue.h"

#include <cmath>
#include <cstdint>
#include <unordered_map>

namespace marjoram {

/// Limits for admitting generations to one engine.
struct admission_options
{
    /// Longest decode step that admission may cause.
    std::int64_t stepLimitUs = 60'000;
    /// KV cache capacity assumed until the engine reports its own.
    std::uint64_t assumedCapacityTokens = 16'384;
    /// Safety margin above the mean forecast, in standard deviations: normal value and upper limit.
    double baseDeviations = 0.5;
    double maxDeviations = 3.0;
    /// The margin grows with each preemption caused by a full KV cache and shrinks over time.
    double deviationsPerPreemption = 0.25;
    double deviationsDecayPerSecond = 0.05;
    /// Share of the KV cache and of the batch that standard work may not use.
    double urgentReserve = 0.06;
    /// Batch limit of fixed_batch_admission.
    std::uint32_t fixedBatchLimit = 32;
};

/// KV cache use of one generation and what its length is predicted from.
struct generation_footprint
{
    length_keys lengthKeys;
    std::uint32_t promptTokens = 0;
    std::uint32_t produced = 0;
    std::uint32_t maxTokens = 0;
};

/// State of one engine on which an admission decision is based.
struct engine_view
{
    std::uint64_t capacityTokens = 0;
    std::uint64_t heldTokens = 0;
    std::uint32_t running = 0;
    std::uint32_t maxRunning = 0;
    double deviations = 0.0;
    /// Lets standard work use the urgent reserve.
    bool mayUseReserve = false;
};

/// Decides whether one more generation may run on an engine.
template <typename P>
concept admission_policy = requires(const admission_options &options, const engine_view &view,
                                    const kv_forecast &forecast, const kv_demand &demand, rank r)
{
    {
        P::admits(options, view, forecast, demand, r)
        } -> std::same_as<bool>;
    {
        P::PREEMPTS
        } -> std::convertible_to<bool>;
};

/// Admits a generation if the forecast peak of KV cache use and the predicted decode step time stay
/// within their limits.
struct forecast_admission
{
    template <typename Item>
    using queue = fair_queue<Item>;
    static constexpr bool PREEMPTS = true;

    static auto admits(const admission_options &options, const engine_view &view,
                       const kv_forecast &forecast, const kv_demand &demand, rank r) -> bool
    {
        if (view.running == 0) {
            return true;
        }
        // The reserve is for urgent work yet to arrive. Standard work that is owed service may use
        // it.
        const auto usableFraction
            = r == rank::urgent || view.mayUseReserve ? 1.0 : 1.0 - options.urgentReserve;
        if (view.running + 1 > std::max(1.0, view.maxRunning * usableFraction)) {
            return false;
        }
        const auto peak = forecast.peakWith(demand, view.deviations);
        return peak <= static_cast<double>(view.capacityTokens) * usableFraction;
    }
};

/// Baseline: admits whatever fits now, in order of arrival. The engine preempts when its KV cache
/// is full.
struct greedy_admission
{
    template <typename Item>
    using queue = fifo_queue<Item>;
    static constexpr bool PREEMPTS = false;

    static auto admits(const admission_options &, const engine_view &view, const kv_forecast &,
                       const kv_demand &demand, rank) -> bool
    {
        return static_cast<double>(view.heldTokens) + demand.mean[0]
               <= static_cast<double>(view.capacityTokens);
    }
};

/// Baseline: runs a fixed number of generations, in order of arrival.
struct fixed_batch_admission
{
    template <typename Item>
    using queue = fifo_queue<Item>;
    static constexpr bool PREEMPTS = false;

    static auto admits(const admission_options &options, const engine_view &view,
                       const kv_forecast &, const kv_demand &, rank) -> bool
    {
        return view.running < options.fixedBatchLimit;
    }
};

/// Tracks the KV cache use of the generations admitted to one engine, and forecasts their demand.
/// Not thread safe: belongs to one duty.
template <admission_policy Policy>
class admission_gate
{
public:
    explicit admission_gate(admission_options options)
        : m_options(options)
        , m_capacityTokens(options.assumedCapacityTokens)
    { }

    auto admits(const generation_footprint &footprint, rank r, bool mayUseReserve = false) -> bool
    {
        auto current = view();
        current.mayUseReserve = mayUseReserve;
        return Policy::admits(m_options, current, m_forecast, demandFor(footprint), r);
    }
    /// Reserves capacity for a generation. Precondition: `key` has no reservation.
    auto reserve(std::uint64_t key, const generation_footprint &footprint) -> void
    {
        const reservation added{.footprint = footprint, .demand = demandFor(footprint)};
        m_forecast.add(added.demand);
        m_heldTokens += tokensHeld(footprint);
        m_reservations.emplace(key, added);
    }
    /// Updates the number of tokens that a generation has produced so far.
    auto updateProduced(std::uint64_t key, std::uint32_t produced) -> void
    {
        const auto found = m_reservations.find(key);
        if (found == m_reservations.end() || produced <= found->second.footprint.produced) {
            return;
        }
        auto &current = found->second;
        m_heldTokens += produced - current.footprint.produced;
        m_estimator.recordGrowth(current.footprint.lengthKeys, current.footprint.produced,
                                 produced);
        current.footprint.produced = produced;
        if (produced - current.producedAtForecast >= TOKENS_PER_REFORECAST) {
            m_forecast.remove(current.demand);
            current.demand = demandFor(current.footprint);
            current.producedAtForecast = produced;
            m_forecast.add(current.demand);
        }
    }
    /// Releases a reservation. If the generation has `completed`, its length is added to the
    /// statistics.
    auto release(std::uint64_t key, bool completed) -> void
    {
        const auto found = m_reservations.find(key);
        if (found == m_reservations.end()) {
            return;
        }
        const auto &current = found->second;
        if (completed) {
            m_estimator.recordEnd(current.footprint.lengthKeys, current.footprint.produced);
        }
        m_forecast.remove(current.demand);
        m_heldTokens -= tokensHeld(current.footprint);
        m_reservations.erase(found);
        if (m_reservations.empty()) {
            m_forecast = {};
        }
    }
    /// Takes values that the engine has reported. Implausible ones are ignored.
    auto observe(std::uint64_t capacityTokens, std::uint32_t running, std::int64_t stepUs) -> void
    {
        if (capacityTokens >= MIN_CAPACITY_TOKENS && capacityTokens <= MAX_CAPACITY_TOKENS) {
            m_capacityTokens = capacityTokens;
        }
        m_steps.observe(running, stepUs);
    }
    /// Raises the safety margin after a generation was preempted because the KV cache was full.
    auto recordPreemption() -> void
    {
        const auto maxExtra = m_options.maxDeviations - m_options.baseDeviations;
        m_extraDeviations
            = std::min(maxExtra, m_extraDeviations + m_options.deviationsPerPreemption);
    }
    /// Lowers the safety margin according to the time that has passed.
    auto recordElapsed(std::int64_t us) -> void
    {
        const auto decay = m_options.deviationsDecayPerSecond * static_cast<double>(us)
                           / static_cast<double>(US_PER_SECOND);
        m_extraDeviations = std::max(0.0, m_extraDeviations - decay);
    }
    /// Median number of tokens that a generation has yet to produce.
    auto expectedRemainingTokens(const generation_footprint &footprint) -> double
    {
        constexpr double MEDIAN = 0.5;
        const auto remaining
            = footprint.maxTokens - std::min(footprint.maxTokens, footprint.produced);
        const auto &curve = m_estimator.curve(footprint.lengthKeys);
        return std::min<double>(remaining, curve.remainingQuantile(footprint.produced, MEDIAN));
    }
    /// Whether the KV cache is so full that a generation has to be preempted.
    auto exceedsMemory() const -> bool
    {
        return static_cast<double>(m_heldTokens)
               > static_cast<double>(m_capacityTokens) * MAX_UTILIZATION;
    }
    auto view() const -> engine_view
    {
        return {.capacityTokens = m_capacityTokens,
                .heldTokens = m_heldTokens,
                .running = static_cast<std::uint32_t>(m_reservations.size()),
                .maxRunning = m_steps.maxRunning(m_options.stepLimitUs),
                .deviations = m_options.baseDeviations + m_extraDeviations};
    }
    auto stepUs() const -> double
    {
        return m_steps.stepUs(static_cast<std::uint32_t>(m_reservations.size()));
    }

private:
    static constexpr std::uint32_t TOKENS_PER_REFORECAST = 16;
    static constexpr std::uint64_t MIN_CAPACITY_TOKENS = 64;
    static constexpr std::uint64_t MAX_CAPACITY_TOKENS = 1ULL << 40;
    /// Above this the engine itself would start to preempt.
    static constexpr double MAX_UTILIZATION = 0.985;

    struct reservation
    {
        generation_footprint footprint;
        kv_demand demand;
        std::uint32_t producedAtForecast = 0;
    };

    static auto tokensHeld(const generation_footprint &footprint) -> std::uint64_t
    {
        return std::uint64_t{footprint.promptTokens} + footprint.produced;
    }
    auto demandFor(const generation_footprint &footprint) -> kv_demand
    {
        return expectedDemand(m_estimator.curve(footprint.lengthKeys),
                              footprint.promptTokens + footprint.produced, footprint.produced,
                              footprint.maxTokens);
    }

    admission_options m_options;
    std::uint64_t m_capacityTokens;
    std::uint64_t m_heldTokens = 0;
    length_estimator m_estimator;
    step_model m_steps;
    double m_extraDeviations = 0.0;
    kv_forecast m_forecast;
    std::unordered_map<std::uint64_t, reservation> m_reservations;
};

} // namespace marjoram
