#pragma once

#include "callers/callersduty.h"
#include "configuration/configurationduty.h"
#include "dispatching/calldispatcher.h"
#include "dispatching/generationdispatcher.h"
#include "framework/metrics/quantiles.h"
#include "links/linkhub.h"

#include <array>
#include <memory>

namespace marjoram {

/// Metrics of the dispatch duty.
enum class dispatch_metric {
    streams,
    calls,
    generations_opened,
    generations_finished,
    generations_failed,
    generations_continued,
    streams_superseded,
    tokens_stale,
    bids_sent,
    generations_quarantined,
    quarantines,
    agents_connected,
};
inline constexpr std::array dispatchMetricNames{
    enum_name<dispatch_metric>{dispatch_metric::streams, "streams"},
    enum_name<dispatch_metric>{dispatch_metric::calls, "calls"},
    enum_name<dispatch_metric>{dispatch_metric::generations_opened, "generations_opened"},
    enum_name<dispatch_metric>{dispatch_metric::generations_finished, "generations_finished"},
    enum_name<dispatch_metric>{dispatch_metric::generations_failed, "generations_failed"},
    enum_name<dispatch_metric>{dispatch_metric::generations_continued, "generations_continued"},
    enum_name<dispatch_metric>{dispatch_metric::streams_superseded, "streams_superseded"},
    enum_name<dispatch_metric>{dispatch_metric::tokens_stale, "tokens_stale"},
    enum_name<dispatch_metric>{dispatch_metric::bids_sent, "bids_sent"},
    enum_name<dispatch_metric>{dispatch_metric::generations_quarantined, "generations_quarantined"},
    enum_name<dispatch_metric>{dispatch_metric::quarantines, "quarantines_active"},
    enum_name<dispatch_metric>{dispatch_metric::agents_connected, "agents_connected"},
};
constexpr auto namesOf(dispatch_metric) -> const auto &
{
    return dispatchMetricNames;
}

/// Rings between the dispatch duty and the entry's other duties.
struct dispatch_rings
{
    caller_rings &callers;
    link_rings &links;
    ring<configuration_event> &configuration;
    ring<span> &spans;
};

/// Options of the dispatch duty.
struct dispatch_options
{
    generation_dispatcher_options generations;
    call_dispatcher_options calls;
    agent_directory_options agents;
};

/// Duty that runs an entry's generation and call dispatchers.
class dispatch_duty
{
public:
    /// Preconditions: all references outlive the duty.
    dispatch_duty(dispatch_options options, dispatch_rings rings, process_state &state);
    ~dispatch_duty();

    auto start() -> void;
    auto stop() -> void;
    /// Rejects new requests and sets process_state::drained once none is in flight.
    /// Thread safe.
    auto drain() -> void;
    /// Thread safe.
    auto metrics() const -> const metric_set<dispatch_metric> & { return m_metrics; }

    // --- called by ring readers on the duty's thread

    auto handle(caller_event &&event) -> void;
    auto handle(link_event &&event) -> void;
    auto handle(configuration_event &&event) -> void;

private:
    struct impl;

    metric_set<dispatch_metric> m_metrics;
    std::unique_ptr<impl> m_impl;
};

} // namespace marjoram
