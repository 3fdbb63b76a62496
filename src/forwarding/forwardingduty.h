#pragma once

#include "configuration/processstate.h"
#include "forwarding/forwardingcore.h"
#include "forwarding/forwardrings.h"
#include "framework/metrics/metricset.h"
#include "framework/metrics/quantiles.h"

#include <memory>

namespace marjoram {

/// Metrics of request forwarding.
enum class forwarding_metric {
    forwarded,
    answered,
    refused,
    failed,
    cut,
    sends,
    moves_ordered,
    rooms_requested,
    requests_open,
    requests_waiting,
    refused_with_room,
    waited_in_vain,
    observations_shared,
    origins_requested,
    resumptions_refused,
    quarantined,
    quarantines,
    data_centres_evacuated,
    servers_known,
    servers_cold,
    table_version,
};
inline constexpr std::array forwardingMetricNames{
    enum_name<forwarding_metric>{forwarding_metric::forwarded, "requests_forwarded"},
    enum_name<forwarding_metric>{forwarding_metric::answered, "requests_answered"},
    enum_name<forwarding_metric>{forwarding_metric::refused, "requests_refused"},
    enum_name<forwarding_metric>{forwarding_metric::failed, "requests_failed"},
    enum_name<forwarding_metric>{forwarding_metric::cut, "streams_cut"},
    enum_name<forwarding_metric>{forwarding_metric::sends, "server_sends"},
    enum_name<forwarding_metric>{forwarding_metric::moves_ordered, "run_copies_ordered"},
    enum_name<forwarding_metric>{forwarding_metric::rooms_requested, "room_asked"},
    enum_name<forwarding_metric>{forwarding_metric::requests_open, "forwards_open"},
    enum_name<forwarding_metric>{forwarding_metric::requests_waiting, "requests_waiting"},
    enum_name<forwarding_metric>{forwarding_metric::refused_with_room,
                                 "requests_refused_with_room"},
    enum_name<forwarding_metric>{forwarding_metric::waited_in_vain, "requests_waited_in_vain"},
    enum_name<forwarding_metric>{forwarding_metric::observations_shared, "run_observations_shared"},
    enum_name<forwarding_metric>{forwarding_metric::origins_requested, "stream_origins_requested"},
    enum_name<forwarding_metric>{forwarding_metric::resumptions_refused, "resumptions_refused"},
    enum_name<forwarding_metric>{forwarding_metric::quarantined, "requests_quarantined"},
    enum_name<forwarding_metric>{forwarding_metric::quarantines, "quarantines_active"},
    enum_name<forwarding_metric>{forwarding_metric::data_centres_evacuated,
                                 "data_centres_evacuated"},
    enum_name<forwarding_metric>{forwarding_metric::servers_known, "servers_known"},
    enum_name<forwarding_metric>{forwarding_metric::servers_cold, "servers_cold"},
    enum_name<forwarding_metric>{forwarding_metric::table_version, "route_table_version"},
};
constexpr auto namesOf(forwarding_metric) -> const auto &
{
    return forwardingMetricNames;
}

/// Latency quantiles in milliseconds. Thread safe.
class forwarding_latencies
{
public:
    auto at(latency_kind kind) -> quantiles & { return m_times[static_cast<std::size_t>(kind)]; }
    /// Appends all latencies as Prometheus summaries.
    auto render(std::string &out) const -> void
    {
        for (const auto &row : namesOf(latency_kind{})) {
            const auto label = "kind=\"" + std::string(row.name) + "\"";
            m_times[static_cast<std::size_t>(row.value)].render(out, "latency_ms", label);
        }
    }

private:
    std::array<quantiles, latencyKindNames.size()> m_times;
};

/// Runs the forwarding_core on a thread of its own.
class forwarding_duty
{
public:
    /// Precondition: all references outlive the duty.
    forwarding_duty(forwarding_options options, forward_rings &rings, log_writer log,
                    process_state &state);
    ~forwarding_duty();

    auto start() -> void;
    /// See duty::requestStop().
    auto requestStop() -> void;
    auto stop() -> void;
    /// Refuses requests that may not finish within `stopInMs`; `process_state::drained` is set once
    /// no request is open. Thread safe.
    auto drain(std::int64_t stopInMs) -> void;
    /// Stops accepting requests. Thread safe.
    auto stopAccepting() -> void;
    /// Ends all open requests, because the process stops. Thread safe.
    auto abandonRequests() -> void;
    /// Thread safe.
    auto metrics() const -> const metric_set<forwarding_metric> & { return m_metrics; }
    /// Thread safe.
    auto latencies() const -> const forwarding_latencies & { return m_latencies; }
    /// Thread safe.
    auto remoteTraffic() const -> const remote_traffic & { return m_remoteTraffic; }

    // --- called by ring readers on the duty's thread

    auto handle(forward_event &&event) -> void;
    auto handle(server_event &&event) -> void;
    auto handle(directory_event &&event) -> void;
    auto handle(report_event &&event) -> void;

private:
    struct impl;

    metric_set<forwarding_metric> m_metrics;
    forwarding_latencies m_latencies;
    remote_traffic m_remoteTraffic;
    std::unique_ptr<impl> m_impl;
};

} // namespace marjoram
