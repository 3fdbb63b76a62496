#pragma once

#include "callers/callerevents.h"
#include "configuration/configurationduty.h"
#include "framework/http/httptypes.h"
#include "framework/metrics/metricset.h"
#include "framework/metrics/metricssource.h"
#include "framework/metrics/quantiles.h"
#include "framework/ring/ring.h"
#include "framework/tracing/spanduty.h"

#include <memory>

namespace marjoram {

/// Rings between the callers duty and the dispatch duty.
struct caller_rings
{
    static constexpr std::size_t CAPACITY = 16'384;

    ring<caller_event> toDecisions{CAPACITY};
    ring<caller_action> fromDecisions{CAPACITY};
};

/// Metrics of the callers duty.
enum class caller_metric {
    requests,
    requests_open,
    answers,
    failures,
    tokens_delivered,
    callers_left,
};
inline constexpr std::array callerMetricNames{
    enum_name<caller_metric>{caller_metric::requests, "requests"},
    enum_name<caller_metric>{caller_metric::requests_open, "requests_open"},
    enum_name<caller_metric>{caller_metric::answers, "answers"},
    enum_name<caller_metric>{caller_metric::failures, "failures"},
    enum_name<caller_metric>{caller_metric::tokens_delivered, "tokens_delivered"},
    enum_name<caller_metric>{caller_metric::callers_left, "callers_left"},
};
constexpr auto namesOf(caller_metric) -> const auto &
{
    return callerMetricNames;
}

/// Options of the callers duty.
struct callers_options
{
    endpoint listen;
    std::uint32_t connections = 12'000;
    std::uint32_t bodyBytes = 4 * 1024 * 1024;
    std::uint32_t requestTimeoutMs = 10'000;
    /// All request bodies that are held at once; 0: no bound. See body_budget_options.
    std::uint64_t bodyBudgetBytes = 0;
};

/// Duty that serves HTTP to callers: parses requests, writes answers and event streams, and detects
/// disconnects. It makes no routing decisions.
class callers_duty
{
public:
    /// Preconditions: all references outlive the duty.
    callers_duty(callers_options options, caller_rings &rings, ring<span> &spans,
                 process_state &state);
    ~callers_duty();

    /// Opens the listening socket. Call before start(). Errors: those of the socket calls.
    auto listen() -> result<endpoint>;
    auto start() -> void;
    auto stop() -> void;
    /// From now on each answer closes its connection. Thread safe.
    auto closeAfterAnswers() -> void;
    /// Stops accepting connections and closes idle ones; requests that are arriving are answered.
    /// Thread safe.
    auto stopAccepting() -> void;
    /// Whether all requests that arrived before stopAccepting() have their whole answers. Thread
    /// safe.
    auto allAnswered() const -> bool;
    /// Adds a source of metrics to /metrics. Precondition: called before start().
    auto addMetrics(metrics_source source) -> void;
    /// Thread safe.
    auto metrics() const -> const metric_set<caller_metric> & { return m_metrics; }

    // --- called by ring readers on the duty's thread

    auto handle(caller_action &&action) -> void;

private:
    struct impl;

    metric_set<caller_metric> m_metrics;
    std::unique_ptr<impl> m_impl;
};

} // namespace marjoram
