#pragma once

#include "forwarding/waitingoptions.h"
#include "framework/global/clock.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace marjoram {

/// An entry's forecast of the wait for room in each pool, from the expected waits that reporters
/// have named in their replies to it. A figure counts until it is too old. Handles a pool that is
/// full; of one with room it knows nothing, and nothing is needed. Not thread safe: belongs to one
/// duty.
class pool_backlog
{
public:
    explicit pool_backlog(const waiting_options &options)
        : m_maxAgeUs(options.maxForecastAgeUs)
    { }

    /// Takes the expected wait that the reporter of a server has named; negative if unknown.
    auto onExpectedWait(std::string_view pool, const std::string &serverId, std::int64_t waitMs,
                        time_us now) -> void
    {
        auto &servers = stateOf(pool).servers;
        if (waitMs < 0) {
            servers.erase(serverId);
            return;
        }
        servers.insert_or_assign(serverId, named_wait{toUs(std::min(waitMs, MAX_WAIT_MS)), now});
    }
    /// A server has granted a request of this entry, so it had room a moment ago.
    auto onGrant(std::string_view pool, const std::string &serverId, time_us now) -> void
    {
        auto &state = stateOf(pool);
        state.servers.erase(serverId);
        state.grants = grantsAt(state, now) + 1.0;
        state.grantsAt = now;
    }
    /// Expected wait at a server; nullopt if unknown.
    auto waitAtUs(std::string_view pool, const std::string &serverId, time_us now) const
        -> std::optional<std::int64_t>
    {
        const auto *state = find(pool);
        const auto found = state ? state->servers.find(serverId) : wait_map::const_iterator{};
        if (!state || found == state->servers.end() || now - found->second.at > m_maxAgeUs) {
            return std::nullopt;
        }
        return found->second.us;
    }
    /// Number of servers whose expected wait is known.
    auto knownServers(std::string_view pool, time_us now) const -> std::size_t
    {
        return summaryOf(pool, now).count;
    }
    /// Smallest expected wait of the pool; nullopt if none is known.
    auto smallestWaitUs(std::string_view pool, time_us now) const -> std::optional<std::int64_t>
    {
        const auto seen = summaryOf(pool, now);
        return seen.count > 0 ? std::optional(seen.smallest) : std::nullopt;
    }
    /// Mean of the known waits: the time until the backlog is worked off. Nullopt if none is known.
    auto meanWaitUs(std::string_view pool, time_us now) const -> std::optional<std::int64_t>
    {
        const auto seen = summaryOf(pool, now);
        return seen.count > 0 ? std::optional(seen.sum / static_cast<std::int64_t>(seen.count))
                              : std::nullopt;
    }
    /// Requests of this entry that the pool grants in a second at present.
    auto grantsPerSecond(std::string_view pool, time_us now) const -> double
    {
        const auto *state = find(pool);
        return state ? grantsAt(*state, now) * US_PER_SECOND / GRANT_WINDOW_US : 0.0;
    }
    /// Reserves the time at which a refused caller comes back: not before `earliest`, and not
    /// before the pool has served those that were told to return earlier. Returns nullopt, and
    /// reserves nothing, if that is after `latest`.
    auto reserveReturn(std::string_view pool, time_us earliest, time_us latest, time_us now)
        -> std::optional<time_us>
    {
        auto &state = stateOf(pool);
        const auto at = std::max(earliest, state.nextReturnAt);
        if (at > latest) {
            return std::nullopt;
        }
        const auto perSecond = std::max(MIN_RETURNS_PER_SECOND, grantsPerSecond(pool, now));
        state.nextReturnAt
            = at + static_cast<std::int64_t>(static_cast<double>(US_PER_SECOND) / perSecond);
        return at;
    }

private:
    /// An absurd figure must not keep callers away.
    static constexpr std::int64_t MAX_WAIT_MS = 600'000;
    /// Mean age of the grants that count.
    static constexpr std::int64_t GRANT_WINDOW_US = 2 * US_PER_SECOND;
    /// Assumed while this entry has got no grants for a while.
    static constexpr double MIN_RETURNS_PER_SECOND = 2.0;

    struct named_wait
    {
        std::int64_t us = 0;
        time_us at;
    };
    using wait_map = std::map<std::string, named_wait>;
    struct pool_state
    {
        wait_map servers;
        /// Grants, each weighted less the older it is.
        double grants = 0.0;
        time_us grantsAt;
        time_us nextReturnAt;
    };
    struct wait_summary
    {
        std::size_t count = 0;
        std::int64_t smallest = INT64_MAX;
        std::int64_t sum = 0;
    };

    static auto grantsAt(const pool_state &state, time_us now) -> double
    {
        const auto age = static_cast<double>(now - state.grantsAt);
        return state.grants * std::exp(-age / static_cast<double>(GRANT_WINDOW_US));
    }
    auto summaryOf(std::string_view pool, time_us now) const -> wait_summary
    {
        wait_summary out;
        const auto *state = find(pool);
        if (!state) {
            return out;
        }
        for (const auto &[id, wait] : state->servers) {
            if (now - wait.at <= m_maxAgeUs) {
                ++out.count;
                out.smallest = std::min(out.smallest, wait.us);
                out.sum += wait.us;
            }
        }
        return out;
    }
    auto find(std::string_view pool) const -> const pool_state *
    {
        const auto found = m_pools.find(pool);
        return found == m_pools.end() ? nullptr : &found->second;
    }
    auto stateOf(std::string_view pool) -> pool_state &
    {
        const auto found = m_pools.find(pool);
        return found != m_pools.end()
                   ? found->second
                   : m_pools.emplace(std::string(pool), pool_state{}).first->second;
    }

    std::int64_t m_maxAgeUs;
    std::map<std::string, pool_state, std::less<>> m_pools;
};

} // namespace marjoram
