#pragma once

#include "framework/global/pausedetector.h"

#include <atomic>

namespace marjoram {

/// State that is shared by all duties of a process. Thread safe.
struct process_state
{
    std::atomic<bool> ready{false};
    std::atomic<bool> draining{false};
    /// Nothing is in flight any more, so a draining process may exit.
    std::atomic<bool> drained{false};
    pause_detector pauses;
};

} // namespace marjoram
