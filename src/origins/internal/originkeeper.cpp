#include "origins/originkeeper.h"

#include <algorithm>

namespace marjoram {

auto origin_keeper::onServerSoftware(std::int64_t bornUnixMs, const server_software &software,
                                     time_us now) -> void
{
    if (bornUnixMs == 0) {
        return;
    }
    m_software.insert_or_assign(bornUnixMs, software);
    if (const auto waiting = m_unresolved.extract(bornUnixMs)) {
        for (const auto &requestId : waiting.mapped()) {
            m_log.record(requestId, {.evidence = origin_evidence::ran, .software = software}, now);
        }
    }
    while (m_software.size() > PROCESS_LIMIT) {
        m_software.erase(m_software.begin());
    }
}

auto origin_keeper::onRuns(std::int64_t bornUnixMs, const std::vector<server_run> &runs,
                           time_us now) -> void
{
    if (bornUnixMs == 0) {
        return;
    }
    const auto software = m_software.find(bornUnixMs);
    for (const auto &run : runs) {
        if (run.events == 0) {
            continue;
        }
        if (software != m_software.end()) {
            m_log.record(run.requestId,
                         {.evidence = origin_evidence::ran, .software = software->second}, now);
            continue;
        }
        auto &waiting = m_unresolved[bornUnixMs];
        const auto known = std::find(waiting.begin(), waiting.end(), run.requestId);
        if (known == waiting.end() && waiting.size() < UNRESOLVED_LIMIT) {
            waiting.push_back(run.requestId);
        }
    }
    while (m_unresolved.size() > PROCESS_LIMIT) {
        m_unresolved.erase(m_unresolved.begin());
    }
}

auto origin_keeper::onDelivered(const std::string &requestId, const server_software &software,
                                time_us now) -> void
{
    m_log.record(requestId, {.evidence = origin_evidence::delivered, .software = software}, now);
}

} // namespace marjoram
