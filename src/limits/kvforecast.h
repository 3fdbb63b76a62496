#pragma once

#include "limits/lengthestimator.h"

#include <array>
#include <cstdint>

namespace marjoram {

/// Steps ahead at which memory is forecast.
inline constexpr std::array<std::uint32_t, 8> FORECAST_HORIZONS{0, 16, 32, 64, 96, 144, 216, 324};

/// What one generation is expected to hold at each horizon, in tokens.
struct kv_demand
{
    std::array<float, FORECAST_HORIZONS.size()> mean{};
    std::array<float, FORECAST_HORIZONS.size()> variance{};
};

/// Demand of a generation that holds `held` tokens, `produced` of them output, and can produce
/// at most `maxTokens`. Thread safe.
auto expectedDemand(const survival_curve &curve, std::uint32_t heldTokens, std::uint32_t produced,
                    std::uint32_t maxTokens) -> kv_demand;

/// Memory that the admitted generations will need, as sums over their demands.
/// Not thread safe: belongs to one duty.
class kv_forecast
{
public:
    auto add(const kv_demand &demand) -> void;
    auto remove(const kv_demand &demand) -> void;
    /// Largest forecast need over the horizons with one more demand, `deviations` standard
    /// deviations above the mean, in tokens.
    auto peakWith(const kv_demand &extra, double deviations) const -> double;

private:
    std::array<double, FORECAST_HORIZONS.size()> m_mean{};
    std::array<double, FORECAST_HORIZONS.size()> m_variance{};
};

} // namespace marjoram
