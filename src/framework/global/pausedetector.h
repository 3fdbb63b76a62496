#pragma once

#include "framework/global/clock.h"

#include <algorithm>
#include <mutex>
#include <optional>

namespace marjoram {

/// Knows since when the process may have been paused: stopped, or on a suspended machine. A signal
/// that was sent in a pause is handled after it, but its sender's time runs from the sending.
/// Thread safe.
class pause_detector
{
public:
    /// Notes that the process runs. Call it from work that happens at least every second.
    auto noteActive(time_us now) -> void
    {
        const std::scoped_lock lock(m_mutex);
        if (m_lastActive && now - *m_lastActive >= MIN_PAUSE_US) {
            const auto joined = m_pause && *m_lastActive - m_pause->end <= HANDLING_US;
            m_pause = pause{.start = joined ? m_pause->start : *m_lastActive, .end = now};
        }
        m_lastActive = std::max(m_lastActive.value_or(now), now);
    }
    /// Earliest time at which a signal that is handled at `now` can have been sent; `now` before
    /// the first noteActive().
    auto earliestSignalTime(time_us now) const -> time_us
    {
        const std::scoped_lock lock(m_mutex);
        const auto lastActive = std::min(m_lastActive.value_or(now), now);
        // After a pause other threads may run before the one that handles the signal.
        return m_pause && lastActive - m_pause->end <= HANDLING_US ? m_pause->start : lastActive;
    }

private:
    /// Longer than the gaps between the calls of a process that runs.
    static constexpr std::int64_t MIN_PAUSE_US = 1'250 * US_PER_MS;
    /// Longest time from the end of a pause until a pending signal is handled.
    static constexpr std::int64_t HANDLING_US = 250 * US_PER_MS;

    struct pause
    {
        time_us start;
        time_us end;
    };

    mutable std::mutex m_mutex;
    std::optional<time_us> m_lastActive;
    /// The latest pause; pauses with little time between them count as one.
    std::optional<pause> m_pause;
};

} // namespace marjoram
