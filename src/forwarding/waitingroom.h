#pragma once

#include "forwarding/waitingoptions.h"
#include "framework/global/clock.h"
#include "framework/global/enumnames.h"
#include "framework/global/identifiers.h"
#include "framework/http/httptypes.h"
#include "serverviews/serverview.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marjoram {

/// A room request that waits in the queue of a reporter.
struct room_reservation
{
    std::uint64_t askId = 0;
    std::string serverId;
    endpoint server;
    /// When the reporter expects to grant it, if it has said so.
    std::optional<time_us> expectedAt;
    /// When the reporter is asked again, in case its verdict was lost.
    time_us checkAt;
    /// It has been asked again and has not answered yet.
    bool checking = false;
};

/// Times that limit the wait of a request for room.
struct wait_limits
{
    /// Latest start for a first token within the latency target.
    time_us inTime;
    /// End of the wait while no forecast is known.
    time_us withoutForecast;
    /// Latest start for a complete response before the deadline. Not before the others.
    time_us late;
};

/// Properties of a request that limit its wait.
struct wait_query
{
    time_us openedAt;
    time_us deadline;
    std::int64_t latencyTargetUs = 0;
    /// Time to read its prompt.
    std::int64_t prefillUs = 0;
    /// Shortest wait without a forecast, for a request that is late when it starts to wait: one
    /// whose server was lost.
    std::int64_t minWaitUs = 0;
    time_us now;
    /// Time to produce its expected output at the pace of its pool; 0 if that is unknown.
    std::int64_t outputUs = 0;
};

/// Thread safe.
inline auto waitLimitsOf(const wait_query &query, const waiting_options &options) -> wait_limits
{
    const auto share = static_cast<std::int64_t>(options.maxPrefillShare
                                                 * static_cast<double>(query.latencyTargetUs));
    const auto prefillUs = std::min(query.prefillUs, share);
    const auto inTime
        = std::min(query.openedAt + (query.latencyTargetUs - prefillUs), query.deadline);
    const auto withoutForecast
        = std::max(inTime, std::min(query.now + query.minWaitUs, query.deadline));
    return {.inTime = inTime,
            .withoutForecast = withoutForecast,
            .late = std::max(withoutForecast, query.deadline + -(prefillUs + query.outputUs))};
}

/// What becomes of a request that has found no room yet.
enum class wait_decision { wait, ask_elsewhere, refuse };
inline constexpr std::array waitDecisionNames{
    enum_name<wait_decision>{wait_decision::wait, "wait"},
    enum_name<wait_decision>{wait_decision::ask_elsewhere, "ask_elsewhere"},
    enum_name<wait_decision>{wait_decision::refuse, "refuse"},
};
constexpr auto namesOf(wait_decision) -> const auto &
{
    return waitDecisionNames;
}

/// State of one request's reservations at reporters. Handles a pool whose engines are all full:
/// the request waits at no more than two of them. Not thread safe: belongs to one duty.
class waiting_room
{
public:
    /// Two engines: a wait at one is lost if it leaves, and each further one takes a place that
    /// others could use.
    static constexpr std::size_t MAX_RESERVATIONS = 2;

    /// Unset until the request is placed.
    auto limits() const -> const std::optional<wait_limits> & { return m_limits; }
    auto setLimits(const wait_limits &limits) -> void { m_limits = limits; }
    auto clearLimits() -> void { m_limits.reset(); }
    auto reservations() const -> const std::vector<room_reservation> & { return m_reservations; }
    /// Whether any reporter has queued the request since it arrived.
    auto wasQueued() const -> bool { return m_wasQueued; }
    /// Precondition: fewer than MAX_RESERVATIONS are held.
    auto add(room_reservation reservation) -> void
    {
        m_wasQueued = true;
        m_reservations.push_back(std::move(reservation));
    }
    /// Returns null if the reservation is not held.
    auto find(std::uint64_t askId) -> room_reservation *
    {
        const auto found
            = std::find_if(m_reservations.begin(), m_reservations.end(),
                           [askId](const room_reservation &one) { return one.askId == askId; });
        return found == m_reservations.end() ? nullptr : &*found;
    }
    /// Precondition: the reservation is held.
    auto take(std::uint64_t askId) -> room_reservation
    {
        auto *found = find(askId);
        auto out = std::move(*found);
        m_reservations.erase(m_reservations.begin() + (found - m_reservations.data()));
        return out;
    }
    auto holds(std::uint64_t askId) const -> bool
    {
        return std::any_of(m_reservations.begin(), m_reservations.end(),
                           [askId](const room_reservation &one) { return one.askId == askId; });
    }
    auto isHeldAt(std::string_view serverId) const -> bool
    {
        return std::any_of(
            m_reservations.begin(), m_reservations.end(),
            [serverId](const room_reservation &one) { return one.serverId == serverId; });
    }
    /// Earliest time at which a reporter is asked again.
    auto nextCheckAt() const -> std::optional<time_us>
    {
        std::optional<time_us> out;
        for (const auto &one : m_reservations) {
            out = out ? std::min(*out, one.checkAt) : one.checkAt;
        }
        return out;
    }
    /// Reservation whose reporter is due to be asked again; null if there is none.
    auto dueForCheck(time_us now) -> room_reservation *
    {
        const auto found
            = std::find_if(m_reservations.begin(), m_reservations.end(),
                           [now](const room_reservation &one) { return one.checkAt <= now; });
        return found == m_reservations.end() ? nullptr : &*found;
    }
    /// Expected wait at the best of the reservations; nullopt if no reporter knows it.
    auto expectedWaitUs(time_us now) const -> std::optional<std::int64_t>
    {
        std::optional<std::int64_t> out;
        for (const auto &one : m_reservations) {
            if (one.expectedAt) {
                const auto us = std::max<std::int64_t>(0, *one.expectedAt - now);
                out = out ? std::min(*out, us) : us;
            }
        }
        return out;
    }
    /// Decides what to do next. `poolWaitUs` is the smallest expected wait that is known of the
    /// pool; `canAsk` tells whether another engine may have room earlier. Precondition: the limits
    /// are set.
    auto decide(std::optional<std::int64_t> poolWaitUs, bool canAsk, time_us now) const
        -> wait_decision
    {
        if (canAsk && m_reservations.size() < MAX_RESERVATIONS) {
            return wait_decision::ask_elsewhere;
        }
        const auto anyUnknown
            = std::any_of(m_reservations.begin(), m_reservations.end(),
                          [](const room_reservation &one) { return !one.expectedAt; });
        if (anyUnknown && now < m_limits->withoutForecast) {
            return wait_decision::wait;
        }
        const auto ownUs = expectedWaitUs(now);
        if (!ownUs) {
            return wait_decision::refuse;
        }
        // Late work waits only if the forecast says that it will be served.
        const auto smallestUs = std::min(*ownUs, poolWaitUs.value_or(*ownUs));
        return now + smallestUs < m_limits->late ? wait_decision::wait : wait_decision::refuse;
    }

private:
    std::optional<wait_limits> m_limits;
    std::vector<room_reservation> m_reservations;
    bool m_wasQueued = false;
};

/// Returns the engine with the least committed share of memory of a few that are drawn at random,
/// or null if there is none. Entries with the same reports would all choose the same one
/// otherwise. Thread safe.
template <typename CommittedShare>
auto leastCommitted(std::vector<const server_view *> candidates, CommittedShare shareOf,
                    std::size_t sample, random_source &random) -> const server_view *
{
    const server_view *best = nullptr;
    double bestShare = 0.0;
    for (auto left = std::min(sample, candidates.size()); left > 0; --left) {
        const auto index = random() % candidates.size();
        const auto *view = std::exchange(candidates[index], candidates.back());
        candidates.pop_back();
        const auto share = shareOf(*view);
        if (!best || share < bestShare) {
            best = view;
            bestShare = share;
        }
    }
    return best;
}

} // namespace marjoram
