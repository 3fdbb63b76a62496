#include "origins/originlog.h"

namespace marjoram {

auto combine(const stream_origin &a, const stream_origin &b) -> stream_origin
{
    if (a.evidence != b.evidence) {
        return a.evidence < b.evidence ? b : a;
    }
    if (a.software == b.software) {
        return a;
    }
    return {.evidence = origin_evidence::ambiguous};
}

auto origin_log::record(const std::string &requestId, const stream_origin &origin, time_us now)
    -> void
{
    dropOld(now);
    const auto [found, added] = m_origins.try_emplace(requestId, origin);
    if (added) {
        m_order.push_back({requestId, now});
    } else {
        found->second = combine(found->second, origin);
    }
}

auto origin_log::find(const std::string &requestId) const -> stream_origin
{
    const auto found = m_origins.find(requestId);
    return found == m_origins.end() ? stream_origin{} : found->second;
}

auto origin_log::dropOld(time_us now) -> void
{
    while (!m_order.empty()
           && (m_order.size() >= m_options.limit
               || now - m_order.front().at > m_options.retentionUs)) {
        m_origins.erase(m_order.front().requestId);
        m_order.pop_front();
    }
}

} // namespace marjoram
