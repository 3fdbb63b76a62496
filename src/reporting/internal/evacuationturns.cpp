#include "reporting/evacuationturns.h"

#include <algorithm>
#include <tuple>

namespace marjoram {

auto evacuation_turns::note(const std::vector<server_run> &runs, time_us now) -> void
{
    m_present.clear();
    std::vector<const server_run *> fresh;
    for (const auto &run : runs) {
        m_present.insert(run.requestId);
        if (m_known.insert(run.requestId).second) {
            fresh.push_back(&run);
        }
    }
    // The smallest first: so most runs get away in the time there is.
    std::sort(fresh.begin(), fresh.end(), [this](const server_run *a, const server_run *b) {
        const auto key = [this](const server_run &run) {
            return std::make_tuple(run.events < m_options.youngEvents, run.memoryTokens,
                                   std::string_view(run.requestId));
        };
        return key(*a) < key(*b);
    });
    for (const auto *run : fresh) {
        m_waiting.push_back(run->requestId);
    }
    std::erase_if(m_waiting, [this](const auto &id) { return !m_present.contains(id); });
    if (!m_turn.empty() && !m_present.contains(m_turn)) {
        m_vanishedAt = m_vanishedAt.value_or(now);
    }
    if (m_turn.empty() || overdue(now)) {
        endTurn(now);
    }
}

auto evacuation_turns::onMove(const std::string &requestId, move_note note, time_us now) -> void
{
    if (requestId != m_turn) {
        return;
    }
    switch (note) {
    case move_note::begun:
        m_claimed = true;
        m_turnSince = now;
        break;
    case move_note::ended:
        advance(now);
        break;
    case move_note::put_off:
        m_putOff.insert_or_assign(requestId, now + m_options.againUs);
        m_waiting.push_back(requestId);
        advance(now);
        break;
    }
}

auto evacuation_turns::clear() -> void
{
    *this = evacuation_turns(m_options);
}

auto evacuation_turns::overdue(time_us now) const -> bool
{
    if (m_vanishedAt) {
        return !m_claimed || now - *m_vanishedAt >= m_options.restUs;
    }
    return now - m_turnSince >= (m_claimed ? m_options.turnUs : m_options.claimUs);
}

auto evacuation_turns::endTurn(time_us now) -> void
{
    // Its entry may be slow to take it up, or the news were lost: it has another turn later.
    if (!m_turn.empty() && !m_claimed && m_present.contains(m_turn)) {
        m_waiting.push_back(m_turn);
    }
    advance(now);
}

auto evacuation_turns::advance(time_us now) -> void
{
    m_turn.clear();
    m_claimed = false;
    m_vanishedAt.reset();
    m_turnSince = now;
    const auto next = std::find_if(m_waiting.begin(), m_waiting.end(), [&](const auto &id) {
        const auto until = m_putOff.find(id);
        return until == m_putOff.end() || until->second <= now;
    });
    if (next != m_waiting.end()) {
        m_turn = *next;
        m_waiting.erase(next);
    }
}

} // namespace marjoram
