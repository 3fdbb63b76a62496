#pragma once

#include "framework/global/clock.h"
#include "framework/http/httptypes.h"
#include "innerprotocol/frames.h"
#include "reporting/evacuationscheduler.h"
#include "serverviews/serverentry.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marjoram {

/// Options of reporting on one backend server.
struct report_options
{
    /// Pool and data centre of the backend server.
    std::string pool;
    std::string dataCentre;
    /// Some entries, which may be gone; they hear of a server that has started.
    std::vector<endpoint> entries;
    /// Time between two announcements of a server, and for which it is announced: each entry
    /// passes the first one on, the others are for those that were lost.
    std::int64_t announceIntervalUs = 300 * US_PER_MS;
    std::int64_t announceDurationUs = 4 * US_PER_SECOND;
    /// Age up to which the first server seen counts as just started: a reporter that is started
    /// again must not announce a server that may be about to go.
    std::int64_t justStartedAgeMs = 3'000;
    /// Pause before a server is asked again who it is.
    std::int64_t identityRetryUs = 1 * US_PER_SECOND;
    /// Time between two looks at the backend server; each is free from its own host.
    std::int64_t pollIntervalUs = 80 * US_PER_MS;
    /// The same while the backend server leaves, when entries act on every change.
    std::int64_t leavingPollIntervalUs = 30 * US_PER_MS;
    /// Time between two reports of which nothing is urgent.
    std::int64_t reportIntervalUs = 240 * US_PER_MS;
    /// Time after which an entry that has not asked again gets no more reports.
    std::int64_t listenerTimeoutUs = 3'500 * US_PER_MS;
    /// Looks without an answer after which the server counts as not answering.
    std::uint32_t unansweredPollLimit = 2;
    std::size_t listenerLimit = 1'024;
    /// Time for which room is kept for a request that does not show up at the server.
    std::int64_t grantTimeoutUs = 1 * US_PER_SECOND;
    /// Output up to which a generation counts as shortOutput, in tokens.
    std::uint64_t shortOutputTokens = 64;
    /// Share of the server's memory that shortOutput and long new work may fill; the rest is for
    /// what moves here.
    double shortMemoryShare = 1.0;
    double longMemoryShare = 0.82;
    /// Memory by which each run is expected to grow while others end, in tokens.
    std::uint64_t growthPerRunTokens = 300;
    evacuation_options evacuation;
    /// Longest time for which one run that is moved here keeps the link from others.
    std::int64_t incomingMoveTimeoutUs = 800 * US_PER_MS;
};

/// Takes the actions of a report_core.
template <typename S>
concept report_sink = requires(S &sink, const endpoint &listener, const frame &message)
{
    sink.send(listener, message);
};

/// Decides when entries hear of a backend server: at once when it leaves, is lost or is started
/// anew, or when the prompts change that it has to read, otherwise from time to time. A leaving or
/// lost server is told with each look, since datagrams get lost. A server that has started is
/// announced, since the published list shows it late, and not at all while the service that
/// publishes it is away. Not thread safe: belongs to one duty.
template <clock_source Clock, typename Sink>
class report_core
{
public:
    /// Precondition: the sink outlives the core.
    report_core(report_options options, Clock clock, std::string server, Sink &sink)
        : m_options(options)
        , m_clock(clock)
        , m_sink(sink)
        , m_evacuation(m_options.evacuation)
    {
        static_assert(report_sink<Sink>);
        m_report.server = std::move(server);
    }

    /// An entry wants reports; a new one gets the newest at once.
    auto onReportRequest(const endpoint &listener) -> void
    {
        const auto now = m_clock.now();
        expireListeners(now);
        const auto key = toText(listener);
        const auto known = m_listeners.contains(key);
        if (!known && m_listeners.size() >= m_options.listenerLimit) {
            return;
        }
        m_listeners.insert_or_assign(key, listener_state{listener, now});
        if (!known && m_polled) {
            m_sink.send(listener, nextReport());
        }
    }
    /// An entry asks for room. Since all ask here, no two are given the same room.
    auto onRoomRequest(const endpoint &from, const room_request_frame &asked) -> void
    {
        const auto now = m_clock.now();
        expireGrants(now);
        const auto verdict = roomVerdict(asked);
        if (verdict == room_verdict::granted) {
            m_grants.insert_or_assign(asked.requestId, grant_state{asked.expectedTokens, now});
            if (asked.landing) {
                m_incomingMove = incoming_move{asked.requestId, now};
            }
        }
        m_sink.send(from, room_reply_frame{
                              .askId = asked.askId, .verdict = verdict, .report = nextReport()});
    }
    /// An entry tells how far the move of a run from or to the server has got.
    auto onMove(const move_note_frame &told) -> void
    {
        if (m_incomingMove && m_incomingMove->requestId == told.requestId
            && told.note != move_note::begun) {
            // From now on the server counts the memory of the copy itself.
            m_incomingMove.reset();
            m_grants.erase(told.requestId);
        }
        m_evacuation.onMove(told.requestId, told.note, m_clock.now());
        if (std::exchange(m_report.turn, m_evacuation.current()) != m_evacuation.current()) {
            publish(true);
        }
    }
    /// An entry passes on that some other server has started.
    auto onAnnouncement(server_news_frame announcement) -> void
    {
        ++announcement.relays;
        for (const auto &[key, listener] : m_listeners) {
            m_sink.send(listener.where, announcement);
        }
    }
    /// Whether the server has to be asked who it is, for it to be announced.
    auto wantsIdentity() const -> bool
    {
        return m_announceUntil && !m_identity && !m_options.entries.empty()
               && m_clock.now() >= m_identityAt;
    }
    /// The server has said who it is, or nothing of use.
    auto onIdentity(std::optional<server_identity> identity) -> void
    {
        m_identity = std::move(identity);
        m_identityAt = m_clock.now() + m_options.identityRetryUs;
        announce();
    }
    auto onReport(const server_report &seen) -> void
    {
        const auto changed = !m_report.answering || m_report.bornUnixMs != seen.bornUnixMs;
        detectStart(seen);
        m_report.answering = true;
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
        for (const auto &run : seen.runs) {
            m_grants.erase(run.requestId);
        }
        updateLeaving(seen);
        m_unansweredPolls = 0;
        m_polled = true;
        const auto queue = m_report.starting + m_report.waiting;
        publish(changed || m_report.leaving || m_report.leavesKnown || queue != m_reportedQueue);
        announce();
    }
    /// Time until the next look.
    auto nextPollDelayUs() const -> std::int64_t
    {
        return m_report.leaving || m_report.leavesKnown ? m_options.leavingPollIntervalUs
                                                        : m_options.pollIntervalUs;
    }
    auto onPollFailed() -> void
    {
        m_polled = true;
        if (++m_unansweredPolls >= m_options.unansweredPollLimit) {
            m_report.answering = false;
            publish(true);
        }
    }

private:
    struct listener_state
    {
        endpoint where;
        time_us askedAt;
    };
    /// Room kept for a request that is on its way or waits at the server.
    struct grant_state
    {
        std::uint64_t expectedTokens = 0;
        time_us at;
    };

    /// Takes note of a server that has just started, of which entries may not know.
    auto detectStart(const server_report &seen) -> void
    {
        const auto before = std::exchange(m_lastStartUnixMs, seen.bornUnixMs);
        if (before == seen.bornUnixMs) {
            return;
        }
        const auto ageMs = std::abs(m_clock.unixMs() - seen.bornUnixMs);
        m_identity.reset();
        m_announceUntil.reset();
        if (before || ageMs < m_options.justStartedAgeMs) {
            m_announceUntil = m_clock.now() + m_options.announceDurationUs;
        }
    }
    auto announce() -> void
    {
        const auto now = m_clock.now();
        const auto leaving = m_report.leaving || m_report.leavesKnown;
        const auto due = m_announceUntil && now < *m_announceUntil && now >= m_announceAt;
        if (!due || !m_identity || leaving || !m_report.answering) {
            return;
        }
        m_announceAt = now + m_options.announceIntervalUs;
        const auto &to = m_options.entries[m_announcementsSent++ % m_options.entries.size()];
        m_sink.send(to, server_news_frame{.id = m_identity->id,
                                          .pool = m_options.pool,
                                          .dataCentre = m_options.dataCentre,
                                          .server = m_report.server,
                                          .slots = m_identity->slots,
                                          .bornUnixMs = m_report.bornUnixMs});
    }
    /// Run that is being moved here; copies wait for each other on the server's link.
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
        if (!m_report.answering) {
            return room_verdict::not_answering;
        }
        if (m_report.leaving || m_report.leavesKnown) {
            return room_verdict::leaving;
        }
        if (asked.landing) {
            return incomingMoveVerdict(asked);
        }
        const auto tokens = grantedTokens();
        // Whatever is short is gone before others have grown much.
        const auto shortOutput = asked.outputTokens <= m_options.shortOutputTokens;
        const auto share = shortOutput ? m_options.shortMemoryShare : m_options.longMemoryShare;
        const auto growth
            = m_report.running * std::min(m_options.growthPerRunTokens, asked.outputTokens);
        const auto needed = m_report.usedTokens + growth + tokens + asked.expectedTokens;
        if (static_cast<double>(needed) > share * static_cast<double>(m_report.capacityTokens)) {
            return room_verdict::memory_taken;
        }
        const auto prompts = static_cast<std::uint32_t>(m_grants.size());
        const auto ahead = m_report.starting + std::max(m_report.waiting, prompts);
        return ahead > asked.promptsAhead ? room_verdict::prompts_ahead : room_verdict::granted;
    }
    auto incomingMoveVerdict(const room_request_frame &asked) const -> room_verdict
    {
        const auto busy = m_incomingMove && m_incomingMove->requestId != asked.requestId
                          && m_clock.now() - m_incomingMove->at < m_options.incomingMoveTimeoutUs;
        if (busy) {
            return room_verdict::link_busy;
        }
        // A run that must move is worth more than room for growth.
        const auto needed = m_report.usedTokens + grantedTokens() + asked.expectedTokens;
        return needed > m_report.capacityTokens ? room_verdict::memory_taken
                                                : room_verdict::granted;
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
            m_sink.send(listener.where, report);
        }
    }
    auto nextReport() -> server_report_frame
    {
        ++m_report.sequence;
        m_report.listeners = static_cast<std::uint32_t>(m_listeners.size());
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
    /// By request id.
    std::map<std::string, grant_state> m_grants;
    evacuation_scheduler m_evacuation;
    std::optional<incoming_move> m_incomingMove;
    std::uint32_t m_unansweredPolls = 0;
    bool m_polled = false;
    time_us m_leavingSince;
    /// Prompts to be read at the last report.
    std::uint32_t m_reportedQueue = 0;
    time_us m_lastSentAt{INT64_MIN / 2};
    /// Start of the newest process seen.
    std::optional<std::int64_t> m_lastStartUnixMs;
    /// Set while the server counts as just started.
    std::optional<time_us> m_announceUntil;
    time_us m_announceAt;
    std::uint64_t m_announcementsSent = 0;
    std::optional<server_identity> m_identity;
    time_us m_identityAt;
};

} // namespace marjoram
