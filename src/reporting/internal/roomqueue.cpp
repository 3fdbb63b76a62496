#include "reporting/roomqueue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace marjoram {

auto room_queue::find(const std::string &requestId) -> waiting_room_request *
{
    const auto found
        = std::find_if(m_waiting.begin(), m_waiting.end(), [&](const waiting_room_request &one) {
              return one.asked.requestId == requestId;
          });
    return found == m_waiting.end() ? nullptr : &*found;
}

auto room_queue::candidate(const endpoint &from, const room_request_frame &asked, time_us now) const
    -> waiting_room_request
{
    const auto waitUs = std::clamp<std::int64_t>(toUs(asked.waitMs), 0, m_options.maxWaitUs);
    return {.from = from,
            .asked = asked,
            .sequence = m_sequence + 1,
            .queuedAt = now,
            .expiresAt = now + waitUs,
            .startBy = now + toUs(asked.startWithinMs),
            .teamTokens = teamTokens(asked.team)};
}

auto room_queue::add(waiting_room_request request) -> waiting_room_request &
{
    request.sequence = ++m_sequence;
    return m_waiting.emplace_back(std::move(request));
}

auto room_queue::renew(waiting_room_request &waiting, const waiting_room_request &repeated) -> void
{
    waiting.from = repeated.from;
    waiting.asked.askId = repeated.asked.askId;
    waiting.expiresAt = repeated.expiresAt;
}

auto room_queue::take(waiting_room_request &waiting) -> waiting_room_request
{
    auto taken = std::move(waiting);
    m_waiting.erase(m_waiting.begin() + std::distance(m_waiting.data(), &waiting));
    return taken;
}

auto room_queue::remove(const std::string &requestId) -> std::optional<waiting_room_request>
{
    auto *found = find(requestId);
    return found ? std::optional(take(*found)) : std::nullopt;
}

auto room_queue::removeLastBehind(std::uint32_t urgency, time_us now)
    -> std::optional<waiting_room_request>
{
    const auto last
        = std::max_element(m_waiting.begin(), m_waiting.end(), [&](const auto &a, const auto &b) {
              return a.asked.urgency != b.asked.urgency ? a.asked.urgency < b.asked.urgency
                                                        : precedes(a, b, now);
          });
    if (last == m_waiting.end() || last->asked.urgency <= urgency) {
        return std::nullopt;
    }
    return take(*last);
}

auto room_queue::removeExpired(time_us now) -> std::vector<waiting_room_request>
{
    const auto expired = std::stable_partition(
        m_waiting.begin(), m_waiting.end(),
        [now](const waiting_room_request &one) { return one.expiresAt > now; });
    std::vector<waiting_room_request> removed(std::make_move_iterator(expired),
                                              std::make_move_iterator(m_waiting.end()));
    m_waiting.erase(expired, m_waiting.end());
    return removed;
}

auto room_queue::removeAll() -> std::vector<waiting_room_request>
{
    return std::exchange(m_waiting, {});
}

auto room_queue::countGrant(const std::string &team, std::uint64_t tokens, time_us now) -> void
{
    const auto memoryUs = static_cast<double>(m_options.teamMemoryUs);
    const auto kept = memoryUs / (memoryUs + static_cast<double>(now - m_sharesAt));
    m_sharesAt = now;
    for (auto &[name, share] : m_tokensByTeam) {
        share *= kept;
    }
    m_tokensByTeam[team] += static_cast<double>(tokens);
    if (m_tokensByTeam.size() > m_options.teamLimit) {
        m_tokensByTeam.erase(
            std::min_element(m_tokensByTeam.begin(), m_tokensByTeam.end(),
                             [](const auto &a, const auto &b) { return a.second < b.second; }));
    }
    for (auto &request : m_waiting) {
        request.teamTokens = teamTokens(request.asked.team);
    }
}

auto room_queue::oldest() -> waiting_room_request *
{
    const auto found
        = std::min_element(m_waiting.begin(), m_waiting.end(),
                           [](const auto &a, const auto &b) { return a.sequence < b.sequence; });
    return found == m_waiting.end() ? nullptr : &*found;
}

auto room_queue::needsUpTo(const waiting_room_request &last, time_us now) const
    -> std::vector<waiting_need>
{
    std::vector<const waiting_room_request *> ahead;
    ahead.reserve(m_waiting.size());
    for (const auto &request : m_waiting) {
        if (request.asked.requestId != last.asked.requestId && precedes(request, last, now)) {
            ahead.push_back(&request);
        }
    }
    std::sort(ahead.begin(), ahead.end(),
              [&](const auto *a, const auto *b) { return precedes(*a, *b, now); });
    std::vector<waiting_need> needs;
    needs.reserve(ahead.size() + 1);
    for (const auto *request : ahead) {
        needs.push_back({.need = request->need(), .expiresInUs = request->expiresAt - now});
    }
    needs.push_back({.need = last.need()});
    return needs;
}

auto room_queue::precedes(const waiting_room_request &a, const waiting_room_request &b,
                          time_us now) const -> bool
{
    if (a.asked.urgency != b.asked.urgency) {
        return a.asked.urgency < b.asked.urgency;
    }
    const auto aLate = a.startBy < now;
    const auto bLate = b.startBy < now;
    if (aLate != bLate) {
        return bLate;
    }
    if (!aLate && a.teamTokens != b.teamTokens) {
        return a.teamTokens < b.teamTokens;
    }
    if (!aLate && a.startBy != b.startBy) {
        return a.startBy < b.startBy;
    }
    return a.sequence < b.sequence;
}

auto room_queue::teamTokens(const std::string &team) const -> double
{
    const auto found = m_tokensByTeam.find(team);
    return found == m_tokensByTeam.end() ? 0.0 : found->second;
}

} // namespace marjoram
