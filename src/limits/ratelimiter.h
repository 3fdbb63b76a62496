#pragma once

#include "framework/global/clock.h"

#include <algorithm>

namespace marjoram {

/// Options of rate_limiter.
struct rate_limiter_options
{
    /// Requests that may be sent at once after a pause.
    double burst = 1.0;
    /// Requests by which an urgent sender may exceed the limit; they delay the next ones.
    double maxDebt = 0.0;
};

/// Token bucket that is filled at a rate per second. Not thread safe: belongs to one duty.
class rate_limiter
{
public:
    explicit rate_limiter(rate_limiter_options options)
        : m_options(options)
    { }
    /// Changes the rate. Precondition: perSecond > 0.
    auto setRate(double perSecond, time_us now) -> void
    {
        refill(now);
        m_perSecond = perSecond;
    }
    /// Starts again with the given number of requests available. Precondition: perSecond > 0.
    auto restart(double perSecond, double available, time_us now) -> void
    {
        m_perSecond = perSecond;
        m_available = available;
        m_at = now;
    }
    /// Takes one request; false if the limit is reached. An urgent one may exceed it.
    auto tryAcquire(time_us now, bool urgent = false) -> bool
    {
        refill(now);
        if (m_available < (urgent ? 1.0 - m_options.maxDebt : 1.0)) {
            return false;
        }
        m_available -= 1.0;
        return true;
    }
    /// Counts a request that has been sent in any case.
    auto record(time_us now) -> void
    {
        refill(now);
        m_available -= 1.0;
    }
    /// Returns when the next request is available. Precondition: the rate has been set.
    auto nextAt(time_us now) -> time_us
    {
        refill(now);
        const auto missing = std::max(0.0, 1.0 - m_available);
        return now + static_cast<std::int64_t>(missing / m_perSecond * US_PER_SECOND);
    }

private:
    auto refill(time_us now) -> void
    {
        const auto seconds = static_cast<double>(now - m_at) / US_PER_SECOND;
        m_available = std::min(m_options.burst, m_available + seconds * m_perSecond);
        m_at = now;
    }

    rate_limiter_options m_options;
    double m_perSecond = 0.0;
    double m_available = 0.0;
    time_us m_at;
};

} // namespace marjoram
