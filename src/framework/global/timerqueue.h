#pragma once

#include "framework/global/clock.h"

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace marjoram {

/// Pending timeouts by key; at most one per key. Not thread safe.
template <typename Key>
class timer_queue
{
public:
    /// Sets or moves the timeout of a key.
    auto set(const Key &key, time_us when) -> void
    {
        cancel(key);
        m_times.emplace(key, when);
        m_order.emplace(when, key);
    }
    auto cancel(const Key &key) -> void
    {
        const auto found = m_times.find(key);
        if (found == m_times.end()) {
            return;
        }
        m_order.erase({found->second, key});
        m_times.erase(found);
    }
    /// Takes one key whose time has come.
    auto popDue(time_us now) -> std::optional<Key>
    {
        if (m_order.empty() || m_order.begin()->first > now) {
            return std::nullopt;
        }
        const auto key = m_order.begin()->second;
        cancel(key);
        return key;
    }
    /// Earliest timeout.
    auto next() const -> std::optional<time_us>
    {
        return m_order.empty() ? std::nullopt : std::optional(m_order.begin()->first);
    }

private:
    std::set<std::pair<time_us, Key>> m_order;
    std::map<Key, time_us> m_times;
};

} // namespace marjoram
