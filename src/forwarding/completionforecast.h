#pragma once

#include "forwarding/requeststate.h"
#include "limits/recentmaximum.h"

#include <map>
#include <string>

namespace marjoram {

/// Options of a completion_forecast.
struct completion_forecast_options
{
    /// Tokens or time after its first event from which a generation shows the pace of its pool; a
    /// pause weighs too much before.
    std::uint64_t minPaceTokens = 128;
    std::int64_t minPaceUs = 1 * US_PER_SECOND;
    /// Answers from which the slowest one is relied on.
    std::uint64_t minRequests = 8;
    /// What was seen is forgotten between one and two periods later.
    std::int64_t periodUs = 10 * US_PER_SECOND;
};

/// Predicts how long requests take, from the slowest ones that this entry has seen of the pool
/// lately. That is no bound: a later one may be slower. Not thread safe.
class completion_forecast
{
public:
    explicit completion_forecast(completion_forecast_options options)
        : m_options(options)
    { }

    /// Forgets pools that are not in the table.
    auto onRouteTable(const route_table &table) -> void
    {
        std::erase_if(m_pools,
                      [&](const auto &named) { return table.findPool(named.first) == nullptr; });
    }
    /// Takes the time from the arrival of a request to its answer, its first event, or its end
    /// without either. Precondition: the request has a pool.
    auto onAnswer(const request_state &request, time_us now) -> void
    {
        seenOf(*request.pool).answerUs.observe(now - request.openedAt, now);
    }
    /// Takes the progress of a stream that has got more events. Precondition: the request has a
    /// pool.
    auto onEvents(request_state &request, time_us now) -> void
    {
        const auto tokens
            = (request.lastEvent - request.firstBatchEvent) * request.tokensPerEvent();
        const auto us = now - (request.openedAt + request.firstEventUs);
        if (tokens == 0 || (tokens < m_options.minPaceTokens && us < m_options.minPaceUs)) {
            return;
        }
        auto &pace = seenOf(*request.pool).usPerToken;
        const auto usPerToken = us / static_cast<std::int64_t>(tokens);
        if (std::exchange(request.paceSeen, true)) {
            pace.raise(usPerToken, now);
        } else {
            pace.observe(usPerToken, now);
        }
    }
    /// Time per output token of the slowest generation that was seen of the pool lately; 0 if there
    /// was none. Precondition: the request has a pool.
    auto slowestUsPerToken(const request_state &request, time_us now) -> std::int64_t
    {
        return seenOf(*request.pool).usPerToken.value(now);
    }
    /// Returns when a plain request, if it is sent now, is answered like the slowest ones or times
    /// out.
    auto expectedAnswerAt(const request_state &request, time_us now) -> time_us
    {
        if (!request.pool) {
            return request.deadline;
        }
        auto &seen = seenOf(*request.pool).answerUs;
        const auto slowest = seen.value(now);
        const auto us = seen.count(now) < m_options.minRequests
                            ? std::max(toUs(request.route->latencyTargetMs), slowest)
                            : slowest;
        return std::min(request.deadline, now + us);
    }

private:
    struct pool_observations
    {
        recent_maximum answerUs;
        recent_maximum usPerToken;
    };
    auto seenOf(const pool_entry &pool) -> pool_observations &
    {
        const recent_maximum none(m_options.periodUs);
        return m_pools.try_emplace(pool.name, pool_observations{none, none}).first->second;
    }

    completion_forecast_options m_options;
    std::map<std::string, pool_observations> m_pools;
};

} // namespace marjoram
