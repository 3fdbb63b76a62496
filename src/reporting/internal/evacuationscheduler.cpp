#include "reporting/evacuationscheduler.h"

#include <algorithm>
#include <tuple>

namespace marjoram {

auto evacuation_scheduler::update(const std::vector<server_run> &runs, time_us now) -> void
{
    m_running.clear();
    std::vector<const server_run *> newRuns;
    for (const auto &run : runs) {
        m_running.insert(run.requestId);
        if (m_seen.insert(run.requestId).second) {
            newRuns.push_back(&run);
        }
    }
    // Smallest first: this moves the most runs in the time available.
    std::sort(newRuns.begin(), newRuns.end(), [this](const server_run *a, const server_run *b) {
        const auto key = [this](const server_run &run) {
            return std::make_tuple(run.events < m_options.newRunEvents, run.memoryTokens,
                                   std::string_view(run.requestId));
        };
        return key(*a) < key(*b);
    });
    for (const auto *run : newRuns) {
        m_waiting.push_back(run->requestId);
    }
    std::erase_if(m_waiting, [this](const auto &id) { return !m_running.contains(id); });
    if (!m_current.empty() && !m_running.contains(m_current)) {
        m_disappearedAt = m_disappearedAt.value_or(now);
    }
    if (m_current.empty() || isOverdue(now)) {
        endCurrent(now);
    }
}

auto evacuation_scheduler::onMove(const std::string &requestId, move_note note, time_us now) -> void
{
    if (requestId != m_current) {
        return;
    }
    switch (note) {
    case move_note::begun:
        m_moveStarted = true;
        m_currentSince = now;
        break;
    case move_note::ended:
        startNext(now);
        break;
    case move_note::put_off:
        m_retryAt.insert_or_assign(requestId, now + m_options.retryDelayUs);
        m_waiting.push_back(requestId);
        startNext(now);
        break;
    }
}

auto evacuation_scheduler::clear() -> void
{
    *this = evacuation_scheduler(m_options);
}

auto evacuation_scheduler::isOverdue(time_us now) const -> bool
{
    if (m_disappearedAt) {
        return !m_moveStarted || now - *m_disappearedAt >= m_options.finalCopyTimeoutUs;
    }
    return now - m_currentSince
           >= (m_moveStarted ? m_options.moveTimeoutUs : m_options.startTimeoutUs);
}

auto evacuation_scheduler::endCurrent(time_us now) -> void
{
    // The entry may be slow, or the report was lost: the run gets another turn later.
    if (!m_current.empty() && !m_moveStarted && m_running.contains(m_current)) {
        m_waiting.push_back(m_current);
    }
    startNext(now);
}

auto evacuation_scheduler::startNext(time_us now) -> void
{
    m_current.clear();
    m_moveStarted = false;
    m_disappearedAt.reset();
    m_currentSince = now;
    const auto next = std::find_if(m_waiting.begin(), m_waiting.end(), [&](const auto &id) {
        const auto until = m_retryAt.find(id);
        return until == m_retryAt.end() || until->second <= now;
    });
    if (next != m_waiting.end()) {
        m_current = *next;
        m_waiting.erase(next);
    }
}

} // namespace marjoram
