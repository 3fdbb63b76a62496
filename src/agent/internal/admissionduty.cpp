#include "agent/admissionduty.h"

#include "quarantine/observationlog.h"

#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>
#include <unordered_map>
#include <unordered_set>

namespace marjoram {

namespace {

constexpr std::size_t BACKLOG_LIMIT = 1 << 20;

} // namespace

struct admission_duty::impl
{
    using engine_type = engine_core<forecast_admission, system_clock_source, impl>;
    using service_type = service_core<system_clock_source, impl>;

    struct pending_claim
    {
        std::uint64_t claimId = 0;
        std::uint64_t linkId = 0;
        time_us deadline;
    };

    impl(admission_duty_options initialOptions, admission_rings rings, process_state &sharedState,
         metric_set<admission_metric> &metricValues, admission_duty &outer)
        : options(std::move(initialOptions))
        , state(sharedState)
        , metrics(metricValues)
        , toLinks(worker.context(), rings.links.fromDecisions, BACKLOG_LIMIT)
        , toBackend(worker.context(), rings.backend.fromDecisions, BACKLOG_LIMIT)
        , linkEvents(worker.context(), rings.links.toDecisions, outer)
        , backendEvents(worker.context(), rings.backend.toDecisions, outer)
        , configurationEvents(worker.context(), rings.configuration, outer)
        , spans(rings.spans)
        , timer(worker.context())
        , reportTimer(worker.context())
        , engine(options.engine, clock, *this)
        , service(options.service, clock, *this)
        , orders(options.orders, clock, systemSeed())
    { }
    auto isEngine() const -> bool { return options.kind == backend_server_kind::engine; }

    // --- actions

    auto toEntry(std::uint64_t linkId, frame message) -> void
    {
        toLinks.push(send_frame{.linkId = linkId, .message = std::move(message)});
    }
    auto sendToBackend(backend_command command) -> void
    {
        if (toBackend.push(std::move(command))) {
            LOG(ERROR) << "command dropped: backlog limit of the backend server duty exceeded";
        }
    }
    auto startEngineJob(engine_job job) -> void
    {
        const auto now = clock.unixMs();
        record({.context = childOf(job.trace, random),
                .parentSpanId = job.trace.spanId,
                .kind = span_kind::agent_run,
                .startUnixMs = now,
                .endUnixMs = now,
                .detail = job.given.empty() ? "start" : "resume"});
        sendToBackend(start_engine_job{.job = std::move(job)});
    }
    auto stopEngineJob(std::uint64_t serial) -> void
    {
        sendToBackend(stop_engine_job{.serial = serial});
    }
    auto pauseEngineJob(std::uint64_t serial) -> void
    {
        sendToBackend(pause_engine_job{.serial = serial});
    }
    auto resumeEngineJob(std::uint64_t serial) -> void
    {
        sendToBackend(resume_engine_job{.serial = serial});
    }
    auto callService(service_job job) -> void
    {
        sendToBackend(call_service{.job = std::move(job)});
    }
    auto sendClaim(claim_request claim) -> void
    {
        const auto link = agentLinks.find(claim.host);
        if (link == agentLinks.end()) {
            // Replies asynchronously: service_core is still inside the call that asked.
            boost::asio::post(worker.context(), [this, id = claim.claimId] {
                service.onClaimReply({.claimId = id});
                afterEvent();
            });
            return;
        }
        const auto wireClaimId = ++lastWireClaimId;
        claims.emplace(wireClaimId,
                       pending_claim{.claimId = claim.claimId,
                                     .linkId = link->second,
                                     .deadline = clock.now() + options.claimTimeoutUs});
        toEntry(link->second, claim_frame{.claimId = wireClaimId,
                                          .key = std::move(claim.key),
                                          .bodyHash = claim.bodyHash});
    }
    auto record(span finished) -> void { spans.tryPush(std::move(finished)); }

    // --- links

    auto onPeerUp(const peer_up &up) -> void
    {
        if (up.hello.role == process_role::agent) {
            agentLinks.insert_or_assign(up.hello.host, up.linkId);
            return;
        }
        if (up.hello.role == process_role::entry) {
            entryLinks.insert(up.linkId);
            toEntry(up.linkId, report());
            sendObservations(up.linkId, observations.collectAll(clock.now()));
        }
    }
    auto onPeerDown(const peer_down &down) -> void
    {
        entryLinks.erase(down.linkId);
        const auto agent = agentLinks.find(down.hello.host);
        if (agent != agentLinks.end() && agent->second == down.linkId) {
            agentLinks.erase(agent);
        }
        failMatchingClaims([&](const pending_claim &claim) { return claim.linkId == down.linkId; });
        engine.onLinkDown(down.linkId);
    }
    auto onMessage(std::uint64_t linkId, bid_frame &&message) -> void
    {
        engine.onBid(linkId, message);
    }
    auto onMessage(std::uint64_t linkId, withdraw_frame &&message) -> void
    {
        engine.onWithdraw(linkId, message);
    }
    auto onMessage(std::uint64_t linkId, start_frame &&message) -> void
    {
        engine.onStart(linkId, std::move(message));
    }
    auto onMessage(std::uint64_t linkId, attach_frame &&message) -> void
    {
        engine.onAttach(linkId, message);
    }
    auto onMessage(std::uint64_t linkId, credit_frame &&message) -> void
    {
        engine.onCredit(linkId, message);
    }
    auto onMessage(std::uint64_t linkId, cancel_frame &&message) -> void
    {
        engine.onCancel(linkId, message);
    }
    auto onMessage(std::uint64_t linkId, call_frame &&message) -> void
    {
        service.onCall(linkId, std::move(message));
    }
    auto onMessage(std::uint64_t linkId, claim_frame &&message) -> void
    {
        call_answer answer;
        const auto outcome = service.onClaim(message.key, message.bodyHash, answer);
        toEntry(linkId, claim_reply_frame{.claimId = message.claimId,
                                          .outcome = outcome,
                                          .status = answer.status,
                                          .contentType = std::move(answer.contentType),
                                          .body = std::move(answer.body)});
    }
    auto onMessage(std::uint64_t, claim_reply_frame &&message) -> void
    {
        const auto claim = claims.find(message.claimId);
        if (claim == claims.end()) {
            return;
        }
        const auto claimId = claim->second.claimId;
        claims.erase(claim);
        service.onClaimReply({.claimId = claimId,
                              .reached = true,
                              .outcome = message.outcome,
                              .answer = {.status = message.status,
                                         .contentType = std::move(message.contentType),
                                         .body = std::move(message.body)}});
    }
    /// Keeps what an entry has seen of its runs and passes it on to all entries.
    auto onMessage(std::uint64_t, run_observations_frame &&message) -> void
    {
        std::vector<run_observation> added;
        for (auto &seen : message.observations) {
            if (observations.add(seen, clock.now())) {
                added.push_back(std::move(seen));
            }
        }
        for (const auto linkId : entryLinks) {
            sendObservations(linkId, added);
        }
    }
    auto sendObservations(std::uint64_t linkId, const std::vector<run_observation> &seen) -> void
    {
        for (auto &part : framesOf(seen)) {
            toEntry(linkId, std::move(part));
        }
    }
    auto onMessage(std::uint64_t linkId, auto &&) -> void
    {
        LOG_EVERY_N(WARNING, 100) << "unexpected kind of frame on link " << linkId;
    }
    auto failMatchingClaims(auto &&match) -> void
    {
        std::vector<std::uint64_t> failed;
        std::erase_if(claims, [&](const auto &claim) {
            const auto matches = match(claim.second);
            if (matches) {
                failed.push_back(claim.second.claimId);
            }
            return matches;
        });
        for (const auto claimId : failed) {
            service.onClaimReply({.claimId = claimId});
        }
    }

    // --- backend server events

    auto onEvent(engine_tokens &&event) -> void
    {
        engine.onEngineTokens(event.serial, std::move(event.tokens));
    }
    auto onEvent(engine_job_finished &&event) -> void
    {
        engine.onEngineFinished(event.serial, std::move(event.tokens), event.reason);
    }
    auto onEvent(engine_job_failed &&event) -> void { engine.onEngineFailed(event.serial); }
    auto onEvent(engine_load_reported &&event) -> void
    {
        orders.onEngineModels(event.load.models);
        for (auto &model : event.load.models) {
            model.resize(std::min(model.find('@'), model.size()));
        }
        engine.onEngineLoad(event.load);
    }
    auto onEvent(engine_cache_changed &&event) -> void { prefixes = std::move(event); }
    auto onEvent(service_answered &&event) -> void
    {
        service.onServiceAnswered(event.serial, std::move(event.answer));
    }
    auto onEvent(service_failed &&event) -> void
    {
        service.onServiceFailed(event.serial, event.ran);
    }
    auto onEvent(order_ended &&event) -> void
    {
        LOG(INFO) << "order " << nameOf(event.order.kind) << " " << event.order.model << " "
                  << event.order.version << ": " << nameOf(event.outcome);
        orders.onOrderEnded(event.order, event.outcome);
    }

    // --- configuration

    auto onManifest(const manifest_ptr &current) -> void
    {
        engine.onManifest(current);
        service.onManifest(current);
        orders.onManifest(current);
    }
    auto onHosts(host_list &&hosts) -> void
    {
        for (const auto &entry : hosts.hosts) {
            if (entry.host != options.host || entry.state == host_state::live) {
                continue;
            }
            beginDrain();
            if (entry.state == host_state::reclaimed) {
                engine.handBack();
            }
        }
        orders.onHosts(std::move(hosts));
    }
    auto beginDrain() -> void
    {
        engine.leave();
        service.leave();
        state.draining = true;
        broadcastReport();
    }

    // --- reports, timers and metrics

    auto report() const -> load_report_frame
    {
        return isEngine() ? engine.report() : service.report();
    }
    auto broadcastReport() -> void
    {
        auto current = report();
        current.prefixesCached = std::exchange(prefixes.cached, {});
        current.prefixesEvicted = std::exchange(prefixes.evicted, {});
        for (const auto linkId : entryLinks) {
            toEntry(linkId, current);
        }
    }
    auto reportLater() -> void
    {
        reportTimer.expires_after(std::chrono::microseconds(options.reportIntervalUs));
        reportTimer.async_wait([this](boost::system::error_code error) {
            if (error) {
                return;
            }
            broadcastReport();
            failMatchingClaims(
                [this](const pending_claim &claim) { return claim.deadline <= clock.now(); });
            afterEvent();
            reportLater();
        });
    }
    /// Sends due orders, updates the metrics and arms the timer.
    auto afterEvent() -> void
    {
        sendDueOrders();
        refreshMetrics();
        auto next = engine.nextTimer();
        const auto orderTimer = isEngine() ? orders.nextTimer() : std::nullopt;
        if (orderTimer && (!next || *orderTimer < *next)) {
            next = orderTimer;
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
            engine.onTimer();
            afterEvent();
        });
    }
    auto sendDueOrders() -> void
    {
        if (!isEngine() || engine.leaving()) {
            return;
        }
        while (auto dueOrder = orders.next()) {
            sendToBackend(send_engine_order{.order = std::move(dueOrder->order),
                                            .validUntil = dueOrder->validUntil});
        }
    }
    auto refreshMetrics() -> void
    {
        const auto setMetric = [this](admission_metric metric, std::uint64_t value) {
            metrics.set(metric, static_cast<std::int64_t>(value));
        };
        const auto current = report();
        const auto &counts = engine.counts();
        const auto &callCounts = service.counts();
        setMetric(admission_metric::running, current.running);
        setMetric(admission_metric::waiting, current.waitingUrgent + current.waitingStandard);
        setMetric(admission_metric::granted, counts.granted);
        setMetric(admission_metric::refused, counts.refused + callCounts.refused);
        setMetric(admission_metric::preempted, counts.preempted);
        setMetric(admission_metric::finished, counts.finished);
        setMetric(admission_metric::backend_failures, counts.engineFailures);
        setMetric(admission_metric::tokens, counts.tokens);
        setMetric(admission_metric::calls_run, callCounts.run);
        setMetric(admission_metric::calls_replayed, callCounts.replayed);
        setMetric(admission_metric::claims_asked, callCounts.claims);
        if (state.draining) {
            state.drained = engine.drained() && service.drained();
        }
    }

    admission_duty_options options;
    process_state &state;
    metric_set<admission_metric> &metrics;
    duty worker{"admission"};
    ring_writer<link_command> toLinks;
    ring_writer<backend_command> toBackend;
    ring_reader<link_event, admission_duty> linkEvents;
    ring_reader<backend_event, admission_duty> backendEvents;
    ring_reader<configuration_event, admission_duty> configurationEvents;
    ring<span> &spans;
    boost::asio::steady_timer timer;
    boost::asio::steady_timer reportTimer;
    std::optional<time_us> timerDue;
    system_clock_source clock;
    random_source random{systemSeed()};
    observation_log observations{{}};
    engine_type engine;
    service_type service;
    order_core<system_clock_source> orders;
    std::unordered_set<std::uint64_t> entryLinks;
    std::unordered_map<std::string, std::uint64_t> agentLinks;
    std::unordered_map<std::uint64_t, pending_claim> claims;
    std::uint64_t lastWireClaimId = 0;
    engine_cache_changed prefixes;
};

admission_duty::admission_duty(admission_duty_options options, admission_rings rings,
                               process_state &state)
    : m_impl(std::make_unique<impl>(std::move(options), rings, state, m_metrics, *this))
{ }

admission_duty::~admission_duty()
{
    stop();
}

auto admission_duty::start() -> void
{
    m_impl->linkEvents.start();
    m_impl->backendEvents.start();
    m_impl->configurationEvents.start();
    boost::asio::post(m_impl->worker.context(), [this] { m_impl->reportLater(); });
    m_impl->worker.start();
}

auto admission_duty::stop() -> void
{
    m_impl->worker.stop();
}

auto admission_duty::drain() -> void
{
    boost::asio::post(m_impl->worker.context(), [this] {
        m_impl->beginDrain();
        m_impl->afterEvent();
    });
}

auto admission_duty::handBack() -> void
{
    boost::asio::post(m_impl->worker.context(), [this] {
        m_impl->engine.handBack();
        m_impl->afterEvent();
    });
}

auto admission_duty::handle(link_event &&event) -> void
{
    if (const auto *up = std::get_if<peer_up>(&event)) {
        m_impl->onPeerUp(*up);
    } else if (const auto *down = std::get_if<peer_down>(&event)) {
        m_impl->onPeerDown(*down);
    } else {
        auto &received = std::get<peer_frame>(event);
        std::visit(
            [&](auto &&message) {
                m_impl->onMessage(received.linkId, std::forward<decltype(message)>(message));
            },
            std::move(received.message));
    }
    m_impl->afterEvent();
}

auto admission_duty::handle(backend_event &&event) -> void
{
    std::visit(
        [this](auto &&alternative) {
            m_impl->onEvent(std::forward<decltype(alternative)>(alternative));
        },
        std::move(event));
    m_impl->afterEvent();
}

auto admission_duty::handle(configuration_event &&event) -> void
{
    if (const auto *changed = std::get_if<manifest_changed>(&event)) {
        m_impl->onManifest(changed->current);
    } else {
        m_impl->onHosts(std::move(std::get<hosts_changed>(event).hosts));
    }
    m_impl->afterEvent();
}

} // namespace marjoram
