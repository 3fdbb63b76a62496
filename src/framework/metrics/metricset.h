#pragma once

#include "framework/global/enumnames.h"

#include <atomic>
#include <cstdint>
#include <string>

namespace marjoram {

/// Numbers of a process, one per enumerator of E: counters and gauges. Thread safe.
template <named_enum E>
class metric_set
{
public:
    auto add(E metric, std::int64_t amount = 1) -> void
    {
        at(metric).fetch_add(amount, std::memory_order_relaxed);
    }
    auto set(E metric, std::int64_t value) -> void
    {
        at(metric).store(value, std::memory_order_relaxed);
    }
    auto value(E metric) const -> std::int64_t
    {
        return m_values[static_cast<std::size_t>(metric)].load(std::memory_order_relaxed);
    }
    /// Appends the set in the Prometheus text format.
    auto render(std::string &out) const -> void
    {
        for (const auto &row : namesOf(E{})) {
            out.append("marjoram_").append(row.name).append(" ");
            out.append(std::to_string(value(row.value))).append("\n");
        }
    }

private:
    auto at(E metric) -> std::atomic<std::int64_t> &
    {
        return m_values[static_cast<std::size_t>(metric)];
    }

    std::array<std::atomic<std::int64_t>,
               std::tuple_size_v<std::remove_cvref_t<decltype(namesOf(E{}))>>>
        m_values{};
};

} // namespace marjoram
