#pragma once

#include "framework/global/clock.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace marjoram {

/// Options of an answer_deadline.
struct answer_deadline_options
{
    /// Time until an answer begins, and between its parts.
    std::int64_t silenceUs = 900 * US_PER_MS;
    /// An answer that arrives more slowly is given up like one that does not arrive.
    std::uint64_t minBytesPerSecond = 16 * 1'024;
};

/// Decides how long an answer is waited for: as long as it arrives, whatever its size. Not thread
/// safe.
class answer_deadline
{
public:
    explicit answer_deadline(answer_deadline_options options)
        : m_options(options)
    { }

    /// A call begins that may be held for `waitUs` before it is answered.
    auto start(time_us now, std::int64_t waitUs) -> void
    {
        m_receivedBytes = 0;
        m_beganAt.reset();
        m_endsAt = now + (waitUs + m_options.silenceUs);
    }
    /// Part of the answer has arrived.
    auto onProgress(time_us now, std::size_t bytes) -> void
    {
        m_receivedBytes += bytes;
        m_beganAt = m_beganAt.value_or(now);
        const auto transferUs = static_cast<std::int64_t>(m_receivedBytes * US_PER_SECOND
                                                          / m_options.minBytesPerSecond);
        m_endsAt = std::min(now, *m_beganAt + transferUs) + m_options.silenceUs;
    }

    /// When the call is given up.
    auto endsAt() const -> time_us { return m_endsAt; }
    auto receivedBytes() const -> std::uint64_t { return m_receivedBytes; }

private:
    answer_deadline_options m_options;
    std::uint64_t m_receivedBytes = 0;
    std::optional<time_us> m_beganAt;
    time_us m_endsAt;
};

} // namespace marjoram
