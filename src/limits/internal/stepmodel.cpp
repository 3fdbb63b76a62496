#include "limits/stepmodel.h"

#include <algorithm>

namespace marjoram {

namespace {

constexpr double DECAY_PER_OBSERVATION = 0.98;
constexpr std::int64_t MAX_STEP_US = 60'000'000;
constexpr double PRIOR_BASE_US = 12'000.0;
constexpr double PRIOR_PER_SEQUENCE_US = 300.0;
/// Weight of the prior slope, which dominates until batch sizes have varied.
constexpr double PRIOR_SPREAD = 50.0;
constexpr double MIN_SLOPE_US = 1.0;
constexpr double MAX_SEQUENCES = 100'000.0;

} // namespace

auto step_model::observe(std::uint32_t running, std::int64_t stepUs) -> void
{
    if (stepUs <= 0 || stepUs > MAX_STEP_US || running == 0) {
        return;
    }
    const auto x = static_cast<double>(running);
    const auto y = static_cast<double>(stepUs);
    m_weight = m_weight * DECAY_PER_OBSERVATION + 1.0;
    m_sumX = m_sumX * DECAY_PER_OBSERVATION + x;
    m_sumY = m_sumY * DECAY_PER_OBSERVATION + y;
    m_sumXX = m_sumXX * DECAY_PER_OBSERVATION + x * x;
    m_sumXY = m_sumXY * DECAY_PER_OBSERVATION + x * y;
}

auto step_model::stepUs(std::uint32_t running) const -> double
{
    if (m_weight == 0.0) {
        return PRIOR_BASE_US + PRIOR_PER_SEQUENCE_US * running;
    }
    const auto meanX = m_sumX / m_weight;
    const auto meanY = m_sumY / m_weight;
    const auto varianceX = m_sumXX - m_sumX * meanX;
    const auto covarianceXY = m_sumXY - m_sumX * meanY;
    const auto slope
        = (covarianceXY + PRIOR_SPREAD * PRIOR_PER_SEQUENCE_US) / (varianceX + PRIOR_SPREAD);
    return std::max(1.0, meanY + std::max(MIN_SLOPE_US, slope) * (running - meanX));
}

auto step_model::maxRunning(std::int64_t limitUs) const -> std::uint32_t
{
    const auto base = stepUs(0);
    const auto slope = std::max(MIN_SLOPE_US, stepUs(1) - base);
    const auto sequences = (static_cast<double>(limitUs) - base) / slope;
    return static_cast<std::uint32_t>(std::clamp(sequences, 1.0, MAX_SEQUENCES));
}

} // namespace marjoram
