#pragma once

#include "limits/lengthestimator.h"

#include <array>
#include <cstdint>

namespace marjoram {

/// Decode steps ahead for which KV cache use is forecast.
inline constexpr std::array<std::uint32_t, 8> FORECAST_HORIZONS{0, 16, 32, 64, 96, 144, 216, 324};

/// KV cache use that one generation is expected to have at each horizon, in tokens.
struct kv_demand
{
    std::array<float, FORECAST_HORIZONS.size()> mean{};
    std::array<float, FORECAST_HORIZONS.size()> variance{};
};

/// Expected demand of a generation that has `heldTokens` tokens in the KV cache, `produced` of them
/// output, and whose output is limited to `maxTokens`. Thread safe.
auto expectedDemand(const survival_curve &curve, std::uint32_t heldTokens, std::uint32_t produced,
                    std::uint32_t maxTokens) -> kv_demand;

/// Forecast of the KV cache use of all admitted generations: the sum of their demands.
/// Not thread safe: belongs to one duty.
class kv_forecast
{
public:
    auto add(const kv_demand &demand) -> void;
    auto remove(const kv_demand &demand) -> void;
    /// Peak over all horizons if `extra` is added, `deviations` standard deviations above the mean.
    /// In tokens.
    auto peakWith(const kv_demand &extra, double deviations) const -> double;

private:
    std::array<double, FORECAST_HORIZONS.size()> m_mean{};
    std::array<double, FORECAST_HORIZONS.size()> m_variance{};
};

} // namespace marjoram
