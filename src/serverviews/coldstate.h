#pragma once

#include "framework/global/clock.h"

#include <algorithm>
#include <cmath>

namespace marjoram {

/// One entry's share of the rate that a cold server sustains: one request in each interval. An
/// unused permit lapses, so that entries that were idle or frozen do not all send at once.
/// Not thread safe: belongs to one duty.
class cold_share
{
public:
    /// Starts without a permit; the first one comes after `phase`, a share of an interval.
    /// Preconditions: perSecond > 0, 0 <= phase < 1.
    auto restart(double perSecond, double phase, time_us now) -> void
    {
        m_intervalUs = intervalOf(perSecond);
        m_next = now + scaled(phase);
    }
    /// Changes the rate and keeps the phase. Preconditions: perSecond > 0, restart() was called.
    auto setRate(double perSecond, time_us now) -> void
    {
        if (intervalOf(perSecond) == m_intervalUs) {
            return;
        }
        const auto interval = static_cast<double>(m_intervalUs);
        const auto missing = static_cast<double>(m_next - now) / interval;
        m_intervalUs = intervalOf(perSecond);
        m_next = now + scaled(missing > 0.0 ? missing : missing - std::floor(missing));
    }
    /// Counts a request, also one that was sent without a permit.
    auto record(time_us now) -> void
    {
        const auto from = std::max(m_next, nextAt(now));
        m_next = std::min(from, now + MAX_DEBT * m_intervalUs) + m_intervalUs;
    }
    /// Returns when a permit is valid: now, or when the next one begins.
    auto nextAt(time_us now) const -> time_us
    {
        if (now < m_next || m_intervalUs <= 0) {
            return m_next;
        }
        const auto sinceUs = (now - m_next) % m_intervalUs;
        return sinceUs < PERMIT_US ? now : now + (m_intervalUs - sinceUs);
    }

private:
    /// A waiting request looks for a server again within 90 ms.
    static constexpr std::int64_t PERMIT_US = 100 * US_PER_MS;
    /// Intervals by which requests sent without a permit delay the next one.
    static constexpr std::int64_t MAX_DEBT = 2;
    static constexpr std::int64_t MAX_INTERVAL_US = 600 * US_PER_SECOND;

    static auto intervalOf(double perSecond) -> std::int64_t
    {
        const auto us = std::min(static_cast<double>(US_PER_SECOND) / perSecond,
                                 static_cast<double>(MAX_INTERVAL_US));
        return std::max<std::int64_t>(1, static_cast<std::int64_t>(us));
    }
    auto scaled(double intervals) const -> std::int64_t
    {
        return static_cast<std::int64_t>(intervals * static_cast<double>(m_intervalUs));
    }

    std::int64_t m_intervalUs = 0;
    time_us m_next;
};

/// What an entry knows of the limit of one server that is slow after its start, and its own share
/// of that limit. Not thread safe: belongs to one duty.
struct cold_state
{
    /// Requests a second that the server sustains while it is cold; 0 if that is not limited.
    double perSecond = 0.0;
    time_us until;
    /// The same by the published list alone. Reporters are told this one: their own figure would
    /// come back to them later each time, and the server would never be warm.
    time_us listedUntil;
    /// Until then its reporter is taken to grant requests within the limit; it grants none before
    /// `refusedUntil`.
    time_us granterUntil;
    time_us refusedUntil;
    cold_share share;
    /// Whether the share has a rate, and whether the state was told to be cold.
    bool sharing = false;
    bool told = false;

    auto isCold(time_us now) const -> bool { return perSecond > 0.0 && now < until; }
    /// When a request may be sent without a grant.
    auto ungrantedAt(time_us now) const -> time_us
    {
        return isCold(now) ? std::min(until, share.nextAt(now)) : time_us{};
    }
    /// When a request may be sent, or a grant asked for.
    auto availableAt(time_us now) const -> time_us
    {
        const auto granted = isCold(now) && now < granterUntil;
        return granted ? std::min(until, refusedUntil) : ungrantedAt(now);
    }
};

} // namespace marjoram
