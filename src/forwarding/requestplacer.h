#pragma once

#include "forwarding/continuationfilter.h"
#include "forwarding/forwardingoptions.h"
#include "forwarding/forwardrings.h"
#include "forwarding/placement.h"
#include "forwarding/poolbacklog.h"
#include "forwarding/poollocality.h"
#include "forwarding/refusalaudit.h"
#include "forwarding/requeststate.h"
#include "framework/global/timerqueue.h"
#include "serverviews/serverdirectory.h"

#include <deque>
#include <unordered_map>
#include <unordered_set>

namespace marjoram {

/// Functions that the placer needs from its host.
template <typename H>
concept placement_host
    = requires(H &host, request_state &request, const std::string &id, const endpoint &server,
               reporter_command command, log_event event, std::vector<log_field> fields)
{
    host.send(request, id, server, std::nullopt);
    host.toReporter(command);
    {
        host.nextAskId()
        } -> std::same_as<std::uint64_t>;
    host.onPlacementFailed(request);
    host.log(event, request, fields);
    host.logEvent(event, id, fields);
    host.observe(latency_kind::room_request, std::int64_t{});
    {
        host.findRequest(std::uint64_t{})
        } -> std::same_as<request_state *>;
    {
        host.slowestUsPerToken(request)
        } -> std::same_as<std::int64_t>;
};

/// Numbers for operators.
struct waiting_counts
{
    /// Requests that wait for room at present.
    std::int64_t waiting = 0;
    /// Requests that were refused although room appeared in time, and requests that were refused
    /// after a reporter had queued them. Since the process started.
    std::int64_t refusedWithRoom = 0;
    std::int64_t waitedInVain = 0;
};

/// Chooses a server for each request and asks its reporter whether there is room. If no server has
/// room, the request is held back for a short time (waiting_policy::polling) or waits in the queues
/// of reporters (waiting_policy::ordered).
/// Not thread safe: belongs to one duty.
template <placement_policy Placement, clock_source Clock, typename Host>
class request_placer
{
public:
    /// Precondition: `options`, `directory` and `host` outlive the placer.
    request_placer(const forwarding_options &options, Clock clock, std::uint64_t seed,
                   server_directory &directory, Host &host)
        : m_options(options)
        , m_clock(clock)
        , m_random(seed)
        , m_directory(directory)
        , m_host(host)
        , m_locality(options, clock)
        , m_backlog(m_options.waiting)
    {
        static_assert(placement_host<Host>);
    }

    /// Sets the number of entries that place requests by the same reports.
    auto setEntryCount(std::uint32_t entries) -> void { m_entryCount = entries; }
    auto placeOrWait(request_state &request) -> void
    {
        if (waitsInOrder(request)) {
            placeInOrder(request);
        } else if (!place(request)) {
            waitForRoom(request);
        }
    }
    /// Whether the request may wait in the queues of reporters.
    auto waitsInOrder(const request_state &request) const -> bool
    {
        return m_options.waiting.policy == waiting_policy::ordered && request.isGeneration()
               && request.engine();
    }
    /// The forecast of the wait for room.
    auto backlog() -> pool_backlog & { return m_backlog; }
    auto counts() const -> waiting_counts
    {
        return {.waiting = static_cast<std::int64_t>(m_waiting.size()),
                .refusedWithRoom = m_refusals.refusedWithRoom(),
                .waitedInVain = m_waitedInVain};
    }
    /// Counts a request that ends before any server has got it.
    auto recordUnplaced(const request_state &request, failure reason) -> void
    {
        const auto noRoom = reason == failure::overloaded || reason == failure::would_miss_deadline;
        if (!noRoom || !waitsInOrder(request)) {
            return;
        }
        m_waitedInVain += request.waiting.wasQueued() ? 1 : 0;
        const auto now = m_clock.now();
        const auto until = request.waiting.limits().value_or(limitsOf(request)).late;
        if (now < until) {
            m_refusals.onRefused({.pool = request.pool->name,
                                  .expectedTokens = expectedTokens(request),
                                  .urgency = request.urgency,
                                  .refusedAt = now,
                                  .until = until});
        }
    }
    /// Places a request without counting earlier room requests.
    auto restartPlacement(request_state &request) -> void
    {
        request.roomRequest = {};
        placeOrWait(request);
    }
    /// Handles the reply to a room request of this placer; ignores other replies.
    auto onRoomReply(const room_replied &replied) -> void
    {
        const auto found = m_requestByAskId.find(replied.askId);
        auto *request
            = found == m_requestByAskId.end() ? nullptr : m_host.findRequest(found->second);
        if (!request) {
            withdrawLateGrant(replied);
            return;
        }
        recordForecast(*request, replied);
        const auto *reservation = request->waiting.find(replied.askId);
        if (!reservation) {
            endRoomRequest(*request);
            m_host.observe(latency_kind::room_request,
                           m_clock.now() - request->roomRequest.askedAt);
        }
        request->roomRequest.lastVerdict = replied.verdict;
        const auto serverId = reservation ? reservation->serverId : request->roomRequest.serverId;
        const auto server = reservation ? reservation->server : request->roomRequest.server;
        // Answers to other requests may have changed what is known of the server.
        const auto *view = m_directory.find(serverId);
        const auto closed
            = view
              && (view->leaving() || view->replaced || view->pausedUntil > m_clock.now()
                  || m_directory.isEvacuated(serverId));
        const auto allowed = filterOf(*request, false).allows(serverId);
        const auto usable = !closed && allowed && !isExpired(*request);
        if (replied.verdict == room_verdict::granted && usable) {
            useGrant(*request, replied.askId, serverId, server);
            return;
        }
        if (replied.verdict == room_verdict::queued && usable && waitsInOrder(*request)) {
            keepReservation(*request, replied, serverId, server);
            return;
        }
        dropReservation(*request, replied.askId);
        if (replied.verdict == room_verdict::granted || replied.verdict == room_verdict::queued) {
            withdraw(*request, replied.askId, serverId);
        }
        request->roomRequest.serversWithoutRoom.push_back(replied.serverId);
        if (!isAsking(*request)) {
            placeOrWait(*request);
        }
    }
    /// Stops looking for a server for the request.
    auto cancelPlacement(request_state &request) -> void
    {
        giveUpRoomRequest(request);
        giveUpReservations(request);
        request.waiting.clearLimits();
        m_waiting.erase(request.number);
        m_timers.cancel({timer_kind::wait_limit, request.number});
        m_timers.cancel({timer_kind::retry, request.number});
    }
    /// Returns a server with room for the request, or null. When moving, excludes the server on
    /// which the generation runs.
    auto chooseServer(const request_state &request, bool moving) -> const server_view *
    {
        auto excludedServers = moving ? request.refusedTargets : request.excludedServers;
        if (moving) {
            excludedServers.push_back(request.run.serverId);
            excludedServers.insert(excludedServers.end(), request.busyTargets.begin(),
                                   request.busyTargets.end());
        } else {
            const auto &withoutRoom = request.roomRequest.serversWithoutRoom;
            excludedServers.insert(excludedServers.end(), withoutRoom.begin(), withoutRoom.end());
            for (const auto &held : request.waiting.reservations()) {
                excludedServers.push_back(held.serverId);
            }
        }
        // At-most-once requests cannot be retried, so they avoid servers that have failed recently.
        const auto atMostOnce = request.route->kind == work_kind::at_most_once;
        auto candidates = m_directory.usableServers(request.pool->name, m_clock.now(), atMostOnce);
        keepAllowed(candidates, filterOf(request, moving));
        const auto movedTokens = request.promptTokens() + request.producedTokens();
        const auto *source = moving ? m_directory.find(request.run.serverId) : nullptr;
        const auto failedDataCentres = dataCentresOf(request.excludedServers);
        const placement_query query{
            .dataCentre = source ? source->entry.dataCentre : m_options.dataCentre,
            .pool = request.pool,
            .excludedServers = &excludedServers,
            .generation = request.isGeneration(),
            .moving = moving,
            .expectedTokens = moving ? movedTokens : expectedTokens(request),
            .promptTokens = moving ? 0 : request.promptTokens(),
            .outputTokens = remainingTokens(request),
            .latencyTargetUs = toUs(request.route->latencyTargetMs),
            .failedDataCentres = failedDataCentres.empty() ? nullptr : &failedDataCentres,
            .plain = m_options.plain,
            .entries = m_entryCount,
            .now = m_clock.now()};
        if (m_options.locality.mode == locality_mode::fixed || !request.pool) {
            return Placement::choose(query, candidates, m_random);
        }
        const auto *chosen = m_locality.choose(query, candidates, m_random);
        logSpillover();
        return chosen;
    }
    /// Counts the present run of the request if it is in another data centre.
    auto onSent(request_state &request) -> void
    {
        const auto *view = m_directory.find(request.run.serverId);
        if (view && request.pool) {
            request.run.spilled = m_locality.onSent(*request.pool, *view, request.run.tokens);
        }
    }
    /// Takes the size of a complete response.
    auto onResponse(const request_state &request, std::uint64_t bytes) -> void
    {
        if (request.pool) {
            m_locality.onResponse(*request.pool, bytes);
        }
    }
    auto expectedTokens(const request_state &request) const -> std::uint64_t
    {
        const auto &params = request.request->generation;
        const auto share
            = static_cast<double>(params.maxOutputTokens) * m_options.assumedOutputShare;
        const auto output
            = std::min(params.outputEstimate.value_or(static_cast<std::uint32_t>(share)),
                       params.maxOutputTokens);
        return std::uint64_t{params.promptTokens} + std::max(output, request.producedTokens());
    }

    /// Output that the request is expected still to produce.
    auto remainingTokens(const request_state &request) const -> std::uint64_t
    {
        const auto expected = expectedTokens(request);
        const auto present = std::uint64_t{request.promptTokens()} + request.producedTokens();
        return expected - std::min(expected, present);
    }

    auto nextTimer() const -> std::optional<time_us> { return m_timers.next(); }
    auto onTimer() -> void
    {
        while (const auto key = m_timers.popDue(m_clock.now())) {
            auto *request = m_host.findRequest(key->number);
            if (!request) {
                continue;
            }
            switch (key->kind) {
            case timer_kind::wait_limit:
                onWaitLimit(*request);
                break;
            case timer_kind::room_request:
                onRoomRequestTimeout(*request);
                break;
            case timer_kind::retry:
                restartPlacement(*request);
                break;
            case timer_kind::reservation:
                checkReservations(*request);
                break;
            }
        }
    }

private:
    enum class timer_kind { wait_limit, room_request, retry, reservation };
    struct timer_key
    {
        timer_kind kind;
        std::uint64_t number;
        friend auto operator<=>(const timer_key &, const timer_key &)
            -> std::strong_ordering = default;
    };

    auto logSpillover() -> void
    {
        const auto change = m_locality.takeChange();
        if (!change) {
            return;
        }
        std::vector<log_field> fields{{"pool", change->pool},
                                      {"data_centre", m_options.dataCentre},
                                      {"state", std::string(change->spilling ? "begun" : "ended")},
                                      {"reason", std::string(nameOf(change->reason))},
                                      {"use_here", change->useHere}};
        // The data centre that gets most, or would.
        const auto most = std::max_element(change->targets.begin(), change->targets.end(),
                                           [](const spill_target &a, const spill_target &b) {
                                               return std::pair(a.share, a.gainUs)
                                                      < std::pair(b.share, b.gainUs);
                                           });
        if (most != change->targets.end()) {
            fields.push_back({"to", most->dataCentre});
            fields.push_back({"share", most->share});
            fields.push_back({"gain_ms", most->gainUs / US_PER_MS});
            fields.push_back({"allowance", most->allowance});
        }
        m_host.logEvent(log_event::spillover_changed, {}, std::move(fields));
    }
    /// Data centres of those of the servers that are known.
    auto dataCentresOf(const std::vector<std::string> &servers) const -> std::vector<std::string>
    {
        std::vector<std::string> out;
        for (const auto &id : servers) {
            if (const auto *view = m_directory.find(id)) {
                out.push_back(view->entry.dataCentre);
            }
        }
        return out;
    }
    auto filterOf(const request_state &request, bool moving) const -> continuation_filter
    {
        return {m_directory, request, moving ? continued_part::memory : continued_part::stream,
                m_clock.now()};
    }
    static auto keepAllowed(std::vector<const server_view *> &candidates,
                            const continuation_filter &filter) -> void
    {
        if (filter.isRestricting()) {
            std::erase_if(candidates,
                          [&](const server_view *view) { return !filter.allows(*view); });
        }
    }
    /// After a pause of the process other events can come before the timer of the deadline, which
    /// ends the request: it must not be sent any more.
    auto isExpired(const request_state &request) const -> bool
    {
        return request.deadline <= m_clock.now();
    }
    /// Sends the request or asks a reporter for room. Returns false if no server seems to have
    /// room.
    auto place(request_state &request) -> bool
    {
        if (isExpired(request)) {
            return true;
        }
        auto &roomRequest = request.roomRequest;
        const auto *view = request.pool && roomRequest.count < m_options.maxRoomRequests
                               ? chooseServer(request, false)
                               : nullptr;
        if (!view) {
            return false;
        }
        if (!request.isGeneration() || !hasRecentReport(*view)
            || roomRequest.unanswered >= m_options.maxUnanswered) {
            if (view->cold.ungrantedAt(m_clock.now()) > m_clock.now()) {
                return false;
            }
            m_host.send(request, std::string(view->entry.id), endpoint(view->entry.address),
                        std::nullopt);
        } else {
            requestRoom(request, *view);
        }
        return true;
    }
    auto hasRecentReport(const server_view &view) const -> bool
    {
        return view.report && m_clock.now() - view.reportAt < m_options.reportMaxAgeUs;
    }
    auto requestRoom(request_state &request, const server_view &view) -> void
    {
        request.roomRequest.serverId = view.entry.id;
        request.roomRequest.server = view.entry.address;
        request.phase = request_phase::asking;
        request.roomRequest.askId = m_host.nextAskId();
        request.roomRequest.askedAt = m_clock.now();
        ++request.roomRequest.count;
        m_requestByAskId.emplace(request.roomRequest.askId, request.number);
        m_timers.set({timer_kind::room_request, request.number},
                     m_clock.now() + m_options.roomTimeoutUs);
        sendRoomRequest(request, request.roomRequest.askId, request.roomRequest.serverId);
    }
    auto sendRoomRequest(request_state &request, std::uint64_t askId, const std::string &serverId)
        -> void
    {
        request_room asked{.askId = askId,
                           .serverId = serverId,
                           .requestId = request.request->requestId,
                           .expectedTokens = expectedTokens(request),
                           .outputTokens = expectedTokens(request) - request.promptTokens(),
                           .promptsAhead = maxPromptsAhead(request)};
        if (waitsInOrder(request)) {
            const auto now = m_clock.now();
            const auto limits = request.waiting.limits().value_or(limitsOf(request));
            asked.urgency = request.urgency;
            asked.team = request.team;
            asked.waitMs = std::max<std::int64_t>(0, (limits.late - now) / US_PER_MS);
            asked.startWithinMs = (limits.inTime - now) / US_PER_MS;
        }
        m_host.toReporter(std::move(asked));
    }
    /// Number of prompts that may be read before this one without missing the latency target.
    auto maxPromptsAhead(const request_state &request) const -> std::uint32_t
    {
        constexpr double MAX_PROMPTS = 1e6;
        const auto us = static_cast<double>(toUs(request.route->latencyTargetMs));
        return static_cast<std::uint32_t>(
            std::clamp(us * m_options.prefillShare / static_cast<double>(m_options.prefillUs), 0.0,
                       MAX_PROMPTS));
    }
    auto endRoomRequest(request_state &request) -> void
    {
        m_requestByAskId.erase(request.roomRequest.askId);
        m_timers.cancel({timer_kind::room_request, request.number});
    }
    auto onRoomRequestTimeout(request_state &request) -> void
    {
        giveUpRoomRequest(request);
        ++request.roomRequest.unanswered;
        placeOrWait(request);
    }
    /// Holds the request back for a short time. The retry pause is random, so that not all entries
    /// ask at once when room appears.
    auto waitForRoom(request_state &request) -> void
    {
        const auto now = m_clock.now();
        request.phase = request_phase::waiting;
        m_waiting.insert(request.number);
        if (!request.waitUntil) {
            const auto us = m_options.maxWaitShare
                            * static_cast<double>(toUs(request.route->latencyTargetMs));
            request.waitUntil = now + static_cast<std::int64_t>(us);
            m_host.log(log_event::request_waiting, request,
                       {{"route", request.route->name},
                        {"questions", static_cast<std::int64_t>(request.roomRequest.count)},
                        {"room", std::string(nameOf(request.roomRequest.lastVerdict))}});
        }
        // Waiting is useless if all servers are leaving or will be unavailable for longer: then the
        // caller is told at once when to retry.
        const std::string_view pool = request.pool ? request.pool->name : std::string_view{};
        const auto availableAt = m_directory.unavailableUntil(pool, now);
        if (now >= *request.waitUntil || (availableAt && *availableAt > *request.waitUntil)
            || m_directory.allLeaving(pool)
            || filterOf(request, false).outlook() != continuation::possible) {
            m_host.onPlacementFailed(request);
            return;
        }
        m_timers.set({timer_kind::wait_limit, request.number}, *request.waitUntil);
        const auto width = static_cast<std::uint64_t>(m_options.maxPlacementRetryUs
                                                      - m_options.minPlacementRetryUs);
        m_timers.set({timer_kind::retry, request.number},
                     now + m_options.minPlacementRetryUs
                         + static_cast<std::int64_t>(m_random() % width));
    }

    // --- waiting in the queues of reporters

    auto isAsking(const request_state &request) const -> bool
    {
        const auto askId = request.roomRequest.askId;
        return m_requestByAskId.contains(askId) && !request.waiting.holds(askId);
    }
    auto limitsOf(const request_state &request) -> wait_limits
    {
        const auto targetUs = toUs(request.route->latencyTargetMs);
        const auto minWaitUs
            = static_cast<std::int64_t>(m_options.maxWaitShare * static_cast<double>(targetUs));
        return waitLimitsOf({.openedAt = request.openedAt,
                             .deadline = request.deadline,
                             .latencyTargetUs = targetUs,
                             .prefillUs = m_options.prefillUs,
                             .minWaitUs = minWaitUs,
                             .now = m_clock.now(),
                             .outputUs = static_cast<std::int64_t>(remainingTokens(request))
                                         * m_host.slowestUsPerToken(request)},
                            m_options.waiting);
    }
    /// Asks for room as without queues; if no server seems to have room, a server whose reporter
    /// queues the request.
    auto placeInOrder(request_state &request) -> void
    {
        if (!request.waiting.limits()) {
            request.waiting.setLimits(limitsOf(request));
        }
        if (!request.waiting.reservations().empty()) {
            decideWait(request);
        } else if (!place(request) && !joinQueue(request)) {
            // No reporter queues it: those of an older version, or all queues are full.
            waitForRoom(request);
        }
    }
    /// Returns false if there is no reporter to ask.
    auto joinQueue(request_state &request) -> bool
    {
        if (isHopeless(request)) {
            m_host.onPlacementFailed(request);
            return true;
        }
        const auto *view = mayAskAnother(request) ? chooseQueue(request, std::nullopt) : nullptr;
        if (view) {
            requestRoom(request, *view);
        }
        return view != nullptr;
    }
    auto mayAskAnother(const request_state &request) const -> bool
    {
        return request.pool && request.roomRequest.count < m_options.maxRoomRequests
               && request.roomRequest.unanswered < m_options.maxUnanswered;
    }
    /// Whether the expected waits of much of the pool are known, and all are too long.
    auto isHopeless(const request_state &request) const -> bool
    {
        const auto now = m_clock.now();
        const auto &pool = request.pool->name;
        const auto smallest = m_backlog.smallestWaitUs(pool, now);
        const auto known = static_cast<double>(m_backlog.knownServers(pool, now));
        const auto all = static_cast<double>(m_directory.usableServers(pool, now).size());
        return smallest && known >= all * m_options.waiting.refusalCoverage
               && now + *smallest >= request.waiting.limits()->late;
    }
    /// Chooses an engine without room whose queue the request may join; null if there is none. The
    /// wait there is unknown, or known to be shorter than `shorterThanUs`.
    auto chooseQueue(const request_state &request, std::optional<std::int64_t> shorterThanUs)
        -> const server_view *
    {
        const auto now = m_clock.now();
        const auto contains = [](const std::vector<std::string> &ids, const std::string &id) {
            return std::find(ids.begin(), ids.end(), id) != ids.end();
        };
        auto candidates = m_directory.usableServers(request.pool->name, now);
        keepAllowed(candidates, filterOf(request, false));
        std::erase_if(candidates, [&](const server_view *view) {
            const auto &id = view->entry.id;
            const auto waitUs = m_backlog.waitAtUs(request.pool->name, id, now);
            return contains(request.excludedServers, id)
                   || contains(request.roomRequest.serversWithoutRoom, id)
                   || request.waiting.isHeldAt(id) || view->availableAt(m_clock.now()) > now
                   || !hasRecentReport(*view)
                   || (waitUs && shorterThanUs && *waitUs >= *shorterThanUs);
        });
        const auto shareOf = [&request](const server_view &view) {
            const auto capacity = view.report->capacityTokens > 0 ? view.report->capacityTokens
                                                                  : request.engine()->memoryTokens;
            return static_cast<double>(committedTokens(view))
                   / static_cast<double>(std::max<std::uint64_t>(1, capacity));
        };
        return leastCommitted(std::move(candidates), shareOf, m_options.waiting.queueSample,
                              m_random);
    }
    /// Chooses a second engine for a request that waits at one; null if there is none.
    auto chooseFurther(const request_state &request) -> const server_view *
    {
        const auto full = request.waiting.reservations().size() >= waiting_room::MAX_RESERVATIONS;
        if (full || !mayAskAnother(request)) {
            return nullptr;
        }
        const auto *withRoom = chooseServer(request, false);
        return withRoom && hasRecentReport(*withRoom)
                   ? withRoom
                   : chooseQueue(request, request.waiting.expectedWaitUs(m_clock.now()));
    }
    /// Precondition: the request waits at a reporter, and no other is being asked.
    auto decideWait(request_state &request) -> void
    {
        const auto now = m_clock.now();
        const auto *further = isExpired(request) ? nullptr : chooseFurther(request);
        switch (request.waiting.decide(m_backlog.smallestWaitUs(request.pool->name, now),
                                       further != nullptr, now)) {
        case wait_decision::ask_elsewhere:
            requestRoom(request, *further);
            break;
        case wait_decision::wait:
            waitInQueue(request);
            break;
        case wait_decision::refuse:
            m_host.onPlacementFailed(request);
            break;
        }
    }
    auto waitInQueue(request_state &request) -> void
    {
        const auto now = m_clock.now();
        request.phase = request_phase::waiting;
        const auto &limits = *request.waiting.limits();
        m_timers.cancel({timer_kind::retry, request.number});
        m_timers.set({timer_kind::wait_limit, request.number},
                     now < limits.withoutForecast ? limits.withoutForecast : limits.late);
        if (!m_waiting.insert(request.number).second) {
            return;
        }
        const auto expectedUs = request.waiting.expectedWaitUs(now);
        std::string queuedAt;
        for (const auto &held : request.waiting.reservations()) {
            queuedAt += (queuedAt.empty() ? "" : ",") + held.serverId;
        }
        m_host.log(log_event::request_waiting, request,
                   {{"route", request.route->name},
                    {"questions", static_cast<std::int64_t>(request.roomRequest.count)},
                    {"room", std::string(nameOf(request.roomRequest.lastVerdict))},
                    {"expected_wait_ms", expectedUs ? *expectedUs / US_PER_MS : -1},
                    {"queued_at", queuedAt}});
    }
    auto onWaitLimit(request_state &request) -> void
    {
        if (request.waiting.reservations().empty()) {
            m_host.onPlacementFailed(request);
        } else if (!isAsking(request)) {
            decideWait(request);
        }
    }
    auto keepReservation(request_state &request, const room_replied &replied,
                         const std::string &serverId, const endpoint &server) -> void
    {
        const auto now = m_clock.now();
        auto *held = request.waiting.find(replied.askId);
        if (!held) {
            request.waiting.add({.askId = replied.askId, .serverId = serverId, .server = server});
            held = request.waiting.find(replied.askId);
            m_requestByAskId.emplace(replied.askId, request.number);
        }
        held->checking = false;
        held->expectedAt = replied.expectedWaitMs < 0
                               ? std::nullopt
                               : std::optional(now + toUs(replied.expectedWaitMs));
        held->checkAt = now + m_options.waiting.checkUs;
        setCheckTimer(request);
        if (!isAsking(request)) {
            decideWait(request);
        }
    }
    auto setCheckTimer(const request_state &request) -> void
    {
        const timer_key key{timer_kind::reservation, request.number};
        if (const auto at = request.waiting.nextCheckAt()) {
            m_timers.set(key, *at);
        } else {
            m_timers.cancel(key);
        }
    }
    /// Asks silent reporters again: a verdict may have been lost, or the reporter. Gives up those
    /// that do not answer and servers that get no new work any more.
    auto checkReservations(request_state &request) -> void
    {
        const auto now = m_clock.now();
        while (auto *due = request.waiting.dueForCheck(now)) {
            const auto *view = m_directory.find(due->serverId);
            if (due->checking || !view || view->leaving()) {
                request.roomRequest.unanswered += due->checking ? 1 : 0;
                const auto askId = due->askId;
                const auto serverId = due->serverId;
                request.roomRequest.serversWithoutRoom.push_back(serverId);
                dropReservation(request, askId);
                withdraw(request, askId, serverId);
                continue;
            }
            due->checking = true;
            due->checkAt = now + m_options.roomTimeoutUs;
            sendRoomRequest(request, due->askId, due->serverId);
        }
        setCheckTimer(request);
        if (request.waiting.reservations().empty() && !isAsking(request)) {
            placeOrWait(request);
        }
    }
    /// Forgets a reservation, which makes room for another question. Does nothing if the id is not
    /// that of a reservation.
    auto dropReservation(request_state &request, std::uint64_t askId) -> void
    {
        if (!request.waiting.find(askId)) {
            return;
        }
        request.waiting.take(askId);
        m_requestByAskId.erase(askId);
        request.roomRequest.count
            = std::min(request.roomRequest.count, m_options.maxRoomRequests - 1);
        setCheckTimer(request);
    }
    auto useGrant(request_state &request, std::uint64_t askId, const std::string &serverId,
                  const endpoint &server) -> void
    {
        const auto number = request.number;
        const auto requestId = request.request->requestId;
        if (waitsInOrder(request)) {
            const auto now = m_clock.now();
            m_backlog.onGrant(request.pool->name, serverId, now);
            m_refusals.onGranted({.pool = request.pool->name,
                                  .expectedTokens = expectedTokens(request),
                                  .urgency = request.urgency,
                                  .openedAt = request.openedAt},
                                 now);
        }
        dropReservation(request, askId);
        m_host.send(request, serverId, server, std::nullopt);
        // A request that a quarantine or a planned stop has ended meanwhile was not sent.
        const auto *after = m_host.findRequest(number);
        if (!after) {
            withdraw(requestId, askId, serverId);
        }
    }
    /// Takes what a reply says of the wait at its server.
    auto recordForecast(const request_state &request, const room_replied &replied) -> void
    {
        if (waitsInOrder(request) && replied.verdict != room_verdict::granted) {
            m_backlog.onExpectedWait(request.pool->name, replied.serverId, replied.expectedWaitMs,
                                     m_clock.now());
        }
    }
    auto giveUpRoomRequest(request_state &request) -> void
    {
        const auto asking = isAsking(request);
        endRoomRequest(request);
        if (asking) {
            withdraw(request, request.roomRequest.askId, request.roomRequest.serverId);
        }
    }
    auto giveUpReservations(request_state &request) -> void
    {
        while (!request.waiting.reservations().empty()) {
            const auto held = request.waiting.take(request.waiting.reservations().front().askId);
            m_requestByAskId.erase(held.askId);
            withdraw(request, held.askId, held.serverId);
        }
        m_timers.cancel({timer_kind::reservation, request.number});
    }
    auto withdraw(const request_state &request, std::uint64_t askId, const std::string &serverId)
        -> void
    {
        if (waitsInOrder(request)) {
            withdraw(request.request->requestId, askId, serverId);
        }
    }
    /// Does nothing with waiting_policy::polling: the grants of older reporters expire.
    auto withdraw(const std::string &requestId, std::uint64_t askId, const std::string &serverId)
        -> void
    {
        if (m_options.waiting.policy != waiting_policy::ordered) {
            return;
        }
        m_host.toReporter(
            withdraw_room_request{.askId = askId, .serverId = serverId, .requestId = requestId});
        if (!m_withdrawn.emplace(askId, requestId).second) {
            return;
        }
        m_withdrawnOrder.push_back(askId);
        if (m_withdrawnOrder.size() > WITHDRAWN_LIMIT) {
            m_withdrawn.erase(m_withdrawnOrder.front());
            m_withdrawnOrder.pop_front();
        }
    }
    /// The withdrawal of a request that is granted or queued nevertheless was lost, or has
    /// overtaken the request.
    auto withdrawLateGrant(const room_replied &replied) -> void
    {
        const auto held
            = replied.verdict == room_verdict::granted || replied.verdict == room_verdict::queued;
        const auto found = m_withdrawn.find(replied.askId);
        if (held && found != m_withdrawn.end()) {
            withdraw(std::string(found->second), replied.askId, replied.serverId);
        }
    }

    /// Withdrawn room requests that are remembered, so that late grants are withdrawn too.
    static constexpr std::size_t WITHDRAWN_LIMIT = 4'096;

    const forwarding_options &m_options;
    Clock m_clock;
    random_source m_random;
    server_directory &m_directory;
    Host &m_host;
    pool_locality<Placement, Clock> m_locality;
    timer_queue<timer_key> m_timers;
    std::unordered_map<std::uint64_t, std::uint64_t> m_requestByAskId;
    std::uint32_t m_entryCount = 1;
    pool_backlog m_backlog;
    refusal_audit m_refusals;
    std::int64_t m_waitedInVain = 0;
    /// Numbers of the requests that wait for room.
    std::unordered_set<std::uint64_t> m_waiting;
    /// Ids of requests by the withdrawn room requests, and these in the order of withdrawal.
    std::unordered_map<std::uint64_t, std::string> m_withdrawn;
    std::deque<std::uint64_t> m_withdrawnOrder;
};

} // namespace marjoram
