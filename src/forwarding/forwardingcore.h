#pragma once

#include "forwarding/forwardrings.h"
#include "forwarding/runmover.h"
#include "limits/lengthestimator.h"
#include "limits/retrywindow.h"

#include <algorithm>
#include <map>
#include <memory>

namespace marjoram {

/// Options of the forwarding of requests.
struct forwarding_options
{
    std::string dataCentre;
    retry_window_options retries;
    run_mover_options moves;
    /// Longest wait of a generation for room, as a share of its latency target: beyond an eighth
    /// a caller is better served by coming back.
    double waitShare = 0.12;
    /// Pause before a waiting request tries again; each is drawn from the range.
    std::int64_t leastAgainUs = 30 * US_PER_MS;
    std::int64_t mostAgainUs = 90 * US_PER_MS;
    /// Reporters that are asked in a row before the request waits.
    std::uint32_t questions = 4;
    /// Time for a reporter to answer, and answers missed after which a request is sent unasked.
    std::int64_t questionUs = 25 * US_PER_MS;
    std::uint32_t unanswered = 2;
    /// Silence after which a server counts as having no reporter.
    std::int64_t reporterUs = 1 * US_PER_SECOND;
    /// Time to read a prompt between the tokens of others, and the share of a latency target that
    /// may pass with reading the prompts of others.
    std::int64_t promptUs = 350 * US_PER_MS;
    double promptShare = 0.6;
    /// Sends of one request, those included that a server refused to run.
    std::uint32_t mostSends = 3;
    /// Requests open at once.
    std::size_t requestLimit = 8'000;
    /// Pause after which refused callers are asked to come back; each is drawn from the range.
    std::int64_t leastRetryMs = 400;
    std::int64_t mostRetryMs = 1'200;
    /// Time after which a repeatable call is tried elsewhere, in latency targets.
    double hedgeTargets = 2.0;
    /// Share of the output limit that a generation is expected to use without an estimate.
    double assumedOutputShare = 0.5;
    /// Time of one output token, for whether a generation can end before the process does.
    std::int64_t usPerToken = 4 * US_PER_MS;
};

/// Times that are measured.
enum class latency_kind { plain_answer, first_event, longest_pause, room_question, move };
inline constexpr std::array latencyKindNames{
    enum_name<latency_kind>{latency_kind::plain_answer, "plain_answer"},
    enum_name<latency_kind>{latency_kind::first_event, "first_event"},
    enum_name<latency_kind>{latency_kind::longest_pause, "longest_pause"},
    enum_name<latency_kind>{latency_kind::room_question, "room_question"},
    enum_name<latency_kind>{latency_kind::move, "move"},
};
constexpr auto namesOf(latency_kind) -> const auto &
{
    return latencyKindNames;
}

/// Takes the actions of a forwarding_core.
template <typename S>
concept forwarding_sink
    = requires(S &sink, forward_action action, server_command command, log_event event,
               const std::string &id, std::vector<log_field> fields)
{
    sink.toCaller(action);
    sink.toServer(command);
    sink.askRoom(ask_room{});
    sink.log(event, id, fields);
    sink.observe(latency_kind::move, std::int64_t{});
};

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
        , m_mover(m_options.moves, clock, directory, *this)
    {
        static_assert(forwarding_sink<Sink>);
        static_assert(move_host<forwarding_core>);
    }

    // --- configuration and servers

    auto onTable(route_table_ptr table) -> void { m_table = std::move(table); }
    auto onServers(const std::vector<server_entry> &entries) -> void
    {
        const auto changes = m_directory.onServers(entries, m_clock.now());
        for (const auto &id : changes.joined) {
            const auto &entry = m_directory.find(id)->entry;
            m_sink.log(log_event::server_joined, {},
                       {{"server", id}, {"pool", entry.pool}, {"address", toText(entry.address)}});
        }
        for (const auto &id : changes.leaving) {
            onLeaving(id, "published");
        }
        for (const auto &id : changes.unlisted) {
            onLeaving(id, "unlisted");
        }
        for (const auto &id : changes.gone) {
            m_sink.log(log_event::server_gone, {}, {{"server", id}});
            m_mover.onServerGone(id);
        }
    }
    auto onReport(const std::string &id, server_report report) -> void
    {
        m_entries = std::max<std::uint32_t>(1, report.listeners);
        const auto news = m_directory.onReport(id, std::move(report), m_clock.now());
        const auto *view = m_directory.find(id);
        if (view && view->leaving()) {
            planEvacuation(*view);
        }
        if (news) {
            onLeaving(id, "reported");
        } else if (view && view->leaving()) {
            moveRunsOf(id);
        }
    }
    /// Refuses work from now on that would not end before the process does. Idempotent.
    auto drain(time_us stopAt) -> void { m_stopAt = stopAt; }
    auto drained() const -> bool { return m_requests.empty(); }
    auto open() const -> std::size_t { return m_requests.size(); }

    // --- callers

    auto onOpen(const open_forward &opened) -> void
    {
        const auto &asked = *opened.request;
        const auto refused = refusalOf(asked);
        if (refused != failure::none) {
            refuse(asked.callerId, asked.requestId, refused, retryMs());
            return;
        }
        placeOrWait(admit(opened.request));
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
        const auto found = m_requestOfAsk.find(replied.askId);
        auto *request = found == m_requestOfAsk.end() ? nullptr : findRequest(found->second);
        if (!request) {
            return;
        }
        endQuestion(*request);
        request->question.last = replied.verdict;
        m_sink.observe(latency_kind::room_question, m_clock.now() - request->question.askedAt);
        if (replied.verdict == room_verdict::granted) {
            send(*request, request->question.serverId, request->question.server, std::nullopt);
            return;
        }
        request->question.full.push_back(replied.serverId);
        placeOrWait(*request);
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
        const auto own = m_timers.next();
        const auto moves = m_mover.nextTimer();
        return own && moves ? std::min(*own, *moves) : (own ? own : moves);
    }
    auto onTimer() -> void
    {
        m_mover.onTimer();
        while (const auto key = m_timers.popDue(m_clock.now())) {
            auto *request = findRequest(key->number);
            if (!request) {
                continue;
            }
            switch (key->kind) {
            case timer_kind::deadline:
                onDeadline(*request);
                break;
            case timer_kind::room:
                onNoRoom(*request);
                break;
            case timer_kind::hedge:
                onSlow(*request);
                break;
            case timer_kind::question:
                onUnanswered(*request);
                break;
            case timer_kind::again:
                request->question = {};
                placeOrWait(*request);
                break;
            }
        }
    }

    // --- asked by the mover

    auto findRequest(std::uint64_t number) -> request_state *
    {
        const auto found = m_requests.find(number);
        return found == m_requests.end() ? nullptr : found->second.get();
    }
    auto toServer(server_command command) -> void { m_sink.toServer(std::move(command)); }
    /// Server with room for a request; for a move of a running one, its own server is left out.
    auto roomFor(const request_state &request, bool moving) -> const server_view *
    {
        auto avoided = moving ? request.fullTargets : request.avoided;
        if (moving) {
            avoided.push_back(request.run.serverId);
        } else {
            const auto &full = request.question.full;
            avoided.insert(avoided.end(), full.begin(), full.end());
        }
        // Work that cannot be tried elsewhere is not risked on a server that has just failed.
        const auto once = request.route->kind == work_kind::at_most_once;
        const auto usable = m_directory.usableFor(request.pool->name, m_clock.now(), once);
        const auto held = request.promptTokens() + request.producedTokens();
        const auto *source = moving ? m_directory.find(request.run.serverId) : nullptr;
        const placement_ask ask{.dataCentre
                                = source ? source->entry.dataCentre : m_options.dataCentre,
                                .pool = request.pool,
                                .avoided = &avoided,
                                .generation = request.generation(),
                                .moving = moving,
                                .urgency = request.urgency,
                                .tokensNow = held,
                                .tokensExpected = moving ? held : expectedTokens(request),
                                .entries = m_entries,
                                .now = m_clock.now()};
        return Placement::choose(ask, usable, m_random);
    }
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
    auto observeMove(std::int64_t us) -> void { m_sink.observe(latency_kind::move, us); }

private:
    enum class timer_kind { deadline, room, hedge, question, again };
    struct timer_key
    {
        timer_kind kind;
        std::uint64_t number;
        friend auto operator<=>(const timer_key &, const timer_key &)
            -> std::strong_ordering = default;
    };

    // --- opening

    auto refusalOf(const forward_request &asked) const -> failure
    {
        if (!m_table) {
            return failure::no_manifest;
        }
        const auto *route = m_table->findRoute(asked.host, asked.path());
        if (!route) {
            return failure::unknown_service;
        }
        const auto keyed = m_table->content().keyed && !route->open;
        if (keyed && !m_table->findTeam(asked.key)) {
            return failure::unauthenticated;
        }
        if (m_stopAt && m_clock.now() + durationUs(*route, asked) > *m_stopAt) {
            return failure::draining;
        }
        return m_requests.size() >= m_options.requestLimit ? failure::overloaded : failure::none;
    }
    /// Time that a request may well take.
    auto durationUs(const route_entry &route, const forward_request &asked) const -> std::int64_t
    {
        const auto &ask = asked.generation;
        const auto output = route.kind == work_kind::generation
                                ? ask.outputEstimate.value_or(ask.mostOutputTokens)
                                : 0;
        return route.latencyTargetMs * US_PER_MS + output * m_options.usPerToken;
    }
    auto admit(const forward_request_ptr &asked) -> request_state &
    {
        const auto now = m_clock.now();
        auto state = std::make_unique<request_state>();
        auto &request = *state;
        request.number = ++m_lastNumber;
        request.callerId = asked->callerId;
        request.request = asked;
        request.table = m_table;
        request.route = m_table->findRoute(asked->host, asked->path());
        request.pool = m_table->findPool(drawPool(*request.route));
        request.urgency = request.route->urgency;
        const auto keyed = m_table->content().keyed && !request.route->open;
        if (const auto *team = keyed ? m_table->findTeam(asked->key) : nullptr) {
            request.team = team->name;
            request.urgency = team->urgency.value_or(request.urgency);
        }
        request.lastEvent = asked->generation.resumeAfter.value_or(0);
        request.openedAt = now;
        const auto patience = asked->patienceMs.value_or(request.route->timeoutMs);
        request.deadline = now + std::min(patience, request.route->timeoutMs) * US_PER_MS;
        m_timers.set({timer_kind::deadline, request.number}, request.deadline);
        m_requestOfCaller.insert_or_assign(asked->callerId, request.number);
        m_requests.emplace(request.number, std::move(state));
        if (request.pool) {
            retriesOf(*request.pool).noteFresh(now);
        }
        return request;
    }
    auto drawPool(const route_entry &route) -> std::string
    {
        std::uint64_t all = 0;
        for (const auto &share : route.pools) {
            all += share.weight;
        }
        auto drawn = all > 0 ? m_random() % all : 0;
        for (const auto &share : route.pools) {
            if (drawn < share.weight) {
                return share.pool;
            }
            drawn -= share.weight;
        }
        return {};
    }

    // --- placing

    auto placeOrWait(request_state &request) -> void
    {
        if (!place(request)) {
            wait(request);
        }
    }
    /// Sends the request, or asks a reporter for room; false when no server seems to have room.
    auto place(request_state &request) -> bool
    {
        auto &question = request.question;
        const auto *view = request.pool && question.count < m_options.questions
                               ? roomFor(request, false)
                               : nullptr;
        if (!view) {
            return false;
        }
        question.serverId = view->entry.id;
        question.server = view->entry.address;
        const auto reports = view->report && m_clock.now() - view->reportAt < m_options.reporterUs;
        if (!request.generation() || !reports || question.unanswered >= m_options.unanswered) {
            send(request, std::string(question.serverId), endpoint(question.server), std::nullopt);
        } else {
            ask(request);
        }
        return true;
    }
    auto ask(request_state &request) -> void
    {
        request.phase = request_phase::asking;
        request.question.askId = ++m_lastAskId;
        request.question.askedAt = m_clock.now();
        ++request.question.count;
        m_requestOfAsk.emplace(m_lastAskId, request.number);
        m_timers.set({timer_kind::question, request.number}, m_clock.now() + m_options.questionUs);
        m_sink.askRoom({.askId = m_lastAskId,
                        .serverId = request.question.serverId,
                        .requestId = request.request->requestId,
                        .expectedTokens = expectedTokens(request),
                        .outputTokens = expectedTokens(request) - request.promptTokens(),
                        .promptsAhead = promptsAllowed(request)});
    }
    /// Prompts that may be read before this one without missing the latency target.
    auto promptsAllowed(const request_state &request) const -> std::uint32_t
    {
        const auto us = static_cast<double>(request.route->latencyTargetMs * US_PER_MS);
        return static_cast<std::uint32_t>(us * m_options.promptShare
                                          / static_cast<double>(m_options.promptUs));
    }
    auto endQuestion(request_state &request) -> void
    {
        m_requestOfAsk.erase(request.question.askId);
        m_timers.cancel({timer_kind::question, request.number});
    }
    auto onUnanswered(request_state &request) -> void
    {
        endQuestion(request);
        ++request.question.unanswered;
        placeOrWait(request);
    }
    auto send(request_state &request, const std::string &serverId, const endpoint &server,
              const std::optional<held_copy> &copy) -> void
    {
        const auto now = m_clock.now();
        m_timers.cancel({timer_kind::room, request.number});
        m_timers.cancel({timer_kind::again, request.number});
        request.phase = request.streamGiven ? request_phase::streaming : request_phase::sent;
        request.run = {.exchangeId = ++m_lastExchangeId,
                       .serverId = serverId,
                       .server = server,
                       .tokens = request.generation() ? expectedTokens(request) : 0,
                       .goesOn = copy.has_value(),
                       .sentAt = now};
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
    auto reportAgeMs(const server_view *view) const -> std::int64_t
    {
        return view && view->report ? (m_clock.now() - view->reportAt) / US_PER_MS : -1;
    }
    auto expectedTokens(const request_state &request) const -> std::uint64_t
    {
        const auto &ask = request.request->generation;
        const auto share = static_cast<double>(ask.mostOutputTokens) * m_options.assumedOutputShare;
        const auto output = std::min(ask.outputEstimate.value_or(static_cast<std::uint32_t>(share)),
                                     ask.mostOutputTokens);
        return ask.promptTokens + std::max(output, request.producedTokens());
    }
    /// Keeps the request until there is room, for a short time; entries try again at random times,
    /// so that not all of them ask at once when room appears.
    auto wait(request_state &request) -> void
    {
        const auto now = m_clock.now();
        request.phase = request_phase::waiting;
        if (!request.waitUntil) {
            const auto us = m_options.waitShare
                            * static_cast<double>(request.route->latencyTargetMs * US_PER_MS);
            request.waitUntil = now + static_cast<std::int64_t>(us);
            log(log_event::request_waiting, request,
                {{"route", request.route->name},
                 {"questions", static_cast<std::int64_t>(request.question.count)},
                 {"room", std::string(nameOf(request.question.last))}});
        }
        if (now >= *request.waitUntil) {
            onNoRoom(request);
            return;
        }
        m_timers.set({timer_kind::room, request.number}, *request.waitUntil);
        const auto width
            = static_cast<std::uint64_t>(m_options.mostAgainUs - m_options.leastAgainUs);
        m_timers.set({timer_kind::again, request.number},
                     now + m_options.leastAgainUs + static_cast<std::int64_t>(m_random() % width));
    }
    auto onNoRoom(request_state &request) -> void
    {
        const auto reason = m_directory.sizeOf(request.pool ? request.pool->name : "") == 0
                                ? failure::no_backend_server
                                : failure::overloaded;
        failRequest(request, reason,
                    request.attempts > 0 ? run_state::unknown : run_state::not_run);
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
        request->attempts += request->run.goesOn ? 0 : 1;
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
        if (request.streamGiven) {
            cut(request, failure::backend_server_lost);
            return;
        }
        retryUnrun(request, true);
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
        const auto allowed = request.sends < m_options.mostSends
                             && (!arrived || retriesOf(*request.pool).tryTake(m_clock.now()));
        if (!allowed) {
            failRequest(request, failure::overloaded, ran);
            return;
        }
        request.question = {};
        placeOrWait(request);
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
        if (!retriesOf(*request.pool).tryTake(m_clock.now())) {
            log(log_event::request_retried, request,
                {{"cause", std::string(cause)}, {"outcome", std::string("budget_spent")}});
            return false;
        }
        request.question = {};
        placeOrWait(request);
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
            || !retriesOf(*request.pool).tryTake(m_clock.now())) {
            --request.attempts;
            return;
        }
        noteOutcome(request, false);
        cancelRun(request);
        request.avoided.push_back(request.run.serverId);
        log(log_event::request_retried, request,
            {{"server", request.run.serverId}, {"cause", std::string("slow")}});
        placeOrWait(request);
    }

    // --- servers

    auto onLeaving(const std::string &id, std::string_view source) -> void
    {
        const auto *view = m_directory.find(id);
        const auto leavesMs
            = view && view->goneAt ? (*view->goneAt - m_clock.now()) / US_PER_MS : std::int64_t{-1};
        m_sink.log(log_event::server_leaving, {},
                   {{"server", id}, {"source", std::string(source)}, {"gone_in_ms", leavesMs}});
        moveRunsOf(id);
    }
    auto planEvacuation(const server_view &source) -> void
    {
        const auto *pool = m_table ? m_table->findPool(source.entry.pool) : nullptr;
        if (!pool || !pool->engine || !pool->engine->moves) {
            return;
        }
        constexpr double BITS_PER_BYTE = 8.0;
        const auto bits = static_cast<double>(pool->engine->bytesPerToken) * BITS_PER_BYTE;
        m_mover.onReport(source, bits / pool->engine->linkMbps);
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
        m_timers.cancel({timer_kind::room, request.number});
        m_timers.cancel({timer_kind::again, request.number});
        endQuestion(request);
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
    run_mover<Clock, forwarding_core> m_mover;
    route_table_ptr m_table;
    std::map<std::uint64_t, std::unique_ptr<request_state>> m_requests;
    std::unordered_map<std::uint64_t, std::uint64_t> m_requestOfCaller;
    std::unordered_map<std::uint64_t, std::uint64_t> m_requestOfExchange;
    std::unordered_map<std::uint64_t, std::uint64_t> m_requestOfAsk;
    std::map<std::string, retry_window> m_retries;
    timer_queue<timer_key> m_timers;
    /// Entries that hear the same reports, as the last one told.
    std::uint32_t m_entries = 1;
    std::uint64_t m_lastNumber = 0;
    std::uint64_t m_lastExchangeId = 0;
    std::uint64_t m_lastAskId = 0;
    /// When the process ends, once it has been told to.
    std::optional<time_us> m_stopAt;
};

} // namespace marjoram
