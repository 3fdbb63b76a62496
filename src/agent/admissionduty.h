#pragma once

#include "admission/enginecore.h"
#include "backendservers/backendduty.h"
#include "configuration/configurationduty.h"
#include "framework/metrics/metricset.h"
#include "links/linkhub.h"
#include "orders/ordercore.h"

#include <memory>

namespace marjoram {

/// Metrics of the admission duty.
enum class admission_metric {
    running,
    waiting,
    granted,
    refused,
    preempted,
    finished,
    backend_failures,
    tokens,
    calls_run,
    calls_replayed,
    claims_asked,
};
inline constexpr std::array admissionMetricNames{
    enum_name<admission_metric>{admission_metric::running, "running"},
    enum_name<admission_metric>{admission_metric::waiting, "waiting"},
    enum_name<admission_metric>{admission_metric::granted, "granted"},
    enum_name<admission_metric>{admission_metric::refused, "refused"},
    enum_name<admission_metric>{admission_metric::preempted, "preempted"},
    enum_name<admission_metric>{admission_metric::finished, "finished"},
    enum_name<admission_metric>{admission_metric::backend_failures, "backend_failures"},
    enum_name<admission_metric>{admission_metric::tokens, "tokens"},
    enum_name<admission_metric>{admission_metric::calls_run, "calls_run"},
    enum_name<admission_metric>{admission_metric::calls_replayed, "calls_replayed"},
    enum_name<admission_metric>{admission_metric::claims_asked, "claims_asked"},
};
constexpr auto namesOf(admission_metric) -> const auto &
{
    return admissionMetricNames;
}

/// Rings between the admission duty and the agent's other duties.
struct admission_rings
{
    link_rings &links;
    backend_rings &backend;
    ring<configuration_event> &configuration;
    ring<span> &spans;
};

/// Options of the admission duty.
struct admission_duty_options
{
    std::string host;
    std::int64_t incarnation = 0;
    backend_server_kind kind = backend_server_kind::engine;
    engine_core_options engine;
    service_core_options service;
    order_options orders;
    std::int64_t reportIntervalUs = 250 * US_PER_MS;
    /// Timeout of a claim sent to a former owner of a key.
    std::int64_t claimTimeoutUs = 2 * US_PER_SECOND;
};

/// Duty that runs admission, service calls and engine orders for an agent's backend server.
class admission_duty
{
public:
    /// Preconditions: all references outlive the duty.
    admission_duty(admission_duty_options options, admission_rings rings, process_state &state);
    ~admission_duty();

    auto start() -> void;
    auto stop() -> void;
    /// Refuses new work and sets process_state::drained once none is in flight.
    /// Thread safe.
    auto drain() -> void;
    /// Returns running generations to their entries, which continue them elsewhere. Thread safe.
    auto handBack() -> void;
    /// Thread safe.
    auto metrics() const -> const metric_set<admission_metric> & { return m_metrics; }

    // --- called by ring readers on the duty's thread

    auto handle(link_event &&event) -> void;
    auto handle(backend_event &&event) -> void;
    auto handle(configuration_event &&event) -> void;

private:
    struct impl;

    metric_set<admission_metric> m_metrics;
    std::unique_ptr<impl> m_impl;
};

} // namespace marjoram
