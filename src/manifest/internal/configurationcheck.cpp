#include "manifest/configurationcheck.h"

#include <algorithm>
#include <boost/pfr.hpp>
#include <map>
#include <set>

namespace marjoram {

namespace {

using warning_list = std::vector<configuration_warning>;
using difference_list = std::vector<configuration_difference>;

auto labelOf(const route_entry &route) -> std::string
{
    return route.name.empty() ? route.host + route.pathPrefix : route.name;
}
auto labelOf(const pool_entry &pool) -> std::string
{
    return pool.name;
}
auto labelOf(const team_keys &team) -> std::string
{
    return team.name;
}

constexpr auto sectionOf(const route_entry &) -> configuration_section
{
    return configuration_section::routes;
}
constexpr auto sectionOf(const pool_entry &) -> configuration_section
{
    return configuration_section::pools;
}
constexpr auto sectionOf(const team_keys &) -> configuration_section
{
    return configuration_section::teams;
}

template <typename Entry>
concept listed_entry = requires(const Entry &entry)
{
    {
        labelOf(entry)
        } -> std::same_as<std::string>;
    {
        sectionOf(entry)
        } -> std::same_as<configuration_section>;
};

template <listed_entry Entry>
auto placeOf(const std::vector<Entry> &entries, std::size_t index) -> configuration_place
{
    const auto &entry = entries[index];
    return {.section = sectionOf(entry), .index = index, .name = labelOf(entry)};
}

auto findPool(const route_table_content &content, std::string_view name) -> const pool_entry *
{
    const auto found = std::find_if(content.pools.begin(), content.pools.end(),
                                    [name](const pool_entry &pool) { return pool.name == name; });
    return found == content.pools.end() ? nullptr : &*found;
}

/// Warning about an entry that needs only the entry itself.
template <typename Entry>
struct entry_rule
{
    warning_kind kind;
    auto(*applies)(const Entry &) -> bool;
};

/// Forwarding sends such a request a second time only if it can be repeated or resumed.
auto allowsRetry(const route_entry &route) -> bool
{
    return route.kind == work_kind::repeatable
           || (route.kind == work_kind::generation && route.resumable);
}

auto hasNoWeight(const route_entry &route) -> bool
{
    return std::all_of(route.pools.begin(), route.pools.end(),
                       [](const pool_share &share) { return share.weight == 0; });
}

constexpr std::array ROUTE_RULES{
    entry_rule<route_entry>{
        warning_kind::latency_target_above_time_limit,
        [](const route_entry &route) { return route.latencyTargetMs > route.timeoutMs; }},
    entry_rule<route_entry>{
        warning_kind::pause_target_above_time_limit,
        [](const route_entry &route) { return route.pauseTargetMs > route.timeoutMs; }},
    entry_rule<route_entry>{
        warning_kind::attempts_without_retry,
        [](const route_entry &route) { return route.attempts > 1 && !allowsRetry(route); }},
    entry_rule<route_entry>{warning_kind::all_weights_zero, hasNoWeight},
    entry_rule<route_entry>{warning_kind::resumable_not_generation,
                            [](const route_entry &route) {
                                return route.resumable && route.kind != work_kind::generation;
                            }},
};
constexpr std::array POOL_RULES{
    entry_rule<pool_entry>{
        warning_kind::cold_rate_without_period,
        [](const pool_entry &pool) { return pool.coldPerSecond > 0.0 && pool.coldStartMs == 0; }},
    entry_rule<pool_entry>{
        warning_kind::cold_period_without_rate,
        [](const pool_entry &pool) { return pool.coldStartMs > 0 && pool.coldPerSecond == 0.0; }},
};
constexpr std::array TEAM_RULES{
    entry_rule<team_keys>{warning_kind::team_without_keys,
                          [](const team_keys &team) { return team.keys.empty(); }},
};

template <listed_entry Entry, std::size_t Size>
auto applyRules(const std::array<entry_rule<Entry>, Size> &rules, const std::vector<Entry> &entries,
                warning_list &out) -> void
{
    for (std::size_t i = 0; i < entries.size(); ++i) {
        for (const auto &rule : rules) {
            if (rule.applies(entries[i])) {
                out.push_back({.kind = rule.kind, .place = placeOf(entries, i)});
            }
        }
    }
}

auto findRepeatedRoutes(const std::vector<route_entry> &routes, warning_list &out) -> void
{
    std::map<std::pair<std::string_view, std::string_view>, std::size_t> firstRoutes;
    for (std::size_t i = 0; i < routes.size(); ++i) {
        const auto [first, isNew]
            = firstRoutes.try_emplace({routes[i].host, routes[i].pathPrefix}, i);
        if (!isNew) {
            out.push_back({.kind = warning_kind::route_repeated,
                           .place = placeOf(routes, i),
                           .related = labelOf(routes[first->second])});
        }
    }
}

/// Whether a second attempt can be sent to a pool; a request stays in the pool of its first one.
auto takesSecondAttempt(const route_table_content &content, const route_entry &route,
                        const pool_share &share) -> bool
{
    const auto *pool = share.weight > 0 ? findPool(content, share.pool) : nullptr;
    return pool && (route.kind != work_kind::generation || pool->engine);
}

auto checkShares(const route_table_content &content, std::size_t index, warning_list &out) -> void
{
    const auto &route = content.routes[index];
    const auto place = placeOf(content.routes, index);
    const auto allZero = hasNoWeight(route);
    for (const auto &share : route.pools) {
        if (!findPool(content, share.pool)) {
            out.push_back(
                {.kind = warning_kind::pool_unknown, .place = place, .related = share.pool});
        }
        if (share.weight == 0 && !allZero) {
            out.push_back(
                {.kind = warning_kind::pool_weight_zero, .place = place, .related = share.pool});
        }
    }
    const auto canRetry
        = std::any_of(route.pools.begin(), route.pools.end(), [&](const pool_share &share) {
              return takesSecondAttempt(content, route, share);
          });
    if (route.attempts > 1 && allowsRetry(route) && !canRetry) {
        out.push_back({.kind = warning_kind::attempts_without_pool, .place = place});
    }
}

auto findUnusedPools(const route_table_content &content, warning_list &out) -> void
{
    std::set<std::string_view> used;
    for (const auto &route : content.routes) {
        for (const auto &share : route.pools) {
            used.insert(share.pool);
        }
    }
    for (std::size_t i = 0; i < content.pools.size(); ++i) {
        if (!used.contains(content.pools[i].name)) {
            out.push_back({.kind = warning_kind::pool_unused, .place = placeOf(content.pools, i)});
        }
    }
}

/// Two teams get one warning, however many keys they share.
auto findSharedKeys(const std::vector<team_keys> &teams, warning_list &out) -> void
{
    std::map<std::string_view, std::size_t> owners;
    std::set<std::pair<std::size_t, std::size_t>> reported;
    for (std::size_t i = 0; i < teams.size(); ++i) {
        for (const auto &key : teams[i].keys) {
            const auto owner = owners.try_emplace(key, i).first->second;
            if (owner != i && reported.emplace(owner, i).second) {
                out.push_back({.kind = warning_kind::key_shared,
                               .place = placeOf(teams, i),
                               .related = labelOf(teams[owner])});
            }
        }
    }
}

auto findWarnings(const route_table_content &content, warning_list &out) -> void
{
    findRepeatedRoutes(content.routes, out);
    applyRules(ROUTE_RULES, content.routes, out);
    for (std::size_t i = 0; i < content.routes.size(); ++i) {
        checkShares(content, i, out);
    }
    findUnusedPools(content, out);
    applyRules(POOL_RULES, content.pools, out);
    applyRules(TEAM_RULES, content.teams, out);
    findSharedKeys(content.teams, out);
    if (content.bounds.headerBytes > content.bounds.bodyBytes) {
        out.push_back({.kind = warning_kind::header_limit_above_body_limit,
                       .place = {.section = configuration_section::bounds}});
    }
}

/// How a field is compared.
template <typename Entry>
struct field_row
{
    configuration_field field;
    auto(*differs)(const Entry &, const Entry &) -> bool;
};

template <auto Member>
constexpr auto differs = [](const auto &a, const auto &b) { return a.*Member != b.*Member; };

auto keysDiffer(const team_keys &a, const team_keys &b) -> bool
{
    return std::set<std::string_view>(a.keys.begin(), a.keys.end())
           != std::set<std::string_view>(b.keys.begin(), b.keys.end());
}

using field = configuration_field;
constexpr std::array ROUTE_FIELDS{
    field_row<route_entry>{field::host, differs<&route_entry::host>},
    field_row<route_entry>{field::path_prefix, differs<&route_entry::pathPrefix>},
    field_row<route_entry>{field::kind, differs<&route_entry::kind>},
    field_row<route_entry>{field::time_limit, differs<&route_entry::timeoutMs>},
    field_row<route_entry>{field::latency_target, differs<&route_entry::latencyTargetMs>},
    field_row<route_entry>{field::pause_target, differs<&route_entry::pauseTargetMs>},
    field_row<route_entry>{field::attempts, differs<&route_entry::attempts>},
    field_row<route_entry>{field::urgency, differs<&route_entry::urgency>},
    field_row<route_entry>{field::pools, differs<&route_entry::pools>},
    field_row<route_entry>{field::open, differs<&route_entry::open>},
    field_row<route_entry>{field::resumable, differs<&route_entry::resumable>},
};
constexpr std::array POOL_FIELDS{
    field_row<pool_entry>{field::connection_limit, differs<&pool_entry::connectionLimit>},
    field_row<pool_entry>{field::cold_rate, differs<&pool_entry::coldPerSecond>},
    field_row<pool_entry>{field::cold_period, differs<&pool_entry::coldStartMs>},
    field_row<pool_entry>{field::engine,
                          [](const pool_entry &a, const pool_entry &b) {
                              return a.engine.has_value() != b.engine.has_value();
                          }},
};
constexpr std::array ENGINE_FIELDS{
    field_row<engine_traits>{field::slots, differs<&engine_traits::slots>},
    field_row<engine_traits>{field::memory_tokens, differs<&engine_traits::memoryTokens>},
    field_row<engine_traits>{field::bytes_per_token, differs<&engine_traits::bytesPerToken>},
    field_row<engine_traits>{field::link_speed, differs<&engine_traits::linkMbps>},
    field_row<engine_traits>{field::moves, differs<&engine_traits::moves>},
    field_row<engine_traits>{field::tokens_per_event, differs<&engine_traits::tokensPerEvent>},
    field_row<engine_traits>{field::models, differs<&engine_traits::models>},
};
constexpr std::array TEAM_FIELDS{
    field_row<team_keys>{field::keys, keysDiffer},
    field_row<team_keys>{field::urgency, differs<&team_keys::urgency>},
};
constexpr std::array BOUNDS_FIELDS{
    field_row<caller_bounds>{field::header_bytes, differs<&caller_bounds::headerBytes>},
    field_row<caller_bounds>{field::body_bytes, differs<&caller_bounds::bodyBytes>},
    field_row<caller_bounds>{field::header_timeout, differs<&caller_bounds::headerTimeoutMs>},
    field_row<caller_bounds>{field::idle_timeout, differs<&caller_bounds::idleTimeoutMs>},
};

/// Whether a table has a row for each member of its entry, except the name. Without this, changes
/// of a member that is added later would not be reported.
template <typename Entry, std::size_t Size>
constexpr auto isComplete(const std::array<field_row<Entry>, Size> &, std::size_t names) -> bool
{
    return boost::pfr::tuple_size_v<Entry> == Size + names;
}
static_assert(isComplete(ROUTE_FIELDS, 1));
static_assert(isComplete(POOL_FIELDS, 1));
static_assert(isComplete(ENGINE_FIELDS, 0));
static_assert(isComplete(TEAM_FIELDS, 1));
static_assert(isComplete(BOUNDS_FIELDS, 0));
// Version, routes, pools, teams, bounds and whether keys are required.
static_assert(boost::pfr::tuple_size_v<route_table_content> == 6);

template <typename Entry, std::size_t Size>
auto changedIn(const std::array<field_row<Entry>, Size> &rows, const Entry &a, const Entry &b,
               std::vector<configuration_field> &out) -> void
{
    for (const auto &row : rows) {
        if (row.differs(a, b)) {
            out.push_back(row.field);
        }
    }
}

auto changedFields(const route_entry &a, const route_entry &b) -> std::vector<configuration_field>
{
    std::vector<configuration_field> out;
    changedIn(ROUTE_FIELDS, a, b, out);
    return out;
}

auto changedFields(const pool_entry &a, const pool_entry &b) -> std::vector<configuration_field>
{
    std::vector<configuration_field> out;
    changedIn(POOL_FIELDS, a, b, out);
    if (a.engine && b.engine) {
        changedIn(ENGINE_FIELDS, *a.engine, *b.engine, out);
    }
    return out;
}

auto changedFields(const team_keys &a, const team_keys &b) -> std::vector<configuration_field>
{
    std::vector<configuration_field> out;
    changedIn(TEAM_FIELDS, a, b, out);
    return out;
}

auto addChange(configuration_place place, std::vector<configuration_field> fields,
               difference_list &out) -> void
{
    if (!fields.empty()) {
        out.push_back({.place = std::move(place), .fields = std::move(fields)});
    }
}

/// Entries of the same name are paired in their order.
template <listed_entry Entry>
auto compareLists(const std::vector<Entry> &entries, const std::vector<Entry> &inForce,
                  difference_list &out) -> void
{
    std::multimap<std::string, std::size_t> unmatched;
    for (std::size_t i = 0; i < inForce.size(); ++i) {
        unmatched.emplace(labelOf(inForce[i]), i);
    }
    for (std::size_t i = 0; i < entries.size(); ++i) {
        const auto found = unmatched.lower_bound(labelOf(entries[i]));
        if (found == unmatched.end() || found->first != labelOf(entries[i])) {
            out.push_back({.change = change_kind::added, .place = placeOf(entries, i)});
            continue;
        }
        addChange(placeOf(entries, i), changedFields(entries[i], inForce[found->second]), out);
        unmatched.erase(found);
    }
    for (const auto &[label, index] : unmatched) {
        out.push_back({.change = change_kind::removed, .place = placeOf(inForce, index)});
    }
}

auto findDifferences(const route_table_content &content, const route_table_content &inForce,
                     difference_list &out) -> void
{
    if (content.keysRequired != inForce.keysRequired) {
        addChange({.section = configuration_section::access}, {field::keys_required}, out);
    }
    compareLists(content.routes, inForce.routes, out);
    compareLists(content.pools, inForce.pools, out);
    compareLists(content.teams, inForce.teams, out);
    std::vector<configuration_field> bounds;
    changedIn(BOUNDS_FIELDS, content.bounds, inForce.bounds, bounds);
    addChange({.section = configuration_section::bounds}, std::move(bounds), out);
}

} // namespace

auto checkConfiguration(const route_table_content &content, const route_table_content *inForce)
    -> configuration_findings
{
    configuration_findings out;
    findWarnings(content, out.warnings);
    if (!inForce) {
        return out;
    }
    if (content.version <= inForce->version) {
        out.warnings.push_back({.kind = warning_kind::version_not_newer,
                                .place = {.section = configuration_section::version}});
    }
    findDifferences(content, *inForce, out.differences);
    return out;
}

} // namespace marjoram
