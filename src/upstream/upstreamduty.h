#pragma once

#include "forwarding/forwardrings.h"
#include "framework/global/clock.h"
#include "framework/http/httpchannel.h"
#include "framework/metrics/metricset.h"
#include "framework/ring/duty.h"
#include "framework/ring/ringends.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>
#include <unordered_map>

namespace marjoram {

/// Whether an answer belongs to the request that was sent.
enum class answer_identity { expected, of_another_request, unnamed };
inline constexpr std::array answerIdentityNames{
    enum_name<answer_identity>{answer_identity::expected, "expected"},
    enum_name<answer_identity>{answer_identity::of_another_request, "of_another_request"},
    enum_name<answer_identity>{answer_identity::unnamed, "unnamed"},
};
constexpr auto namesOf(answer_identity) -> const auto &
{
    return answerIdentityNames;
}

/// Encodes requests for backend servers and decodes their answers.
template <typename C>
concept server_codec
    = requires(const send_request &send, const copy_run &copy, const release_kv_copy &released,
               const query_process &query, const channel_head &head, const std::string &requestId,
               std::string_view body)
{
    {
        C::encode(send)
        } -> std::same_as<http_request>;
    {
        C::encode(copy)
        } -> std::same_as<http_request>;
    {
        C::encode(released)
        } -> std::same_as<http_request>;
    {
        C::encode(query)
        } -> std::same_as<http_request>;
    {
        C::identify(head, requestId)
        } -> std::same_as<answer_identity>;
    {
        C::decode(head)
        } -> std::same_as<response_head>;
    {
        C::isEventStream(head)
        } -> std::same_as<bool>;
    {
        C::idleTimeoutMs(head)
        } -> std::same_as<std::optional<std::int64_t>>;
    {
        C::decodeCopied(std::uint64_t{}, 200, body)
        } -> std::same_as<run_copied>;
    {
        C::decodeQueried(std::uint64_t{}, 200, body)
        } -> std::same_as<process_queried>;
};

/// Why an exchange failed although its connection stayed open.
enum class upstream_error {
    answer_too_large = 1,
    unidentified_answer,
    event_too_large,
    timed_out,
    truncated_event,
    empty_stream
};
inline constexpr std::array upstreamErrorNames{
    enum_name<upstream_error>{upstream_error::answer_too_large, "answer too large"},
    enum_name<upstream_error>{upstream_error::unidentified_answer, "answer names no request"},
    enum_name<upstream_error>{upstream_error::event_too_large, "event too large"},
    enum_name<upstream_error>{upstream_error::timed_out, "no answer in time"},
    enum_name<upstream_error>{upstream_error::truncated_event, "stream ended within an event"},
    enum_name<upstream_error>{upstream_error::empty_stream, "stream ended before its first event"},
};
constexpr auto namesOf(upstream_error) -> const auto &
{
    return upstreamErrorNames;
}
constexpr auto categoryNameOf(upstream_error) -> const char *
{
    return "backend server";
}
inline auto make_error_code(upstream_error e) -> std::error_code
{
    return errorCode(e);
}

/// Metrics of the connections to backend servers.
enum class upstream_metric {
    connections_opened,
    connections_reused,
    answers_skipped,
    streams_paused
};
inline constexpr std::array upstreamMetricNames{
    enum_name<upstream_metric>{upstream_metric::connections_opened, "server_connections_opened"},
    enum_name<upstream_metric>{upstream_metric::connections_reused, "server_connections_reused"},
    enum_name<upstream_metric>{upstream_metric::answers_skipped, "server_answers_skipped"},
    enum_name<upstream_metric>{upstream_metric::streams_paused, "server_streams_paused"},
};
constexpr auto namesOf(upstream_metric) -> const auto &
{
    return upstreamMetricNames;
}

/// Options of upstream_duty.
struct upstream_options
{
    channel_options channels;
    /// Idle timeout of a connection for which the server states none.
    std::int64_t idleTimeoutMs = 3'000;
    /// A connection is closed this long before the server's own idle timeout.
    std::int64_t idleCloseMarginMs = 400;
    /// Idle time up to which a connection may carry a request that asks for a fresh one.
    std::int64_t freshIdleLimitMs = 500;
    /// Time for a server to carry out a request to copy a run, or to delete the copy.
    std::int64_t copyTimeoutMs = 2'500;
    /// Time for a server to state which process it runs.
    std::int64_t queryTimeoutMs = 1'000;
    /// Time after a request's deadline at which its exchange is cancelled.
    std::int64_t deadlineGraceMs = 1'000;
    /// Limits on one answer that is held until it is complete, and on all of them together with
    /// the events that have begun.
    std::size_t bodyLimitBytes = 8 * 1024 * 1024;
    std::size_t totalBodyLimitBytes = 32 * 1024 * 1024;
};

/// Duty that manages the connections to backend servers, sends requests over them and passes on
/// the answers, either complete or event by event. It makes no routing decisions.
template <server_codec Codec>
class upstream_duty
{
public:
    using channel = http_channel<upstream_duty>;

    /// Precondition: rings outlive the duty.
    upstream_duty(upstream_options options, forward_rings &rings)
        : m_options(options)
        , m_events(m_worker.context(), rings.fromServers, BACKLOG_LIMIT)
        , m_commands(m_worker.context(), rings.toServers, *this)
        , m_sweepTimer(m_worker.context())
        , m_streamBytes(rings.streamBytes)
        , m_streamSpace(m_worker.context(), rings.streamBytes.space().descriptor())
    { }
    ~upstream_duty()
    {
        stop();
        m_streamSpace.release();
    }

    auto start() -> void
    {
        m_commands.start();
        m_worker.start();
    }
    /// See duty::requestStop().
    auto requestStop() -> void { m_worker.requestStop(); }
    auto stop() -> void { m_worker.stop(); }
    /// Thread safe.
    auto metrics() const -> const metric_set<upstream_metric> & { return m_metrics; }

    // --- called by the ring reader on the duty's thread

    auto handle(server_command &&command) -> void
    {
        std::visit(
            [this](auto &&received) { this->on(std::forward<decltype(received)>(received)); },
            std::move(command));
    }

    // --- called by the channels on the duty's thread

    auto onHead(channel &from, const channel_head &head) -> head_verdict
    {
        auto &exchange = m_exchanges.at(from.id());
        const auto identity = identify(exchange, head);
        if (identity == answer_identity::of_another_request) {
            m_metrics.add(upstream_metric::answers_skipped);
            exchange.skipped = true;
            return head_verdict::skip;
        }
        if (identity == answer_identity::unnamed) {
            exchange.error = make_error_code(upstream_error::unidentified_answer);
            return head_verdict::refuse;
        }
        if (exchange.kind == exchange_kind::forward) {
            exchange.head = Codec::decode(head);
        }
        exchange.request = {};
        exchange.status = head.status;
        exchange.idleTimeoutMs = Codec::idleTimeoutMs(head);
        constexpr int OK = 200;
        exchange.streaming = exchange.kind == exchange_kind::forward && exchange.send.stream
                             && head.status == OK && Codec::isEventStream(head);
        if (exchange.streaming) {
            publish(stream_begun{.exchangeId = exchange.send.exchangeId, .head = exchange.head});
        }
        return head_verdict::take;
    }
    auto onBody(channel &from, std::string_view bytes) -> body_verdict
    {
        auto &exchange = m_exchanges.at(from.id());
        if (!exchange.streaming) {
            exchange.body.append(bytes);
            if (exchange.body.size() > m_options.bodyLimitBytes || exceedsShare(exchange)) {
                exchange.error = make_error_code(upstream_error::answer_too_large);
                return body_verdict::refuse;
            }
            return body_verdict::take;
        }
        std::vector<stream_event> events;
        if (!exchange.splitter.feed(bytes, events) || exceedsShare(exchange)) {
            exchange.error = make_error_code(upstream_error::event_too_large);
        }
        if (!events.empty()) {
            exchange.hasEvents = true;
            auto held = m_streamBytes.hold(memoryOf(events));
            publish(stream_advanced{.exchangeId = exchange.send.exchangeId,
                                    .events = std::move(events),
                                    .held = std::move(held)});
        }
        if (exchange.error) {
            return body_verdict::refuse;
        }
        if (m_streamBytes.exhausted()) {
            m_metrics.add(upstream_metric::streams_paused);
            from.pause();
            m_paused.push_back(from.id());
            awaitStreamSpace();
        }
        return body_verdict::take;
    }
    auto onDone(channel &from, const channel_outcome &outcome) -> void
    {
        const auto found = m_exchanges.find(from.id());
        auto exchange = std::move(found->second);
        m_exchanges.erase(found);
        m_channelByExchange.erase(exchange.send.exchangeId);
        if (exchange.reused && outcome.phase == fetch_phase::connecting) {
            // The peer had closed the idle connection before anything was sent: use a new one.
            m_channels.erase(from.id());
            startExchange(from.peer(), std::nullopt, std::move(exchange));
            return;
        }
        if (outcome.reusable && !exchange.error && mayBeKept(exchange)) {
            keepIdle(from, exchange);
        } else {
            from.close();
            m_channels.erase(from.id());
        }
        reportOutcome(std::move(exchange), outcome);
    }
    auto onIdleClosed(channel &from) -> void { removeIdle(from.id(), from.peer()); }

private:
    enum class exchange_kind { forward, copy, release, query };
    struct exchange_state
    {
        exchange_kind kind = exchange_kind::forward;
        send_request send;
        std::uint64_t copyId = 0;
        std::uint64_t queryId = 0;
        /// Request whose run is copied.
        std::string copiedRequestId;
        /// Kept until the answer begins, for a retry if the idle connection was already closed.
        http_request request;
        bool reused = false;
        /// A request was refused on this connection earlier.
        bool refusedBefore = false;
        /// An answer to another request came before that to this one.
        bool skipped = false;
        response_head head;

        auto isRefused() const -> bool { return head.notRun || head.wrongServer; }
        auto heldBytes() const -> std::size_t { return body.size() + splitter.heldBytes(); }
        int status = 0;
        std::optional<std::int64_t> idleTimeoutMs;
        bool streaming = false;
        bool hasEvents = false;
        event_splitter splitter;
        std::string body;
        std::error_code error;
        time_us timeoutAt;
    };
    struct idle_channel
    {
        std::uint64_t channelId = 0;
        time_us since;
        time_us until;
        /// A request was refused on this connection.
        bool refused = false;
    };
    /// What a request demands of a connection that is reused.
    struct idle_needs
    {
        bool recent = false;
        bool neverRefused = false;
    };
    using channel_ptr = std::shared_ptr<channel>;

    static constexpr std::size_t BACKLOG_LIMIT = 1 << 16;
    static constexpr std::chrono::milliseconds SWEEP_INTERVAL{500};

    auto on(send_request &&send) -> void
    {
        const auto server = send.server;
        auto idle = takeIdle(
            server, {.recent = send.freshConnection, .neverRefused = send.freshConnection});
        exchange_state exchange{.kind = exchange_kind::forward,
                                .request = Codec::encode(send),
                                .timeoutAt
                                = deadlineIn(send.deadlineMs + m_options.deadlineGraceMs)};
        exchange.send = std::move(send);
        startExchange(server, std::move(idle), std::move(exchange));
    }
    auto on(const cancel_exchange &cancelled) -> void
    {
        const auto found = m_channelByExchange.find(cancelled.exchangeId);
        if (found == m_channelByExchange.end()) {
            return;
        }
        closeChannel(found->second);
        m_channelByExchange.erase(found);
    }
    auto on(const copy_run &copy) -> void
    {
        startExchange(copy.source, takeIdle(copy.source, {.neverRefused = true}),
                      {.kind = exchange_kind::copy,
                       .copyId = copy.copyId,
                       .copiedRequestId = copy.requestId,
                       .request = Codec::encode(copy),
                       .timeoutAt = deadlineIn(m_options.copyTimeoutMs)});
    }
    auto on(const release_kv_copy &released) -> void
    {
        const auto &source = released.copy.source;
        startExchange(source, takeIdle(source, {.neverRefused = true}),
                      {.kind = exchange_kind::release,
                       .request = Codec::encode(released),
                       .timeoutAt = deadlineIn(m_options.copyTimeoutMs)});
    }
    /// Uses a new connection: only that shows whether anything listens there.
    auto on(const query_process &query) -> void
    {
        startExchange(query.server, std::nullopt,
                      {.kind = exchange_kind::query,
                       .queryId = query.queryId,
                       .request = Codec::encode(query),
                       .timeoutAt = deadlineIn(m_options.queryTimeoutMs)});
    }
    /// Lets the streams that wait go on once callers have taken enough of what was passed on.
    auto awaitStreamSpace() -> void
    {
        if (std::exchange(m_awaitsStreamSpace, true)) {
            return;
        }
        if (!m_streamBytes.awaitSpace()) {
            m_streamBytes.space().signal();
        }
        m_streamSpace.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                                 [this](boost::system::error_code error) {
                                     m_awaitsStreamSpace = false;
                                     if (!error) {
                                         m_streamBytes.space().clear();
                                         resumeStreams();
                                     }
                                 });
    }
    auto resumeStreams() -> void
    {
        for (const auto channelId : std::exchange(m_paused, {})) {
            if (const auto found = m_channels.find(channelId); found != m_channels.end()) {
                found->second->resume();
            }
        }
    }
    /// Whether the answers held together exceed their limit, and this one its even share of it.
    auto exceedsShare(const exchange_state &exchange) const -> bool
    {
        if (exchange.heldBytes() <= m_options.totalBodyLimitBytes / m_exchanges.size()) {
            return false;
        }
        std::size_t bytes = 0;
        for (const auto &[channelId, other] : m_exchanges) {
            bytes += other.heldBytes();
        }
        return bytes > m_options.totalBodyLimitBytes;
    }
    static auto identify(const exchange_state &exchange, const channel_head &head)
        -> answer_identity
    {
        switch (exchange.kind) {
        case exchange_kind::forward: {
            const auto identity = Codec::identify(head, exchange.send.request->requestId);
            const auto decoded = Codec::decode(head);
            // A server that repeats answers may repeat a refusal, which need not name its request.
            const auto doubtful = exchange.skipped && (decoded.notRun || decoded.wrongServer);
            return identity == answer_identity::expected && doubtful ? answer_identity::unnamed
                                                                     : identity;
        }
        case exchange_kind::copy: {
            const auto identity = Codec::identify(head, exchange.copiedRequestId);
            return identity == answer_identity::of_another_request ? identity
                                                                   : answer_identity::expected;
        }
        case exchange_kind::release:
        case exchange_kind::query:
            break;
        }
        return answer_identity::expected;
    }
    /// Whether the connection of a completed exchange may carry another one. Answers that name no
    /// request, such as those about copies, could be taken for a later one if they were repeated.
    /// After a refusal only requests that may run twice reuse the connection.
    static auto mayBeKept(const exchange_state &exchange) -> bool
    {
        const auto refused = exchange.isRefused() || exchange.refusedBefore;
        return exchange.kind == exchange_kind::forward
               && !(refused && exchange.send.freshConnection);
    }
    static auto memoryOf(const std::vector<stream_event> &events) -> std::size_t
    {
        std::size_t bytes = events.size() * sizeof(stream_event);
        for (const auto &event : events) {
            bytes += event.bytes.size();
        }
        return bytes;
    }
    auto deadlineIn(std::int64_t ms) const -> time_us { return m_clock.now() + toUs(ms); }
    /// Starts an exchange on an idle channel, or on a new one if there is none.
    auto startExchange(const endpoint &server, const std::optional<idle_channel> &idle,
                       exchange_state exchange) -> void
    {
        auto to = idle ? m_channels.at(idle->channelId) : nullptr;
        exchange.reused = idle.has_value();
        exchange.refusedBefore = idle && idle->refused;
        m_metrics.add(exchange.reused ? upstream_metric::connections_reused
                                      : upstream_metric::connections_opened);
        if (!to) {
            to = std::make_shared<channel>(m_worker.context(), *this, ++m_lastChannelId, server,
                                           m_options.channels);
            m_channels.emplace(to->id(), to);
        }
        if (exchange.kind == exchange_kind::forward) {
            m_channelByExchange.insert_or_assign(exchange.send.exchangeId, to->id());
        }
        const auto request = exchange.request;
        m_exchanges.insert_or_assign(to->id(), std::move(exchange));
        scheduleSweep();
        to->start(request);
    }
    auto closeChannel(std::uint64_t channelId) -> void
    {
        const auto found = m_channels.find(channelId);
        if (found != m_channels.end()) {
            found->second->close();
            m_channels.erase(found);
        }
        m_exchanges.erase(channelId);
    }

    // --- idle connections

    /// Takes the connection that was used last among those that meet the needs.
    auto takeIdle(const endpoint &server, idle_needs needs) -> std::optional<idle_channel>
    {
        const auto found = m_idle.find(toText(server));
        if (found == m_idle.end()) {
            return std::nullopt;
        }
        auto &channels = found->second;
        const auto now = m_clock.now();
        const auto newest
            = std::find_if(channels.rbegin(), channels.rend(), [needs](const idle_channel &idle) {
                  return !(needs.neverRefused && idle.refused);
              });
        if (newest == channels.rend()) {
            return std::nullopt;
        }
        const auto taken = *newest;
        const auto limit
            = needs.recent ? taken.since + m_options.freshIdleLimitMs * US_PER_MS : taken.until;
        if (now >= std::min(limit, taken.until)) {
            return std::nullopt;
        }
        channels.erase(std::next(newest).base());
        return taken;
    }
    auto keepIdle(channel &from, const exchange_state &exchange) -> void
    {
        const auto idleTimeoutMs = exchange.idleTimeoutMs
                                       ? *exchange.idleTimeoutMs - m_options.idleCloseMarginMs
                                       : m_options.idleTimeoutMs;
        if (idleTimeoutMs <= 0) {
            from.close();
            m_channels.erase(from.id());
            return;
        }
        const auto now = m_clock.now();
        m_idle[toText(from.peer())].push_back(
            {.channelId = from.id(),
             .since = now,
             .until = now + toUs(idleTimeoutMs),
             .refused = exchange.isRefused() || exchange.refusedBefore});
        from.idle();
        scheduleSweep();
    }
    auto removeIdle(std::uint64_t channelId, const endpoint &peer) -> void
    {
        const auto found = m_idle.find(toText(peer));
        if (found != m_idle.end()) {
            std::erase_if(found->second, [channelId](const idle_channel &idle) {
                return idle.channelId == channelId;
            });
        }
        m_channels.erase(channelId);
    }
    auto scheduleSweep() -> void
    {
        if (std::exchange(m_sweepScheduled, true)) {
            return;
        }
        m_sweepTimer.expires_after(SWEEP_INTERVAL);
        m_sweepTimer.async_wait([this](boost::system::error_code error) {
            if (!error) {
                m_sweepScheduled = false;
                sweep();
            }
        });
    }
    auto sweep() -> void
    {
        const auto now = m_clock.now();
        std::vector<std::uint64_t> expired;
        for (const auto &[channelId, exchange] : m_exchanges) {
            if (exchange.timeoutAt <= now) {
                expired.push_back(channelId);
            }
        }
        for (const auto channelId : expired) {
            timeOut(channelId);
        }
        for (auto &[peer, channels] : m_idle) {
            std::erase_if(channels, [&](const idle_channel &idle) {
                if (idle.until > now) {
                    return false;
                }
                closeChannel(idle.channelId);
                return true;
            });
        }
        std::erase_if(m_idle, [](const auto &named) { return named.second.empty(); });
        if (!m_exchanges.empty() || !m_idle.empty()) {
            scheduleSweep();
        }
    }
    auto timeOut(std::uint64_t channelId) -> void
    {
        auto exchange = std::move(m_exchanges.at(channelId));
        m_channelByExchange.erase(exchange.send.exchangeId);
        closeChannel(channelId);
        reportOutcome(std::move(exchange), {.error = make_error_code(upstream_error::timed_out),
                                            .phase = fetch_phase::reading});
    }

    // --- outcomes

    auto reportOutcome(exchange_state exchange, const channel_outcome &outcome) -> void
    {
        switch (exchange.kind) {
        case exchange_kind::forward:
            reportForward(std::move(exchange), outcome);
            break;
        case exchange_kind::copy:
            publish(outcome.error
                        ? run_copied{.copyId = exchange.copyId}
                        : Codec::decodeCopied(exchange.copyId, exchange.status, exchange.body));
            break;
        case exchange_kind::release:
            break;
        case exchange_kind::query:
            reportQueried(exchange, outcome);
            break;
        }
    }
    auto reportQueried(const exchange_state &exchange, const channel_outcome &outcome) -> void
    {
        if (!outcome.error && !exchange.error) {
            publish(Codec::decodeQueried(exchange.queryId, exchange.status, exchange.body));
            return;
        }
        const auto refused = outcome.error == std::errc::connection_refused;
        publish(
            process_queried{.queryId = exchange.queryId,
                            .outcome = refused ? query_outcome::refused : query_outcome::failed});
    }
    auto reportForward(exchange_state exchange, const channel_outcome &outcome) -> void
    {
        const auto id = exchange.send.exchangeId;
        if (!outcome.error && !exchange.error && exchange.splitter.midEvent()) {
            exchange.error = make_error_code(upstream_error::truncated_event);
        }
        // The server may have crashed: only the end of the connection marks the end of the stream.
        if (exchange.streaming && outcome.endedByClose && !exchange.hasEvents) {
            exchange.error = make_error_code(upstream_error::empty_stream);
        }
        const auto error = exchange.error ? exchange.error : outcome.error;
        const auto end
            = outcome.endedByClose ? response_end::connection_close : response_end::framing;
        if (error) {
            publish(exchange_failed{.exchangeId = id, .phase = outcome.phase, .error = error});
        } else if (exchange.streaming) {
            publish(stream_completed{.exchangeId = id, .end = end});
        } else {
            publish(response_received{.exchangeId = id,
                                      .head = std::move(exchange.head),
                                      .body = std::move(exchange.body),
                                      .end = end});
        }
    }
    auto publish(server_event event) -> void
    {
        if (m_events.push(std::move(event))) {
            LOG(ERROR) << "server event dropped: backlog limit of the forwarding duty exceeded";
        }
    }

    upstream_options m_options;
    system_clock_source m_clock;
    duty m_worker{"upstream"};
    ring_writer<server_event> m_events;
    ring_reader<server_command, upstream_duty> m_commands;
    boost::asio::steady_timer m_sweepTimer;
    bool m_sweepScheduled = false;
    metric_set<upstream_metric> m_metrics;
    std::unordered_map<std::uint64_t, channel_ptr> m_channels;
    std::unordered_map<std::uint64_t, exchange_state> m_exchanges;
    std::unordered_map<std::uint64_t, std::uint64_t> m_channelByExchange;
    std::unordered_map<std::string, std::vector<idle_channel>> m_idle;
    std::uint64_t m_lastChannelId = 0;
    byte_budget &m_streamBytes;
    boost::asio::posix::stream_descriptor m_streamSpace;
    bool m_awaitsStreamSpace = false;
    /// Channels whose streams wait until callers have taken more.
    std::vector<std::uint64_t> m_paused;
};

} // namespace marjoram

MARJORAM_ERROR_ENUM(marjoram::upstream_error)
