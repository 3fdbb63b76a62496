#pragma once

#include "links/linkevents.h"
#include "manifest/manifest.h"
#include "membership/hostlist.h"

#include <string>
#include <string_view>
#include <vector>

namespace marjoram {

/// Limits on the links that a process opens.
struct link_target_options
{
    /// Engines per model that an entry links to.
    std::size_t enginesPerModel = 24;
    /// Other entries that an entry links to. Also the number of entries that link to each agent.
    std::size_t entryPeers = 3;
    /// Entries that read the configuration and host list services.
    std::size_t watchers = 3;
};

/// First `count` names in the rendezvous hashing order of a key. Thread safe.
auto rendezvous(std::vector<std::string> names, std::string_view key, std::size_t count)
    -> std::vector<std::string>;

/// Engine hosts that should load a model. Processes with the same manifest and host list agree.
/// Thread safe.
auto hostsOfModel(const manifest &current, const host_list &hosts, const model_entry &model)
    -> std::vector<std::string>;

/// Processes that an entry keeps links to: a stable subset of each model's engines, all hosts of
/// services, a few other entries, and its share of all agents. Thread safe.
auto entryTargets(std::string_view self, const manifest *current, const host_list &hosts,
                  const link_target_options &options) -> std::vector<link_target>;

/// Processes that an agent keeps links to: if its host runs a service, the hosts of the service's
/// former placements, which may be former owners of its keys. Thread safe.
auto agentTargets(std::string_view self, const manifest *current, const host_list &hosts)
    -> std::vector<link_target>;

/// Whether this process is one of the entries that read the configuration and host list services.
/// Thread safe.
auto isWatcher(std::string_view self, const host_list &hosts, const link_target_options &options)
    -> bool;

} // namespace marjoram
