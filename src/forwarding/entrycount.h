#pragma once

#include "framework/global/clock.h"

#include <algorithm>
#include <cstdint>

namespace marjoram {

/// Estimates how many entries are running from the subscriber counts in server reports. Uses the
/// largest recent count, since a reporter behind a network partition sees only some entries. Not
/// thread safe.
class entry_count
{
public:
    explicit entry_count(std::uint32_t initial)
        : m_count(std::max<std::uint32_t>(1, initial))
    { }
    auto onReport(std::uint32_t listeners, time_us now) -> void
    {
        if (listeners == 0) {
            return;
        }
        const auto first = !m_reported;
        m_reported = true;
        if (first || listeners >= m_count || now - m_at > RETENTION_US) {
            m_count = listeners;
            m_at = now;
        }
    }
    auto count() const -> std::uint32_t { return m_count; }

private:
    /// Matches the window over which retries are counted.
    static constexpr std::int64_t RETENTION_US = 10 * US_PER_SECOND;

    std::uint32_t m_count;
    bool m_reported = false;
    time_us m_at;
};

} // namespace marjoram
