#pragma once

#include "framework/global/enumnames.h"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marjoram {

/// What is done with a request when its outcome is unknown: it is sent again, never sent again, or
/// resumed as far as its route allows.
enum class work_kind { repeatable, at_most_once, generation };
inline constexpr std::array workKindNames{
    enum_name<work_kind>{work_kind::repeatable, "repeatable"},
    enum_name<work_kind>{work_kind::at_most_once, "at_most_once"},
    enum_name<work_kind>{work_kind::generation, "generation"},
};
constexpr auto namesOf(work_kind) -> const auto &
{
    return workKindNames;
}

/// Weight of a pool among the pools of a route.
struct pool_share
{
    std::string pool;
    std::uint32_t weight = 1;

    auto operator==(const pool_share &) const -> bool = default;
};

/// Route of the requests for one host and path prefix.
struct route_entry
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    work_kind kind = work_kind::at_most_once;
    /// Total time limit of a request.
    std::int64_t timeoutMs = 0;
    /// Target time to the answer, or to a generation's first event.
    std::int64_t latencyTargetMs = 0;
    /// Target for the longest pause between a generation's events; callers notice longer ones.
    std::int64_t pauseTargetMs = 0;
    /// Number of backend servers to which one request may be sent.
    std::uint32_t attempts = 1;
    /// 0 is the most urgent.
    std::uint32_t urgency = 0;
    std::vector<pool_share> pools;
    /// Whether callers may omit the key.
    bool open = false;
    /// Whether an interrupted generation may be restarted after its last event.
    bool resumable = false;
};

/// Capabilities of the engines in a pool.
struct engine_traits
{
    std::uint32_t slots = 1;
    std::uint64_t memoryTokens = 0;
    std::uint64_t bytesPerToken = 0;
    double linkMbps = 0.0;
    /// Whether a running generation's memory can be copied to another engine.
    bool moves = false;
    std::uint32_t tokensPerEvent = 1;
    std::vector<std::string> models;
};

/// Pool of interchangeable backend servers.
struct pool_entry
{
    std::string name;
    /// Connections that one backend server accepts from all processes together.
    std::uint32_t connectionLimit = 0;
    std::optional<engine_traits> engine;
    /// Requests a second that a server sustains from all entries together while it is cold, and for
    /// how long it is after its start; 0: no limit.
    double coldPerSecond = 0.0;
    std::int64_t coldStartMs = 0;
};

/// A team, its API keys and its urgency.
struct team_keys
{
    std::string name;
    std::vector<std::string> keys;
    /// Overrides the urgency of the route.
    std::optional<std::uint32_t> urgency;
};

/// Size and time limits for callers' requests.
struct caller_bounds
{
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 4 * 1024 * 1024;
    std::int64_t headerTimeoutMs = 3'000;
    std::int64_t idleTimeoutMs = 15'000;
};

/// Content of a route table.
struct route_table_content
{
    std::uint64_t version = 0;
    std::vector<route_entry> routes;
    std::vector<pool_entry> pools;
    std::vector<team_keys> teams;
    caller_bounds bounds;
    /// Whether callers need keys, except on open routes.
    bool keysRequired = false;
};

/// Routes, pools and teams of a configuration. Immutable, so all functions are thread safe; what
/// they return lives as long as the table.
class route_table
{
public:
    explicit route_table(route_table_content content);

    auto version() const -> std::uint64_t { return m_content.version; }
    auto content() const -> const route_table_content & { return m_content; }
    /// Route of the host with the longest prefix that matches the path, or null.
    auto findRoute(std::string_view host, std::string_view path) const -> const route_entry *;
    /// Team that owns a key, or null.
    auto findTeam(std::string_view key) const -> const team_keys *;
    /// Pool with a name, or null.
    auto findPool(std::string_view name) const -> const pool_entry *;
    /// The only pool whose engines serve all of these models; null if several do, or none, or no
    /// model is given.
    auto findPoolOf(const std::vector<std::string> &models) const -> const pool_entry *;

private:
    route_table_content m_content;
    /// Route indexes by host, longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> m_routesByHost;
    std::unordered_map<std::string, std::size_t> m_teamByKey;
};

using route_table_ptr = std::shared_ptr<const route_table>;

} // namespace marjoram
