#pragma once

#include "framework/global/enumnames.h"
#include "framework/http/httptypes.h"
#include "serverviews/ratelimit.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace marjoram {

/// Whether a backend server accepts new work.
enum class server_state { ready, leaving };
inline constexpr std::array serverStateNames{
    enum_name<server_state>{server_state::ready, "ready"},
    enum_name<server_state>{server_state::leaving, "leaving"},
};
constexpr auto namesOf(server_state) -> const auto &
{
    return serverStateNames;
}

/// The software that a server process runs. What one version has begun, only the same version of
/// the same pool can continue.
struct server_software
{
    std::string pool;
    std::string version;

    friend auto operator==(const server_software &, const server_software &) -> bool = default;
    template <typename Self, typename Visitor>
    static auto visitFields(Self &self, Visitor &&visit) -> void
    {
        visit(self.pool);
        visit(self.version);
    }
};

/// A published backend server.
struct server_entry
{
    std::string id;
    std::string pool;
    endpoint address;
    std::string dataCentre;
    std::uint32_t slots = 1;
    server_state state = server_state::ready;
    /// Remaining time for which a newly started server is slow, counted from when the entry was
    /// written.
    std::int64_t warmUpLeftMs = 0;
    /// Start time of the process; tells a restarted server from its predecessor with the same id.
    std::int64_t bornUnixMs = 0;
    /// Version of the server's software; empty if the entry states none, unset if it is not known
    /// whether it states one.
    std::optional<std::string> softwareVersion;

    friend auto operator==(const server_entry &, const server_entry &) -> bool = default;
};

/// Whether requests can be addressed to the server of an entry: its address is that of one host,
/// and its id fits into a header field. Thread safe.
auto isAddressable(const server_entry &entry) -> bool;

/// Identity that a backend server reports.
struct server_identity
{
    std::string id;
    std::uint32_t slots = 0;
    /// Remaining time for which it is cold, if it states that.
    std::optional<std::int64_t> coldLeftMs;
};

/// A running generation, as reported by its engine.
struct server_run
{
    /// Id of the request.
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

/// State that an engine reports.
struct server_report
{
    /// Whether the engine responds to its reporter.
    bool answering = true;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Running generations that have produced nothing yet: their prompts are being read.
    std::uint32_t starting = 0;
    /// KV cache memory held by running generations and reservations.
    std::uint64_t usedTokens = 0;
    std::uint64_t capacityTokens = 0;
    /// KV cache memory that the first waiting request needs.
    std::uint64_t nextTokens = 0;
    server_state state = server_state::ready;
    /// Time until the engine shuts down, if known.
    std::optional<std::int64_t> leavesMs;
    std::int64_t bornUnixMs = 0;
    /// Running generations; reported only while the engine is leaving.
    std::vector<server_run> runs;
    /// Time since the engine was first seen leaving.
    std::int64_t leavingForMs = 0;
    /// Id of the request whose run may be moved now.
    std::string turn;
    /// Number of entries subscribed to these reports.
    std::uint32_t listeners = 0;
    /// Limit that entries have seen, and the time until the reporter grants a request within it.
    std::optional<server_rate_limit> rateLimit;
    std::int64_t limitedForMs = 0;
    /// Time that each run takes for one event at present; 0 if unknown.
    std::uint32_t usPerEvent = 0;
    /// Time that work takes on the engine's host at this moment, in percent of the usual one; 0 if
    /// the engine does not state it.
    std::uint32_t slowdownPercent = 0;
    /// Models that the engine serves.
    std::vector<std::string> models;
    /// Requests per 1,000 seconds that the reporter grants while the server is cold, 0 if it knows
    /// no such limit, and for how long the server is cold.
    std::uint64_t coldMilliPerSecond = 0;
    std::int64_t coldForMs = 0;
    /// Time since the server last answered its reporter, when the report was sent.
    std::int64_t answeredAgoMs = 0;
    /// Time from the sending of the report to its arrival, at most; unset if nothing shows it.
    std::optional<std::int64_t> delayMs = 0;
};

/// Load reported with a response.
struct load_sample
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// Time that work takes there at this moment, in percent of the usual one; unset if the server
    /// states none, 0 if what it states cannot be read.
    std::optional<std::uint32_t> slowdownPercent;
};

} // namespace marjoram
