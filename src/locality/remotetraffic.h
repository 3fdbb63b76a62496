#pragma once

#include "locality/spillovertypes.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <tuple>

namespace marjoram {

/// Requests and bytes of responses between data centres. Thread safe.
class remote_traffic
{
public:
    auto record(const std::string &from, const std::string &to, spill_reason reason,
                std::int64_t requests, std::int64_t bytes) -> void;
    /// Appends the counters in the Prometheus text format.
    auto render(std::string &out) const -> void;

private:
    /// Names of data centres come from other processes; beyond this number of rows they are
    /// counted as "other".
    static constexpr std::size_t MAX_ROWS = 256;

    struct counters
    {
        std::int64_t requests = 0;
        std::int64_t bytes = 0;
    };

    mutable std::mutex m_mutex;
    std::map<std::tuple<std::string, std::string, spill_reason>, counters> m_rows;
};

} // namespace marjoram
