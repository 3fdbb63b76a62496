#include "membership/linktargets.h"

#include "framework/global/identifiers.h"

#include <algorithm>
#include <set>

namespace marjoram {

namespace {

auto hostsOfRole(const host_list &hosts, process_role role, std::string_view excludedHost)
    -> std::vector<std::string>
{
    std::vector<std::string> out;
    for (const auto &entry : hosts.hosts) {
        if (entry.role == role && entry.host != excludedHost) {
            out.push_back(entry.host);
        }
    }
    return out;
}

auto isLive(const host_list &hosts, const std::string &host) -> bool
{
    return std::any_of(hosts.hosts.begin(), hosts.hosts.end(), [&host](const host_entry &entry) {
        return entry.host == host && entry.state == host_state::live;
    });
}

/// Link targets for the named hosts. Hosts that are not in the list are left out.
auto withAddresses(const std::set<std::string> &names, const host_list &hosts)
    -> std::vector<link_target>
{
    std::vector<link_target> out;
    for (const auto &entry : hosts.hosts) {
        if (names.contains(entry.host)) {
            out.push_back({.host = entry.host, .where = entry.inner});
        }
    }
    return out;
}

auto insertAll(std::set<std::string> &to, const std::vector<std::string> &names) -> void
{
    to.insert(names.begin(), names.end());
}

} // namespace

auto rendezvous(std::vector<std::string> names, std::string_view key, std::size_t count)
    -> std::vector<std::string>
{
    struct scored_name
    {
        std::uint64_t score = 0;
        std::string name;
    };
    std::vector<scored_name> scored;
    for (auto &name : names) {
        const auto score = stableHash(key, stableHash(name));
        scored.push_back({.score = score, .name = std::move(name)});
    }
    std::sort(scored.begin(), scored.end(), [](const scored_name &a, const scored_name &b) {
        return a.score != b.score ? a.score > b.score : a.name < b.name;
    });
    scored.resize(std::min(scored.size(), count));
    std::vector<std::string> out;
    for (auto &one : scored) {
        out.push_back(std::move(one.name));
    }
    return out;
}

auto hostsOfModel(const manifest &current, const host_list &hosts, const model_entry &model)
    -> std::vector<std::string>
{
    std::vector<std::string> live;
    for (const auto &server : current.backendServers) {
        if (server.kind == backend_server_kind::engine && isLive(hosts, server.host)) {
            live.push_back(server.host);
        }
    }
    return rendezvous(std::move(live), model.name, model.replicas);
}

auto entryTargets(std::string_view self, const manifest *current, const host_list &hosts,
                  const link_target_options &options) -> std::vector<link_target>
{
    std::set<std::string> chosen;
    insertAll(chosen,
              rendezvous(hostsOfRole(hosts, process_role::entry, self), self, options.entryPeers));
    if (!current) {
        // Without a manifest, link to some agents as well: any process may have one.
        insertAll(chosen, rendezvous(hostsOfRole(hosts, process_role::agent, self), self,
                                     options.entryPeers));
        return withAddresses(chosen, hosts);
    }
    for (const auto &model : current->models) {
        insertAll(chosen,
                  rendezvous(hostsOfModel(*current, hosts, model), self, options.enginesPerModel));
    }
    for (const auto &server : current->backendServers) {
        if (server.kind == backend_server_kind::service) {
            chosen.insert(server.host);
        }
    }
    // Every agent is linked from at least one entry, so that it gets the configuration.
    const auto entries = hostsOfRole(hosts, process_role::entry, {});
    for (const auto &agent : hostsOfRole(hosts, process_role::agent, {})) {
        const auto linkingEntries = rendezvous(entries, agent, options.entryPeers);
        if (std::find(linkingEntries.begin(), linkingEntries.end(), self) != linkingEntries.end()) {
            chosen.insert(agent);
        }
    }
    return withAddresses(chosen, hosts);
}

auto agentTargets(std::string_view self, const manifest *current, const host_list &hosts)
    -> std::vector<link_target>
{
    std::set<std::string> chosen;
    if (!current) {
        return {};
    }
    for (const auto &service : current->services) {
        const auto &placements = service.placements;
        const auto &newest = placements.front();
        if (std::find(newest.begin(), newest.end(), self) == newest.end()) {
            continue;
        }
        for (std::size_t i = 1; i < placements.size(); ++i) {
            insertAll(chosen, placements[i]);
        }
    }
    chosen.erase(std::string(self));
    return withAddresses(chosen, hosts);
}

auto isWatcher(std::string_view self, const host_list &hosts, const link_target_options &options)
    -> bool
{
    std::vector<std::string> live;
    for (const auto &entry : hosts.hosts) {
        if (entry.role == process_role::entry && entry.state == host_state::live) {
            live.push_back(entry.host);
        }
    }
    const auto watchers = rendezvous(std::move(live), "watcher", options.watchers);
    return std::find(watchers.begin(), watchers.end(), self) != watchers.end();
}

} // namespace marjoram
