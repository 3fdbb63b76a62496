#pragma once

#include "framework/global/clock.h"
#include "framework/metrics/metricset.h"
#include "framework/ring/duty.h"
#include "framework/ring/ring.h"

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace marjoram {

/// What a log line tells.
enum class log_event {
    process_started,
    process_stopping,
    process_stopped,
    settings_reloaded,
    settings_refused,
    dependency_lost,
    dependency_regained,
    configuration_in_force,
    configuration_refused,
    configuration_outdated,
    evacuation_refused,
    data_centre_evacuated,
    data_centre_returned,
    directory_history,
    directory_call_failed,
    server_joined,
    server_unreported,
    server_leaving,
    server_gone,
    server_ejected,
    server_paused,
    server_load_invalid,
    server_unnamed,
    server_cold,
    server_warm,
    request_refused,
    request_waiting,
    request_sent,
    request_retried,
    request_moving,
    request_moved,
    origin_resolved,
    request_answered,
    request_failed,
    stream_end_queried,
    caller_left,
    run_lost_in_crash,
    quarantine_changed,
    rate_limit_changed,
    requests_queued,
    spillover_changed,
    lines_dropped,
};
inline constexpr std::array logEventNames{
    enum_name<log_event>{log_event::process_started, "process_started"},
    enum_name<log_event>{log_event::process_stopping, "process_stopping"},
    enum_name<log_event>{log_event::process_stopped, "process_stopped"},
    enum_name<log_event>{log_event::settings_reloaded, "settings_reloaded"},
    enum_name<log_event>{log_event::settings_refused, "settings_refused"},
    enum_name<log_event>{log_event::dependency_lost, "dependency_lost"},
    enum_name<log_event>{log_event::dependency_regained, "dependency_regained"},
    enum_name<log_event>{log_event::configuration_in_force, "configuration_in_force"},
    enum_name<log_event>{log_event::configuration_refused, "configuration_refused"},
    enum_name<log_event>{log_event::configuration_outdated, "configuration_outdated"},
    enum_name<log_event>{log_event::evacuation_refused, "evacuation_refused"},
    enum_name<log_event>{log_event::data_centre_evacuated, "data_centre_evacuated"},
    enum_name<log_event>{log_event::data_centre_returned, "data_centre_returned"},
    enum_name<log_event>{log_event::directory_history, "directory_history"},
    enum_name<log_event>{log_event::directory_call_failed, "directory_call_failed"},
    enum_name<log_event>{log_event::server_joined, "server_joined"},
    enum_name<log_event>{log_event::server_unreported, "server_unreported"},
    enum_name<log_event>{log_event::server_leaving, "server_leaving"},
    enum_name<log_event>{log_event::server_gone, "server_gone"},
    enum_name<log_event>{log_event::server_ejected, "server_ejected"},
    enum_name<log_event>{log_event::server_paused, "server_paused"},
    enum_name<log_event>{log_event::server_load_invalid, "server_load_invalid"},
    enum_name<log_event>{log_event::server_unnamed, "server_unnamed"},
    enum_name<log_event>{log_event::server_cold, "server_cold"},
    enum_name<log_event>{log_event::server_warm, "server_warm"},
    enum_name<log_event>{log_event::request_refused, "request_refused"},
    enum_name<log_event>{log_event::request_waiting, "request_waiting"},
    enum_name<log_event>{log_event::request_sent, "request_sent"},
    enum_name<log_event>{log_event::request_retried, "request_retried"},
    enum_name<log_event>{log_event::request_moving, "request_moving"},
    enum_name<log_event>{log_event::request_moved, "request_moved"},
    enum_name<log_event>{log_event::origin_resolved, "origin_resolved"},
    enum_name<log_event>{log_event::request_answered, "request_answered"},
    enum_name<log_event>{log_event::request_failed, "request_failed"},
    enum_name<log_event>{log_event::stream_end_queried, "stream_end_queried"},
    enum_name<log_event>{log_event::caller_left, "caller_left"},
    enum_name<log_event>{log_event::run_lost_in_crash, "run_lost_in_crash"},
    enum_name<log_event>{log_event::quarantine_changed, "quarantine_changed"},
    enum_name<log_event>{log_event::rate_limit_changed, "rate_limit_changed"},
    enum_name<log_event>{log_event::requests_queued, "requests_queued"},
    enum_name<log_event>{log_event::spillover_changed, "spillover_changed"},
    enum_name<log_event>{log_event::lines_dropped, "lines_dropped"},
};
constexpr auto namesOf(log_event) -> const auto &
{
    return logEventNames;
}

/// One named value of a line.
struct log_field
{
    std::string_view name;
    std::variant<std::int64_t, double, std::string> value;
};

/// One line. Names of fields are literals.
struct log_line
{
    log_event event = log_event::process_started;
    std::int64_t unixMs = 0;
    /// Empty where no request is concerned.
    std::string requestId;
    std::vector<log_field> fields;
};

/// The line as one JSON object. Thread safe.
auto toJsonLine(const log_line &line, std::string_view host) -> std::string;

/// Numbers of the log.
enum class log_metric { lines_written, lines_dropped };
inline constexpr std::array logMetricNames{
    enum_name<log_metric>{log_metric::lines_written, "log_lines_written"},
    enum_name<log_metric>{log_metric::lines_dropped, "log_lines_dropped"},
};
constexpr auto namesOf(log_metric) -> const auto &
{
    return logMetricNames;
}

/// A duty's way to the log: a full ring drops and counts the line. Not thread safe: belongs to
/// the producing duty.
class log_writer
{
public:
    log_writer(ring<log_line> &lines, metric_set<log_metric> &metrics)
        : m_lines(lines)
        , m_metrics(metrics)
    { }

    auto write(log_event event, std::string requestId, std::vector<log_field> fields) -> void
    {
        if (m_lines.tryPush({.event = event,
                             .unixMs = m_clock.unixMs(),
                             .requestId = std::move(requestId),
                             .fields = std::move(fields)})) {
            m_metrics.add(log_metric::lines_dropped);
        }
    }
    auto write(log_event event, std::vector<log_field> fields) -> void
    {
        write(event, {}, std::move(fields));
    }

private:
    ring<log_line> &m_lines;
    metric_set<log_metric> &m_metrics;
    system_clock_source m_clock;
};

/// Options of the log.
struct event_log_options
{
    std::string host;
    /// Lines of one duty that may wait to be written.
    std::size_t ringCapacity = 2'048;
    /// Pause between writes; lines are written together to spare wake-ups.
    std::int64_t flushMs = 200;
    /// Lines a second beyond which lines are dropped and counted.
    std::size_t linesPerSecond = 1'000;
};

/// Duty that writes lines to standard output. Lines that it cannot write in time are dropped and
/// counted; producers never wait.
class event_log
{
public:
    explicit event_log(event_log_options options);
    ~event_log();

    /// Writer for one producing duty. Precondition: called before start().
    auto addWriter() -> log_writer;
    auto start() -> void;
    /// Writes what is left and joins. Idempotent.
    auto stop() -> void;
    /// Thread safe.
    auto metrics() const -> const metric_set<log_metric> & { return m_metrics; }

private:
    auto flushLater() -> void;
    auto flush() -> void;
    auto drainInto(std::string &out) -> void;
    auto reportDropped(std::string &out) -> void;

    event_log_options m_options;
    metric_set<log_metric> m_metrics;
    system_clock_source m_clock;
    std::vector<std::unique_ptr<ring<log_line>>> m_rings;
    duty m_duty{"log"};
    boost::asio::steady_timer m_timer{m_duty.context()};
    time_us m_windowStart;
    std::size_t m_windowLines = 0;
    std::int64_t m_droppedTold = 0;
    bool m_stopped = false;
};

} // namespace marjoram
