#include "forwarding/forwardingduty.h"

#include "framework/ring/ringends.h"

#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>

namespace marjoram {

namespace {

/// Limit on items waiting for space in a ring. Each ring alone holds far more than is open at once.
constexpr std::size_t BACKLOG_LIMIT = 1 << 16;

} // namespace

struct forwarding_duty::impl
{
    using core_type = forwarding_core<sampled_least_added_time, system_clock_source, impl>;

    impl(forwarding_options options, forward_rings &rings, log_writer eventLog,
         process_state &sharedState, metric_set<forwarding_metric> &metricSet,
         forwarding_latencies &latencySet, forwarding_duty &owner)
        : state(sharedState)
        , metrics(metricSet)
        , latencies(latencySet)
        , writer(eventLog)
        , callerActions(worker.context(), rings.toCallers, BACKLOG_LIMIT)
        , serverCommands(worker.context(), rings.toServers, BACKLOG_LIMIT)
        , callerEvents(worker.context(), rings.fromCallers, owner)
        , serverEvents(worker.context(), rings.fromServers, owner)
        , directoryEvents(worker.context(), rings.fromDirectory, owner)
        , reports(worker.context(), rings.fromReports, owner)
        , reporterCommands(worker.context(), rings.toReports, BACKLOG_LIMIT)
        , timer(worker.context())
        , directory({.awaitReporters = true}, systemSeed())
        , core(std::move(options), clock, systemSeed(), directory, *this)
    { }

    // --- actions

    auto toCaller(forward_action action) -> void
    {
        count(action);
        if (callerActions.push(std::move(action))) {
            LOG(ERROR) << "action for a caller dropped: backlog limit of the gateway duty exceeded";
        }
    }
    auto toServer(server_command command) -> void
    {
        if (std::holds_alternative<send_request>(command)) {
            metrics.add(forwarding_metric::sends);
        } else if (std::holds_alternative<copy_run>(command)) {
            metrics.add(forwarding_metric::moves_ordered);
        }
        if (serverCommands.push(std::move(command))) {
            LOG(ERROR) << "server command dropped: backlog limit of the upstream duty exceeded";
        }
    }
    auto toReporter(reporter_command command) -> void
    {
        if (std::holds_alternative<request_room>(command)) {
            metrics.add(forwarding_metric::rooms_requested);
        } else if (std::holds_alternative<find_origin>(command)) {
            metrics.add(forwarding_metric::origins_requested);
        } else if (const auto *shared = std::get_if<share_observations>(&command)) {
            metrics.add(forwarding_metric::observations_shared,
                        static_cast<std::int64_t>(shared->observations.size()));
        }
        if (reporterCommands.push(std::move(command))) {
            LOG(ERROR) << "reporter command dropped: backlog limit of the reports duty exceeded";
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
        if (std::holds_alternative<send_response>(action)
            || std::holds_alternative<end_response_stream>(action)) {
            metrics.add(forwarding_metric::answered);
        } else if (std::holds_alternative<abort_response_stream>(action)) {
            metrics.add(forwarding_metric::cut);
        } else if (const auto *failed = std::get_if<send_failure>(&action)) {
            if (failed->reason == failure::quarantined) {
                metrics.add(forwarding_metric::quarantined);
            }
            if (failed->reason == failure::software_version_gone
                || failed->reason == failure::stream_origin_unknown) {
                metrics.add(forwarding_metric::resumptions_refused);
            }
            metrics.add(failed->ran == run_state::not_run ? forwarding_metric::refused
                                                          : forwarding_metric::failed);
        }
    }

    // --- events

    auto on(const table_changed &changed) -> void
    {
        metrics.set(forwarding_metric::table_version,
                    static_cast<std::int64_t>(changed.table->version()));
        core.onRouteTable(changed.table);
        toCaller(set_caller_bounds{changed.table->content().bounds});
    }
    auto on(const list_availability_changed &changed) -> void
    {
        core.onListAvailability(changed.available);
    }
    auto on(const servers_changed &changed) -> void
    {
        metrics.set(forwarding_metric::servers_known,
                    static_cast<std::int64_t>(changed.servers.size()));
        core.onServerList(changed.servers, changed.readAt);
    }
    auto on(const evacuations_changed &changed) -> void
    {
        metrics.set(forwarding_metric::data_centres_evacuated,
                    static_cast<std::int64_t>(changed.dataCentres.size()));
        core.onEvacuations(changed.dataCentres);
    }
    auto drain(std::int64_t stopInMs) -> void
    {
        core.drain(clock.now() + stopInMs * US_PER_MS);
        toCaller(close_after_responses{});
        updateAfterEvent();
    }
    /// Runs the timers that came due while the process was paused: an event must not act on a
    /// request whose deadline has passed. Called before every event.
    auto runDueTimers() -> void
    {
        const auto now = clock.now();
        state.pauses.noteActive(now);
        const auto next = core.nextTimer();
        if (next && *next <= now) {
            core.onTimer();
        }
    }
    /// Updates the metrics and the timer; called after every event.
    auto updateAfterEvent() -> void
    {
        metrics.set(forwarding_metric::requests_open,
                    static_cast<std::int64_t>(core.openRequests()));
        const auto waiting = core.waitingCounts();
        metrics.set(forwarding_metric::requests_waiting, waiting.waiting);
        metrics.set(forwarding_metric::refused_with_room, waiting.refusedWithRoom);
        metrics.set(forwarding_metric::waited_in_vain, waiting.waitedInVain);
        metrics.set(forwarding_metric::quarantines, static_cast<std::int64_t>(core.quarantines()));
        metrics.set(forwarding_metric::servers_cold, static_cast<std::int64_t>(core.coldServers()));
        state.drained = state.draining && core.drained();
        const auto next = core.nextTimer();
        if (next == armedFor) {
            return;
        }
        armedFor = next;
        if (!next) {
            timer.cancel();
            return;
        }
        timer.expires_after(durationUntil(*next, clock.now()));
        timer.async_wait([this](boost::system::error_code error) {
            if (error) {
                return;
            }
            armedFor.reset();
            core.onTimer();
            updateAfterEvent();
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
    std::optional<time_us> armedFor;
    server_directory directory;
    core_type core;
};

forwarding_duty::forwarding_duty(forwarding_options options, forward_rings &rings, log_writer log,
                                 process_state &state)
    : m_impl(std::make_unique<impl>(std::move(options), rings, log, state, m_metrics, m_latencies,
                                    *this))
{
    m_impl->core.setRemoteTraffic(m_remoteTraffic);
}

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

auto forwarding_duty::requestStop() -> void
{
    m_impl->worker.requestStop();
}

auto forwarding_duty::stop() -> void
{
    m_impl->worker.stop();
}

auto forwarding_duty::drain(std::int64_t stopInMs) -> void
{
    boost::asio::post(m_impl->worker.context(), [this, stopInMs] { m_impl->drain(stopInMs); });
}

auto forwarding_duty::stopAccepting() -> void
{
    boost::asio::post(m_impl->worker.context(), [this] { m_impl->toCaller(stop_accepting{}); });
}

auto forwarding_duty::abandonRequests() -> void
{
    boost::asio::post(m_impl->worker.context(), [this] {
        m_impl->core.abandonRequests();
        m_impl->updateAfterEvent();
    });
}

auto forwarding_duty::handle(forward_event &&event) -> void
{
    m_impl->runDueTimers();
    if (const auto *opened = std::get_if<forward_requested>(&event)) {
        m_metrics.add(forwarding_metric::forwarded);
        m_impl->core.onRequest(*opened);
    } else {
        m_impl->core.onCallerDisconnected(std::get<forward_caller_disconnected>(event).callerId);
    }
    m_impl->updateAfterEvent();
}

auto forwarding_duty::handle(server_event &&event) -> void
{
    m_impl->runDueTimers();
    m_impl->core.onEvent(std::move(event));
    m_impl->updateAfterEvent();
}

auto forwarding_duty::handle(directory_event &&event) -> void
{
    m_impl->runDueTimers();
    std::visit([this](auto &&one) { m_impl->on(std::forward<decltype(one)>(one)); },
               std::move(event));
    m_impl->updateAfterEvent();
}

auto forwarding_duty::handle(report_event &&event) -> void
{
    m_impl->runDueTimers();
    if (auto *reported = std::get_if<server_reported>(&event)) {
        m_impl->core.onReport(reported->serverId, std::move(reported->report));
    } else if (auto *replied = std::get_if<room_replied>(&event)) {
        m_impl->core.onRoomReply(std::move(*replied));
    } else if (const auto *replaced = std::get_if<server_replaced>(&event)) {
        m_impl->core.onReplaced(replaced->serverId);
    } else if (const auto *received = std::get_if<observations_received>(&event)) {
        m_impl->core.onObservations(received->observations);
    } else if (const auto *absent = std::get_if<reporter_absent>(&event)) {
        m_impl->core.onReporterAbsent(absent->serverId);
    } else if (const auto *asked = std::get_if<origin_asked>(&event)) {
        m_impl->core.onOriginAsked(*asked);
    } else if (const auto *origin = std::get_if<origin_replied>(&event)) {
        m_impl->core.onOriginReply(*origin);
    } else {
        const auto &announced = std::get<server_announced>(event);
        m_impl->core.onAnnounced(announced.entry, announced.models);
    }
    m_impl->updateAfterEvent();
}

} // namespace marjoram
