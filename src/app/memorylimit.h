#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace marjoram {

/// Limit that a `memory.max` file of the kernel states; nothing for "max" or anything else. Thread
/// safe.
auto parseMemoryLimit(std::string_view text) -> std::optional<std::uint64_t>;

/// Memory limit of this process in bytes, from its control group; nothing where none is known.
/// Reads a file. Thread safe.
auto memoryLimitBytes() -> std::optional<std::uint64_t>;

/// Budget for request bodies of a process with a memory limit. Thread safe.
constexpr auto bodyBudgetFor(std::uint64_t limitBytes) -> std::uint64_t
{
    // A body is held once here and once more while it is written to a backend server; the rest is
    // for responses, connections and the process itself.
    constexpr std::uint64_t SHARE_PERCENT = 25;
    constexpr std::uint64_t PERCENT = 100;
    return limitBytes / PERCENT * SHARE_PERCENT;
}

} // namespace marjoram
