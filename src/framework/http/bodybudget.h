#pragma once

#include <algorithm>
#include <cstdint>

namespace marjoram {

/// Bounds on the request bodies that a server holds at once.
struct body_budget_options
{
    /// All bodies together; 0: no bound.
    std::uint64_t totalBytes = 0;
    /// Largest body that counts as small.
    std::uint64_t smallBytes = 64 * 1024;
    /// Share of the budget that larger bodies leave to small ones.
    std::uint64_t smallPercent = 25;
};

/// Counts the bytes of request bodies that are being read, waiting or in flight. Handles any number
/// of requests; decides only by bytes. Not thread safe.
class body_budget
{
public:
    /// Takes what a body needs beyond what it holds; false when there is no room, and then nothing
    /// changes. Precondition: `held` is what this body was granted so far.
    auto grow(std::uint64_t held, std::uint64_t needed, const body_budget_options &options) -> bool
    {
        const auto more = needed - std::min(held, needed);
        constexpr std::uint64_t PERCENT = 100;
        const auto reserved
            = needed > options.smallBytes ? options.totalBytes / PERCENT * options.smallPercent : 0;
        const auto room = options.totalBytes - reserved;
        if (more == 0) {
            return true;
        }
        if (options.totalBytes > 0 && (m_heldBytes > room || more > room - m_heldBytes)) {
            return false;
        }
        m_heldBytes += more;
        return true;
    }
    /// Precondition: `bytes` were granted.
    auto release(std::uint64_t bytes) -> void { m_heldBytes -= bytes; }
    auto heldBytes() const -> std::uint64_t { return m_heldBytes; }

private:
    std::uint64_t m_heldBytes = 0;
};

} // namespace marjoram
