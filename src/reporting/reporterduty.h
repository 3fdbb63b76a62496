#pragma once

#include "framework/eventlog/eventlog.h"
#include "framework/global/result.h"
#include "framework/http/httpchannel.h"
#include "framework/ring/duty.h"
#include "reporting/datagramsocket.h"
#include "reporting/reportcore.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace marjoram {

/// Encodes and decodes the status and identity requests that backend servers understand.
template <typename C>
concept report_codec
    = requires(const endpoint &server, const channel_head &head, std::string_view body)
{
    {
        C::reportRequest(server)
        } -> std::same_as<http_request>;
    {
        C::decodeReport(body)
        } -> std::same_as<result<server_report>>;
    {
        C::decodeLoad(head)
        } -> std::same_as<std::optional<load_sample>>;
    {
        C::identityRequest(server)
        } -> std::same_as<http_request>;
    {
        C::decodeIdentity(head)
        } -> std::same_as<std::optional<server_identity>>;
    {
        C::retryAfterMs(head)
        } -> std::same_as<std::optional<std::int64_t>>;
};

/// Request that a reporter sends to its backend server.
enum class reporter_query { report, identity, load };
inline constexpr std::array reporterQueryNames{
    enum_name<reporter_query>{reporter_query::report, "report"},
    enum_name<reporter_query>{reporter_query::identity, "identity"},
    enum_name<reporter_query>{reporter_query::load, "load"},
};
constexpr auto namesOf(reporter_query) -> const auto &
{
    return reporterQueryNames;
}

/// Options of reporter_duty.
struct reporter_options
{
    endpoint server;
    endpoint listen;
    report_options reports;
    /// Time for the backend server to answer.
    std::int64_t answerTimeoutMs = 150;
};

/// Duty that polls the backend server on its host and sends reports to the entries that asked for
/// them. No request passes through it: if it fails, entries only lack its reports.
template <report_codec Codec>
class reporter_duty
{
public:
    using channel = http_channel<reporter_duty>;

    reporter_duty(reporter_options options, log_writer log)
        : m_options(std::move(options))
        , m_log(log)
        , m_socket(m_worker.context(), *this)
        , m_timer(m_worker.context())
        , m_core(m_options.reports, m_clock, toText(m_options.server), *this)
    { }
    ~reporter_duty() { stop(); }

    /// Opens the socket. Errors: those of the socket calls. Call before start().
    auto listen() -> std::error_code { return m_socket.open(m_options.listen); }
    auto start() -> void
    {
        m_socket.start();
        boost::asio::post(m_worker.context(), [this] { poll(); });
        m_worker.start();
    }
    auto stop() -> void { m_worker.stop(); }

    // --- called by the core, the socket and the channel on the duty's thread

    auto send(const endpoint &listener, const frame &message) -> void
    {
        m_socket.send(listener, message);
    }
    auto onDatagram(const endpoint &from, frame message) -> void
    {
        if (const auto *wanted = std::get_if<report_request_frame>(&message)) {
            m_core.onServerSoftware(wanted->bornUnixMs, wanted->software);
            m_core.onReportRequest(from, wanted->sentAtUs);
        } else if (const auto *asked = std::get_if<room_request_frame>(&message)) {
            m_core.onRoomRequest(from, *asked);
        } else if (const auto *withdrawn = std::get_if<room_withdrawal_frame>(&message)) {
            m_core.onRoomWithdrawal(*withdrawn);
        } else if (const auto *told = std::get_if<move_note_frame>(&message)) {
            m_core.onMove(*told);
        } else if (const auto *announcement = std::get_if<server_news_frame>(&message)) {
            m_core.onAnnouncement(*announcement);
        } else if (const auto *received = std::get_if<run_observations_frame>(&message)) {
            m_core.onObservations(*received);
        } else if (std::holds_alternative<observations_request_frame>(message)) {
            m_core.onObservationsRequest(from);
        } else if (const auto *seen = std::get_if<rate_limit_frame>(&message)) {
            m_core.onRateLimit(seen->rateLimit);
        } else if (const auto *delivered = std::get_if<stream_origin_frame>(&message)) {
            m_core.onStreamOrigin(*delivered);
        } else if (const auto *lookup = std::get_if<origin_request_frame>(&message)) {
            m_core.onOriginRequest(from, *lookup);
        }
    }
    auto onHead(channel &, const channel_head &head) -> head_verdict
    {
        if (m_query == reporter_query::identity) {
            m_identity = Codec::decodeIdentity(head);
            m_retryAfterMs = Codec::retryAfterMs(head);
        }
        m_load = Codec::decodeLoad(head);
        return head_verdict::take;
    }
    auto onBody(channel &, std::string_view bytes) -> body_verdict
    {
        if (m_body.size() + bytes.size() > BODY_LIMIT_BYTES) {
            return body_verdict::refuse;
        }
        m_body.append(bytes);
        return body_verdict::take;
    }
    auto onDone(channel &from, const channel_outcome &outcome) -> void
    {
        if (outcome.reusable) {
            from.idle();
        } else {
            m_channel.reset();
        }
        if (m_query == reporter_query::identity) {
            finishIdentity(outcome.error);
            return;
        }
        if (m_query == reporter_query::load) {
            finishLoad();
            return;
        }
        const auto report
            = outcome.error ? result<server_report>(outcome.error) : Codec::decodeReport(m_body);
        finishReport(report);
    }
    auto onIdleClosed(channel &) -> void { m_channel.reset(); }

private:
    static constexpr std::size_t BODY_LIMIT_BYTES = 256 * 1024;

    auto poll() -> void
    {
        m_body.clear();
        m_answered = false;
        m_query = nextQuery();
        m_identity.reset();
        m_retryAfterMs.reset();
        m_load.reset();
        if (m_query == reporter_query::report) {
            m_core.onPoll();
        }
        if (!m_channel) {
            const std::chrono::milliseconds limit(m_options.answerTimeoutMs);
            m_channel = std::make_shared<channel>(
                m_worker.context(), *this, 0, m_options.server,
                channel_options{.connectTimeout = limit, .peerTimeout = limit});
        }
        startTimer(m_options.answerTimeoutMs * US_PER_MS, [this] { onTimeout(); });
        const auto connection = m_channel;
        connection->start(m_query == reporter_query::report
                              ? Codec::reportRequest(m_options.server)
                              : Codec::identityRequest(m_options.server));
    }
    auto nextQuery() const -> reporter_query
    {
        if (m_core.wantsIdentity()) {
            return reporter_query::identity;
        }
        return m_core.wantsLoad() ? reporter_query::load : reporter_query::report;
    }
    auto onTimeout() -> void
    {
        if (m_channel) {
            m_channel->close();
            m_channel.reset();
        }
        const auto error = make_error_code(std::errc::timed_out);
        switch (m_query) {
        case reporter_query::identity:
            finishIdentity(error);
            break;
        case reporter_query::load:
            finishLoad();
            break;
        case reporter_query::report:
            finishReport(error);
            break;
        }
    }
    auto finishIdentity(std::error_code error) -> void
    {
        if (std::exchange(m_answered, true)) {
            return;
        }
        if (!m_identity && m_core.awaitsIdentity()) {
            m_log.write(log_event::server_unnamed,
                        {{"server", toText(m_options.server)}, {"error", error.message()}});
        }
        m_core.onIdentity(std::move(m_identity), m_retryAfterMs.value_or(0));
        startTimer(m_core.nextPollDelayUs(), [this] { poll(); });
    }
    /// The report is asked for right after it, so that its interval hardly grows.
    auto finishLoad() -> void
    {
        if (std::exchange(m_answered, true)) {
            return;
        }
        m_core.onLoad(m_load);
        startTimer(0, [this] { poll(); });
    }
    auto finishReport(const result<server_report> &report) -> void
    {
        if (std::exchange(m_answered, true)) {
            return;
        }
        const auto lost = !report;
        if (lost != m_lost) {
            m_lost = lost;
            m_log.write(lost ? log_event::dependency_lost : log_event::dependency_regained,
                        {{"dependency", toText(m_options.server)},
                         {"error", lost ? report.error().message() : std::string()}});
        }
        lost ? m_core.onPollFailed() : m_core.onReport(*report);
        writeQueueNote();
        startTimer(m_core.nextPollDelayUs(), [this] { poll(); });
    }
    auto writeQueueNote() -> void
    {
        if (const auto note = m_core.takeQueueNote()) {
            m_log.write(log_event::requests_queued,
                        {{"waiting", static_cast<std::int64_t>(note->waiting)},
                         {"oldest_ms", note->oldestMs},
                         {"expected_wait_ms", note->expectedWaitMs}});
        }
    }
    auto startTimer(std::int64_t us, auto &&then) -> void
    {
        m_timer.expires_after(std::chrono::microseconds(us));
        m_timer.async_wait([then](boost::system::error_code error) {
            if (!error) {
                then();
            }
        });
    }

    reporter_options m_options;
    system_clock_source m_clock;
    log_writer m_log;
    duty m_worker{"reporter"};
    datagram_socket<reporter_duty> m_socket;
    boost::asio::steady_timer m_timer;
    report_core<system_clock_source, reporter_duty> m_core;
    std::shared_ptr<channel> m_channel;
    std::string m_body;
    reporter_query m_query = reporter_query::report;
    std::optional<server_identity> m_identity;
    std::optional<std::int64_t> m_retryAfterMs;
    std::optional<load_sample> m_load;
    bool m_answered = false;
    bool m_lost = false;
};

} // namespace marjoram
