#pragma once

#include <algorithm>

namespace marjoram {

/// Limits on the retries of one process.
struct retry_budget_options
{
    /// Retries allowed per first attempt.
    double ratio = 0.1;
    /// Capacity of the bucket, which is full at the start.
    double burst = 50.0;
};

/// Token bucket filled by first attempts and drained by retries, so that retries cannot amplify an
/// overload. Not thread safe: belongs to one duty.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_options options)
        : m_options(options)
        , m_tokens(options.burst)
    { }
    auto recordFirstAttempt() -> void
    {
        m_tokens = std::min(m_options.burst, m_tokens + m_options.ratio);
    }
    /// Takes one retry from the budget; false if it is exhausted.
    auto tryAcquire() -> bool
    {
        if (m_tokens < 1.0) {
            return false;
        }
        m_tokens -= 1.0;
        return true;
    }

private:
    retry_budget_options m_options;
    double m_tokens;
};

} // namespace marjoram
