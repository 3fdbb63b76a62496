#pragma once

#include "forwarding/continuationfilter.h"
#include "forwarding/crashquarantine.h"
#include "forwarding/entrycount.h"
#include "forwarding/forwardingoptions.h"
#include "forwarding/plannedstop.h"
#include "forwarding/processconfirmations.h"
#include "forwarding/requestadmission.h"
#include "forwarding/requestplacer.h"
#include "forwarding/retrydelay.h"
#include "forwarding/serverobserver.h"
#include "forwarding/streamcontinuity.h"
#include "framework/global/identifiers.h"
#include "locality/remotetraffic.h"

#include <algorithm>
#include <map>
#include <memory>

namespace marjoram {

/// Decision logic for requests that an entry forwards to backend servers: server selection,
/// retries, error responses and moves of running generations.
/// Not thread safe: belongs to one duty.
template <placement_policy Placement, clock_source Clock, typename Sink>
class forwarding_core
{
public:
    /// Precondition: `directory` and `sink` outlive the core.
    forwarding_core(forwarding_options options, Clock clock, std::uint64_t seed,
                    server_directory &directory, Sink &sink)
        : m_options(std::move(options))
        , m_clock(clock)
        , m_directory(directory)
        , m_sink(sink)
        , m_entryCount(m_options.initialEntryCount)
        , m_forecast(m_options.completion)
        , m_stop(m_forecast)
        , m_retryDelay(m_options, seed)
        , m_admission(m_options, seed + 2)
        , m_placer(m_options, clock, seed + 1, directory, *this)
        , m_mover(m_options.moves, clock, directory, *this)
        , m_quarantine(m_options.quarantine, clock, seed + 3, directory, *this)
        , m_origins(m_options.origins, clock, directory, *this)
        , m_confirmations(m_options.streamEnds, clock, directory, *this)
        , m_servers(clock, directory, sink)
        , m_lastAskId(firstAskId(seed))
    {
        m_directory.setEntryCount(m_entryCount.count(), m_clock.now());
        static_assert(forwarding_sink<Sink>);
        static_assert(move_host<forwarding_core>);
    }

    // --- configuration and servers

    auto onRouteTable(route_table_ptr table) -> void
    {
        m_forecast.onRouteTable(*table);
        m_directory.setTable(table);
        m_directory.setColdLimits(coldLimitsOf(*table), m_clock.now());
        m_servers.logColdChanges();
        m_admission.setTable(std::move(table));
    }
    /// The service that publishes the list has stopped answering, or answers again.
    auto onListAvailability(bool available) -> void
    {
        m_directory.onListAvailability(available, m_clock.now());
    }
    /// Everything that was published before `readAt` is in the list; unset if that is now.
    auto onServerList(const std::vector<server_entry> &entries,
                      std::optional<time_us> readAt = std::nullopt) -> void
    {
        const auto changes = m_directory.onServerList(entries, m_clock.now());
        for (const auto &id : changes.joined) {
            m_servers.logJoined(m_directory.find(id)->entry, "published");
            m_quarantine.onServerStarted(id);
        }
        for (const auto &id : changes.leaving) {
            onLeaving(id, "published");
        }
        for (const auto &id : changes.unlisted) {
            onLeaving(id, "unlisted");
        }
        for (const auto &id : changes.gone) {
            m_servers.logGone(id);
        }
        m_servers.logColdChanges();
        endQuarantinedRequests();
        m_origins.onList(readAt.value_or(m_clock.now()));
    }
    /// Takes the evacuated data centres. Generations that run there go on.
    auto onEvacuations(const data_centre_set &dataCentres) -> void
    {
        const auto changes = m_directory.setEvacuated(dataCentres);
        for (const auto &name : changes.evacuated) {
            m_servers.logEvacuation(log_event::data_centre_evacuated, name);
        }
        for (const auto &name : changes.returned) {
            m_servers.logEvacuation(log_event::data_centre_returned, name);
        }
    }
    auto onAnnounced(const server_entry &entry, const std::vector<std::string> &models) -> void
    {
        if (m_directory.onAnnounced(entry, models, m_clock.now())) {
            m_servers.logJoined(m_directory.find(entry.id)->entry, "announced");
        }
    }
    /// Another process has taken the address of a server: the listed one no longer exists.
    auto onReplaced(const std::string &id) -> void
    {
        m_servers.onReplaced(id);
        m_confirmations.onServer(id);
    }
    /// The server has no reporter.
    auto onReporterAbsent(const std::string &id) -> void { m_servers.onReporterAbsent(id); }
    auto onReport(const std::string &id, server_report report) -> void
    {
        m_entryCount.onReport(report.listeners, m_clock.now());
        m_placer.setEntryCount(m_entryCount.count());
        m_directory.setEntryCount(m_entryCount.count(), m_clock.now());
        if (!report.answering) {
            m_quarantine.onServerDown(id);
        }
        const auto becameLeaving = m_servers.onReport(id, std::move(report));
        m_servers.logColdChanges();
        const auto *view = m_directory.find(id);
        if (becameLeaving) {
            onLeaving(id, "reported");
        } else if (view && view->leaving()) {
            moveRunsOf(id);
        }
        m_confirmations.onServer(id);
        endQuarantinedRequests();
    }
    /// Takes what other entries have seen of their runs.
    auto onObservations(const std::vector<run_observation> &observations) -> void
    {
        m_quarantine.onObservations(observations);
        endQuarantinedRequests();
    }
    /// Number of servers that were told to be cold.
    auto coldServers() const -> std::size_t { return m_directory.coldServers(); }
    /// Number of quarantines in force.
    auto quarantines() const -> std::size_t { return m_quarantine.activeCount(); }
    /// From now on refuses requests that may not finish before `stopAt`, also those that no server
    /// has got yet. Idempotent.
    auto drain(time_us stopAt) -> void
    {
        m_stop.begin(stopAt);
        std::vector<request_state *> late;
        for (const auto &[number, request] : m_requests) {
            if (isUnsent(*request) && mayOutlastProcess(*request)) {
                late.push_back(request.get());
            }
        }
        for (auto *request : late) {
            failStopping(*request);
        }
    }
    auto drained() const -> bool { return m_requests.empty(); }
    /// Ends all open requests, because the process stops: streams are cut, other requests get their
    /// final answer.
    auto abandonRequests() -> void
    {
        while (!m_requests.empty()) {
            auto &request = *m_requests.begin()->second;
            if (isUnsent(request)) {
                failStopping(request);
            } else {
                failRequest(request, failure::draining, run_state::unknown);
            }
        }
    }
    auto openRequests() const -> std::size_t { return m_requests.size(); }
    auto waitingCounts() const -> waiting_counts { return m_placer.counts(); }

    /// Counts requests and bytes between data centres there. Precondition: `traffic` outlives the
    /// core.
    auto setRemoteTraffic(remote_traffic &traffic) -> void { m_remoteTraffic = &traffic; }

    // --- callers

    auto onRequest(const forward_requested &opened) -> void
    {
        const auto &incoming = *opened.request;
        const auto reason = m_admission.refusalReason(incoming, m_requests.size());
        if (reason != failure::none) {
            refuse(incoming.callerId, incoming.requestId, reason, m_retryDelay.drawMs());
            return;
        }
        if (const auto until = m_quarantine.quarantinedUntil(incoming)) {
            refuse(incoming.callerId, incoming.requestId, failure::quarantined, msUntil(*until));
            return;
        }
        auto &request = admit(opened.request);
        if (mayOutlastProcess(request)) {
            failStopping(request);
            return;
        }
        if (m_origins.continuesStream(request)) {
            m_origins.resolve(request);
            return;
        }
        m_placer.placeOrWait(request);
    }
    auto onOriginAsked(const origin_asked &asked) -> void { m_origins.onAsked(asked); }
    auto onOriginReply(const origin_replied &replied) -> void { m_origins.onReply(replied); }
    auto onCallerDisconnected(std::uint64_t callerId) -> void
    {
        const auto found = m_requestByCaller.find(callerId);
        if (found == m_requestByCaller.end()) {
            return;
        }
        auto &request = *m_requests.at(found->second);
        m_requestByCaller.erase(found);
        request.callerId = 0;
        log(log_event::caller_left, request, {{"phase", std::string(nameOf(request.phase))}});
        // An at-most-once request keeps running: cancelling it would leave its outcome unknown.
        if (request.route->kind != work_kind::at_most_once || isUnsent(request)) {
            cancelExchange(request);
            close(request);
        }
    }

    /// Handles a reporter's reply to a room request.
    auto onRoomReply(room_replied replied) -> void
    {
        if (replied.report) {
            onReport(replied.serverId, std::move(*replied.report));
        }
        m_placer.onRoomReply(replied);
        m_mover.onRoomReply(replied);
    }

    // --- backend servers

    auto onEvent(server_event event) -> void
    {
        if (!m_confirmations.hold(event)) {
            handle(std::move(event));
        }
        // Runs move only once the request whose answer stated it has its new state.
        if (const auto id = std::exchange(m_statedLeaving, std::nullopt)) {
            onLeaving(*id, "answer");
        }
        endQuarantinedRequests();
    }

    // --- time

    auto nextTimer() const -> std::optional<time_us>
    {
        return std::min({m_timers.next(), m_quarantine.nextTimer(), m_origins.nextTimer(),
                         m_confirmations.nextTimer(), m_placer.nextTimer(), m_mover.nextTimer()},
                        isEarlier);
    }
    auto onTimer() -> void
    {
        m_mover.onTimer();
        m_placer.onTimer();
        m_quarantine.onTimer();
        m_origins.onTimer();
        m_confirmations.onTimer();
        while (const auto key = m_timers.popDue(m_clock.now())) {
            auto *request = findRequest(key->number);
            if (!request) {
                continue;
            }
            switch (key->kind) {
            case timer_kind::deadline:
                onDeadline(*request);
                break;
            case timer_kind::hedge:
                onHedgeTimeout(*request);
                break;
            }
        }
    }

    // --- called by the placer, the mover, the quarantine and the origins

    auto toReporter(reporter_command command) -> void
    {
        // The reporter learns from room requests how a cold server is limited.
        auto *asked = std::get_if<request_room>(&command);
        const auto *view = asked ? m_directory.find(asked->serverId) : nullptr;
        if (view && view->cold.perSecond > 0.0) {
            constexpr double MILLI = 1'000.0;
            asked->coldMilliPerSecond = static_cast<std::uint64_t>(view->cold.perSecond * MILLI);
            asked->coldForMs = std::max<std::int64_t>(0, msUntil(view->cold.listedUntil));
        }
        m_sink.toReporter(std::move(command));
    }
    auto nextAskId() -> std::uint64_t { return ++m_lastAskId; }
    auto observe(latency_kind kind, std::int64_t us) -> void { m_sink.observe(kind, us); }
    auto chooseServer(const request_state &request, bool moving) -> const server_view *
    {
        return m_placer.chooseServer(request, moving);
    }
    auto send(request_state &request, const std::string &serverId, const endpoint &server,
              const std::optional<kv_copy> &copy) -> void
    {
        const auto now = m_clock.now();
        m_confirmations.stopHolding(request);
        m_placer.cancelPlacement(request);
        const auto survivedStart = copy && request.run.survivedStart;
        const auto until
            = survivedStart ? std::nullopt : m_quarantine.quarantinedUntil(*request.request);
        if (until) {
            if (copy) {
                m_sink.toServer(release_kv_copy{*copy});
            }
            failQuarantined(request, *until);
            return;
        }
        if (!copy && mayOutlastProcess(request)) {
            failStopping(request);
            return;
        }
        if (!copy && !streamFilterOf(request).allows(serverId)) {
            onPlacementFailed(request);
            return;
        }
        const auto *view = m_directory.find(serverId);
        request.phase = request.streamStarted ? request_phase::streaming : request_phase::sent;
        request.run = {.exchangeId = ++m_lastExchangeId,
                       .serverId = serverId,
                       .bornUnixMs = view ? view->entry.bornUnixMs : 0,
                       .server = server,
                       .sentAt = now,
                       .tokens = request.isGeneration() ? m_placer.expectedTokens(request) : 0,
                       .copy = copy,
                       .stopOrdered = request.mayBeStopped(serverId),
                       .events = copy ? request.run.events : 0,
                       .survivedStart = survivedStart};
        m_placer.onSent(request);
        recordRemote(request, 1, 0);
        ++request.sends;
        m_requestByExchange.emplace(request.run.exchangeId, request.number);
        m_directory.recordSent(serverId, request.run.tokens);
        m_directory.recordRequest(serverId, now);
        const auto resumes = copy || request.lastEvent > 0;
        logSent(request, serverId, resumes);
        m_sink.toServer(send_request{
            .exchangeId = request.run.exchangeId,
            .serverId = serverId,
            .server = server,
            .request = request.request,
            .team = request.team,
            .deadlineMs = std::max<std::int64_t>(1, (request.deadline - now) / US_PER_MS),
            .stream = request.isGeneration(),
            .freshConnection = request.route->kind != work_kind::repeatable,
            .urgency = request.engine() ? std::optional(request.urgency) : std::nullopt,
            .resumeAfter = resumes ? std::optional(request.lastEvent) : std::nullopt,
            .resumeFrom = copy});
        if (request.route->kind == work_kind::repeatable && request.route->attempts > 1) {
            const auto us = m_options.hedgeAfterTargets
                            * static_cast<double>(toUs(request.route->latencyTargetMs));
            m_timers.set({timer_kind::hedge, request.number}, now + static_cast<std::int64_t>(us));
        }
    }
    auto onPlacementFailed(request_state &request) -> void
    {
        const std::string_view pool = request.pool ? request.pool->name : std::string_view{};
        const auto ran = request.attempts > 0 ? run_state::unknown : run_state::not_run;
        const auto outlook = streamFilterOf(request).outlook();
        if (m_directory.poolSize(pool) == 0 || m_directory.allLeaving(pool)) {
            failRequest(request, failure::no_backend_server, ran);
        } else if (outlook == continuation::none) {
            failRequest(request, failure::software_version_gone, ran);
        } else if (const auto until = m_directory.unavailableUntil(pool, m_clock.now())) {
            failRequest(request, failure::rate_limited, ran, until);
        } else {
            failRequest(request, failure::overloaded, ran);
        }
    }
    /// The origin of the stream that a caller resumes is known: it goes on in the pool that began
    /// it.
    auto onOriginKnown(request_state &request, origin_certainty certainty) -> void
    {
        const auto &shares = request.route->pools;
        const auto share = std::find_if(shares.begin(), shares.end(), [&](const auto &one) {
            return one.pool == request.origin->software->pool;
        });
        if (share != shares.end()) {
            request.pool = request.table->findPool(share->pool);
        }
        if (share == shares.end() || streamFilterOf(request).outlook() == continuation::none) {
            refuseResumption(request, failure::software_version_gone, certainty);
        } else {
            m_placer.placeOrWait(request);
        }
    }
    /// It is not known which software began the stream.
    auto onOriginUnknown(request_state &request, origin_certainty certainty) -> void
    {
        refuseResumption(request, failure::stream_origin_unknown, certainty);
    }
    /// The caller gets a time to return only if more may be known then.
    auto refuseResumption(request_state &request, failure reason, origin_certainty certainty)
        -> void
    {
        const auto retryAfterMs = certainty == origin_certainty::preliminary
                                      ? std::optional(m_retryDelay.drawMs(*request.route))
                                      : std::nullopt;
        failWithReason(request, reason, run_state::not_run, retryAfterMs);
        close(request);
    }
    auto findRequest(std::uint64_t number) -> request_state *
    {
        const auto found = m_requests.find(number);
        return found == m_requests.end() ? nullptr : found->second.get();
    }
    auto toServer(server_command command) -> void { m_sink.toServer(std::move(command)); }
    /// Resumes a generation on a server from a copy of its KV cache.
    auto resumeAt(request_state &request, const std::string &serverId, const kv_copy &copy) -> void
    {
        cancelExchange(request);
        const continuation_filter filter(m_directory, request, continued_part::memory,
                                         m_clock.now());
        if (m_directory.isEvacuated(serverId) || !filter.allows(serverId)) {
            resumeElsewhere(request, copy);
            return;
        }
        const auto *view = m_directory.find(serverId);
        const auto server = view ? view->entry.address : copy.source;
        send(request, serverId, server, copy);
    }
    auto log(log_event event, const request_state &request, std::vector<log_field> fields) -> void
    {
        m_sink.log(event, request.request->requestId, std::move(fields));
    }
    auto logEvent(log_event event, const std::string &requestId, std::vector<log_field> fields)
        -> void
    {
        m_sink.log(event, requestId, std::move(fields));
    }
    auto slowestUsPerToken(const request_state &request) -> std::int64_t
    {
        return m_forecast.slowestUsPerToken(request, m_clock.now());
    }
    auto observeMove(std::int64_t us) -> void { observe(latency_kind::move, us); }
    /// The requests concerned end once the current event has been handled.
    auto onQuarantineChanged() -> void { m_quarantineChanged = true; }

    // --- called by the confirmations of processes

    auto findByExchange(std::uint64_t exchangeId) -> request_state *
    {
        const auto found = m_requestByExchange.find(exchangeId);
        return found == m_requestByExchange.end() ? nullptr : findRequest(found->second);
    }
    auto handle(server_event event) -> void
    {
        std::visit([this](auto &&one) { this->on(std::forward<decltype(one)>(one)); },
                   std::move(event));
    }
    auto streamFilterOf(const request_state &request) const -> continuation_filter
    {
        return {m_directory, request, continued_part::stream, m_clock.now()};
    }
    /// Handles a stream that ended with the process of its server.
    auto onServerEnded(request_state &request, bool wasExpected) -> void
    {
        if (!wasExpected) {
            m_servers.onOutcome(request, false);
        }
        m_quarantine.onRunLost(request);
        log(log_event::request_retried, request,
            {{"server", request.run.serverId},
             {"cause", std::string("server_ended")},
             {"events", static_cast<std::int64_t>(request.lastEvent)}});
        if (!mayRetry(request) || !retryLost(request)) {
            abortStream(request, failure::backend_server_lost);
        }
    }
    /// Repeats a request although its stream may be complete: nothing shows what has become of its
    /// server. Returns false if it must not be repeated.
    auto retryUnconfirmed(request_state &request) -> bool
    {
        if (!mayRetry(request)) {
            return false;
        }
        m_servers.onOutcome(request, false);
        m_quarantine.onRunLost(request);
        log(log_event::request_retried, request,
            {{"server", request.run.serverId},
             {"cause", std::string("unconfirmed_end")},
             {"events", static_cast<std::int64_t>(request.lastEvent)}});
        return retryLost(request);
    }
    auto completeStream(request_state &request, response_end end) -> void
    {
        m_quarantine.onRunProgress(request, request.run.events > 0);
        m_servers.onOutcome(request, true);
        log(log_event::request_answered, request,
            {{"server", request.run.serverId},
             {"events", static_cast<std::int64_t>(request.eventsDelivered)},
             {"first_event_ms", request.firstEventUs / US_PER_MS},
             {"longest_pause_ms", request.longestPauseUs / US_PER_MS},
             {"moves", static_cast<std::int64_t>(request.moves)},
             {"end", std::string(nameOf(end))},
             {"stop_ordered", std::int64_t{request.run.stopOrdered}},
             {"took_ms", (m_clock.now() - request.openedAt) / US_PER_MS}});
        m_sink.observe(latency_kind::longest_pause, request.longestPauseUs);
        m_placer.onResponse(request, request.bytesDelivered);
        toCaller(request, end_response_stream{.callerId = request.callerId});
        close(request);
    }
    /// Handles a run that does not continue the stream of the one before it: events in between are
    /// missing, or it ended without any. Whether the stream is complete is unknown.
    auto onUnusableContinuation(request_state &request, std::string_view cause) -> void
    {
        m_mover.abandon(request);
        cancelExchange(request);
        m_servers.onOutcome(request, false);
        if (!mayRetry(request) || !retry(request, cause)) {
            abortStream(request, failure::backend_server_failed);
        }
    }

private:
    enum class timer_kind { deadline, hedge };
    struct timer_key
    {
        timer_kind kind;
        std::uint64_t number;
        friend auto operator<=>(const timer_key &, const timer_key &)
            -> std::strong_ordering = default;
    };

    /// Far enough from the largest number that the ids of one process never exceed it.
    static auto firstAskId(std::uint64_t seed) -> std::uint64_t
    {
        constexpr std::uint64_t LIMIT = std::uint64_t{1} << 62;
        return stableHash("ask id", seed) % LIMIT;
    }
    auto recordRemote(const request_state &request, std::int64_t requests, std::size_t bytes)
        -> void
    {
        const auto *view = request.run.spilled ? m_directory.find(request.run.serverId) : nullptr;
        if (view && m_remoteTraffic) {
            m_remoteTraffic->record(m_options.dataCentre, view->entry.dataCentre,
                                    *request.run.spilled, requests,
                                    static_cast<std::int64_t>(bytes));
        }
    }
    static auto isEarlier(const std::optional<time_us> &a, const std::optional<time_us> &b) -> bool
    {
        return a && (!b || *a < *b);
    }

    // --- opening

    auto admit(const forward_request_ptr &incoming) -> request_state &
    {
        const auto now = m_clock.now();
        auto state = m_admission.admit(incoming, ++m_lastNumber, now);
        auto &request = *state;
        m_timers.set({timer_kind::deadline, request.number}, request.deadline);
        m_requestByCaller.insert_or_assign(incoming->callerId, request.number);
        m_requests.emplace(request.number, std::move(state));
        if (request.pool) {
            retryBudgetOf(*request.pool).recordFirstAttempt(now);
        }
        return request;
    }
    static auto coldLimitsOf(const route_table &table) -> cold_limits
    {
        cold_limits out;
        for (const auto &pool : table.content().pools) {
            if (pool.coldPerSecond > 0.0) {
                out.insert_or_assign(pool.name, cold_limit{.perSecond = pool.coldPerSecond,
                                                           .coldStartMs = pool.coldStartMs});
            }
        }
        return out;
    }
    auto logSent(const request_state &request, const std::string &serverId, bool resumes) -> void
    {
        const auto *view = m_directory.find(serverId);
        std::vector<log_field> fields{
            {"server", serverId},
            {"route", request.route->name},
            {"in_flight", static_cast<std::int64_t>(view ? view->inFlight : 0)},
            {"taken_tokens", static_cast<std::int64_t>(view ? committedTokens(*view) : 0)},
            {"running",
             static_cast<std::int64_t>(view && view->report ? view->report->running : 0)},
            {"prompts_ahead", static_cast<std::int64_t>(view ? promptsAhead(*view) : 0)},
            {"report_age_ms", reportAgeMs(view)},
            {"slowdown_percent",
             static_cast<std::int64_t>(view && view->report ? view->report->slowdownPercent : 0)},
            {"sends", static_cast<std::int64_t>(request.sends)},
            {"resumed", std::int64_t{resumes}},
            {"version", view ? view->entry.softwareVersion.value_or("unknown") : "unknown"}};
        const auto &resumedId = request.request->generation.resumedRequestId;
        if (!resumedId.empty()) {
            fields.push_back({"resumes", resumedId});
        }
        if (const auto stopAt = m_stop.stopAt()) {
            fields.push_back({"stop_in_ms", msUntil(*stopAt)});
            fields.push_back({"expected_ms", msUntil(m_stop.assumedEnd(request, m_clock.now()))});
        }
        log(log_event::request_sent, request, std::move(fields));
    }
    auto reportAgeMs(const server_view *view) const -> std::int64_t
    {
        return view && view->report ? (m_clock.now() - view->reportAt) / US_PER_MS : -1;
    }

    // --- answers

    auto onAnswer(const request_state &request, const response_head &head) -> void
    {
        if (m_servers.onAnswer(request.run.serverId, head)) {
            m_statedLeaving = request.run.serverId;
        }
    }
    auto on(response_received &&answered) -> void
    {
        auto *request = findByExchange(answered.exchangeId);
        if (!request) {
            return;
        }
        onAnswer(*request, answered.head);
        endExchange(*request);
        if (answered.head.notRun || answered.head.wrongServer) {
            onRefusedByServer(*request, answered.head);
            return;
        }
        ++request->attempts;
        m_servers.onPlainAnswer(*request, answered.head);
        constexpr int CLIENT_ERROR = 400;
        constexpr int SERVER_ERROR = 500;
        // A server that answers with an error may not have begun to run the request.
        if (answered.head.status < CLIENT_ERROR) {
            m_quarantine.onRunProgress(*request, true);
        }
        const auto failed = answered.head.status >= SERVER_ERROR;
        // A server that asks for a pause is overloaded, not broken.
        if (!answered.head.retryAfterMs) {
            m_servers.onOutcome(*request, !failed);
        }
        if (failed && mayRetry(*request) && retry(*request, "server_error")) {
            return;
        }
        if (request->streamStarted) {
            abortStream(*request, failure::backend_server_failed);
            return;
        }
        forwardResponse(*request, std::move(answered));
    }
    auto forwardResponse(request_state &request, response_received &&answered) -> void
    {
        // These statuses mean that the request was not run, but here it may have been.
        constexpr std::array NOT_RUN_STATUSES{408, 421, 429, 503};
        const auto status = answered.head.status;
        const auto claimsNotRun
            = std::find(NOT_RUN_STATUSES.begin(), NOT_RUN_STATUSES.end(), status)
              != NOT_RUN_STATUSES.end();
        if (claimsNotRun && request.route->kind != work_kind::repeatable) {
            failRequest(request, failure::backend_server_failed, run_state::unknown);
            return;
        }
        log(log_event::request_answered, request,
            {{"server", request.run.serverId},
             {"status", static_cast<std::int64_t>(status)},
             {"end", std::string(nameOf(answered.end))},
             {"took_ms", (m_clock.now() - request.openedAt) / US_PER_MS}});
        m_sink.observe(latency_kind::plain_answer, m_clock.now() - request.openedAt);
        m_forecast.onAnswer(request, m_clock.now());
        recordRemote(request, 0, answered.body.size());
        m_placer.onResponse(request, answered.body.size());
        toCaller(request, send_response{.callerId = request.callerId,
                                        .status = status,
                                        .headers = std::move(answered.head.headers),
                                        .body = std::move(answered.body)});
        close(request);
    }
    auto on(stream_begun &&begun) -> void
    {
        auto *request = findByExchange(begun.exchangeId);
        if (!request) {
            return;
        }
        onAnswer(*request, begun.head);
        request->attempts += request->run.copy ? 0 : 1;
        request->phase = request_phase::streaming;
        request->run.begun = true;
        if (!std::exchange(request->streamStarted, true)) {
            toCaller(*request, begin_response_stream{.callerId = request->callerId,
                                                     .headers = std::move(begun.head.headers)});
        }
        const auto *view = m_directory.find(request->run.serverId);
        if (!view || view->leaving()) {
            m_mover.moveIfDue(*request);
        }
    }
    auto on(stream_advanced &&advanced) -> void
    {
        auto *request = findByExchange(advanced.exchangeId);
        if (!request) {
            return;
        }
        request->run.events += static_cast<std::uint64_t>(
            std::count_if(advanced.events.begin(), advanced.events.end(),
                          [](const stream_event &event) { return event.id.has_value(); }));
        m_quarantine.onRunProgress(*request, false);
        auto merged = mergeEvents(*request, advanced.events);
        if (merged.gap) {
            onUnusableContinuation(*request, "missing_events");
            return;
        }
        if (!merged.bytes.empty()) {
            if (request->bytesDelivered == 0) {
                onFirstEvent(*request);
            }
            recordEventTimes(*request);
            request->bytesDelivered += merged.bytes.size();
            recordRemote(*request, 0, merged.bytes.size());
            toCaller(*request, send_response_events{.callerId = request->callerId,
                                                    .bytes = std::move(merged.bytes),
                                                    .held = std::move(advanced.held)});
        }
    }
    /// The stream has begun: from now on it may go on only at servers of the same software.
    auto bindOrigin(request_state &request) -> void
    {
        if (request.origin) {
            return;
        }
        const auto *view = m_directory.findProcess(request.run.serverId, request.run.bornUnixMs);
        // A list that lags behind may name the predecessor of the process that answered.
        const auto certain = view && m_directory.isProcessCurrent(*view, m_clock.now());
        request.origin = run_origin{};
        if (certain) {
            request.origin->process = request.run.process();
            request.origin->software = m_directory.softwareOf(request.run.process());
        }
    }
    auto onFirstEvent(request_state &request) -> void
    {
        bindOrigin(request);
        m_origins.onFirstEvent(request);
    }
    auto recordEventTimes(request_state &request) -> void
    {
        const auto now = m_clock.now();
        if (request.firstEventUs == 0) {
            request.firstEventUs = now - request.openedAt;
            request.firstBatchEvent = request.lastEvent;
            m_forecast.onAnswer(request, now);
            m_sink.observe(latency_kind::first_event, request.firstEventUs);
        } else {
            request.longestPauseUs = std::max(request.longestPauseUs, now - request.lastEventAt);
            m_forecast.onEvents(request, now);
        }
        request.lastEventAt = now;
    }
    auto on(const stream_completed &completed) -> void
    {
        auto *request = findByExchange(completed.exchangeId);
        if (!request) {
            return;
        }
        if (request->run.stopOrdered && completed.end == response_end::connection_close) {
            endExchange(*request);
            onStoppedRunEnded(*request);
            return;
        }
        m_mover.abandon(*request);
        if (request->awaitsContinuation()) {
            onUnusableContinuation(*request, "no_events");
            return;
        }
        endExchange(*request);
        if (completed.end == response_end::connection_close) {
            m_confirmations.awaitEnd(*request);
            return;
        }
        completeStream(*request, completed.end);
    }
    /// Handles the end of a run that was ordered to stop, unless the framing of its stream shows
    /// that it is complete: a stopped run and a finished one close their connection alike, whatever
    /// became of the order.
    auto onStoppedRunEnded(request_state &request) -> void
    {
        if (m_mover.onSourceEnded(request)) {
            return;
        }
        log(log_event::request_retried, request,
            {{"server", request.run.serverId},
             {"cause", std::string("stopped")},
             {"events", static_cast<std::int64_t>(request.lastEvent)}});
        if (!mayRetry(request) || !retry(request, "stopped")) {
            abortStream(request, failure::backend_server_lost);
        }
    }
    auto on(const exchange_failed &failed) -> void
    {
        auto *request = findByExchange(failed.exchangeId);
        if (!request) {
            return;
        }
        const auto notRun = failed.phase == fetch_phase::connecting;
        endExchange(*request);
        if (request->run.stopOrdered) {
            onStoppedRunEnded(*request);
            return;
        }
        if (m_mover.onSourceEnded(*request)) {
            return;
        }
        m_servers.onOutcome(*request, false);
        log(log_event::request_retried, *request,
            {{"server", request->run.serverId},
             {"phase", std::string(nameOf(failed.phase))},
             {"error", failed.error.message()},
             {"events", static_cast<std::int64_t>(request->lastEvent)},
             {"begun", std::int64_t{request->run.begun}},
             {"run_events", static_cast<std::int64_t>(request->run.events)},
             {"traits", hexText(traitsOf(*request->request))}});
        request->excludedServers.push_back(request->run.serverId);
        if (notRun) {
            if (failed.error == std::errc::connection_refused) {
                m_quarantine.onServerDown(std::string(request->run.serverId));
            }
            retryNotRun(*request, false);
            return;
        }
        m_quarantine.onRunLost(*request);
        request->attempts += request->phase == request_phase::sent ? 1 : 0;
        if (mayRetry(*request) && retryLost(*request)) {
            return;
        }
        failRequest(*request, failure::backend_server_lost, run_state::unknown);
    }
    auto on(const run_copied &copied) -> void { m_mover.onCopied(copied); }
    auto on(const process_queried &queried) -> void { m_confirmations.onQueried(queried); }

    auto onRefusedByServer(request_state &request, const response_head &head) -> void
    {
        const auto &id = request.run.serverId;
        if (head.wrongServer) {
            m_directory.recordWrongServer(id, m_clock.now());
        }
        request.excludedServers.push_back(id);
        if (resumeAtSource(request)) {
            return;
        }
        retryNotRun(request, true);
    }
    /// Resumes on the source of the copy, which keeps the KV cache, when the target refuses the
    /// request. Returns false if the source is the refusing server or no longer known.
    auto resumeAtSource(request_state &request) -> bool
    {
        const auto copy = request.run.copy;
        const auto elsewhere = copy && copy->sourceId != request.run.serverId;
        if (!elsewhere || !m_directory.find(copy->sourceId)) {
            return false;
        }
        request.refusedTargets.push_back(request.run.serverId);
        resumeAt(request, copy->sourceId, *copy);
        return true;
    }
    /// Resumes a stopped run that must not resume where it should: on another server, which refuses
    /// it if it cannot get the KV cache, else as a new run if its route allows, else not at all.
    auto resumeElsewhere(request_state &request, const kv_copy &copy) -> void
    {
        const auto *target = request.refusedTargets.size() < m_options.moves.maxTargets
                                 ? m_placer.chooseServer(request, true)
                                 : nullptr;
        log(log_event::request_moving, request,
            {{"outcome",
              std::string(m_directory.isEvacuated(copy.sourceId) ? "evacuated" : "other_software")},
             {"server", copy.sourceId},
             {"target", target ? target->entry.id : std::string()}});
        if (target) {
            send(request, std::string(target->entry.id), endpoint(target->entry.address), copy);
            return;
        }
        m_sink.toServer(release_kv_copy{copy});
        if (!mayRetry(request) || !retry(request, "evacuated")) {
            abortStream(request, failure::no_backend_server);
        }
    }
    /// Retries a request that no server has run. If a server received and refused it, the retry
    /// counts against the retry budget; a failed connection does not.
    auto retryNotRun(request_state &request, bool reachedServer) -> void
    {
        if (request.streamStarted) {
            abortStream(request, failure::backend_server_lost);
            return;
        }
        const auto ran = request.attempts > 0 ? run_state::unknown : run_state::not_run;
        const auto allowed
            = request.sends < m_options.maxSends
              && (!reachedServer
                  || retryBudgetOf(*request.pool).tryAcquire(m_clock.now(), m_entryCount.count()));
        if (!allowed) {
            failRequest(request, failure::overloaded, ran);
            return;
        }
        m_placer.restartPlacement(request);
    }
    auto mayRetry(const request_state &request) -> bool
    {
        const auto kind = request.route->kind;
        // Events without an id would be delivered twice.
        const auto canResume = request.lastEvent > 0 || request.eventsDelivered == 0;
        const auto allowed
            = kind == work_kind::repeatable
              || (kind == work_kind::generation && request.route->resumable && canResume);
        return allowed && request.attempts < request.route->attempts
               && request.sends < m_options.maxSends && request.callerId != 0
               && !mayOutlastProcess(request)
               && streamFilterOf(request).outlook() == continuation::possible;
    }
    /// Retries a request whose run was lost, unless it may be what crashes servers.
    auto retryLost(request_state &request) -> bool
    {
        if (m_quarantine.isSuspected(request)) {
            log(log_event::request_retried, request,
                {{"cause", std::string("broken")}, {"outcome", std::string("suspected")}});
            return false;
        }
        return retry(request, "broken");
    }
    auto retry(request_state &request, std::string_view cause) -> bool
    {
        request.excludedServers.push_back(request.run.serverId);
        if (!retryBudgetOf(*request.pool).tryAcquire(m_clock.now(), m_entryCount.count())) {
            log(log_event::request_retried, request,
                {{"cause", std::string(cause)}, {"outcome", std::string("budget_spent")}});
            return false;
        }
        m_placer.restartPlacement(request);
        return true;
    }

    // --- time

    auto onDeadline(request_state &request) -> void
    {
        const auto sent = !isUnsent(request);
        if (request.phase == request_phase::sent) {
            m_forecast.onAnswer(request, m_clock.now());
        }
        cancelExchange(request);
        failRequest(request, sent ? failure::deadline_exceeded : failure::would_miss_deadline,
                    sent || request.attempts > 0 ? run_state::unknown : run_state::not_run);
    }
    /// Whether a server that the request has not been sent to may get it now.
    auto hasAlternative(const request_state &request) const -> bool
    {
        const auto now = m_clock.now();
        const auto servers = m_directory.usableServers(request.pool->name, now);
        const auto &excluded = request.excludedServers;
        return std::any_of(servers.begin(), servers.end(), [&](const server_view *view) {
            const auto &id = view->entry.id;
            return id != request.run.serverId && view->availableAt(now) <= now
                   && std::find(excluded.begin(), excluded.end(), id) == excluded.end();
        });
    }
    /// Retries a slow repeatable request on another server.
    auto onHedgeTimeout(request_state &request) -> void
    {
        if (request.phase != request_phase::sent) {
            return;
        }
        ++request.attempts;
        if (!mayRetry(request) || !hasAlternative(request)
            || !retryBudgetOf(*request.pool).tryAcquire(m_clock.now(), m_entryCount.count())) {
            --request.attempts;
            return;
        }
        m_servers.onOutcome(request, false);
        cancelExchange(request);
        request.excludedServers.push_back(request.run.serverId);
        log(log_event::request_retried, request,
            {{"server", request.run.serverId}, {"cause", std::string("slow")}});
        m_placer.restartPlacement(request);
    }

    // --- servers

    auto onLeaving(const std::string &id, std::string_view source) -> void
    {
        m_servers.logLeaving(id, source);
        moveRunsOf(id);
    }
    auto moveRunsOf(const std::string &id) -> void
    {
        std::vector<request_state *> affected;
        for (const auto &[number, request] : m_requests) {
            if (request->run.serverId == id && request->phase == request_phase::streaming) {
                affected.push_back(request.get());
            }
        }
        for (auto *request : affected) {
            m_mover.moveIfDue(*request);
        }
    }
    // --- ending

    /// Removes the exchange from the bookkeeping; its server no longer counts the request.
    auto endExchange(request_state &request) -> void
    {
        if (m_requestByExchange.erase(request.run.exchangeId) > 0) {
            m_directory.recordEnded(request.run.serverId, request.run.tokens);
        }
        m_timers.cancel({timer_kind::hedge, request.number});
    }
    auto cancelExchange(request_state &request) -> void
    {
        if (m_requestByExchange.contains(request.run.exchangeId)) {
            m_sink.toServer(cancel_exchange{request.run.exchangeId});
        }
        endExchange(request);
    }
    /// The caller may retry after a random delay, counted from `retryAt` if that is set.
    auto failRequest(request_state &request, failure reason, run_state ran,
                     std::optional<time_us> retryAt = std::nullopt) -> void
    {
        if (isUnsent(request)) {
            m_placer.recordUnplaced(request, reason);
        }
        if (request.streamStarted) {
            abortStream(request, reason);
            return;
        }
        std::optional<std::int64_t> retryAfterMs;
        // No time can be told at which servers of that software are back.
        if (ran == run_state::not_run && reason != failure::software_version_gone) {
            retryAfterMs
                = reason == failure::draining ? m_retryDelay.drawStoppingMs(*request.route)
                  : reason == failure::overloaded
                      ? drawOverloadedMs(request)
                      : m_retryDelay.drawMs(*request.route) + (retryAt ? msUntil(*retryAt) : 0);
        }
        failWithReason(request, reason, ran, retryAfterMs);
        close(request);
    }
    auto drawOverloadedMs(const request_state &request) -> std::int64_t
    {
        return m_placer.waitsInOrder(request)
                   ? m_retryDelay.drawMs(request, m_placer.backlog(), m_clock.now())
                   : m_retryDelay.drawMs(*request.route);
    }
    /// No server has the request at present.
    static auto isUnsent(const request_state &request) -> bool
    {
        return request.phase == request_phase::waiting || request.phase == request_phase::asking;
    }
    auto mayOutlastProcess(const request_state &request) -> bool
    {
        return m_stop.mayOutlastProcess(request, m_clock.now());
    }
    /// Ends a request that no server has at present and that the stopping process cannot complete.
    auto failStopping(request_state &request) -> void
    {
        failRequest(request, failure::draining,
                    request.attempts == 0 ? run_state::not_run : run_state::unknown);
    }
    auto failQuarantined(request_state &request, time_us until) -> void
    {
        const auto notRun = request.attempts == 0 && request.phase != request_phase::sent;
        failRequest(request, failure::quarantined, notRun ? run_state::not_run : run_state::unknown,
                    until);
    }
    /// Ends the quarantined requests that no server has begun to answer. At-most-once requests that
    /// were sent continue: cancelling one would leave its outcome unknown.
    auto endQuarantinedRequests() -> void
    {
        if (!std::exchange(m_quarantineChanged, false)) {
            return;
        }
        std::vector<std::pair<request_state *, time_us>> affected;
        for (const auto &[number, request] : m_requests) {
            const auto unanswered
                = request->phase == request_phase::sent && request->isGeneration();
            const auto until = isUnsent(*request) || unanswered
                                   ? m_quarantine.quarantinedUntil(*request->request)
                                   : std::nullopt;
            if (until) {
                affected.emplace_back(request.get(), *until);
            }
        }
        for (const auto &[request, until] : affected) {
            failQuarantined(*request, until);
        }
    }
    auto msUntil(time_us when) const -> std::int64_t { return (when - m_clock.now()) / US_PER_MS; }
    auto abortStream(request_state &request, failure reason) -> void
    {
        log(log_event::request_failed, request,
            {{"reason", std::string(nameOf(reason))},
             {"server", request.run.serverId},
             {"events", static_cast<std::int64_t>(request.eventsDelivered)}});
        toCaller(request, abort_response_stream{request.callerId});
        close(request);
    }
    auto refuse(std::uint64_t callerId, const std::string &requestId, failure reason,
                std::int64_t retryAfterMs) -> void
    {
        m_sink.log(log_event::request_refused, requestId,
                   {{"reason", std::string(nameOf(reason))}});
        m_sink.toCaller(
            send_failure{.callerId = callerId, .reason = reason, .retryAfterMs = retryAfterMs});
    }
    auto failWithReason(request_state &request, failure reason, run_state ran,
                        std::optional<std::int64_t> retryAfterMs) -> void
    {
        log(ran == run_state::not_run ? log_event::request_refused : log_event::request_failed,
            request,
            {{"reason", std::string(nameOf(reason))},
             {"ran", std::string(nameOf(ran))},
             {"server", request.run.serverId},
             {"sends", static_cast<std::int64_t>(request.sends)},
             {"room", std::string(nameOf(request.roomRequest.lastVerdict))},
             {"after_ms", (m_clock.now() - request.openedAt) / US_PER_MS}});
        toCaller(request, send_failure{.callerId = request.callerId,
                                       .reason = reason,
                                       .ran = ran,
                                       .retryAfterMs = retryAfterMs});
    }
    auto toCaller(const request_state &request, forward_action action) -> void
    {
        if (request.callerId != 0) {
            m_sink.toCaller(std::move(action));
        }
    }
    auto close(request_state &request) -> void
    {
        m_mover.abandon(request);
        cancelExchange(request);
        m_timers.cancel({timer_kind::deadline, request.number});
        m_origins.cancel(request);
        m_confirmations.cancel(request);
        m_placer.cancelPlacement(request);
        const auto caller = m_requestByCaller.find(request.callerId);
        if (caller != m_requestByCaller.end() && caller->second == request.number) {
            m_requestByCaller.erase(caller);
        }
        m_requests.erase(request.number);
    }
    auto retryBudgetOf(const pool_entry &pool) -> retry_window &
    {
        return m_retries.try_emplace(pool.name, m_options.retries).first->second;
    }

    forwarding_options m_options;
    Clock m_clock;
    server_directory &m_directory;
    Sink &m_sink;
    entry_count m_entryCount;
    completion_forecast m_forecast;
    planned_stop m_stop;
    retry_delay m_retryDelay;
    request_admission m_admission;
    request_placer<Placement, Clock, forwarding_core> m_placer;
    run_mover<Clock, forwarding_core> m_mover;
    crash_quarantine<Clock, forwarding_core> m_quarantine;
    stream_origins<Clock, forwarding_core> m_origins;
    process_confirmations<Clock, forwarding_core> m_confirmations;
    server_observer<Clock, Sink> m_servers;
    /// Server that has stated in the answer being handled that it is leaving.
    std::optional<std::string> m_statedLeaving;
    bool m_quarantineChanged = false;
    remote_traffic *m_remoteTraffic = nullptr;
    std::map<std::uint64_t, std::unique_ptr<request_state>> m_requests;
    std::unordered_map<std::uint64_t, std::uint64_t> m_requestByCaller;
    std::unordered_map<std::uint64_t, std::uint64_t> m_requestByExchange;
    std::map<std::string, retry_window> m_retries;
    timer_queue<timer_key> m_timers;
    std::uint64_t m_lastNumber = 0;
    std::uint64_t m_lastExchangeId = 0;
    /// Of questions to reporters. Starts at random, since a reply to a former process of the entry
    /// may still come.
    std::uint64_t m_lastAskId;
};

} // namespace marjoram
