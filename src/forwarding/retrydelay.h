#pragma once

#include "forwarding/forwardingoptions.h"
#include "forwarding/poolbacklog.h"
#include "forwarding/requeststate.h"
#include "framework/global/identifiers.h"

namespace marjoram {

/// Chooses when refused callers may come back. Delays are random, so that callers that were refused
/// together do not return together. Not thread safe: belongs to one duty.
class retry_delay
{
public:
    /// Precondition: `options` outlives the object.
    retry_delay(const forwarding_options &options, std::uint64_t seed)
        : m_options(options)
        , m_random(seed)
    { }

    /// For a caller whose route is not known.
    auto drawMs() -> std::int64_t
    {
        return drawMs(m_options.minRetryAfterMs, m_options.maxRetryAfterMs);
    }
    /// A caller that may wait longer returns later.
    auto drawMs(const route_entry &route) -> std::int64_t
    {
        const auto targetMs = static_cast<double>(std::min(route.latencyTargetMs, route.timeoutMs));
        const auto shareOf
            = [targetMs](double share) { return static_cast<std::int64_t>(share * targetMs); };
        return drawMs(std::max(m_options.minRetryAfterMs, shareOf(m_options.minRetryShare)),
                      std::max(m_options.maxRetryAfterMs, shareOf(m_options.maxRetryShare)));
    }
    /// For a caller whose request found no room in its pool: returns when the backlog is expected
    /// to be worked off, the earlier the more urgent the request is, and within a share of the time
    /// that the caller has left. Those that return together are no more than the pool can serve.
    /// Precondition: the request has a pool.
    auto drawMs(const request_state &request, pool_backlog &backlog, time_us now) -> std::int64_t
    {
        const auto leftUs = static_cast<double>(std::max<std::int64_t>(0, request.deadline - now));
        const auto maxMs
            = static_cast<std::int64_t>(leftUs * m_options.waiting.maxRetryShareOfTimeLeft)
              / US_PER_MS;
        const auto smallestUs = backlog.smallestWaitUs(request.pool->name, now);
        const auto meanUs = backlog.meanWaitUs(request.pool->name, now);
        if (!smallestUs || !meanUs) {
            return std::min(maxMs, drawMs(*request.route));
        }
        const auto urgencyShare = 1.0 - 1.0 / (2.0 + request.urgency);
        const auto waitUs = static_cast<double>(*smallestUs)
                            + urgencyShare * static_cast<double>(*meanUs - *smallestUs);
        const auto earliest
            = now
              + std::max(static_cast<std::int64_t>(waitUs), m_options.minRetryAfterMs * US_PER_MS);
        const auto at
            = backlog.reserveReturn(request.pool->name, earliest, now + maxMs * US_PER_MS, now);
        // Beyond the bound all would return at it together.
        return at ? (*at - now) / US_PER_MS : drawMs(maxMs / 2, maxMs);
    }
    /// For a caller that is refused because the process stops. Other entries can serve it, but some
    /// of them may be stopping too and are back soon: as much later as its latency target allows.
    auto drawStoppingMs(const route_entry &route) -> std::int64_t
    {
        const auto maxMs = static_cast<std::int64_t>(m_options.stoppingRetryShare
                                                     * static_cast<double>(route.latencyTargetMs));
        return drawMs(maxMs / 4, maxMs);
    }

private:
    auto drawMs(std::int64_t min, std::int64_t max) -> std::int64_t
    {
        return min + static_cast<std::int64_t>(m_random() % (max - min + 1));
    }

    const forwarding_options &m_options;
    random_source m_random;
};

} // namespace marjoram
