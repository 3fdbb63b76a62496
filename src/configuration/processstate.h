#pragma once

#include <atomic>

namespace marjoram {

/// What every duty of a process may read. Thread safe.
struct process_state
{
    std::atomic<bool> ready{false};
    std::atomic<bool> draining{false};
    /// Nothing is in flight any more: a draining process may end.
    std::atomic<bool> drained{false};
};

} // namespace marjoram
