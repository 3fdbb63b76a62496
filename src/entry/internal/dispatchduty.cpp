#include "entry/dispatchduty.h"

#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>
#include <unordered_map>

namespace marjoram {

namespace {

constexpr std::size_t BACKLOG_LIMIT = 1 << 20;

} // namespace

struct dispatch_duty::impl
{
    using generation_dispatcher_type
        = generation_dispatcher<late_binding, system_clock_source, impl>;
    using call_dispatcher_type = call_dispatcher<system_clock_source, impl>;

    impl(dispatch_options options, dispatch_rings rings, process_state &sharedState,
         metric_set<dispatch_metric> &metricValues, dispatch_duty &outer)
        : state(sharedState)
        , metrics(metricValues)
        , toCallers(worker.context(), rings.callers.fromDecisions, BACKLOG_LIMIT)
        , toLinks(worker.context(), rings.links.fromDecisions, BACKLOG_LIMIT)
        , callerEvents(worker.context(), rings.callers.toDecisions, outer)
        , linkEvents(worker.context(), rings.links.toDecisions, outer)
        , configurationEvents(worker.context(), rings.configuration, outer)
        , spans(rings.spans)
        , timer(worker.context())
        , directory(options.agents)
        , generations(options.generations, clock, systemSeed(), directory, *this)
        , calls(options.calls, clock, systemSeed(), directory, *this)
    { }

    // --- actions

    auto toAgent(const std::string &host, frame message) -> void
    {
        const auto linkId = linkIdByHost.find(host);
        if (linkId != linkIdByHost.end()) {
            toLinks.push(send_frame{.linkId = linkId->second, .message = std::move(message)});
        }
    }
    auto toCaller(caller_action action) -> void
    {
        if (toCallers.push(std::move(action))) {
            LOG(ERROR) << "action for a caller dropped: backlog limit of the callers duty exceeded";
        }
    }

    // --- events

    auto onPeerUp(const peer_up &up) -> void
    {
        if (up.hello.role != process_role::agent) {
            return;
        }
        const auto &host = up.hello.host;
        linkIdByHost.insert_or_assign(host, up.linkId);
        hostByLinkId.insert_or_assign(up.linkId, host);
        metrics.set(dispatch_metric::agents_connected,
                    static_cast<std::int64_t>(linkIdByHost.size()));
        directory.onLinkUp(host, up.hello.incarnation, clock.now());
        generations.onLinkUp(host);
        calls.onLinkUp(host);
    }
    auto onPeerDown(const peer_down &down) -> void
    {
        const auto found = hostByLinkId.find(down.linkId);
        if (found == hostByLinkId.end()) {
            return;
        }
        const auto host = found->second;
        hostByLinkId.erase(found);
        const auto current = linkIdByHost.find(host);
        if (current == linkIdByHost.end() || current->second != down.linkId) {
            return;
        }
        linkIdByHost.erase(current);
        metrics.set(dispatch_metric::agents_connected,
                    static_cast<std::int64_t>(linkIdByHost.size()));
        directory.onLinkDown(host);
        generations.onLinkDown(host);
        calls.onLinkDown(host);
    }
    auto onPeerFrame(peer_frame &&received) -> void
    {
        const auto host = hostByLinkId.find(received.linkId);
        if (host == hostByLinkId.end()) {
            return;
        }
        std::visit(
            [&](auto &&message) {
                onMessage(host->second, std::forward<decltype(message)>(message));
            },
            std::move(received.message));
    }
    auto onMessage(const std::string &host, tokens_frame &&message) -> void
    {
        generations.onTokens(host, std::move(message));
    }
    auto onMessage(const std::string &host, grant_frame &&message) -> void
    {
        generations.onGrant(host, message);
    }
    auto onMessage(const std::string &host, refusal_frame &&message) -> void
    {
        generations.onRefusal(host, message);
    }
    auto onMessage(const std::string &host, finished_frame &&message) -> void
    {
        generations.onFinished(host, message);
    }
    auto onMessage(const std::string &host, call_result_frame &&message) -> void
    {
        calls.onResult(host, std::move(message));
    }
    auto onMessage(const std::string &host, load_report_frame &&message) -> void
    {
        directory.onReport(host, message, clock.now());
    }
    auto onMessage(const std::string &, run_observations_frame &&message) -> void
    {
        generations.onObservations(message.observations);
    }
    auto onMessage(const std::string &host, auto &&) -> void
    {
        LOG_EVERY_N(WARNING, 100) << "unexpected kind of frame from " << host;
    }
    auto openGeneration(open_generation &&open) -> void
    {
        const span dispatchSpan{.context = childOf(open.trace, random),
                                .parentSpanId = open.trace.spanId,
                                .kind = span_kind::dispatch,
                                .startUnixMs = clock.unixMs()};
        open.trace = dispatchSpan.context;
        generations.onOpen(std::move(open));
        record(dispatchSpan);
    }
    auto openCall(open_call &&open) -> void
    {
        const span dispatchSpan{.context = childOf(open.trace, random),
                                .parentSpanId = open.trace.spanId,
                                .kind = span_kind::dispatch,
                                .startUnixMs = clock.unixMs()};
        open.trace = dispatchSpan.context;
        calls.onOpen(std::move(open));
        record(dispatchSpan);
    }
    auto record(span finished) -> void
    {
        finished.endUnixMs = clock.unixMs();
        spans.tryPush(std::move(finished));
    }

    // --- timers and metrics

    /// Updates the metrics and arms the timer for the dispatchers' next timeout.
    auto afterEvent() -> void
    {
        refreshMetrics();
        auto next = generations.nextTimer();
        const auto callTimer = calls.nextTimer();
        if (callTimer && (!next || *callTimer < *next)) {
            next = callTimer;
        }
        if (!next || (timerDue && *timerDue <= *next)) {
            return;
        }
        timerDue = next;
        timer.expires_after(durationUntil(*next, clock.now()));
        timer.async_wait([this](boost::system::error_code error) {
            if (error) {
                return;
            }
            timerDue.reset();
            generations.onTimer();
            calls.onTimer();
            afterEvent();
        });
    }
    auto refreshMetrics() -> void
    {
        const auto &counts = generations.counts();
        const auto setMetric = [this](dispatch_metric metric, std::uint64_t value) {
            metrics.set(metric, static_cast<std::int64_t>(value));
        };
        setMetric(dispatch_metric::streams, generations.streams());
        setMetric(dispatch_metric::calls, calls.calls());
        setMetric(dispatch_metric::generations_opened, counts.opened);
        setMetric(dispatch_metric::generations_finished, counts.finished);
        setMetric(dispatch_metric::generations_failed, counts.failed);
        setMetric(dispatch_metric::generations_continued, counts.continued);
        setMetric(dispatch_metric::streams_superseded, counts.superseded);
        setMetric(dispatch_metric::tokens_stale, counts.staleTokens);
        setMetric(dispatch_metric::bids_sent, counts.bids);
        setMetric(dispatch_metric::generations_quarantined, counts.quarantined);
        setMetric(dispatch_metric::quarantines, generations.quarantines());
        if (state.draining) {
            state.drained = generations.drained() && calls.drained();
        }
    }

    process_state &state;
    metric_set<dispatch_metric> &metrics;
    duty worker{"dispatch"};
    ring_writer<caller_action> toCallers;
    ring_writer<link_command> toLinks;
    ring_reader<caller_event, dispatch_duty> callerEvents;
    ring_reader<link_event, dispatch_duty> linkEvents;
    ring_reader<configuration_event, dispatch_duty> configurationEvents;
    ring<span> &spans;
    boost::asio::steady_timer timer;
    std::optional<time_us> timerDue;
    system_clock_source clock;
    random_source random{systemSeed()};
    agent_directory directory;
    generation_dispatcher_type generations;
    call_dispatcher_type calls;
    std::unordered_map<std::string, std::uint64_t> linkIdByHost;
    std::unordered_map<std::uint64_t, std::string> hostByLinkId;
};

dispatch_duty::dispatch_duty(dispatch_options options, dispatch_rings rings, process_state &state)
    : m_impl(std::make_unique<impl>(std::move(options), rings, state, m_metrics, *this))
{ }

dispatch_duty::~dispatch_duty()
{
    stop();
}

auto dispatch_duty::start() -> void
{
    m_impl->callerEvents.start();
    m_impl->linkEvents.start();
    m_impl->configurationEvents.start();
    m_impl->worker.start();
}

auto dispatch_duty::stop() -> void
{
    m_impl->worker.stop();
}

auto dispatch_duty::drain() -> void
{
    boost::asio::post(m_impl->worker.context(), [this] {
        m_impl->generations.drain();
        m_impl->calls.drain();
        m_impl->refreshMetrics();
    });
}

auto dispatch_duty::handle(caller_event &&event) -> void
{
    if (auto *generation = std::get_if<open_generation>(&event)) {
        m_impl->openGeneration(std::move(*generation));
    } else if (auto *call = std::get_if<open_call>(&event)) {
        m_impl->openCall(std::move(*call));
    } else if (const auto *credit = std::get_if<caller_credit>(&event)) {
        m_impl->generations.onCredit(*credit);
    } else {
        const auto callerId = std::get<caller_left>(event).callerId;
        m_impl->generations.onCallerLeft(callerId);
        m_impl->calls.onCallerLeft(callerId);
    }
    m_impl->afterEvent();
}

auto dispatch_duty::handle(link_event &&event) -> void
{
    if (const auto *up = std::get_if<peer_up>(&event)) {
        m_impl->onPeerUp(*up);
    } else if (const auto *down = std::get_if<peer_down>(&event)) {
        m_impl->onPeerDown(*down);
    } else {
        m_impl->onPeerFrame(std::move(std::get<peer_frame>(event)));
    }
    m_impl->afterEvent();
}

auto dispatch_duty::handle(configuration_event &&event) -> void
{
    if (const auto *changed = std::get_if<manifest_changed>(&event)) {
        m_impl->generations.onManifest(changed->current);
        m_impl->calls.onManifest(changed->current);
    } else {
        m_impl->directory.onHosts(std::get<hosts_changed>(event).hosts);
    }
    m_impl->afterEvent();
}

} // namespace marjoram
