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

/// Translates a backend server's account of itself.
template <typename C>
concept report_codec = requires(const endpoint &server, std::string_view body)
{
    {
        C::reportRequest(server)
        } -> std::same_as<http_request>;
    {
        C::decodeReport(body)
        } -> std::same_as<result<server_report>>;
};

/// Options of a reporter.
struct reporter_options
{
    endpoint server;
    endpoint listen;
    report_options reports;
    /// Time for the server beside it to answer.
    std::int64_t answerTimeoutMs = 150;
};

/// Duty that looks at the backend server beside it and tells entries that ask. It stands in no
/// request's way: when it ends, entries only know less.
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
        boost::asio::post(m_worker.context(), [this] { look(); });
        m_worker.start();
    }
    auto stop() -> void { m_worker.stop(); }

    // --- actions of the core and events, on the duty's thread

    auto send(const endpoint &listener, const frame &message) -> void
    {
        m_socket.send(listener, message);
    }
    auto onDatagram(const endpoint &from, frame message) -> void
    {
        if (std::holds_alternative<report_request_frame>(message)) {
            m_core.onRequest(from);
        } else if (const auto *asked = std::get_if<room_request_frame>(&message)) {
            m_core.onRoomRequest(from, *asked);
        }
    }
    auto onHead(channel &, const channel_head &) -> head_verdict { return head_verdict::take; }
    auto onBody(channel &, std::string_view bytes) -> void
    {
        if (m_body.size() < BODY_LIMIT_BYTES) {
            m_body.append(bytes);
        }
    }
    auto onDone(channel &from, const channel_outcome &outcome) -> void
    {
        if (outcome.reusable) {
            from.idle();
        } else {
            m_channel.reset();
        }
        const auto report
            = outcome.error ? result<server_report>(outcome.error) : Codec::decodeReport(m_body);
        tell(report);
    }
    auto onIdleClosed(channel &) -> void { m_channel.reset(); }

private:
    static constexpr std::size_t BODY_LIMIT_BYTES = 256 * 1024;

    auto look() -> void
    {
        m_body.clear();
        m_answered = false;
        if (!m_channel) {
            const std::chrono::milliseconds limit(m_options.answerTimeoutMs);
            m_channel = std::make_shared<channel>(
                m_worker.context(), *this, 0, m_options.server,
                channel_options{.connectTimeout = limit, .peerTimeout = limit});
        }
        after(m_options.answerTimeoutMs * US_PER_MS, [this] { onOverdue(); });
        const auto connection = m_channel;
        connection->start(Codec::reportRequest(m_options.server));
    }
    auto onOverdue() -> void
    {
        if (m_channel) {
            m_channel->close();
            m_channel.reset();
        }
        tell(make_error_code(std::errc::timed_out));
    }
    auto tell(const result<server_report> &report) -> void
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
        lost ? m_core.onFailed() : m_core.onReport(*report);
        after(m_core.nextLookUs(), [this] { look(); });
    }
    auto after(std::int64_t us, auto &&then) -> void
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
    bool m_answered = false;
    bool m_lost = false;
};

} // namespace marjoram
