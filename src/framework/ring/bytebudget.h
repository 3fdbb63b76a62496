#pragma once

#include "framework/ring/ring.h"

#include <atomic>
#include <cstddef>
#include <memory>

namespace marjoram {

/// Holds bytes of a byte_budget until its last copy is destroyed.
using byte_lease = std::shared_ptr<const void>;

/// Limit on the bytes that a duty has passed on and other duties have not handled yet: a ring
/// bounds the number of its items, not their size. The producer goes on once half of the limit is
/// free.
class byte_budget
{
public:
    /// Precondition: limitBytes > 0. Errors: those of wake_event.
    explicit byte_budget(std::size_t limitBytes)
        : m_limit(limitBytes)
    { }

    /// Holds bytes, also beyond the limit. Thread safe. Precondition: the budget outlives the
    /// lease.
    auto hold(std::size_t bytes) -> byte_lease
    {
        m_held.fetch_add(bytes);
        return {this, [this, bytes](const void *) { release(bytes); }};
    }
    /// Thread safe.
    auto held() const -> std::size_t { return m_held.load(); }
    /// Whether the producer should pause its source. Thread safe.
    auto exhausted() const -> bool { return held() >= m_limit; }

    /// Asks for a signal on space() once half of the limit is free; false if it is free already.
    /// For one producer.
    auto awaitSpace() -> bool
    {
        m_producerAsleep.exchange(true);
        if (!isHalfFree()) {
            return true;
        }
        m_producerAsleep.exchange(false);
        return false;
    }
    /// Thread safe.
    auto space() const -> const wake_event & { return m_space; }

private:
    auto isHalfFree() const -> bool { return held() <= m_limit / 2; }
    auto release(std::size_t bytes) -> void
    {
        m_held.fetch_sub(bytes);
        if (isHalfFree() && m_producerAsleep.exchange(false)) {
            m_space.signal();
        }
    }

    std::size_t m_limit;
    std::atomic<std::size_t> m_held{0};
    std::atomic<bool> m_producerAsleep{false};
    wake_event m_space;
};

} // namespace marjoram
