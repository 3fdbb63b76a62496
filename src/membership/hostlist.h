#pragma once

#include "framework/http/httptypes.h"
#include "innerprotocol/frames.h"

#include <string>
#include <vector>

namespace marjoram {

/// State of a host in the platform's list. A reclaimed host is taken away at short notice.
enum class host_state { live, leaving, reclaimed };
inline constexpr std::array hostStateNames{
    enum_name<host_state>{host_state::live, "live"},
    enum_name<host_state>{host_state::leaving, "leaving"},
    enum_name<host_state>{host_state::reclaimed, "reclaimed"},
};
constexpr auto namesOf(host_state) -> const auto &
{
    return hostStateNames;
}

/// Entry of the platform's host list. `inner` is the address for links of the process on the host.
struct host_entry
{
    std::string host;
    process_role role = process_role::agent;
    std::string dataCentre;
    endpoint inner;
    host_state state = host_state::live;

    friend auto operator==(const host_entry &, const host_entry &) -> bool = default;
};

/// The platform's list of hosts. It may be out of date.
struct host_list
{
    std::uint64_t revision = 0;
    std::vector<host_entry> hosts;
};

} // namespace marjoram
