#pragma once

#include <cstdint>

namespace marjoram {

/// Predicts the duration of a decode step from the number of sequences in the batch.
/// Not thread safe: belongs to one duty.
class step_model
{
public:
    /// Adds a measurement. Implausible ones (zero, negative, more than a minute) are ignored.
    auto observe(std::uint32_t running, std::int64_t stepUs) -> void;
    /// Predicted duration of a step with `running` sequences, in microseconds.
    auto stepUs(std::uint32_t running) const -> double;
    /// Largest number of sequences whose step takes at most `limitUs`; at least 1.
    auto maxRunning(std::int64_t limitUs) const -> std::uint32_t;

private:
    // Sums for an exponentially weighted linear regression of step duration on batch size.
    double m_weight = 0.0;
    double m_sumX = 0.0;
    double m_sumY = 0.0;
    double m_sumXX = 0.0;
    double m_sumXY = 0.0;
};

} // namespace marjoram
