#pragma once

#include "configuration/gossipcore.h"
#include "configuration/processstate.h"
#include "framework/metrics/metricset.h"
#include "framework/metrics/metricssource.h"
#include "framework/ring/duty.h"
#include "framework/ring/ringends.h"
#include "innerprotocol/rpcbridge.h"
#include "links/linkhub.h"
#include "manifest/manifestholder.h"
#include "membership/hostlist.h"
#include "membership/linktargets.h"

#include <memory>
#include <unordered_map>
#include <variant>

namespace marjoram {

/// A new manifest is in force.
struct manifest_changed
{
    manifest_ptr current;
};
/// The platform's host list has changed.
struct hosts_changed
{
    host_list hosts;
};
using configuration_event = std::variant<manifest_changed, hosts_changed>;

/// Metrics of the configuration in force.
enum class configuration_metric {
    manifest_version,
    hosts_version,
    manifests_refused,
    service_reads,
    manifest_in_force_unix_ms,
};
inline constexpr std::array configurationMetricNames{
    enum_name<configuration_metric>{configuration_metric::manifest_version, "manifest_version"},
    enum_name<configuration_metric>{configuration_metric::hosts_version, "hosts_version"},
    enum_name<configuration_metric>{configuration_metric::manifests_refused, "manifests_refused"},
    enum_name<configuration_metric>{configuration_metric::service_reads, "service_reads"},
    enum_name<configuration_metric>{configuration_metric::manifest_in_force_unix_ms,
                                    "manifest_in_force_unix_ms"},
};
constexpr auto namesOf(configuration_metric) -> const auto &
{
    return configurationMetricNames;
}

struct configuration_options
{
    hello_frame self;
    endpoint configurationService;
    endpoint hostList;
    gossip_options gossip;
    link_target_options targets;
};

/// Duty that keeps this process's manifest and host list up to date. It reads them from their
/// services if this process is a watcher, exchanges them with its peers by gossip, and answers
/// control requests.
class configuration_duty
{
public:
    /// Preconditions: all references outlive the duty.
    configuration_duty(configuration_options options, link_rings &links,
                       ring<configuration_event> &toDecisions, process_state &state);
    ~configuration_duty();

    auto start() -> void;
    auto stop() -> void;
    /// Thread safe.
    auto metrics() const -> const metric_set<configuration_metric> & { return m_metrics; }
    /// Adds metrics to the `status` reply. Precondition: called before start().
    auto addStatusSource(metrics_source source) -> void;

    // --- called by ring readers on the duty's thread

    auto handle(link_event &&event) -> void;

private:
    struct impl;

    metric_set<configuration_metric> m_metrics;
    std::unique_ptr<impl> m_impl;
};

} // namespace marjoram
