#pragma once

#include "configuration/processstate.h"
#include "forwarding/forwardrings.h"
#include "framework/global/clock.h"
#include "framework/metrics/metricset.h"
#include "framework/ring/duty.h"

#include <memory>

namespace marjoram {

/// Metrics of the reports that an entry receives.
enum class reports_metric {
    reports_heard,
    reports_undated,
    reports_stale,
    reports_of_other_process,
    reporter_restarts,
    report_requests,
    servers_announced,
    observations_heard
};
inline constexpr std::array reportsMetricNames{
    enum_name<reports_metric>{reports_metric::reports_heard, "server_reports_heard"},
    enum_name<reports_metric>{reports_metric::reports_undated, "server_reports_undated"},
    enum_name<reports_metric>{reports_metric::reports_stale, "server_reports_stale"},
    enum_name<reports_metric>{reports_metric::reports_of_other_process,
                              "server_reports_of_other_process"},
    enum_name<reports_metric>{reports_metric::reporter_restarts, "reporter_restarts"},
    enum_name<reports_metric>{reports_metric::report_requests, "server_report_requests"},
    enum_name<reports_metric>{reports_metric::servers_announced, "servers_announced"},
    enum_name<reports_metric>{reports_metric::observations_heard, "run_observations_heard"},
};
constexpr auto namesOf(reports_metric) -> const auto &
{
    return reportsMetricNames;
}

/// Options of reports_duty.
struct reports_options
{
    std::string host;
    endpoint listen;
    /// Port of the reporters on the hosts of the backend servers.
    std::uint16_t reporterPort = 0;
    /// Interval between requests for reports. A reporter stops sending to an entry that misses a
    /// few.
    std::int64_t requestIntervalUs = 1 * US_PER_SECOND;
    /// Unanswered requests after which a server of a pool without any reporter counts as having
    /// none.
    std::uint32_t unansweredRequestLimit = 5;
    /// A server without a reporter is asked again only in every n-th round of requests. It may have
    /// one that could not be reached for a while.
    std::uint32_t retryRounds = 3;
    /// Time for which a server that is no longer listed is still asked for reports.
    std::int64_t unlistedRetentionUs = 6 * US_PER_SECOND;
};

/// Duty that requests reports from the reporters of the backend servers and passes them on.
class reports_duty
{
public:
    /// Precondition: rings and state outlive the duty.
    reports_duty(reports_options options, forward_rings &rings, process_state &state);
    ~reports_duty();

    /// Opens the socket. Errors: those of the socket calls. Call before start().
    auto listen() -> std::error_code;
    auto start() -> void;
    /// See duty::requestStop().
    auto requestStop() -> void;
    auto stop() -> void;
    /// Thread safe.
    auto metrics() const -> const metric_set<reports_metric> & { return m_metrics; }

    // --- called by the ring reader on the duty's thread

    auto handle(servers_changed &&changed) -> void;
    auto handle(reporter_command &&command) -> void;

private:
    struct impl;

    metric_set<reports_metric> m_metrics;
    std::unique_ptr<impl> m_impl;
};

} // namespace marjoram
