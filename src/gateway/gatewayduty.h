#pragma once

#include "forwarding/forwardrings.h"
#include "framework/eventlog/eventlog.h"
#include "framework/http/httpserver.h"
#include "framework/ring/duty.h"
#include "framework/ring/ringends.h"

#include <glog/logging.h>
#include <memory>

namespace marjoram {

/// Decodes callers' HTTP requests, which it gets without their bodies, and encodes the answers to
/// failed ones.
template <typename C>
concept caller_codec = requires(const http_request &received, const send_failure &failed)
{
    {
        C::decode(received, std::uint64_t{})
        } -> std::same_as<result<forward_request>>;
    {
        C::encode(failed)
        } -> std::same_as<http_response>;
};

/// Duty that reads callers' requests and writes the answers unchanged. It makes no routing
/// decisions.
template <caller_codec Codec>
class gateway_duty
{
public:
    using session = http_session<gateway_duty>;
    using session_ptr = std::shared_ptr<session>;

    /// Preconditions: rings outlive the duty. `bodyBudgetBytes`: see body_budget_options.
    gateway_duty(endpoint listen, forward_rings &rings, log_writer log,
                 std::uint64_t bodyBudgetBytes = 0)
        : m_listen(std::move(listen))
        , m_server(m_worker.context(), *this, {.bodyBudget = {.totalBytes = bodyBudgetBytes}})
        , m_events(m_worker.context(), rings.fromCallers, BACKLOG_LIMIT)
        , m_actions(m_worker.context(), rings.toCallers, *this)
        , m_log(log)
    { }
    ~gateway_duty() { stop(); }

    /// Opens the listener. Errors: those of the socket calls. Call before start().
    auto listen() -> result<endpoint> { return m_server.listen(m_listen); }
    auto start() -> void
    {
        m_actions.start();
        m_worker.start();
    }
    /// See duty::requestStop().
    auto requestStop() -> void { m_worker.requestStop(); }
    auto stop() -> void { m_worker.stop(); }
    /// Number of requests that are being read or whose answer is not written whole. Thread safe.
    auto busy() const -> std::size_t { return m_server.busy(); }

    // --- called by the HTTP server on the duty's thread

    auto onRequest(const session_ptr &from) -> void
    {
        if (m_server.idleClosed()) {
            refuse(from, failure::draining);
            return;
        }
        // Moved past the codec: a body is held once.
        auto body = from->takeBody();
        auto decoded = Codec::decode(from->request(), from->id());
        if (!decoded) {
            refuse(from, static_cast<failure>(decoded.error().value()));
            return;
        }
        decoded->body = std::move(body);
        auto request = std::make_shared<const forward_request>(std::move(*decoded));
        if (m_events.congested() || m_events.push(forward_requested{std::move(request)})) {
            refuse(from, failure::overloaded);
        }
    }
    auto onDrained(session &) -> void { }
    auto onClosed(session &from) -> void { m_events.push(forward_caller_disconnected{from.id()}); }
    auto refusal(int status) -> http_response
    {
        constexpr int UNAVAILABLE = 503;
        m_log.write(log_event::request_refused, {{"reason", "status " + std::to_string(status)}});
        return status == UNAVAILABLE ? Codec::encode(send_failure{.reason = failure::draining})
                                     : http_response{.status = status, .contentType = {}};
    }

    // --- called by the ring reader on the duty's thread

    auto handle(forward_action &&action) -> void
    {
        std::visit([this](auto &&one) { this->on(std::forward<decltype(one)>(one)); },
                   std::move(action));
    }

private:
    static constexpr std::size_t BACKLOG_LIMIT = 1 << 14;
    /// Unsent bytes of a stream above which its connection is closed: the caller reads too slowly.
    static constexpr std::size_t UNREAD_LIMIT_BYTES = 1024 * 1024;
    /// Unsent bytes of all streams together above which those with the most are closed.
    static constexpr std::size_t TOTAL_UNREAD_LIMIT_BYTES = 16 * 1024 * 1024;

    auto refuse(const session_ptr &from, failure reason) -> void
    {
        m_log.write(log_event::request_refused, {{"reason", std::string(nameOf(reason))}});
        from->respond(Codec::encode(send_failure{.callerId = from->id(), .reason = reason}));
    }
    auto on(send_response &&answer) -> void
    {
        if (const auto to = m_server.find(answer.callerId)) {
            to->respond({.status = answer.status,
                         .contentType = {},
                         .headers = std::move(answer.headers),
                         .body = std::move(answer.body)});
        }
    }
    auto on(const begin_response_stream &begun) -> void
    {
        if (const auto to = m_server.find(begun.callerId)) {
            to->startStream(begun.headers);
        }
    }
    auto on(const send_response_events &events) -> void
    {
        const auto to = m_server.find(events.callerId);
        if (!to) {
            return;
        }
        to->sendChunk(events.bytes);
        if (to->backlogBytes() > UNREAD_LIMIT_BYTES || exceedsShare(*to)) {
            to->close();
        }
    }
    /// Whether the unsent bytes of all streams exceed their limit, and this one its even share.
    auto exceedsShare(const http_session<gateway_duty> &session) const -> bool
    {
        const auto sessions = std::max<std::size_t>(1, m_server.connections());
        return session.backlogBytes() > TOTAL_UNREAD_LIMIT_BYTES / sessions
               && m_server.backlogBytes() > TOTAL_UNREAD_LIMIT_BYTES;
    }
    auto on(const end_response_stream &ended) -> void
    {
        if (const auto to = m_server.find(ended.callerId)) {
            to->finishStream();
        }
    }
    auto on(const abort_response_stream &cut) -> void
    {
        if (const auto to = m_server.find(cut.callerId)) {
            to->close();
        }
    }
    auto on(const send_failure &failed) -> void
    {
        if (const auto to = m_server.find(failed.callerId)) {
            to->respond(Codec::encode(failed));
        }
    }
    auto on(const set_caller_bounds &changed) -> void
    {
        m_server.setLimits(
            {.headerBytes = changed.bounds.headerBytes,
             .bodyBytes = changed.bounds.bodyBytes,
             .bodyBudget = m_server.limits().bodyBudget,
             .headTimeout = std::chrono::milliseconds(changed.bounds.headerTimeoutMs),
             .requestTimeout = std::chrono::milliseconds(changed.bounds.idleTimeoutMs),
             .idleTimeout = std::chrono::milliseconds(changed.bounds.idleTimeoutMs)});
    }
    auto on(const close_after_responses &) -> void { m_server.closeAfterAnswers(); }
    auto on(const stop_accepting &) -> void
    {
        m_server.stopListening();
        m_server.closeIdle();
    }

    endpoint m_listen;
    duty m_worker{"gateway"};
    http_server<gateway_duty> m_server;
    ring_writer<forward_event> m_events;
    ring_reader<forward_action, gateway_duty> m_actions;
    log_writer m_log;
};

} // namespace marjoram
