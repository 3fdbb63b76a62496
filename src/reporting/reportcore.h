#pragma once

#include "framework/global/clock.h"
#include "framework/http/httptypes.h"
#include "innerprotocol/frames.h"
#include "limits/ratelimiter.h"
#include "origins/originkeeper.h"
#include "quarantine/observationlog.h"
#include "reporting/evacuationscheduler.h"
#include "reporting/memoryrule.h"
#include "reporting/paceestimator.h"
#include "reporting/roomforecast.h"
#include "reporting/roomqueue.h"
#include "reporting/warmuplimiter.h"
#include "serverviews/serverentry.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marjoram {

/// Options of report_core.
struct report_options
{
    /// Entries to which a started server is announced; some may no longer exist.
    std::vector<endpoint> entries;
    /// Interval between the announcements of a started server, and how long they are repeated.
    /// Entries forward only the first one they receive; the repeats make up for lost datagrams.
    std::int64_t announceIntervalUs = 300 * US_PER_MS;
    std::int64_t announceDurationUs = 4 * US_PER_SECOND;
    /// Age up to which the first server process seen counts as just started. A restarted reporter
    /// must not announce an old server, which may be about to leave.
    std::int64_t justStartedAgeMs = 3'000;
    /// Pause before the server is asked for its identity again.
    std::int64_t identityRetryUs = 1 * US_PER_SECOND;
    /// Poll interval; short, since polling is cheap: the reporter runs on the backend server's
    /// host.
    std::int64_t pollIntervalUs = 80 * US_PER_MS;
    /// Poll interval while the backend server is leaving, when entries act on every change.
    std::int64_t leavingPollIntervalUs = 30 * US_PER_MS;
    /// Poll interval while requests wait for room: memory that was freed is granted 15 ms later on
    /// average, instead of 40 ms.
    std::int64_t queuePollIntervalUs = 30 * US_PER_MS;
    /// Interval between the questions how slow the server's host is; well below the time for which
    /// that lasts, some 600 ms.
    std::int64_t loadIntervalUs = 200 * US_PER_MS;
    /// Interval between reports without urgent changes.
    std::int64_t reportIntervalUs = 240 * US_PER_MS;
    /// An entry that has not renewed its request for this long gets no more reports.
    std::int64_t listenerTimeoutUs = 3'500 * US_PER_MS;
    /// Time after which an observation of a run is sent once more to entries that renew their
    /// request, since datagrams get lost; at least their interval.
    std::int64_t observationRepeatUs = 1'100 * US_PER_MS;
    /// An entry that renews its request later than this may have been cut off, and gets all
    /// observations again.
    std::int64_t listenerGapUs = 2'000 * US_PER_MS;
    observation_log_options observations;
    origin_log_options origins;
    /// Keeps the server to the limit that it states. Runs that must move may exceed it for a
    /// moment.
    rate_limiter_options rateLimit{.burst = 2.0, .maxDebt = 2.0};
    /// Keeps a cold server to the rate that it sustains.
    warm_up_options warmUp;
    /// Longest pause that a server may ask for before the next request for its identity.
    std::int64_t maxIdentityPauseUs = 300 * US_PER_SECOND;
    /// Age of the latest poll from which no room is granted: after a pause of the process, requests
    /// for room may be read before the server has been polled again.
    std::int64_t grantReportMaxAgeUs = 500 * US_PER_MS;
    /// Unanswered polls in a row after which the server counts as not answering.
    std::uint32_t unansweredPollLimit = 2;
    std::size_t listenerLimit = 1'024;
    /// Time after which memory granted to a request that never reached the server is released.
    std::int64_t grantTimeoutUs = 1 * US_PER_SECOND;
    /// Output up to which a generation counts as short, in tokens.
    std::uint64_t shortOutputTokens = 64;
    /// Shares of the server's memory that new short and long generations may fill. The rest is
    /// reserved for runs that are moved here.
    double shortMemoryShare = 1.0;
    double longMemoryShare = 0.82;
    /// Memory by which each run is expected to grow before others finish, in tokens.
    std::uint64_t growthPerRunTokens = 300;
    evacuation_options evacuation;
    pace_estimator_options pace;
    /// Longest time that one run being moved here blocks the link for other moves.
    std::int64_t incomingMoveTimeoutUs = 800 * US_PER_MS;
    room_queue_options queue;
    room_forecast_options forecast;
    /// Shortest interval between notes on the queue.
    std::int64_t queueNoteIntervalUs = 1 * US_PER_SECOND;
};

/// State of the requests that wait for room, for operators.
struct queue_note
{
    std::size_t waiting = 0;
    /// Time that the oldest has waited.
    std::int64_t oldestMs = 0;
    /// Expected wait of the first in order; -1 if unknown.
    std::int64_t expectedWaitMs = -1;
};

/// Sends the frames of a report_core.
template <typename S>
concept report_sink = requires(S &sink, const endpoint &listener, const frame &message)
{
    sink.send(listener, message);
};

/// Decides when entries get a report on a backend server: at once when it leaves, stops answering
/// or restarts, or when its queue of unread prompts changes; otherwise at a fixed interval. While a
/// server is leaving or not answering, every poll is reported, since datagrams get lost. A started
/// server is announced to its listeners, who know the process that was at its address before, and
/// to other entries: the published list shows it late, or never while the service that publishes it
/// is down. Not thread safe: belongs to one duty.
template <clock_source Clock, typename Sink>
class report_core
{
public:
    /// Precondition: the sink outlives the core.
    report_core(report_options options, Clock clock, std::string server, Sink &sink)
        : m_options(options)
        , m_clock(clock)
        , m_sink(sink)
        , m_observations(m_options.observations)
        , m_origins(m_options.origins)
        , m_rateLimiter(m_options.rateLimit)
        , m_warmUp(m_options.warmUp)
        , m_evacuation(m_options.evacuation)
        , m_pace(m_options.pace)
        , m_memoryRule{.shortOutputTokens = m_options.shortOutputTokens,
                       .shortShare = m_options.shortMemoryShare,
                       .longShare = m_options.longMemoryShare,
                       .growthPerRunTokens = m_options.growthPerRunTokens}
        , m_queue(m_options.queue)
        , m_forecast(m_options.forecast, m_memoryRule)
    {
        static_assert(report_sink<Sink>);
        m_report.server = std::move(server);
    }

    /// Registers an entry for reports; a new one gets the latest report at once. Its reports state
    /// `sentAtUs`, see server_report_frame.
    auto onReportRequest(const endpoint &listener, std::int64_t sentAtUs = 0) -> void
    {
        const auto now = m_clock.now();
        expireListeners(now);
        const auto key = toText(listener);
        const auto found = m_listeners.find(key);
        const auto known = found != m_listeners.end();
        if (!known && m_listeners.size() >= m_options.listenerLimit) {
            return;
        }
        const auto missedNone = known && now - found->second.askedAt < m_options.listenerGapUs;
        m_listeners.insert_or_assign(key, listener_state{listener, now, sentAtUs});
        if (!known && m_polled) {
            m_sink.send(listener, addressed(nextReport(), listener));
            announceTo(listener);
        }
        const auto repeatSince = now + -m_options.observationRepeatUs;
        sendObservations(listener, missedNone ? m_observations.collect(repeatSince, now)
                                              : m_observations.collectAll(now));
    }
    /// Takes the software of the server's process as an entry reads it in the published list.
    auto onServerSoftware(std::int64_t bornUnixMs, const server_software &software) -> void
    {
        m_origins.onServerSoftware(bornUnixMs, software, m_clock.now());
    }
    auto onStreamOrigin(const stream_origin_frame &told) -> void
    {
        m_origins.onDelivered(told.requestId, told.software, m_clock.now());
    }
    auto onOriginRequest(const endpoint &from, const origin_request_frame &asked) -> void
    {
        const auto origin = m_origins.find(asked.requestId);
        m_sink.send(from, origin_reply_frame{.lookupId = asked.lookupId,
                                             .evidence = origin.evidence,
                                             .software = origin.software});
    }
    /// Sends all observations to an entry that has just started or has just learnt of this server.
    auto onObservationsRequest(const endpoint &from) -> void
    {
        sendObservations(from, m_observations.collectAll(m_clock.now()));
    }
    /// Keeps the observations of an entry and passes those that are new on to all entries.
    auto onObservations(const run_observations_frame &received) -> void
    {
        std::vector<run_observation> added;
        for (const auto &seen : received.observations) {
            if (m_observations.add(seen, m_clock.now())) {
                added.push_back(seen);
            }
        }
        for (const auto &[key, listener] : m_listeners) {
            sendObservations(listener.where, added);
        }
    }
    /// Decides whether a request may be sent to the server. All entries ask here, so that the same
    /// memory is not granted twice. A request that may wait is queued while there is no room; its
    /// verdict is sent later.
    auto onRoomRequest(const endpoint &from, const room_request_frame &asked) -> void
    {
        const auto now = m_clock.now();
        expireGrants(now);
        const auto request = m_queue.candidate(from, asked, now);
        if (asked.waitMs > 0 && !asked.landing) {
            onQueueableRequest(request, now);
            return;
        }
        // The entry no longer wants to wait.
        m_queue.remove(asked.requestId);
        const auto verdict = withinRateLimit(asked, roomVerdict(asked));
        if (verdict == room_verdict::granted) {
            addGrant(asked, now);
        }
        reply(request, verdict, now);
    }
    /// Removes a request that waits, or releases the memory granted to it if the server doesn't
    /// list it yet.
    auto onRoomWithdrawal(const room_withdrawal_frame &withdrawn) -> void
    {
        const auto now = m_clock.now();
        auto *waiting = m_queue.find(withdrawn.requestId);
        const auto grant = m_grants.find(withdrawn.requestId);
        if (waiting && waiting->asked.askId == withdrawn.askId) {
            m_queue.take(*waiting);
        } else if (grant != m_grants.end() && grant->second.askId == withdrawn.askId) {
            m_grants.erase(grant);
            m_forecast.onReleased(withdrawn.requestId);
            if (m_incomingMove && m_incomingMove->requestId == withdrawn.requestId) {
                m_incomingMove.reset();
            }
        }
        serveQueue(now);
    }
    /// State of the queue if requests wait; at most once per interval.
    auto takeQueueNote() -> std::optional<queue_note>
    {
        const auto now = m_clock.now();
        if (m_queue.empty() || now - m_queueNotedAt < m_options.queueNoteIntervalUs) {
            return std::nullopt;
        }
        m_queueNotedAt = now;
        return queue_note{.waiting = m_queue.size(),
                          .oldestMs = (now - m_queue.oldest()->queuedAt) / US_PER_MS,
                          .expectedWaitMs = expectedWaitMs(*m_queue.head(now), now)};
    }
    /// Takes the rate limit that an entry has seen, and passes a change on to all entries.
    auto onRateLimit(const server_rate_limit &seen) -> void
    {
        const auto now = m_clock.now();
        const auto seenAt = now + -toUs(seen.ageMs);
        if (m_report.rateLimitKnown && seenAt <= m_rateLimitSeenAt) {
            return;
        }
        const auto before = m_report.rateLimit.milliPerSecond;
        m_report.rateLimitKnown = true;
        m_report.rateLimit = seen;
        m_rateLimitSeenAt = seenAt;
        if (before == seen.milliPerSecond) {
            return;
        }
        if (isRateLimited() && before > 0) {
            m_rateLimiter.setRate(seen.perSecond(), now);
        } else if (isRateLimited()) {
            m_rateLimiter.restart(seen.perSecond(), 0.0, now);
        }
        publish(true);
    }
    /// Handles the progress that an entry reports for moving a run from or to the server.
    auto onMove(const move_note_frame &told) -> void
    {
        if (m_incomingMove && m_incomingMove->requestId == told.requestId
            && told.note != move_note::begun) {
            // From now on the server reports the memory of the copy itself.
            m_incomingMove.reset();
            m_grants.erase(told.requestId);
        }
        m_evacuation.onMove(told.requestId, told.note, m_clock.now());
        if (std::exchange(m_report.turn, m_evacuation.current()) != m_evacuation.current()) {
            publish(true);
        }
    }
    /// Forwards the announcement of another server to all listeners.
    auto onAnnouncement(server_news_frame announcement) -> void
    {
        ++announcement.relays;
        for (const auto &[key, listener] : m_listeners) {
            m_sink.send(listener.where, announcement);
        }
    }
    /// Whether the server's identity is needed to announce it.
    auto awaitsIdentity() const -> bool
    {
        return m_announceUntil && !m_identity && m_clock.now() >= m_identityAt;
    }
    /// Whether the server should be asked for its identity, which also states whether it is cold.
    auto wantsIdentity() const -> bool
    {
        return awaitsIdentity() || m_warmUp.wantsAnswer(m_clock.now());
    }
    /// Takes the server's identity; nullopt if the request failed. A server that was too busy to
    /// return it may ask for a longer pause before the next request.
    auto onIdentity(std::optional<server_identity> identity, std::int64_t retryAfterMs = 0) -> void
    {
        const auto pauseUs = std::min(toUs(retryAfterMs), m_options.maxIdentityPauseUs);
        m_warmUp.onAnswer(identity ? identity->coldLeftMs : std::nullopt, pauseUs, m_clock.now());
        if (!awaitsIdentity()) {
            return;
        }
        m_identity = std::move(identity);
        m_identityAt = m_clock.now() + std::max(m_options.identityRetryUs, pauseUs);
        for (const auto &[key, listener] : m_listeners) {
            announceTo(listener.where);
        }
        announce();
    }
    /// Whether the server is to be asked how slow its host is. One that has not stated it once is
    /// not asked again.
    auto wantsLoad() const -> bool { return m_statesSlowness && m_clock.now() >= m_loadAt; }
    /// Takes the load that the server states with its health; nullopt if the request failed.
    auto onLoad(const std::optional<load_sample> &load) -> void
    {
        m_loadAt = m_clock.now() + m_options.loadIntervalUs;
        if (!load) {
            return;
        }
        m_statesSlowness = load->slowdownPercent.has_value();
        const auto before
            = std::exchange(m_report.slowdownPercent, load->slowdownPercent.value_or(0));
        const auto differs = before * 2 > m_report.slowdownPercent * 3
                             || before * 3 < m_report.slowdownPercent * 2;
        if (m_statesSlowness && differs) {
            publish(true);
        }
    }
    /// The server is asked for a report.
    auto onPoll() -> void { m_askedAt = m_clock.now(); }
    auto onReport(const server_report &seen) -> void
    {
        const auto changed = !m_report.answering || m_report.bornUnixMs != seen.bornUnixMs;
        detectStart(seen);
        m_report.answering = true;
        // The answer may have waited while the reporter stood still.
        m_answeredAt = m_askedAt.value_or(m_clock.now());
        m_report.leaving = seen.state == server_state::leaving;
        m_report.leavesKnown = seen.leavesMs.has_value();
        m_report.leavesMs = seen.leavesMs.value_or(0);
        m_report.bornUnixMs = seen.bornUnixMs;
        m_report.running = seen.running;
        m_report.waiting = seen.waiting;
        m_report.starting = seen.starting;
        m_report.usedTokens = seen.usedTokens;
        m_report.capacityTokens = seen.capacityTokens;
        m_report.nextTokens = seen.nextTokens;
        m_models = seen.models;
        m_forecast.onReport(seen, m_clock.now());
        m_pace.onRuns(seen.runs, m_clock.now());
        m_origins.onRuns(seen.bornUnixMs, seen.runs, m_clock.now());
        m_report.usPerEvent = m_pace.usPerEvent();
        for (const auto &run : seen.runs) {
            m_grants.erase(run.requestId);
        }
        updateLeaving(seen);
        m_unansweredPolls = 0;
        m_polled = true;
        publish(changed || m_report.leaving || m_report.leavesKnown || isPromptChangeDue());
        serveQueue(m_clock.now());
        announce();
    }
    auto nextPollDelayUs() const -> std::int64_t
    {
        const auto leaving = m_report.leaving || m_report.leavesKnown;
        const auto usual = leaving ? m_options.leavingPollIntervalUs : m_options.pollIntervalUs;
        return m_queue.empty() ? usual : std::min(usual, m_options.queuePollIntervalUs);
    }
    auto onPollFailed() -> void
    {
        m_polled = true;
        if (++m_unansweredPolls >= m_options.unansweredPollLimit) {
            m_report.answering = false;
            publish(true);
        }
        serveQueue(m_clock.now());
    }

private:
    struct listener_state
    {
        endpoint where;
        time_us askedAt;
        /// When it sent that request, by its own clock.
        std::int64_t sentAtUs = 0;
    };
    /// Memory granted to a request that the server doesn't list yet.
    struct grant_state
    {
        std::uint64_t askId = 0;
        std::uint64_t expectedTokens = 0;
        time_us at;
    };

    auto sendObservations(const endpoint &to, const std::vector<run_observation> &observations)
        -> void
    {
        for (const auto &part : framesOf(observations)) {
            m_sink.send(to, part);
        }
    }
    /// Starts announcing a server process that has just started.
    auto detectStart(const server_report &seen) -> void
    {
        const auto before = std::exchange(m_lastStartUnixMs, seen.bornUnixMs);
        if (before == seen.bornUnixMs) {
            return;
        }
        const auto unixMs = m_clock.unixMs();
        const auto justStarted = seen.bornUnixMs > unixMs - m_options.justStartedAgeMs
                                 && seen.bornUnixMs < unixMs + m_options.justStartedAgeMs;
        m_pace = pace_estimator(m_options.pace);
        m_identity.reset();
        m_announceUntil.reset();
        m_identityAt = {};
        m_models.clear();
        m_statesSlowness = true;
        m_loadAt = {};
        if (before) {
            forgetRateLimit();
            // The address may have been given to a server of another pool.
            m_forecast.clear();
            m_replacedAt = m_clock.now();
            refuseAll(room_verdict::not_answering);
            m_warmUp.onServerStarted(m_clock.now());
        }
        if (before || justStarted) {
            m_announceUntil = m_clock.now() + m_options.announceDurationUs;
        }
    }
    auto mayAnnounce() const -> bool
    {
        const auto leaving = m_report.leaving || m_report.leavesKnown;
        return m_identity && !leaving && m_report.answering;
    }
    /// Precondition: mayAnnounce().
    auto announcement() const -> server_news_frame
    {
        return {.id = m_identity->id,
                .server = m_report.server,
                .bornUnixMs = m_report.bornUnixMs,
                .models = m_models};
    }
    /// Listeners all get the announcement from here, so they need not relay it.
    auto announceTo(const endpoint &listener) -> void
    {
        if (mayAnnounce()) {
            auto message = announcement();
            message.relays = server_news_frame::MAX_RELAYS;
            m_sink.send(listener, message);
        }
    }
    /// Announces a started server to an entry that may not know this reporter.
    auto announce() -> void
    {
        const auto now = m_clock.now();
        const auto due = m_announceUntil && now < *m_announceUntil && now >= m_announceAt;
        if (!due || !mayAnnounce() || m_options.entries.empty()) {
            return;
        }
        m_announceAt = now + m_options.announceIntervalUs;
        const auto &to = m_options.entries[m_announcementsSent++ % m_options.entries.size()];
        m_sink.send(to, announcement());
    }
    /// Run that is being moved here. Only one at a time, since copies share the server's link.
    struct incoming_move
    {
        std::string requestId;
        time_us at;
    };

    auto updateLeaving(const server_report &seen) -> void
    {
        const auto now = m_clock.now();
        if (!m_report.leaving && !m_report.leavesKnown) {
            m_leavingSince = now;
            m_report.runs.clear();
            m_report.turn.clear();
            m_evacuation.clear();
            return;
        }
        m_report.leavingForMs = (now - m_leavingSince) / US_PER_MS;
        m_report.runs = seen.runs;
        m_evacuation.update(seen.runs, now);
        m_report.turn = m_evacuation.current();
    }
    auto roomVerdict(const room_request_frame &asked) const -> room_verdict
    {
        if (!m_report.answering || m_clock.now() - m_answeredAt > m_options.grantReportMaxAgeUs) {
            return room_verdict::not_answering;
        }
        if (m_report.leaving || m_report.leavesKnown) {
            return room_verdict::leaving;
        }
        if (asked.landing) {
            return incomingMoveVerdict(asked);
        }
        if (m_memoryRule.missingTokens(memoryLoad(), needOf(asked)) > 0.0) {
            return room_verdict::memory_taken;
        }
        return promptsAhead() > asked.promptsAhead ? room_verdict::prompts_ahead
                                                   : room_verdict::granted;
    }
    static auto needOf(const room_request_frame &asked) -> room_need
    {
        return {.expectedTokens = asked.expectedTokens,
                .outputTokens = asked.outputTokens,
                .promptsAhead = asked.promptsAhead};
    }
    auto memoryLoad() const -> memory_load
    {
        return {.usedTokens
                = static_cast<double>(m_report.usedTokens) + static_cast<double>(grantedTokens()),
                .running = static_cast<double>(m_report.running),
                .capacityTokens = static_cast<double>(m_report.capacityTokens)};
    }
    auto promptsAhead() const -> std::uint32_t
    {
        const auto prompts = static_cast<std::uint32_t>(m_grants.size());
        return m_report.starting + std::max(m_report.waiting, prompts);
    }
    /// Whether the number of unread prompts has changed and is to be reported at once. Polls that
    /// are more frequent while requests wait do not make reports more frequent.
    auto isPromptChangeDue() const -> bool
    {
        const auto due
            = m_queue.empty() || m_clock.now() - m_lastSentAt >= m_options.pollIntervalUs;
        return due && m_report.starting + m_report.waiting != m_reportedQueue;
    }
    auto addGrant(const room_request_frame &asked, time_us now) -> void
    {
        m_grants.insert_or_assign(asked.requestId,
                                  grant_state{asked.askId, asked.expectedTokens, now});
        m_forecast.onGranted(asked.requestId, needOf(asked), now);
        if (asked.landing) {
            m_incomingMove = incoming_move{asked.requestId, now};
        } else {
            m_queue.countGrant(asked.team, asked.expectedTokens, now);
        }
    }
    auto reply(const waiting_room_request &to, room_verdict verdict, time_us now) -> void
    {
        const auto waits
            = !to.asked.landing
              && (verdict == room_verdict::memory_taken || verdict == room_verdict::prompts_ahead
                  || verdict == room_verdict::rate_limited || verdict == room_verdict::queued);
        m_sink.send(to.from,
                    room_reply_frame{.askId = to.asked.askId,
                                     .verdict = verdict,
                                     .report = addressed(nextReport(), to.from),
                                     .expectedWaitMs = waits ? expectedWaitMs(to, now) : -1});
    }
    /// Grants or refuses a request that may wait, or queues it.
    auto onQueueableRequest(const waiting_room_request &request, time_us now) -> void
    {
        if (answerRepeated(request, now)) {
            return;
        }
        refuseExpired(now);
        const auto verdict = roomVerdict(request.asked);
        const auto waits = verdict == room_verdict::granted || verdict == room_verdict::memory_taken
                           || verdict == room_verdict::prompts_ahead;
        const auto capacity = static_cast<double>(m_report.capacityTokens);
        if (!waits || m_memoryRule.neverFits(capacity, request.need())) {
            reply(request, verdict, now);
            return;
        }
        if (m_queue.isFull()) {
            const auto displaced = m_queue.removeLastBehind(request.asked.urgency, now);
            if (!displaced) {
                refuse(request, now);
                return;
            }
            refuse(*displaced, now);
        }
        const auto sequence = m_queue.add(request).sequence;
        serveQueue(now);
        const auto *waiting = m_queue.find(request.asked.requestId);
        if (waiting && waiting->sequence == sequence) {
            reply(*waiting, room_verdict::queued, now);
        }
    }
    /// Answers a request that waits or has been granted room already; false if it is new.
    auto answerRepeated(const waiting_room_request &request, time_us now) -> bool
    {
        const auto grant = m_grants.find(request.asked.requestId);
        if (grant != m_grants.end() && isGrantValid(grant->second)) {
            const auto askId = std::exchange(grant->second.askId, request.asked.askId);
            grant->second.at = askId == request.asked.askId ? grant->second.at : now;
            reply(request, room_verdict::granted, now);
            return true;
        }
        auto *waiting = m_queue.find(request.asked.requestId);
        if (!waiting) {
            return false;
        }
        if (waiting->asked.askId != request.asked.askId) {
            room_queue::renew(*waiting, request);
        }
        reply(*waiting, room_verdict::queued, now);
        return true;
    }
    /// Whether the server to which a grant applies still takes new work.
    auto isGrantValid(const grant_state &grant) const -> bool
    {
        const auto leaving = m_report.leaving || m_report.leavesKnown;
        return m_report.answering && !leaving && grant.at >= m_replacedAt;
    }
    /// Grants room to the waiting requests whose turn it is, and refuses those that have waited as
    /// long as they may.
    auto serveQueue(time_us now) -> void
    {
        expireGrants(now);
        refuseExpired(now);
        if (!m_report.answering) {
            refuseAll(room_verdict::not_answering);
        } else if (m_report.leaving || m_report.leavesKnown) {
            refuseAll(room_verdict::leaving);
        }
        while (auto *next = nextToGrant(now)) {
            if (withinRateLimit(next->asked, room_verdict::granted) != room_verdict::granted) {
                return;
            }
            if (next == m_queue.head(now)) {
                m_queue.countTurn();
            }
            const auto granted = m_queue.take(*next);
            addGrant(granted.asked, now);
            reply(granted, room_verdict::granted, now);
        }
    }
    auto nextToGrant(time_us now) -> waiting_room_request *
    {
        std::optional<room_plan> plan;
        return m_queue.next(
            now, [this](const waiting_room_request &one) { return roomVerdict(one.asked); },
            [&](waiting_room_request &blocked, const waiting_room_request &other) {
                if (!plan) {
                    plan = planOf({{.need = blocked.need()}}, now);
                }
                return mayOvertake(blocked, other, *plan, now);
            });
    }
    /// Whether the other request leaves enough memory for the blocked one by the time at which that
    /// one is expected to get room. Once that time has passed, nothing overtakes it any more:
    /// otherwise errors of the forecast could add up.
    auto mayOvertake(waiting_room_request &blocked, const waiting_room_request &other,
                     const room_plan &plan, time_us now) const -> bool
    {
        if (!plan.waitUs) {
            return false;
        }
        const auto planned = now + *plan.waitUs;
        if (!blocked.expectedAt) {
            blocked.expectedAt = planned;
        }
        if (now >= *blocked.expectedAt) {
            return false;
        }
        auto load = plan.atStart;
        load.usedTokens += static_cast<double>(other.asked.expectedTokens);
        load.running += 1.0;
        if (m_memoryRule.missingTokens(load, blocked.need()) <= 0.0) {
            return true;
        }
        const auto durationUs = m_forecast.durationUs(other.asked.outputTokens);
        return durationUs && now + *durationUs <= std::min(planned, *blocked.expectedAt);
    }
    auto refuseExpired(time_us now) -> void
    {
        for (const auto &expired : m_queue.removeExpired(now)) {
            refuse(expired, now);
        }
    }
    auto refuseAll(room_verdict verdict) -> void
    {
        const auto now = m_clock.now();
        for (const auto &refused : m_queue.removeAll()) {
            reply(refused, verdict, now);
        }
    }
    /// Sends the verdict that holds now to a request that doesn't wait any more. Room that is kept
    /// for requests ahead of it counts as taken.
    auto refuse(const waiting_room_request &refused, time_us now) -> void
    {
        auto verdict = roomVerdict(refused.asked);
        if (verdict == room_verdict::granted) {
            const auto limited = isRateLimited() && m_rateLimiter.nextAt(now) > now;
            verdict = limited ? room_verdict::rate_limited : room_verdict::memory_taken;
        }
        reply(refused, verdict, now);
    }
    auto planOf(const std::vector<waiting_need> &waiting, time_us now) -> room_plan
    {
        const auto limited = isRateLimited();
        const auto perSecond = m_report.rateLimit.perSecond();
        const start_limits limits{
            .prompts = promptsAhead(),
            .limitedForUs = limited ? m_rateLimiter.nextAt(now) - now : 0,
            .usPerRequest = limited ? static_cast<std::int64_t>(US_PER_SECOND / perSecond) : 0};
        return m_forecast.plan(memoryLoad(), waiting, limits, now);
    }
    /// Expected wait of a request behind those that precede it; -1 if unknown.
    auto expectedWaitMs(const waiting_room_request &request, time_us now) -> std::int64_t
    {
        const auto plan = planOf(m_queue.needsUpTo(request, now), now);
        return plan.waitUs ? *plan.waitUs / US_PER_MS : -1;
    }
    auto isRateLimited() const -> bool { return m_report.rateLimit.milliPerSecond > 0; }
    /// Counts a granted request towards the server's limit, or refuses it if the limit is reached.
    auto withinRateLimit(const room_request_frame &asked, room_verdict verdict) -> room_verdict
    {
        const auto now = m_clock.now();
        m_warmUp.onStated(asked.coldMilliPerSecond, asked.coldForMs, now);
        if (verdict != room_verdict::granted) {
            return verdict;
        }
        if (!m_warmUp.allows(asked.landing, now)
            || (isRateLimited() && !m_rateLimiter.tryAcquire(now, asked.landing))) {
            return room_verdict::rate_limited;
        }
        m_warmUp.record(now);
        return verdict;
    }
    auto forgetRateLimit() -> void
    {
        m_report.rateLimitKnown = false;
        m_report.rateLimit = {};
    }
    auto updateRateLimit(time_us now) -> void
    {
        const auto ageUs = now - m_rateLimitSeenAt;
        if (isRateLimited() && ageUs > m_report.rateLimit.retentionUs()) {
            forgetRateLimit();
        }
        m_report.rateLimit.ageMs = m_report.rateLimitKnown ? ageUs / US_PER_MS : 0;
        m_report.limitedForMs = isRateLimited() ? (m_rateLimiter.nextAt(now) - now) / US_PER_MS : 0;
        m_report.limitedForMs = std::max(m_report.limitedForMs, m_warmUp.waitMs(now));
        m_report.coldMilliPerSecond = m_warmUp.milliPerSecond(now);
        m_report.coldForMs = m_warmUp.isCold(now) ? m_warmUp.coldLeftMs(now) : 0;
    }
    auto incomingMoveVerdict(const room_request_frame &asked) const -> room_verdict
    {
        const auto busy = m_incomingMove && m_incomingMove->requestId != asked.requestId
                          && m_clock.now() - m_incomingMove->at < m_options.incomingMoveTimeoutUs;
        if (busy) {
            return room_verdict::link_busy;
        }
        // A run that must move takes precedence over memory reserved for growth.
        const auto load = memoryLoad();
        const auto needed = load.usedTokens + static_cast<double>(asked.expectedTokens);
        return needed > load.capacityTokens ? room_verdict::memory_taken : room_verdict::granted;
    }
    auto grantedTokens() const -> std::uint64_t
    {
        std::uint64_t tokens = 0;
        for (const auto &[id, granted] : m_grants) {
            tokens += granted.expectedTokens;
        }
        return tokens;
    }
    auto expireGrants(time_us now) -> void
    {
        std::erase_if(m_grants, [&](const auto &named) {
            return now - named.second.at > m_options.grantTimeoutUs;
        });
    }
    auto publish(bool urgent) -> void
    {
        const auto now = m_clock.now();
        if (!urgent && now - m_lastSentAt < m_options.reportIntervalUs) {
            return;
        }
        m_lastSentAt = now;
        m_reportedQueue = m_report.starting + m_report.waiting;
        expireListeners(now);
        const auto report = nextReport();
        for (const auto &[key, listener] : m_listeners) {
            m_sink.send(listener.where, addressed(report, listener.where));
        }
    }
    /// Adds to a report what shows the entry that gets it when it was made.
    auto addressed(server_report_frame report, const endpoint &to) const -> server_report_frame
    {
        if (const auto found = m_listeners.find(toText(to)); found != m_listeners.end()) {
            report.requestSentAtUs = found->second.sentAtUs;
            report.requestAgoMs = (m_clock.now() - found->second.askedAt) / US_PER_MS;
        }
        return report;
    }
    auto nextReport() -> server_report_frame
    {
        ++m_report.sequence;
        updateRateLimit(m_clock.now());
        m_report.listeners = static_cast<std::uint32_t>(m_listeners.size());
        m_report.answeredAgoMs
            = std::min((m_clock.now() - m_answeredAt) / US_PER_MS, MAX_DURATION_MS);
        return m_report;
    }
    auto expireListeners(time_us now) -> void
    {
        std::erase_if(m_listeners, [&](const auto &named) {
            return now - named.second.askedAt > m_options.listenerTimeoutUs;
        });
    }

    report_options m_options;
    Clock m_clock;
    Sink &m_sink;
    server_report_frame m_report;
    std::map<std::string, listener_state> m_listeners;
    /// Memory granted and not yet used, by request id.
    std::map<std::string, grant_state> m_grants;
    observation_log m_observations;
    origin_keeper m_origins;
    rate_limiter m_rateLimiter;
    warm_up_limiter m_warmUp;
    time_us m_rateLimitSeenAt;
    evacuation_scheduler m_evacuation;
    pace_estimator m_pace;
    memory_rule m_memoryRule;
    room_queue m_queue;
    room_forecast m_forecast;
    time_us m_queueNotedAt{INT64_MIN / 2};
    /// When another server process was first seen.
    time_us m_replacedAt{INT64_MIN / 2};
    std::optional<incoming_move> m_incomingMove;
    std::uint32_t m_unansweredPolls = 0;
    bool m_polled = false;
    /// When the latest poll was sent, and the latest that the server has answered.
    std::optional<time_us> m_askedAt;
    time_us m_answeredAt{INT64_MIN / 2};
    time_us m_leavingSince;
    /// Unread prompts in the last report sent.
    std::uint32_t m_reportedQueue = 0;
    time_us m_lastSentAt{INT64_MIN / 2};
    /// Start time of the server process at the last poll.
    std::optional<std::int64_t> m_lastStartUnixMs;
    /// Whether the server process states how slow its host is, as far as is known, and when it is
    /// asked next.
    bool m_statesSlowness = true;
    time_us m_loadAt;
    /// Models that the server process named in its last report.
    std::vector<std::string> m_models;
    /// End of the announcements of a server that has just started.
    std::optional<time_us> m_announceUntil;
    time_us m_announceAt;
    std::uint64_t m_announcementsSent = 0;
    std::optional<server_identity> m_identity;
    time_us m_identityAt;
};

} // namespace marjoram
