#pragma once

#include "framework/global/clock.h"

#include <algorithm>
#include <cstdint>

namespace marjoram {

/// Largest of the positive values observed lately. A value is forgotten between one and two periods
/// after it was observed. Not thread safe.
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
        raise(value, now);
        ++m_current.count;
    }
    /// Replaces the latest value by a larger one, without counting it again. Precondition: `now`
    /// never decreases.
    auto raise(std::int64_t value, time_us now) -> void
    {
        forget(now);
        m_current.largest = std::max(m_current.largest, value);
    }
    /// 0 if no value was observed lately. Precondition: `now` never decreases.
    auto value(time_us now) -> std::int64_t
    {
        forget(now);
        return std::max(m_current.largest, m_previous.largest);
    }
    /// Number of values observed lately. Precondition: `now` never decreases.
    auto count(time_us now) -> std::uint64_t
    {
        forget(now);
        return m_current.count + m_previous.count;
    }

private:
    struct period
    {
        std::int64_t largest = 0;
        std::uint64_t count = 0;
    };

    auto forget(time_us now) -> void
    {
        const auto passed = (now - m_periodStart) / m_periodUs;
        if (passed <= 0) {
            return;
        }
        m_previous = passed == 1 ? m_current : period{};
        m_current = {};
        m_periodStart = m_periodStart + passed * m_periodUs;
    }

    std::int64_t m_periodUs;
    time_us m_periodStart;
    period m_current;
    period m_previous;
};

} // namespace marjoram
