#pragma once

#include "framework/global/clock.h"
#include "limits/ratelimiter.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace marjoram {

/// Options of warm_up_limiter.
struct warm_up_options
{
    /// Runs that must move may exceed the limit for a moment.
    rate_limiter_options limiter{.burst = 2.0, .maxDebt = 1.0};
    /// Pause between the questions to the server whether it is cold, and age up to which its answer
    /// outweighs what entries have read in the published list, which lags behind.
    std::int64_t askIntervalUs = 250 * US_PER_MS;
    std::int64_t answerMaxAgeUs = 1 * US_PER_SECOND;
    /// Time for which a server counts as cold until it has said whether it is.
    std::int64_t assumedColdUs = 1 * US_PER_SECOND;
    /// Longest time for which a server is believed to stay cold.
    std::int64_t maxColdUs = 600 * US_PER_SECOND;
    /// Time after which a rate that no entry has stated again is forgotten.
    std::int64_t rateRetentionUs = 10 * US_PER_SECOND;
};

/// Keeps the grants of a reporter within the rate that its server sustains while it is cold. Starts
/// without permits: another reporter may have granted requests just before.
/// Not thread safe: belongs to one duty.
class warm_up_limiter
{
public:
    explicit warm_up_limiter(warm_up_options options)
        : m_options(options)
        , m_limiter(options.limiter)
    { }

    /// Takes what an entry states in a room request: the rate, 0 if none is configured, and for how
    /// long the server is cold by the published list.
    auto onStated(std::uint64_t milliPerSecond, std::int64_t coldForMs, time_us now) -> void
    {
        if (milliPerSecond == 0) {
            return;
        }
        const auto before = this->milliPerSecond(now);
        m_milliPerSecond = milliPerSecond;
        m_statedAt = now;
        if (before == 0) {
            m_limiter.restart(perSecond(), 0.0, now);
            m_coldUntil = std::max(m_coldUntil, now + m_options.assumedColdUs);
        } else if (before != milliPerSecond) {
            m_limiter.setRate(perSecond(), now);
        }
        if (!m_answeredAt || now - *m_answeredAt > m_options.answerMaxAgeUs) {
            setCold(std::max(coldForMs, coldLeftMs(now)), now);
        }
    }
    /// Takes the server's own answer; nullopt if it has not said whether it is cold. `pauseUs` is
    /// the time for which it wants no questions.
    auto onAnswer(std::optional<std::int64_t> coldLeftMs, std::int64_t pauseUs, time_us now) -> void
    {
        m_askAt = now + std::max(m_options.askIntervalUs, pauseUs);
        if (coldLeftMs) {
            m_answeredAt = now;
            setCold(*coldLeftMs, now);
        }
    }
    /// Another process has started at the server's address: it is cold until it says otherwise.
    auto onServerStarted(time_us now) -> void
    {
        m_answeredAt.reset();
        m_askAt = now;
        m_coldUntil = std::max(m_coldUntil, now + m_options.assumedColdUs);
    }
    /// Whether the server should be asked whether it is cold.
    auto wantsAnswer(time_us now) const -> bool
    {
        return milliPerSecond(now) > 0 && now >= m_askAt;
    }
    /// Whether a request may be granted now; an urgent one may exceed the limit.
    auto allows(bool urgent, time_us now) -> bool
    {
        const auto debtUs
            = static_cast<std::int64_t>(m_options.limiter.maxDebt / perSecondOr1() * US_PER_SECOND);
        return !isCold(now) || m_limiter.nextAt(now) <= now + (urgent ? debtUs : 0);
    }
    /// Counts a granted request.
    auto record(time_us now) -> void
    {
        if (isCold(now)) {
            m_limiter.record(now);
        }
    }
    /// Time until a request may be granted.
    auto waitMs(time_us now) -> std::int64_t
    {
        return isCold(now) ? (m_limiter.nextAt(now) - now) / US_PER_MS : 0;
    }
    auto isCold(time_us now) const -> bool { return milliPerSecond(now) > 0 && now < m_coldUntil; }
    auto coldLeftMs(time_us now) const -> std::int64_t
    {
        return std::max<std::int64_t>(0, (m_coldUntil - now) / US_PER_MS);
    }
    /// The rate while it is remembered, in requests per 1,000 seconds; 0 if none is known.
    auto milliPerSecond(time_us now) const -> std::uint64_t
    {
        return now - m_statedAt > m_options.rateRetentionUs ? 0 : m_milliPerSecond;
    }

private:
    auto perSecond() const -> double
    {
        constexpr double MILLI = 1'000.0;
        return static_cast<double>(m_milliPerSecond) / MILLI;
    }
    auto perSecondOr1() const -> double { return m_milliPerSecond > 0 ? perSecond() : 1.0; }
    auto setCold(std::int64_t leftMs, time_us now) -> void
    {
        const auto wasCold = isCold(now);
        const auto leftUs
            = std::clamp<std::int64_t>(leftMs, 0, m_options.maxColdUs / US_PER_MS) * US_PER_MS;
        m_coldUntil = now + leftUs;
        if (!wasCold && isCold(now)) {
            // The bucket was not drained while the server was warm.
            m_limiter.restart(perSecond(), 0.0, now);
        }
    }

    warm_up_options m_options;
    rate_limiter m_limiter;
    std::uint64_t m_milliPerSecond = 0;
    time_us m_statedAt{INT64_MIN / 2};
    time_us m_coldUntil;
    std::optional<time_us> m_answeredAt;
    time_us m_askAt;
};

} // namespace marjoram
