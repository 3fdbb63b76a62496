#pragma once

#include "framework/global/clock.h"

#include <deque>

namespace marjoram {

/// Limits on the retries of all processes together within a sliding window.
struct retry_window_options
{
    /// Retries allowed per first attempt in the window.
    double ratio = 0.2;
    std::int64_t windowUs = 10 * US_PER_SECOND;
    /// Retries allowed in addition, divided evenly among the processes.
    double slack = 10.0;
};

/// Retry budget over a sliding window, so that retries cannot amplify an overload.
/// Not thread safe: belongs to one duty.
class retry_window
{
public:
    explicit retry_window(retry_window_options options)
        : m_options(options)
    { }
    auto recordFirstAttempt(time_us now) -> void
    {
        dropExpired(now);
        m_firstAttempts.push_back(now);
    }
    /// Takes one retry; false if this process has used up its part of the budget. Precondition:
    /// processes > 0.
    auto tryAcquire(time_us now, std::uint32_t processes) -> bool
    {
        dropExpired(now);
        const auto allowed = m_options.slack / processes
                             + m_options.ratio * static_cast<double>(m_firstAttempts.size());
        if (static_cast<double>(m_retries.size() + 1) > allowed) {
            return false;
        }
        m_retries.push_back(now);
        return true;
    }

private:
    auto dropExpired(time_us now) -> void
    {
        const auto since = now + -m_options.windowUs;
        dropBefore(m_firstAttempts, since);
        dropBefore(m_retries, since);
    }
    static auto dropBefore(std::deque<time_us> &times, time_us since) -> void
    {
        while (!times.empty() && times.front() < since) {
            times.pop_front();
        }
    }

    retry_window_options m_options;
    std::deque<time_us> m_firstAttempts;
    std::deque<time_us> m_retries;
};

} // namespace marjoram
