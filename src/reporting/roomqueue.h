#pragma once

#include "framework/global/clock.h"
#include "framework/http/httptypes.h"
#include "innerprotocol/reportframes.h"
#include "reporting/memoryrule.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marjoram {

/// Options of room_queue.
struct room_queue_options
{
    /// Requests that may wait at once.
    std::size_t capacity = 64;
    /// Longest wait that a request may ask for.
    std::int64_t maxWaitUs = 60 * US_PER_SECOND;
    /// Every n-th grant in order goes to the request that has waited longest, so that a stream of
    /// more urgent ones can't keep others waiting for ever. At least 1.
    std::uint64_t grantsPerOldest = 10;
    /// Time constant with which granted memory loses its weight in the shares of teams.
    std::int64_t teamMemoryUs = 10 * US_PER_SECOND;
    /// Teams whose share is kept; beyond it the one with the smallest share is forgotten.
    std::size_t teamLimit = 64;
};

/// Room request that waits. Its figures are bounded.
struct waiting_room_request
{
    endpoint from;
    room_request_frame asked;
    std::uint64_t sequence = 0;
    time_us queuedAt;
    time_us expiresAt;
    /// When it must start to be in time.
    time_us startBy;
    /// When it was expected to get room as it first came to be the next one; set by the owner of
    /// the queue, who lets no later request delay it beyond that.
    std::optional<time_us> expectedAt;
    /// Memory granted to its team lately; maintained by the queue.
    double teamTokens = 0.0;

    auto need() const -> room_need
    {
        return {.expectedTokens = asked.expectedTokens,
                .outputTokens = asked.outputTokens,
                .promptsAhead = asked.promptsAhead};
    }
};

/// Room requests that wait at a reporter, for load above the capacity of an engine. Order: urgency;
/// requests that can still be in time before late ones; the team that was granted the least memory
/// lately; the least time left; age. Late requests go by age among themselves, since the time that
/// they have left says nothing any more. Every n-th turn is that of the oldest. The order is
/// evaluated when it is needed: it changes with time, and the queue is short. Pointers to requests
/// are valid until the next change. Not thread safe: belongs to one duty.
class room_queue
{
public:
    explicit room_queue(room_queue_options options)
        : m_options(options)
    { }

    auto empty() const -> bool { return m_waiting.empty(); }
    auto size() const -> std::size_t { return m_waiting.size(); }
    auto isFull() const -> bool { return m_waiting.size() >= m_options.capacity; }
    /// Waiting request of the given id; nullptr if there is none.
    auto find(const std::string &requestId) -> waiting_room_request *;
    /// A request as it would be queued now.
    auto candidate(const endpoint &from, const room_request_frame &asked, time_us now) const
        -> waiting_room_request;
    /// Preconditions: the queue isn't full and has no request of this id.
    auto add(waiting_room_request request) -> waiting_room_request &;
    /// Repeats a waiting request under another askId. Its place and its age remain.
    static auto renew(waiting_room_request &waiting, const waiting_room_request &repeated) -> void;
    /// Removes a waiting request. Precondition: the reference was returned by this queue and is
    /// valid.
    auto take(waiting_room_request &waiting) -> waiting_room_request;
    auto remove(const std::string &requestId) -> std::optional<waiting_room_request>;
    /// Removes the least urgent request, the last of them in order, if the given urgency precedes
    /// its own.
    auto removeLastBehind(std::uint32_t urgency, time_us now)
        -> std::optional<waiting_room_request>;
    auto removeExpired(time_us now) -> std::vector<waiting_room_request>;
    auto removeAll() -> std::vector<waiting_room_request>;
    /// Counts a grant to the first in order. Overtaking requests are not counted: a stream of
    /// them would use up the turn of the oldest.
    auto countTurn() -> void { ++m_turns; }
    /// Counts granted memory towards the share of a team.
    auto countGrant(const std::string &team, std::uint64_t tokens, time_us now) -> void;
    /// Request that has waited longest; nullptr if none waits.
    auto oldest() -> waiting_room_request *;

    /// First request in order that satisfies the predicate; nullptr if none does.
    template <typename Predicate>
    auto first(time_us now, Predicate &&predicate) -> waiting_room_request *
    {
        waiting_room_request *best = nullptr;
        for (auto &request : m_waiting) {
            if ((!best || precedes(request, *best, now)) && predicate(request)) {
                best = &request;
            }
        }
        return best;
    }
    /// Request whose turn it is.
    auto head(time_us now) -> waiting_room_request *
    {
        if (m_turns % m_options.grantsPerOldest == m_options.grantsPerOldest - 1) {
            return oldest();
        }
        return first(now, [](const waiting_room_request &) { return true; });
    }
    /// The request that may be granted room next: the first one in order or, while that one lacks
    /// memory, the first one that may overtake it. Requests that wait for prompts to be read or for
    /// the rate limit are not overtaken: any other would delay them.
    template <typename VerdictOf, typename MayOvertake>
    auto next(time_us now, VerdictOf &&verdictOf, MayOvertake &&mayOvertake)
        -> waiting_room_request *
    {
        auto *blocked = head(now);
        if (!blocked) {
            return nullptr;
        }
        const auto verdict = verdictOf(*blocked);
        if (verdict != room_verdict::memory_taken) {
            return verdict == room_verdict::granted ? blocked : nullptr;
        }
        return first(now, [&](const waiting_room_request &other) {
            return &other != blocked && verdictOf(other) == room_verdict::granted
                   && mayOvertake(*blocked, other);
        });
    }
    /// Needs of the waiting requests that precede the given one, in order, then its own.
    auto needsUpTo(const waiting_room_request &last, time_us now) const
        -> std::vector<waiting_need>;

private:
    auto precedes(const waiting_room_request &a, const waiting_room_request &b, time_us now) const
        -> bool;
    auto teamTokens(const std::string &team) const -> double;

    room_queue_options m_options;
    std::vector<waiting_room_request> m_waiting;
    std::map<std::string, double> m_tokensByTeam;
    time_us m_sharesAt;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_turns = 0;
};

} // namespace marjoram
