#pragma once

#include "framework/global/enumnames.h"
#include "framework/http/httptypes.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace marjoram {

/// Whether a backend server takes new work.
enum class server_state { ready, leaving };
inline constexpr std::array serverStateNames{
    enum_name<server_state>{server_state::ready, "ready"},
    enum_name<server_state>{server_state::leaving, "leaving"},
};
constexpr auto namesOf(server_state) -> const auto &
{
    return serverStateNames;
}

/// A backend server as it is published.
struct server_entry
{
    std::string id;
    std::string pool;
    endpoint address;
    std::string dataCentre;
    std::uint32_t slots = 1;
    server_state state = server_state::ready;
    /// Time for which a started server is still slow, from when the entry was written.
    std::int64_t warmUpLeftMs = 0;
    /// Start of the process: tells a restarted server from its predecessor of the same id.
    std::int64_t bornUnixMs = 0;

    friend auto operator==(const server_entry &, const server_entry &) -> bool = default;
};

/// Who a backend server is, as it says itself.
struct server_identity
{
    std::string id;
    std::uint32_t slots = 0;
};

/// A generation on an engine, as the engine tells it.
struct server_run
{
    /// Id of the request that runs.
    std::string requestId;
    std::uint64_t memoryTokens = 0;
    std::uint64_t events = 0;

    template <typename Self, typename Visitor>
    static auto visitFields(Self &self, Visitor &&visit) -> void
    {
        visit(self.requestId);
        visit(self.memoryTokens);
        visit(self.events);
    }
};

/// An engine's own account of itself.
struct server_report
{
    /// Whether the engine answers the process beside it.
    bool answering = true;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Of those running, the ones that have made nothing yet: their prompts are being read.
    std::uint32_t starting = 0;
    /// Memory that running generations and reservations hold.
    std::uint64_t usedTokens = 0;
    std::uint64_t capacityTokens = 0;
    /// Memory that the first waiting request needs.
    std::uint64_t nextTokens = 0;
    server_state state = server_state::ready;
    /// Time until the engine is taken away, when it is known.
    std::optional<std::int64_t> leavesMs;
    std::int64_t bornUnixMs = 0;
    /// Running generations; told only while the engine is leaving.
    std::vector<server_run> runs;
    /// Time since it was first seen to leave.
    std::int64_t leavingForMs = 0;
    /// Id of the run that may be moved away now.
    std::string turn;
    /// Entries that hear these reports.
    std::uint32_t listeners = 0;
};

/// Load that comes along with an answer.
struct load_sample
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

} // namespace marjoram
