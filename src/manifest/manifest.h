#pragma once

#include "framework/global/failure.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace marjoram {

/// Kind of the backend server that an agent serves.
enum class backend_server_kind { engine, service };
inline constexpr std::array backendServerKindNames{
    enum_name<backend_server_kind>{backend_server_kind::engine, "engine"},
    enum_name<backend_server_kind>{backend_server_kind::service, "service"},
};
constexpr auto namesOf(backend_server_kind) -> const auto &
{
    return backendServerKindNames;
}

/// Service levels of one rank.
struct rank_entry
{
    /// Minimum share of service for this rank while the other one is overloaded.
    double leastShare = 0.0;
    std::uint32_t firstTokenMs = 0;
    /// Longest wait for a generation's first token or a call's answer.
    std::uint32_t deadlineMs = 0;
};

/// A team, its credentials and its limits.
struct team_entry
{
    std::string name;
    std::uint32_t weight = 1;
    std::vector<std::string> credentialSha256;
    rank highestRank = rank::standard;
    /// Longest queue of its requests at one entry.
    std::uint32_t maxWaiting = 0;
};

struct adapter_entry
{
    std::string name;
    std::string version;
};

/// A model that callers may request.
struct model_entry
{
    std::string name;
    std::string version;
    std::vector<adapter_entry> adapters;
    std::uint32_t contextTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    /// Engines that have the model loaded.
    std::uint32_t replicas = 0;
};

/// A service that answers calls, as opposed to an engine that runs generations.
struct service_entry
{
    std::string name;
    /// Whether its calls may be repeated.
    bool idempotent = false;
    rank workRank = rank::urgent;
    std::uint32_t timeoutMs = 0;
    /// Hosts that serve it, newest placement first. Earlier placements stay listed while calls
    /// whose keys were issued under them may still be retried.
    std::vector<std::vector<std::string>> placements;
};

/// A backend server and the host it is on.
struct backend_server_entry
{
    std::string host;
    backend_server_kind kind = backend_server_kind::engine;
    std::string dataCentre;
    /// Whether it rejects requests with an outdated fencing token.
    bool checksFence = false;
};

/// An approved configuration. Immutable once built.
struct manifest
{
    std::uint64_t version = 0;
    std::array<rank_entry, RANK_COUNT> ranks;
    std::vector<team_entry> teams;
    std::vector<model_entry> models;
    std::vector<service_entry> services;
    std::vector<backend_server_entry> backendServers;
    /// Limit on the model weight loads started per minute across all engines.
    std::uint32_t weightLoadsPerMinute = 1;

    auto rankOf(rank r) const -> const rank_entry & { return ranks[indexOf(r)]; }
    /// Lookups; each returns null if there is no such entry. Thread safe.
    auto findTeam(std::string_view name) const -> const team_entry *;
    auto findTeamByCredential(std::string_view sha256) const -> const team_entry *;
    auto findModel(std::string_view name) const -> const model_entry *;
    auto findService(std::string_view name) const -> const service_entry *;
    auto findBackendServer(std::string_view host) const -> const backend_server_entry *;
};

using manifest_ptr = std::shared_ptr<const manifest>;

} // namespace marjoram
