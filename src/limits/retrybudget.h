#pragma once

#include <algorithm>

namespace marjoram {

/// How many retries a process may add to its fresh work.
struct retry_budget_options
{
    /// Retries allowed per fresh request.
    double ratio = 0.1;
    /// Retries that may be saved up.
    double burst = 50.0;
};

/// Bucket filled by fresh requests and emptied by retries, so that retries cannot multiply an
/// overload. Not thread safe: belongs to one duty.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_options options)
        : m_options(options)
        , m_tokens(options.burst)
    { }
    auto recordFresh() -> void { m_tokens = std::min(m_options.burst, m_tokens + m_options.ratio); }
    /// Takes one retry; false when the budget is spent.
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
