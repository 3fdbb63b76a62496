#pragma once

#include <cstdint>

namespace marjoram {

/// Learns how long a decode step takes as a function of the sequences in the batch.
/// Not thread safe: belongs to one duty.
class step_model
{
public:
    /// Takes one observation; nonsense (zero, negative, more than a minute) is ignored.
    auto observe(std::uint32_t running, std::int64_t stepUs) -> void;
    /// Expected duration of a step with so many sequences, in microseconds.
    auto stepUs(std::uint32_t running) const -> double;
    /// Most sequences whose step stays within `limitUs`; at least 1.
    auto maxRunning(std::int64_t limitUs) const -> std::uint32_t;

private:
    // Exponentially weighted least squares of duration on batch size.
    double m_weight = 0.0;
    double m_sumX = 0.0;
    double m_sumY = 0.0;
    double m_sumXX = 0.0;
    double m_sumXY = 0.0;
};

} // namespace marjoram
