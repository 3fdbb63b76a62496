#include "forwarding/forwardingduty.h"

#include "framework/ring/ringends.h"

#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>

namespace marjoram {

namespace {

/// Items that may wait for a ring; the rings hold far more than is open at once.
constexpr std::size_t BACKLOG_LIMIT = 1 << 16;

} // namespace

struct forwarding_duty::impl
{
    using core_type = forwarding_core<most_room, system_clock_source, impl>;

    impl(forwarding_options options, forward_rings &rings, log_writer lines, process_state &shared,
         metric_set<forwarding_metric> &numbers, forwarding_latencies &times,
         forwarding_duty &outer)
        : state(shared)
        , metrics(numbers)
        , latencies(times)
        , writer(lines)
        , callerActions(worker.context(), rings.toCallers, BACKLOG_LIMIT)
        , serverCommands(worker.context(), rings.toServers, BACKLOG_LIMIT)
        , callerEvents(worker.context(), rings.fromCallers, outer)
        , serverEvents(worker.context(), rings.fromServers, outer)
        , directoryEvents(worker.context(), rings.fromDirectory, outer)
        , reports(worker.context(), rings.fromReports, outer)
        , reporterCommands(worker.context(), rings.toReports, BACKLOG_LIMIT)
        , timer(worker.context())
        , directory({})
        , core(std::move(options), clock, systemSeed(), directory, *this)
    { }

    // --- actions

    auto toCaller(forward_action action) -> void
    {
        count(action);
        if (callerActions.push(std::move(action))) {
            LOG(ERROR) << "answer lost: the callers' duty has fallen behind its backlog limit";
        }
    }
    auto toServer(server_command command) -> void
    {
        if (std::holds_alternative<send_forward>(command)) {
            metrics.add(forwarding_metric::sends);
        } else if (std::holds_alternative<copy_run>(command)) {
            metrics.add(forwarding_metric::moves_ordered);
        }
        if (serverCommands.push(std::move(command))) {
            LOG(ERROR) << "command lost: the servers' duty has fallen behind its backlog limit";
        }
    }
    auto toReporter(reporter_command command) -> void
    {
        if (std::holds_alternative<ask_room>(command)) {
            metrics.add(forwarding_metric::room_asked);
        }
        if (reporterCommands.push(std::move(command))) {
            LOG(ERROR) << "question lost: the reports' duty has fallen behind its backlog limit";
        }
    }
    auto log(log_event event, const std::string &id, std::vector<log_field> fields) -> void
    {
        writer.write(event, id, std::move(fields));
    }
    auto observe(latency_kind kind, std::int64_t us) -> void
    {
        latencies.at(kind).record(static_cast<double>(us) / US_PER_MS);
    }
    auto count(const forward_action &action) -> void
    {
        if (std::holds_alternative<give_answer>(action)
            || std::holds_alternative<give_end>(action)) {
            metrics.add(forwarding_metric::answered);
        } else if (std::holds_alternative<give_cut>(action)) {
            metrics.add(forwarding_metric::cut);
        } else if (const auto *failed = std::get_if<give_failure>(&action)) {
            metrics.add(failed->ran == run_state::not_run ? forwarding_metric::refused
                                                          : forwarding_metric::failed);
        }
    }

    // --- events

    auto on(const table_changed &changed) -> void
    {
        metrics.set(forwarding_metric::table_version,
                    static_cast<std::int64_t>(changed.table->version()));
        core.onTable(changed.table);
        toCaller(bound_callers{changed.table->content().bounds});
    }
    auto on(const servers_changed &changed) -> void
    {
        metrics.set(forwarding_metric::servers_known,
                    static_cast<std::int64_t>(changed.servers.size()));
        core.onServers(changed.servers);
    }
    auto drain(std::int64_t stopInMs) -> void
    {
        core.drain(clock.now() + stopInMs * US_PER_MS);
        toCaller(close_after_answers{});
        settle();
    }
    /// After each event: shows the numbers and arms the timer for what is due next.
    auto settle() -> void
    {
        metrics.set(forwarding_metric::requests_open, static_cast<std::int64_t>(core.open()));
        state.drained = state.draining && core.drained();
        const auto next = core.nextTimer();
        if (next == armed) {
            return;
        }
        armed = next;
        if (!next) {
            timer.cancel();
            return;
        }
        const auto us = std::max<std::int64_t>(0, *next - clock.now());
        timer.expires_after(std::chrono::microseconds(us));
        timer.async_wait([this](boost::system::error_code error) {
            if (error) {
                return;
            }
            armed.reset();
            core.onTimer();
            settle();
        });
    }

    process_state &state;
    metric_set<forwarding_metric> &metrics;
    forwarding_latencies &latencies;
    log_writer writer;
    system_clock_source clock;
    duty worker{"forwarding"};
    ring_writer<forward_action> callerActions;
    ring_writer<server_command> serverCommands;
    ring_reader<forward_event, forwarding_duty> callerEvents;
    ring_reader<server_event, forwarding_duty> serverEvents;
    ring_reader<directory_event, forwarding_duty> directoryEvents;
    ring_reader<report_event, forwarding_duty> reports;
    ring_writer<reporter_command> reporterCommands;
    boost::asio::steady_timer timer;
    std::optional<time_us> armed;
    server_directory directory;
    core_type core;
};

forwarding_duty::forwarding_duty(forwarding_options options, forward_rings &rings, log_writer log,
                                 process_state &state)
    : m_impl(std::make_unique<impl>(std::move(options), rings, log, state, m_metrics, m_latencies,
                                    *this))
{ }

forwarding_duty::~forwarding_duty()
{
    stop();
}

auto forwarding_duty::start() -> void
{
    m_impl->callerEvents.start();
    m_impl->serverEvents.start();
    m_impl->directoryEvents.start();
    m_impl->reports.start();
    m_impl->worker.start();
}

auto forwarding_duty::stop() -> void
{
    m_impl->worker.stop();
}

auto forwarding_duty::drain(std::int64_t stopInMs) -> void
{
    boost::asio::post(m_impl->worker.context(), [this, stopInMs] { m_impl->drain(stopInMs); });
}

auto forwarding_duty::stopTaking() -> void
{
    boost::asio::post(m_impl->worker.context(), [this] { m_impl->toCaller(stop_taking{}); });
}

auto forwarding_duty::handle(forward_event &&event) -> void
{
    if (const auto *opened = std::get_if<open_forward>(&event)) {
        m_metrics.add(forwarding_metric::forwarded);
        m_impl->core.onOpen(*opened);
    } else {
        m_impl->core.onCallerLeft(std::get<forward_caller_left>(event).callerId);
    }
    m_impl->settle();
}

auto forwarding_duty::handle(server_event &&event) -> void
{
    m_impl->core.onEvent(std::move(event));
    m_impl->settle();
}

auto forwarding_duty::handle(directory_event &&event) -> void
{
    std::visit([this](auto &&one) { m_impl->on(std::forward<decltype(one)>(one)); },
               std::move(event));
    m_impl->settle();
}

auto forwarding_duty::handle(report_event &&event) -> void
{
    if (auto *reported = std::get_if<server_reported>(&event)) {
        m_impl->core.onReport(reported->serverId, std::move(reported->report));
    } else if (auto *replied = std::get_if<room_replied>(&event)) {
        m_impl->core.onRoomReply(std::move(*replied));
    } else {
        m_impl->core.onAnnounced(std::get<server_announced>(event).entry);
    }
    m_impl->settle();
}

} // namespace marjoram
