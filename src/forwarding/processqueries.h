#pragma once

#include "forwarding/forwardtypes.h"
#include "framework/global/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace marjoram {

/// Queries to servers for the process that they run, one at a time for each server: many of its
/// streams may end together. Not thread safe: belongs to one duty.
class process_queries
{
public:
    struct pending_query
    {
        std::string serverId;
        time_us askedAt;
    };

    /// Returns the query to send, unless one to this server is pending.
    auto begin(const std::string &serverId, const endpoint &server, time_us now)
        -> std::optional<query_process>
    {
        std::erase_if(m_pending, [now](const auto &one) {
            return now - one.second.askedAt > PENDING_TIMEOUT_US;
        });
        for (const auto &[queryId, pending] : m_pending) {
            if (pending.serverId == serverId) {
                return std::nullopt;
            }
        }
        m_pending.emplace(++m_lastQueryId, pending_query{.serverId = serverId, .askedAt = now});
        return query_process{.queryId = m_lastQueryId, .server = server};
    }
    /// Ends a query and returns it; nullopt if it is not pending.
    auto end(std::uint64_t queryId) -> std::optional<pending_query>
    {
        const auto found = m_pending.find(queryId);
        if (found == m_pending.end()) {
            return std::nullopt;
        }
        auto out = std::move(found->second);
        m_pending.erase(found);
        return out;
    }

private:
    /// Longer than the connections take to report a query as failed; one that is lost between
    /// duties must not hold up all others to its server.
    static constexpr std::int64_t PENDING_TIMEOUT_US = 4 * US_PER_SECOND;

    std::map<std::uint64_t, pending_query> m_pending;
    std::uint64_t m_lastQueryId = 0;
};

} // namespace marjoram
