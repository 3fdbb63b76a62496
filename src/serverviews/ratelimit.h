#pragma once

#include "framework/global/clock.h"

#include <cstdint>

namespace marjoram {

/// What was last seen of the limit that a backend server states on the requests from all entries
/// together. Between processes, the later sighting wins.
struct server_rate_limit
{
    /// Requests per 1,000 seconds; 0 if the server states no limit.
    std::uint64_t milliPerSecond = 0;
    /// Time since it was seen, when it was sent.
    std::int64_t ageMs = 0;

    auto perSecond() const -> double
    {
        constexpr double MILLI = 1'000.0;
        return static_cast<double>(milliPerSecond) / MILLI;
    }
    /// Age at which a limit that no answer has confirmed is forgotten; long enough for some
    /// requests within the limit. Precondition: there is a limit.
    auto retentionUs() const -> std::int64_t
    {
        constexpr std::int64_t BASE_US = 10 * US_PER_SECOND;
        constexpr double CONFIRMING_REQUESTS = 4.0;
        return BASE_US
               + static_cast<std::int64_t>(CONFIRMING_REQUESTS / perSecond() * US_PER_SECOND);
    }

    template <typename Self, typename Visitor>
    static auto visitFields(Self &self, Visitor &&visit) -> void
    {
        visit(self.milliPerSecond);
        visit(self.ageMs);
    }
};

} // namespace marjoram
