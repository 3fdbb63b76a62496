#pragma once

#include "manifest/routetable.h"

#include <cstddef>
#include <string>
#include <vector>

namespace marjoram {

/// Entries and limits of a configuration that are read without an error, but cannot be meant.
enum class warning_kind {
    route_repeated,
    pool_unknown,
    pool_unused,
    team_without_keys,
    key_shared,
    latency_target_above_time_limit,
    pause_target_above_time_limit,
    attempts_without_retry,
    attempts_without_pool,
    pool_weight_zero,
    all_weights_zero,
    header_limit_above_body_limit,
    cold_rate_without_period,
    cold_period_without_rate,
    resumable_not_generation,
    version_not_newer,
};
inline constexpr std::array warningKindNames{
    enum_name<warning_kind>{warning_kind::route_repeated, "route_repeated"},
    enum_name<warning_kind>{warning_kind::pool_unknown, "pool_unknown"},
    enum_name<warning_kind>{warning_kind::pool_unused, "pool_unused"},
    enum_name<warning_kind>{warning_kind::team_without_keys, "team_without_keys"},
    enum_name<warning_kind>{warning_kind::key_shared, "key_shared"},
    enum_name<warning_kind>{warning_kind::latency_target_above_time_limit,
                            "latency_target_above_time_limit"},
    enum_name<warning_kind>{warning_kind::pause_target_above_time_limit,
                            "pause_target_above_time_limit"},
    enum_name<warning_kind>{warning_kind::attempts_without_retry, "attempts_without_retry"},
    enum_name<warning_kind>{warning_kind::attempts_without_pool, "attempts_without_pool"},
    enum_name<warning_kind>{warning_kind::pool_weight_zero, "pool_weight_zero"},
    enum_name<warning_kind>{warning_kind::all_weights_zero, "all_weights_zero"},
    enum_name<warning_kind>{warning_kind::header_limit_above_body_limit,
                            "header_limit_above_body_limit"},
    enum_name<warning_kind>{warning_kind::cold_rate_without_period, "cold_rate_without_period"},
    enum_name<warning_kind>{warning_kind::cold_period_without_rate, "cold_period_without_rate"},
    enum_name<warning_kind>{warning_kind::resumable_not_generation, "resumable_not_generation"},
    enum_name<warning_kind>{warning_kind::version_not_newer, "version_not_newer"},
};
constexpr auto namesOf(warning_kind) -> const auto &
{
    return warningKindNames;
}

/// Part of a configuration; `access` is whether callers need keys.
enum class configuration_section { version, access, routes, pools, teams, bounds };
inline constexpr std::array configurationSectionNames{
    enum_name<configuration_section>{configuration_section::version, "version"},
    enum_name<configuration_section>{configuration_section::access, "access"},
    enum_name<configuration_section>{configuration_section::routes, "routes"},
    enum_name<configuration_section>{configuration_section::pools, "pools"},
    enum_name<configuration_section>{configuration_section::teams, "teams"},
    enum_name<configuration_section>{configuration_section::bounds, "bounds"},
};
constexpr auto namesOf(configuration_section) -> const auto &
{
    return configurationSectionNames;
}

/// Fields whose change is reported.
enum class configuration_field {
    keys_required,
    host,
    path_prefix,
    kind,
    time_limit,
    latency_target,
    pause_target,
    attempts,
    urgency,
    pools,
    open,
    resumable,
    connection_limit,
    cold_rate,
    cold_period,
    engine,
    slots,
    memory_tokens,
    bytes_per_token,
    link_speed,
    moves,
    tokens_per_event,
    models,
    keys,
    header_bytes,
    body_bytes,
    header_timeout,
    idle_timeout,
};
inline constexpr std::array configurationFieldNames{
    enum_name<configuration_field>{configuration_field::keys_required, "keys_required"},
    enum_name<configuration_field>{configuration_field::host, "host"},
    enum_name<configuration_field>{configuration_field::path_prefix, "path_prefix"},
    enum_name<configuration_field>{configuration_field::kind, "kind"},
    enum_name<configuration_field>{configuration_field::time_limit, "time_limit"},
    enum_name<configuration_field>{configuration_field::latency_target, "latency_target"},
    enum_name<configuration_field>{configuration_field::pause_target, "pause_target"},
    enum_name<configuration_field>{configuration_field::attempts, "attempts"},
    enum_name<configuration_field>{configuration_field::urgency, "urgency"},
    enum_name<configuration_field>{configuration_field::pools, "pools"},
    enum_name<configuration_field>{configuration_field::open, "open"},
    enum_name<configuration_field>{configuration_field::resumable, "resumable"},
    enum_name<configuration_field>{configuration_field::connection_limit, "connection_limit"},
    enum_name<configuration_field>{configuration_field::cold_rate, "cold_rate"},
    enum_name<configuration_field>{configuration_field::cold_period, "cold_period"},
    enum_name<configuration_field>{configuration_field::engine, "engine"},
    enum_name<configuration_field>{configuration_field::slots, "slots"},
    enum_name<configuration_field>{configuration_field::memory_tokens, "memory_tokens"},
    enum_name<configuration_field>{configuration_field::bytes_per_token, "bytes_per_token"},
    enum_name<configuration_field>{configuration_field::link_speed, "link_speed"},
    enum_name<configuration_field>{configuration_field::moves, "moves"},
    enum_name<configuration_field>{configuration_field::tokens_per_event, "tokens_per_event"},
    enum_name<configuration_field>{configuration_field::models, "models"},
    enum_name<configuration_field>{configuration_field::keys, "keys"},
    enum_name<configuration_field>{configuration_field::header_bytes, "header_bytes"},
    enum_name<configuration_field>{configuration_field::body_bytes, "body_bytes"},
    enum_name<configuration_field>{configuration_field::header_timeout, "header_timeout"},
    enum_name<configuration_field>{configuration_field::idle_timeout, "idle_timeout"},
};
constexpr auto namesOf(configuration_field) -> const auto &
{
    return configurationFieldNames;
}

enum class change_kind { added, removed, changed };
inline constexpr std::array changeKindNames{
    enum_name<change_kind>{change_kind::added, "added"},
    enum_name<change_kind>{change_kind::removed, "removed"},
    enum_name<change_kind>{change_kind::changed, "changed"},
};
constexpr auto namesOf(change_kind) -> const auto &
{
    return changeKindNames;
}

/// Place in a configuration.
struct configuration_place
{
    configuration_section section = configuration_section::version;
    /// Position in the list of routes, pools or teams; nothing for the other sections.
    std::optional<std::size_t> index;
    /// Name of the entry; of a route without one its host and path prefix.
    std::string name;
};

struct configuration_warning
{
    warning_kind kind = warning_kind::route_repeated;
    configuration_place place;
    /// Name of the other entry that the warning concerns, or empty.
    std::string related;
};

/// Difference to the configuration in force. The place of a removed entry is its place there.
struct configuration_difference
{
    change_kind change = change_kind::changed;
    configuration_place place;
    /// Fields that changed; empty for what was added or removed.
    std::vector<configuration_field> fields;
};

/// Never contains a team's keys.
struct configuration_findings
{
    std::vector<configuration_warning> warnings;
    std::vector<configuration_difference> differences;
};

/// Checks a configuration for entries that have no effect and limits that contradict each other,
/// and compares it with the one in force, unless that is null. Routes, pools and teams are compared
/// by name. Thread safe.
auto checkConfiguration(const route_table_content &content,
                        const route_table_content *inForce = nullptr) -> configuration_findings;

} // namespace marjoram
