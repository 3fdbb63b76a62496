#pragma once

#include "framework/global/clock.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace marjoram {

/// Largest value observed lately. A value is forgotten between one and two periods after it was
/// observed. Not thread safe.
class recent_maximum
{
public:
    /// Precondition: periodUs > 0.
    explicit recent_maximum(std::int64_t periodUs)
        : m_periodUs(periodUs)
    { }

    /// Precondition: `now` never decreases.
    auto observe(std::int64_t value, time_us now) -> void
    {
        forget(now);
        m_current = std::max(m_current.value_or(value), value);
    }
    /// Nothing if no value was observed lately. Precondition: `now` never decreases.
    auto value(time_us now) -> std::optional<std::int64_t>
    {
        forget(now);
        return m_current && m_previous ? std::max(m_current, m_previous)
                                       : (m_current ? m_current : m_previous);
    }

private:
    auto forget(time_us now) -> void
    {
        const auto passed = (now - m_periodStart) / m_periodUs;
        if (passed <= 0) {
            return;
        }
        m_previous = passed == 1 ? m_current : std::nullopt;
        m_current.reset();
        m_periodStart = m_periodStart + passed * m_periodUs;
    }

    std::int64_t m_periodUs;
    time_us m_periodStart;
    std::optional<std::int64_t> m_current;
    std::optional<std::int64_t> m_previous;
};

} // namespace marjoram
