#include "quarantine/observationlog.h"

#include <algorithm>

namespace marjoram {

auto observation_log::add(const run_observation &seen, time_us now) -> bool
{
    std::erase_if(m_records, [&](const entry_record &record) {
        return now - record.seenAt > m_options.retentionUs;
    });
    const auto known = std::any_of(m_records.begin(), m_records.end(), [&](const auto &record) {
        return record.seen.fate == seen.fate && record.seen.requestId == seen.requestId
               && record.seen.attempt == seen.attempt && record.seen.serverId == seen.serverId
               && record.seen.traits == seen.traits;
    });
    if (known || toUs(seen.ageMs) > m_options.retentionUs) {
        return false;
    }
    if (m_records.size() >= m_options.limit) {
        m_records.pop_front();
    }
    m_records.push_back({.seen = seen, .seenAt = now + -toUs(seen.ageMs), .addedAt = now});
    return true;
}

auto observation_log::collect(time_us since, time_us now) const -> std::vector<run_observation>
{
    std::vector<run_observation> out;
    for (const auto &record : m_records) {
        if (record.addedAt >= since && now - record.seenAt <= m_options.retentionUs) {
            out.push_back(record.seen);
            out.back().ageMs = (now - record.seenAt) / US_PER_MS;
        }
    }
    return out;
}

auto observation_log::collectAll(time_us now) const -> std::vector<run_observation>
{
    return collect({INT64_MIN}, now);
}

} // namespace marjoram
