#pragma once

#include "framework/global/result.h"

#include <atomic>
#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <utility>

namespace marjoram {

/// Why a ring refused an item.
enum class ring_error { full = 1 };
inline constexpr std::array ringErrorNames{enum_name<ring_error>{ring_error::full, "ring full"}};
constexpr auto namesOf(ring_error) -> const auto &
{
    return ringErrorNames;
}
constexpr auto categoryNameOf(ring_error) -> const char *
{
    return "ring";
}
inline auto make_error_code(ring_error e) -> std::error_code
{
    return errorCode(e);
}

/// Kernel event counter on which one side of a ring sleeps.
class wake_event
{
public:
    /// Errors: throws std::system_error when the process has no descriptor left.
    wake_event();
    ~wake_event();
    wake_event(const wake_event &) = delete;
    auto operator=(const wake_event &) -> wake_event & = delete;

    /// Wakes the sleeper. Thread safe.
    auto signal() const -> void;
    /// Clears pending signals. Thread safe.
    auto clear() const -> void;
    /// Descriptor that polls readable while signalled; owned by this object.
    auto descriptor() const -> int { return m_descriptor; }

private:
    int m_descriptor;
};

/// Bounded single-producer single-consumer ring whose two ends sleep instead of spinning.
/// One thread calls the producer functions, one the consumer functions.
template <typename T>
class ring
{
public:
    /// Precondition: capacity > 0.
    explicit ring(std::size_t capacity)
        : m_queue(capacity)
    { }

    // --- producer

    /// Puts an item; ring_error::full leaves `item` untouched. Never blocks.
    auto tryPush(T &&item) -> std::error_code
    {
        if (m_queue.write_available() == 0) {
            return errorCode(ring_error::full);
        }
        m_queue.push(cell{std::move(item)});
        if (m_consumerAsleep.exchange(false)) {
            m_items.signal();
        }
        return {};
    }
    /// Asks for a signal on space() once an item is taken; false when there is room already.
    auto awaitSpace() -> bool
    {
        m_producerAsleep.exchange(true);
        if (m_queue.write_available() == 0) {
            return true;
        }
        m_producerAsleep.exchange(false);
        return false;
    }
    auto space() const -> const wake_event & { return m_space; }

    // --- consumer

    /// Takes the oldest item; false when the ring is empty. Never blocks.
    auto tryPop(T &item) -> bool
    {
        const auto take = [&item](const cell &oldest) { item = std::move(oldest.value); };
        if (!m_queue.consume_one(take)) {
            return false;
        }
        if (m_producerAsleep.exchange(false)) {
            m_space.signal();
        }
        return true;
    }
    /// Asks for a signal on items() at the next push; false when an item is there already.
    auto awaitItems() -> bool
    {
        m_consumerAsleep.exchange(true);
        if (m_queue.read_available() == 0) {
            return true;
        }
        m_consumerAsleep.exchange(false);
        return false;
    }
    auto items() const -> const wake_event & { return m_items; }

private:
    // spsc_queue 1.81 copies what it is given; a copy of a cell moves.
    struct cell
    {
        explicit cell(T &&item)
            : value(std::move(item))
        { }
        cell(const cell &other) noexcept
            : value(std::move(other.value))
        { }
        auto operator=(const cell &other) noexcept -> cell & = delete;
        ~cell() = default;
        mutable T value;
    };

    boost::lockfree::spsc_queue<cell> m_queue;
    std::atomic<bool> m_consumerAsleep{false};
    std::atomic<bool> m_producerAsleep{false};
    wake_event m_items;
    wake_event m_space;
};

} // namespace marjoram

MARJORAM_ERROR_ENUM(marjoram::ring_error)
