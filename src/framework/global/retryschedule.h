#pragma once

#include "framework/global/clock.h"
#include "framework/global/identifiers.h"

#include <algorithm>
#include <cstdint>

namespace marjoram {

/// Options of a retry_schedule. Precondition: 0 < minRetryUs <= maxRetryUs <= maxBackoffUs.
struct retry_schedule_options
{
    /// Range from which the pause after a failure is drawn at random. It doubles with each further
    /// failure in a row, up to `maxBackoffUs`.
    std::int64_t minRetryUs = 150 * US_PER_MS;
    std::int64_t maxRetryUs = 400 * US_PER_MS;
    std::int64_t maxBackoffUs = 400 * US_PER_MS;
    /// Longest time from the start of a failed call, or the last part of its answer, to the next
    /// call.
    std::int64_t maxReturnUs = 2'500 * US_PER_MS;
};

/// Decides when a dependency is called again after failures.
///
/// A dependency that has come back is noticed only by the next call, and it may have come back
/// right after the start of the call that failed. So the pause is shortened by the time that the
/// failed call took, and the next call starts within `maxReturnUs` of the return. Where part of an
/// answer had arrived, the dependency was there until then, and only the time since counts.
/// Precondition: calls end sooner than that, and each uses a connection that was known to be alive
/// when it started. Not thread safe.
class retry_schedule
{
public:
    explicit retry_schedule(retry_schedule_options options)
        : m_options(options)
    { }

    /// Precondition: nothing has been called yet.
    auto start(time_us now) -> void { m_answeredAt = now; }
    auto onCalled(time_us now) -> void
    {
        m_calledAt = now;
        m_presentAt = now;
    }
    /// Part of an answer has arrived.
    auto onProgress(time_us now) -> void { m_presentAt = now; }
    auto onAnswered(time_us now) -> void
    {
        m_answeredAt = now;
        m_failures = 0;
    }
    /// Returns when to call again.
    auto onFailed(time_us now, random_source &random) -> time_us
    {
        ++m_failures;
        const auto latest = std::max(now, m_presentAt + m_options.maxReturnUs);
        return std::min(now + backoffUs(random), latest);
    }
    /// Returns when to call again after an answer that could not be used.
    auto onUnusable(time_us now, random_source &random) const -> time_us
    {
        return now + backoffUs(random);
    }

    /// Failures in a row.
    auto failures() const -> std::uint32_t { return m_failures; }
    /// Start of the latest call.
    auto calledAt() const -> time_us { return m_calledAt; }
    /// The latest answer, or the start.
    auto answeredAt() const -> time_us { return m_answeredAt; }

private:
    auto backoffUs(random_source &random) const -> std::int64_t
    {
        constexpr std::uint32_t MAX_DOUBLINGS = 16;
        const auto width = static_cast<std::uint64_t>(m_options.maxRetryUs - m_options.minRetryUs);
        const auto drawnUs
            = m_options.minRetryUs + static_cast<std::int64_t>(random() % (width + 1));
        const auto doublings = std::min(std::max(m_failures, 1U) - 1, MAX_DOUBLINGS);
        const auto factor
            = std::min(std::int64_t{1} << doublings, m_options.maxBackoffUs / m_options.maxRetryUs);
        return drawnUs * std::max<std::int64_t>(1, factor);
    }

    retry_schedule_options m_options;
    time_us m_calledAt;
    /// The dependency may have been lost and come back at any time after this.
    time_us m_presentAt;
    time_us m_answeredAt;
    std::uint32_t m_failures = 0;
};

} // namespace marjoram
