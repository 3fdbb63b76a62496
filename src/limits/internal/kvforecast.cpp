#include "limits/kvforecast.h"

#include <algorithm>
#include <cmath>

namespace marjoram {

auto expectedDemand(const survival_curve &curve, std::uint32_t heldTokens, std::uint32_t produced,
                    std::uint32_t maxTokens) -> kv_demand
{
    kv_demand out;
    const auto remaining = maxTokens > produced ? maxTokens - produced : 0;
    for (std::size_t i = 0; i < FORECAST_HORIZONS.size(); ++i) {
        const auto ahead = FORECAST_HORIZONS[i];
        if (ahead > remaining) {
            break;
        }
        const auto survival = curve.survivalProbability(produced, ahead);
        const auto size = static_cast<double>(heldTokens) + ahead;
        out.mean[i] = static_cast<float>(survival * size);
        out.variance[i] = static_cast<float>(survival * (1.0 - survival) * size * size);
    }
    return out;
}

auto kv_forecast::add(const kv_demand &demand) -> void
{
    for (std::size_t i = 0; i < m_mean.size(); ++i) {
        m_mean[i] += demand.mean[i];
        m_variance[i] += demand.variance[i];
    }
}

auto kv_forecast::remove(const kv_demand &demand) -> void
{
    for (std::size_t i = 0; i < m_mean.size(); ++i) {
        m_mean[i] -= demand.mean[i];
        m_variance[i] = std::max(0.0, m_variance[i] - demand.variance[i]);
    }
}

auto kv_forecast::peakWith(const kv_demand &extra, double deviations) const -> double
{
    double peak = 0.0;
    for (std::size_t i = 0; i < m_mean.size(); ++i) {
        const auto spread = std::sqrt(m_variance[i] + extra.variance[i]);
        peak = std::max(peak, m_mean[i] + extra.mean[i] + deviations * spread);
    }
    return peak;
}

} // namespace marjoram
