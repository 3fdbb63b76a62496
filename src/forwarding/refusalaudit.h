#pragma once

#include "framework/global/clock.h"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace marjoram {

/// A request that was refused for lack of room.
struct refused_request
{
    std::string pool;
    std::uint64_t expectedTokens = 0;
    std::uint32_t urgency = 0;
    time_us refusedAt;
    /// Until then it could have started.
    time_us until;
};

/// A request that was granted room.
struct granted_request
{
    std::string_view pool;
    std::uint64_t expectedTokens = 0;
    std::uint32_t urgency = 0;
    time_us openedAt;
};

/// Judges refusals afterwards: one was wrong if, within the time that the request had, the pool
/// granted room to another request of this entry that arrived later, is at least as large and is
/// not more urgent. Not thread safe: belongs to one duty.
class refusal_audit
{
public:
    auto onRefused(refused_request refused) -> void
    {
        if (m_refused.size() >= LIMIT) {
            m_refused.pop_front();
        }
        m_refused.push_back(std::move(refused));
    }
    auto onGranted(const granted_request &granted, time_us now) -> void
    {
        std::erase_if(m_refused, [now](const refused_request &one) { return one.until < now; });
        m_refusedWithRoom
            += static_cast<std::int64_t>(std::erase_if(m_refused, [&](const refused_request &one) {
                   return one.pool == granted.pool && granted.openedAt >= one.refusedAt
                          && granted.expectedTokens >= one.expectedTokens
                          && granted.urgency >= one.urgency;
               }));
    }
    /// Number of refusals that have turned out to be wrong.
    auto refusedWithRoom() const -> std::int64_t { return m_refusedWithRoom; }

private:
    /// Refusals that are judged at the same time; the oldest ones are dropped beyond that.
    static constexpr std::size_t LIMIT = 1'024;

    std::deque<refused_request> m_refused;
    std::int64_t m_refusedWithRoom = 0;
};

} // namespace marjoram
