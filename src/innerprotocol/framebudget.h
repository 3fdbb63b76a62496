#pragma once

#include "innerprotocol/framecodec.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <utility>

namespace marjoram {

/// Bounds the long frames that the links of a process are receiving at once. A link whose frame
/// finds no room does not read on until there is some, so that its peer has to wait; it is not
/// refused. Not thread safe: lives on the io_context of its links.
class frame_budget
{
public:
    /// Frames that are received at once when all have the longest size. Six of them, in buffers
    /// that doubled as they grew, took an agent over the 88 MB of the smallest host.
    static constexpr std::size_t LONGEST_FRAMES = 4;
    static constexpr std::size_t TOTAL_BYTES
        = LONGEST_FRAMES * (FRAME_PREFIX_BYTES + FRAME_LIMIT_BYTES);

    /// Takes room for a frame; false when there is not enough, and then nothing changes.
    auto take(std::size_t bytes) -> bool
    {
        if (bytes > TOTAL_BYTES - m_taken) {
            return false;
        }
        m_taken += bytes;
        return true;
    }
    /// Returns room and calls all who wait, in the order in which they came.
    /// Precondition: `bytes` were taken.
    auto release(std::size_t bytes) -> void
    {
        m_taken -= bytes;
        for (const auto &retry : std::exchange(m_waiting, {})) {
            retry();
        }
    }
    /// `retry` is called once, at the next release. Precondition: it does not use the budget before
    /// it has returned.
    auto awaitRoom(std::function<void()> retry) -> void { m_waiting.push_back(std::move(retry)); }

private:
    std::size_t m_taken = 0;
    std::deque<std::function<void()>> m_waiting;
};

} // namespace marjoram
