#pragma once

#include "forwarding/entrycount.h"
#include "forwarding/forwardingoptions.h"
#include "forwarding/requestadmission.h"
#include "forwarding/requestplacer.h"

#include <algorithm>
#include <map>
#include <memory>

namespace marjoram {

/// An entry's decisions on requests that it sends to backend servers itself: which server, whether
/// once more, what the caller is told, and when a running generation moves.
/// Not thread safe: belongs to one duty.
template <placement_policy Placement, clock_source Clock, typename Sink>
class forwarding_core
{
public:
    /// Precondition: directory and sink outlive the core.
    forwarding_core(forwarding_options options, Clock clock, std::uint64_t seed,
                    server_directory &directory, Sink &sink)
        : m_options(std::move(options))
        , m_clock(clock)
        , m_random(seed)
        , m_directory(directory)
        , m_sink(sink)
        , m_entries(m_options.entriesAssumed)
        , m_admission(m_options, seed + 2)
        , m_placer(m_options, clock, seed + 1, directory, *this)
        , m_mover(m_options.moves, clock, directory, *this)
    {
        static_assert(forwarding_sink<Sink>);
        static_assert(move_host<forwarding_core>);
    }

    // --- configuration and servers

    auto onTable(route_table_ptr table) -> void { m_admission.setTable(std::move(table)); }
    auto onServers(const std::vector<server_entry> &entries) -> void
    {
        const auto changes = m_directory.onServers(entries, m_clock.now());
        for (const auto &id : changes.joined) {
            logJoined(m_directory.find(id)->entry, "published");
        }
        for (const auto &id : changes.leaving) {
            onLeaving(id, "published");
        }
        for (const auto &id : changes.unlisted) {
            onLeaving(id, "unlisted");
        }
        for (const auto &id : changes.gone) {
            m_sink.log(log_event::server_gone, {}, {{"server", id}});
        }
    }
    auto onAnnounced(const server_entry &entry) -> void
    {
        if (m_directory.onAnnounced(entry, m_clock.now())) {
            logJoined(entry, "announced");
        }
    }
    auto onReport(const std::string &id, server_report report) -> void
    {
        m_entries.onReport(report.listeners, m_clock.now());
        m_placer.setEntries(m_entries.count());
        const auto news = m_directory.onReport(id, std::move(report), m_clock.now());
        const auto *view = m_directory.find(id);
        if (news) {
            onLeaving(id, "reported");
        } else if (view && view->leaving()) {
            moveRunsOf(id);
        }
    }
    /// Refuses work from now on that would not end before the process does. Idempotent.
    auto drain(time_us stopAt) -> void { m_admission.setStop(stopAt); }
    auto drained() const -> bool { return m_requests.empty(); }
    auto open() const -> std::size_t { return m_requests.size(); }

    // --- callers

    auto onOpen(const open_forward &opened) -> void
    {
        const auto &asked = *opened.request;
        const auto refused = m_admission.refusalOf(asked, m_requests.size(), m_clock.now());
        if (refused != failure::none) {
            refuse(asked.callerId, asked.requestId, refused, retryMs());
            return;
        }
        m_placer.placeOrWait(admit(opened.request));
    }
    auto onCallerLeft(std::uint64_t callerId) -> void
    {
        const auto found = m_requestOfCaller.find(callerId);
        if (found == m_requestOfCaller.end()) {
            return;
        }
        auto &request = *m_requests.at(found->second);
        m_requestOfCaller.erase(found);
        request.callerId = 0;
        log(log_event::caller_left, request, {{"phase", std::string(nameOf(request.phase))}});
        // Work that may not be repeated runs on: cutting it would leave its outcome unknown.
        if (request.route->kind != work_kind::at_most_once
            || request.phase == request_phase::waiting || request.phase == request_phase::asking) {
            cancelRun(request);
            close(request);
        }
    }

    /// A reporter has answered; whatever it says of room, its report is the newest there is.
    auto onRoomReply(room_replied replied) -> void
    {
        onReport(replied.serverId, std::move(replied.report));
        m_placer.onRoomReply(replied);
        m_mover.onRoomReply(replied);
    }

    // --- backend servers

    auto onEvent(server_event event) -> void
    {
        std::visit([this](auto &&one) { this->on(std::forward<decltype(one)>(one)); },
                   std::move(event));
    }

    // --- time

    auto nextTimer() const -> std::optional<time_us>
    {
        return earliest(m_timers.next(), earliest(m_placer.nextTimer(), m_mover.nextTimer()));
    }
    auto onTimer() -> void
    {
        m_mover.onTimer();
        m_placer.onTimer();
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
                onSlow(*request);
                break;
            }
        }
    }

    // --- asked by the placer and the mover

    auto toReporter(reporter_command command) -> void { m_sink.toReporter(std::move(command)); }
    auto nextAskId() -> std::uint64_t { return ++m_lastAskId; }
    auto observe(latency_kind kind, std::int64_t us) -> void { m_sink.observe(kind, us); }
    auto roomFor(const request_state &request, bool moving) -> const server_view *
    {
        return m_placer.roomFor(request, moving);
    }
    auto send(request_state &request, const std::string &serverId, const endpoint &server,
              const std::optional<held_copy> &copy) -> void
    {
        const auto now = m_clock.now();
        m_placer.forget(request);
        request.phase = request.streamGiven ? request_phase::streaming : request_phase::sent;
        request.run = {.exchangeId = ++m_lastExchangeId,
                       .serverId = serverId,
                       .server = server,
                       .tokens = request.generation() ? m_placer.expectedTokens(request) : 0,
                       .copy = copy};
        ++request.sends;
        m_requestOfExchange.emplace(request.run.exchangeId, request.number);
        m_directory.noteSent(serverId, request.run.tokens);
        const auto *view = m_directory.find(serverId);
        log(log_event::request_sent, request,
            {{"server", serverId},
             {"route", request.route->name},
             {"in_flight", static_cast<std::int64_t>(view ? view->inFlight : 0)},
             {"taken_tokens", static_cast<std::int64_t>(view ? takenTokens(*view) : 0)},
             {"running",
              static_cast<std::int64_t>(view && view->report ? view->report->running : 0)},
             {"prompts_ahead", static_cast<std::int64_t>(view ? promptsAhead(*view) : 0)},
             {"report_age_ms", reportAgeMs(view)},
             {"sends", static_cast<std::int64_t>(request.sends)}});
        const auto resumes = copy || request.lastEvent > 0;
        m_sink.toServer(send_forward{
            .exchangeId = request.run.exchangeId,
            .serverId = serverId,
            .server = server,
            .request = request.request,
            .team = request.team,
            .deadlineMs = std::max<std::int64_t>(1, (request.deadline - now) / US_PER_MS),
            .stream = request.generation(),
            .freshConnection = request.route->kind != work_kind::repeatable,
            .urgency = request.engine() ? std::optional(request.urgency) : std::nullopt,
            .resumeAfter = resumes ? std::optional(request.lastEvent) : std::nullopt,
            .goOnFrom = copy});
        if (request.route->kind == work_kind::repeatable && request.route->attempts > 1) {
            const auto us = m_options.hedgeTargets
                            * static_cast<double>(request.route->latencyTargetMs * US_PER_MS);
            m_timers.set({timer_kind::hedge, request.number}, now + static_cast<std::int64_t>(us));
        }
    }
    auto onNoRoom(request_state &request) -> void
    {
        const auto reason = m_directory.sizeOf(request.pool ? request.pool->name : "") == 0
                                ? failure::no_backend_server
                                : failure::overloaded;
        failRequest(request, reason,
                    request.attempts > 0 ? run_state::unknown : run_state::not_run);
    }
    auto findRequest(std::uint64_t number) -> request_state *
    {
        const auto found = m_requests.find(number);
        return found == m_requests.end() ? nullptr : found->second.get();
    }
    auto toServer(server_command command) -> void { m_sink.toServer(std::move(command)); }
    /// Goes on with a run from a copy of its memory.
    auto goOnAt(request_state &request, const std::string &serverId, const held_copy &copy) -> void
    {
        cancelRun(request);
        const auto *view = m_directory.find(serverId);
        const auto server = view ? view->entry.address : copy.source;
        send(request, serverId, server, copy);
    }
    auto log(log_event event, const request_state &request, std::vector<log_field> fields) -> void
    {
        m_sink.log(event, request.request->requestId, std::move(fields));
    }
    auto observeMove(std::int64_t us) -> void { observe(latency_kind::move, us); }

private:
    enum class timer_kind { deadline, hedge };
    struct timer_key
    {
        timer_kind kind;
        std::uint64_t number;
        friend auto operator<=>(const timer_key &, const timer_key &)
            -> std::strong_ordering = default;
    };

    static auto earliest(std::optional<time_us> a, std::optional<time_us> b)
        -> std::optional<time_us>
    {
        return a && b ? std::min(*a, *b) : (a ? a : b);
    }

    // --- opening

    auto admit(const forward_request_ptr &asked) -> request_state &
    {
        const auto now = m_clock.now();
        auto state = m_admission.admit(asked, ++m_lastNumber, now);
        auto &request = *state;
        m_timers.set({timer_kind::deadline, request.number}, request.deadline);
        m_requestOfCaller.insert_or_assign(asked->callerId, request.number);
        m_requests.emplace(request.number, std::move(state));
        if (request.pool) {
            retriesOf(*request.pool).recordFresh(now);
        }
        return request;
    }
    auto reportAgeMs(const server_view *view) const -> std::int64_t
    {
        return view && view->report ? (m_clock.now() - view->reportAt) / US_PER_MS : -1;
    }
    // --- answers

    auto on(server_answered &&answered) -> void
    {
        auto *request = runOf(answered.exchangeId);
        if (!request) {
            return;
        }
        noteHead(*request, answered.head);
        endRun(*request);
        if (answered.head.notRun || answered.head.otherServer) {
            onRefusedByServer(*request, answered.head);
            return;
        }
        ++request->attempts;
        constexpr int SERVER_ERROR = 500;
        const auto failed = answered.head.status >= SERVER_ERROR;
        noteOutcome(*request, !failed);
        if (failed && mayRepeat(*request) && retry(*request, "server_error")) {
            return;
        }
        if (request->streamGiven) {
            cut(*request, failure::backend_server_failed);
            return;
        }
        giveAnswer(*request, std::move(answered));
    }
    auto giveAnswer(request_state &request, server_answered &&answered) -> void
    {
        // These statuses promise that the request has not run, which is not so here.
        constexpr std::array PROMISES{408, 421, 429, 503};
        const auto status = answered.head.status;
        const auto promises = std::find(PROMISES.begin(), PROMISES.end(), status) != PROMISES.end();
        if (promises && request.route->kind != work_kind::repeatable) {
            failRequest(request, failure::backend_server_failed, run_state::unknown);
            return;
        }
        log(log_event::request_answered, request,
            {{"server", request.run.serverId},
             {"status", static_cast<std::int64_t>(status)},
             {"took_ms", (m_clock.now() - request.openedAt) / US_PER_MS}});
        m_sink.observe(latency_kind::plain_answer, m_clock.now() - request.openedAt);
        toCaller(request, give_answer{.callerId = request.callerId,
                                      .status = status,
                                      .headers = std::move(answered.head.headers),
                                      .body = std::move(answered.body)});
        close(request);
    }
    auto on(stream_begun &&begun) -> void
    {
        auto *request = runOf(begun.exchangeId);
        if (!request) {
            return;
        }
        noteHead(*request, begun.head);
        request->attempts += request->run.copy ? 0 : 1;
        request->phase = request_phase::streaming;
        if (!std::exchange(request->streamGiven, true)) {
            toCaller(*request, give_stream{.callerId = request->callerId,
                                           .headers = std::move(begun.head.headers)});
        }
        const auto *view = m_directory.find(request->run.serverId);
        if (!view || view->leaving()) {
            m_mover.consider(*request);
        }
    }
    auto on(stream_advanced &&advanced) -> void
    {
        auto *request = runOf(advanced.exchangeId);
        if (!request) {
            return;
        }
        std::string bytes;
        for (auto &event : advanced.events) {
            if (event.id && *event.id <= request->lastEvent) {
                continue;
            }
            request->lastEvent = event.id.value_or(request->lastEvent);
            ++request->eventsGiven;
            bytes += event.bytes;
        }
        if (!bytes.empty()) {
            notePause(*request);
            toCaller(*request,
                     give_events{.callerId = request->callerId, .bytes = std::move(bytes)});
        }
    }
    auto notePause(request_state &request) -> void
    {
        const auto now = m_clock.now();
        if (request.firstEventUs == 0) {
            request.firstEventUs = now - request.openedAt;
            m_sink.observe(latency_kind::first_event, request.firstEventUs);
        } else {
            request.longestPauseUs = std::max(request.longestPauseUs, now - request.lastEventAt);
        }
        request.lastEventAt = now;
    }
    auto on(const stream_completed &completed) -> void
    {
        auto *request = runOf(completed.exchangeId);
        if (!request) {
            return;
        }
        m_mover.abandon(*request);
        endRun(*request);
        noteOutcome(*request, true);
        log(log_event::request_answered, *request,
            {{"server", request->run.serverId},
             {"events", static_cast<std::int64_t>(request->eventsGiven)},
             {"first_event_ms", request->firstEventUs / US_PER_MS},
             {"longest_pause_ms", request->longestPauseUs / US_PER_MS},
             {"moves", static_cast<std::int64_t>(request->moves)},
             {"took_ms", (m_clock.now() - request->openedAt) / US_PER_MS}});
        m_sink.observe(latency_kind::longest_pause, request->longestPauseUs);
        toCaller(*request, give_end{.callerId = request->callerId});
        close(*request);
    }
    auto on(const exchange_failed &failed) -> void
    {
        auto *request = runOf(failed.exchangeId);
        if (!request) {
            return;
        }
        const auto notRun = failed.phase == fetch_phase::connecting;
        endRun(*request);
        if (m_mover.onSourceEnded(*request)) {
            return;
        }
        noteOutcome(*request, false);
        log(log_event::request_retried, *request,
            {{"server", request->run.serverId},
             {"phase", std::string(nameOf(failed.phase))},
             {"error", failed.error.message()},
             {"events", static_cast<std::int64_t>(request->lastEvent)}});
        request->avoided.push_back(request->run.serverId);
        if (notRun) {
            retryUnrun(*request, false);
            return;
        }
        request->attempts += request->phase == request_phase::sent ? 1 : 0;
        if (mayRepeat(*request) && retry(*request, "broken")) {
            return;
        }
        failRequest(*request, failure::backend_server_lost, run_state::unknown);
    }
    auto on(const run_copied &copied) -> void { m_mover.onCopied(copied); }

    auto onRefusedByServer(request_state &request, const answer_head &head) -> void
    {
        const auto &id = request.run.serverId;
        if (head.otherServer) {
            m_directory.noteImpostor(id, m_clock.now());
        }
        request.avoided.push_back(id);
        if (goOnAtSource(request)) {
            return;
        }
        retryUnrun(request, true);
    }
    /// The server that made a copy keeps the memory: it goes on with the run where the target does
    /// not. False when there is no such server.
    auto goOnAtSource(request_state &request) -> bool
    {
        const auto copy = request.run.copy;
        const auto elsewhere = copy && copy->sourceId != request.run.serverId;
        if (!elsewhere || !m_directory.find(copy->sourceId)) {
            return false;
        }
        request.fullTargets.push_back(request.run.serverId);
        goOnAt(request, copy->sourceId, *copy);
        return true;
    }
    /// Sends a request again that no server has run; an arrival that a server refused counts
    /// against the budget, a connection that could not be made does not.
    auto retryUnrun(request_state &request, bool arrived) -> void
    {
        if (request.streamGiven) {
            cut(request, failure::backend_server_lost);
            return;
        }
        const auto ran = request.attempts > 0 ? run_state::unknown : run_state::not_run;
        const auto allowed
            = request.sends < m_options.mostSends
              && (!arrived
                  || retriesOf(*request.pool).tryAcquire(m_clock.now(), m_entries.count()));
        if (!allowed) {
            failRequest(request, failure::overloaded, ran);
            return;
        }
        m_placer.placeAnew(request);
    }
    auto mayRepeat(const request_state &request) const -> bool
    {
        const auto kind = request.route->kind;
        const auto allowed = kind == work_kind::repeatable
                             || (kind == work_kind::generation && request.route->resumable);
        return allowed && request.attempts < request.route->attempts
               && request.sends < m_options.mostSends && request.callerId != 0;
    }
    auto retry(request_state &request, std::string_view cause) -> bool
    {
        request.avoided.push_back(request.run.serverId);
        if (!retriesOf(*request.pool).tryAcquire(m_clock.now(), m_entries.count())) {
            log(log_event::request_retried, request,
                {{"cause", std::string(cause)}, {"outcome", std::string("budget_spent")}});
            return false;
        }
        m_placer.placeAnew(request);
        return true;
    }

    // --- time

    auto onDeadline(request_state &request) -> void
    {
        const auto sent
            = request.phase == request_phase::sent || request.phase == request_phase::streaming;
        cancelRun(request);
        failRequest(request, sent ? failure::deadline_exceeded : failure::would_miss_deadline,
                    sent || request.attempts > 0 ? run_state::unknown : run_state::not_run);
    }
    /// A repeatable call takes far longer than it should: it is tried elsewhere.
    auto onSlow(request_state &request) -> void
    {
        if (request.phase != request_phase::sent) {
            return;
        }
        ++request.attempts;
        if (!mayRepeat(request)
            || m_directory.usableFor(request.pool->name, m_clock.now()).size() < 2
            || !retriesOf(*request.pool).tryAcquire(m_clock.now(), m_entries.count())) {
            --request.attempts;
            return;
        }
        noteOutcome(request, false);
        cancelRun(request);
        request.avoided.push_back(request.run.serverId);
        log(log_event::request_retried, request,
            {{"server", request.run.serverId}, {"cause", std::string("slow")}});
        m_placer.placeAnew(request);
    }

    // --- servers

    auto logJoined(const server_entry &entry, std::string_view source) -> void
    {
        m_sink.log(log_event::server_joined, {},
                   {{"server", entry.id},
                    {"source", std::string(source)},
                    {"pool", entry.pool},
                    {"address", toText(entry.address)}});
    }
    auto onLeaving(const std::string &id, std::string_view source) -> void
    {
        const auto *view = m_directory.find(id);
        const auto leavesMs
            = view && view->goneAt ? (*view->goneAt - m_clock.now()) / US_PER_MS : std::int64_t{-1};
        m_sink.log(log_event::server_leaving, {},
                   {{"server", id}, {"source", std::string(source)}, {"gone_in_ms", leavesMs}});
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
            m_mover.consider(*request);
        }
    }
    auto noteHead(request_state &request, const answer_head &head) -> void
    {
        if (head.load) {
            m_directory.onLoad(request.run.serverId, *head.load, m_clock.now());
        }
    }
    auto noteOutcome(request_state &request, bool good) -> void
    {
        const auto &id = request.run.serverId;
        if (good) {
            m_directory.noteSuccess(id);
        } else if (m_directory.noteFailure(id, m_clock.now())) {
            m_sink.log(log_event::server_ejected, request.request->requestId, {{"server", id}});
        }
    }

    // --- ending

    auto runOf(std::uint64_t exchangeId) -> request_state *
    {
        const auto found = m_requestOfExchange.find(exchangeId);
        return found == m_requestOfExchange.end() ? nullptr : findRequest(found->second);
    }
    /// The run has ended at its server.
    auto endRun(request_state &request) -> void
    {
        if (m_requestOfExchange.erase(request.run.exchangeId) > 0) {
            m_directory.noteEnded(request.run.serverId, request.run.tokens);
        }
        m_timers.cancel({timer_kind::hedge, request.number});
    }
    auto cancelRun(request_state &request) -> void
    {
        if (m_requestOfExchange.contains(request.run.exchangeId)) {
            m_sink.toServer(cancel_forward{request.run.exchangeId});
        }
        endRun(request);
    }
    auto failRequest(request_state &request, failure reason, run_state ran) -> void
    {
        if (request.streamGiven) {
            cut(request, reason);
            return;
        }
        const auto notRun = ran == run_state::not_run;
        refuseKnown(request, reason, ran, notRun ? std::optional(retryMs()) : std::nullopt);
        close(request);
    }
    auto cut(request_state &request, failure reason) -> void
    {
        log(log_event::request_failed, request,
            {{"reason", std::string(nameOf(reason))},
             {"server", request.run.serverId},
             {"events", static_cast<std::int64_t>(request.eventsGiven)}});
        toCaller(request, give_cut{request.callerId});
        close(request);
    }
    auto refuse(std::uint64_t callerId, const std::string &requestId, failure reason,
                std::int64_t retryAfterMs) -> void
    {
        m_sink.log(log_event::request_refused, requestId,
                   {{"reason", std::string(nameOf(reason))}});
        m_sink.toCaller(
            give_failure{.callerId = callerId, .reason = reason, .retryAfterMs = retryAfterMs});
    }
    auto refuseKnown(request_state &request, failure reason, run_state ran,
                     std::optional<std::int64_t> retryAfterMs) -> void
    {
        log(ran == run_state::not_run ? log_event::request_refused : log_event::request_failed,
            request,
            {{"reason", std::string(nameOf(reason))},
             {"ran", std::string(nameOf(ran))},
             {"server", request.run.serverId},
             {"sends", static_cast<std::int64_t>(request.sends)},
             {"room", std::string(nameOf(request.question.last))},
             {"after_ms", (m_clock.now() - request.openedAt) / US_PER_MS}});
        toCaller(request, give_failure{.callerId = request.callerId,
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
        cancelRun(request);
        m_timers.cancel({timer_kind::deadline, request.number});
        m_placer.forget(request);
        const auto caller = m_requestOfCaller.find(request.callerId);
        if (caller != m_requestOfCaller.end() && caller->second == request.number) {
            m_requestOfCaller.erase(caller);
        }
        m_requests.erase(request.number);
    }
    auto retriesOf(const pool_entry &pool) -> retry_window &
    {
        return m_retries.try_emplace(pool.name, m_options.retries).first->second;
    }
    auto retryMs() -> std::int64_t
    {
        const auto width = m_options.mostRetryMs - m_options.leastRetryMs + 1;
        return m_options.leastRetryMs + static_cast<std::int64_t>(m_random() % width);
    }

    forwarding_options m_options;
    Clock m_clock;
    random_source m_random;
    server_directory &m_directory;
    Sink &m_sink;
    entry_count m_entries;
    request_admission m_admission;
    request_placer<Placement, Clock, forwarding_core> m_placer;
    run_mover<Clock, forwarding_core> m_mover;
    std::map<std::uint64_t, std::unique_ptr<request_state>> m_requests;
    std::unordered_map<std::uint64_t, std::uint64_t> m_requestOfCaller;
    std::unordered_map<std::uint64_t, std::uint64_t> m_requestOfExchange;
    std::map<std::string, retry_window> m_retries;
    timer_queue<timer_key> m_timers;
    std::uint64_t m_lastNumber = 0;
    std::uint64_t m_lastExchangeId = 0;
    std::uint64_t m_lastAskId = 0;
};

} // namespace marjoram
