#pragma once

#include "framework/http/httptypes.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <unordered_map>

namespace marjoram {

/// Bounds on what a client may make the server hold.
struct http_limits
{
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 4 * 1024 * 1024;
    std::chrono::milliseconds requestTimeout{10'000};
    std::chrono::milliseconds idleTimeout{60'000};
    std::chrono::milliseconds writeTimeout{30'000};
    /// Time to read the rest of a request that is arriving when idle connections close.
    std::chrono::milliseconds lastReadTimeout{400};
    /// Bounds on what is read and discarded after an answer that closes its connection.
    std::chrono::milliseconds lingerTimeout{2'000};
    std::uint64_t lingerBytes = 8 * 1024 * 1024;
    std::size_t connections = 12'000;
};

template <typename App>
class http_server;

/// One connection: reads requests one after the other and writes their responses.
/// Not thread safe: lives on the server's io_context.
template <typename App>
class http_session : public std::enable_shared_from_this<http_session<App>>
{
public:
    http_session(http_server<App> &server, boost::asio::ip::tcp::socket socket, std::uint64_t id)
        : m_server(server)
        , m_stream(std::move(socket))
        , m_id(id)
    { }

    /// Identity of the connection, unique within the server.
    auto id() const -> std::uint64_t { return m_id; }
    /// The request being answered.
    auto request() const -> const http_request & { return m_request; }

    /// Answers the request whole. If a response has begun, closes the connection instead, so that
    /// nothing is mixed into that response.
    auto respond(http_response response) -> void
    {
        if (m_streaming || m_writing) {
            close();
            return;
        }
        stopWatching();
        m_response = {};
        m_response.version(HTTP_VERSION);
        m_response.result(static_cast<unsigned>(response.status));
        if (!response.contentType.empty()) {
            m_response.set(boost::beast::http::field::content_type, response.contentType);
        }
        for (const auto &header : response.headers) {
            m_response.insert(header.name, header.value);
        }
        m_response.body() = std::move(response.body);
        limitKeepAlive();
        m_response.keep_alive(m_keepAlive);
        m_response.prepare_payload();
        m_stream.expires_after(m_server.limits().writeTimeout);
        m_writing = true;
        boost::beast::http::async_write(
            m_stream, m_response,
            [self = this->shared_from_this()](boost::beast::error_code error, std::size_t) {
                self->onResponseWritten(error);
            });
    }

    /// Begins a chunked response. If a response has begun, closes the connection instead.
    auto startStream(const std::vector<http_header> &headers) -> void
    {
        if (m_streaming || m_writing) {
            close();
            return;
        }
        m_streaming = true;
        m_head = {};
        m_head.version(HTTP_VERSION);
        m_head.result(boost::beast::http::status::ok);
        for (const auto &header : headers) {
            m_head.insert(header.name, header.value);
        }
        limitKeepAlive();
        m_head.keep_alive(m_keepAlive);
        m_head.chunked(true);
        m_serializer.emplace(m_head);
        m_writing = true;
        m_streamEnded = false;
        m_stream.expires_after(m_server.limits().writeTimeout);
        boost::beast::http::async_write_header(
            m_stream, *m_serializer,
            [self = this->shared_from_this()](boost::beast::error_code error, std::size_t) {
                self->onChunkWritten(error);
            });
    }
    /// Adds bytes to the stream; ignored unless a stream has begun and has not been finished.
    auto sendChunk(std::string_view bytes) -> void
    {
        if (!m_streaming || m_streamEnded) {
            return;
        }
        m_pending.append(bytes);
        flush();
    }
    /// Ends the stream after what was sent; ignored unless a stream has begun.
    auto finishStream() -> void
    {
        if (!m_streaming || m_streamEnded) {
            return;
        }
        m_streamEnded = true;
        flush();
    }
    /// Bytes accepted by sendChunk() that the client has not taken yet.
    auto backlogBytes() const -> std::size_t { return m_pending.size() + m_inFlight.size(); }

    /// Drops the connection at once.
    auto close() -> void
    {
        boost::beast::error_code ignored;
        m_stream.socket().close(ignored);
        leave();
    }

    /// Waits for the next request. Precondition: no request is being read or answered.
    auto readRequest() -> void
    {
        if (m_buffer.size() > 0) {
            readMessage();
            return;
        }
        if (m_server.idleClosed() && !hasArrived()) {
            close();
            return;
        }
        m_stream.expires_after(m_served == 0 ? m_server.limits().requestTimeout
                                             : m_server.limits().idleTimeout);
        m_waiting = true;
        m_stream.async_read_some(
            m_buffer.prepare(std::max(m_buffer.capacity(), FIRST_READ_BYTES)),
            [self = this->shared_from_this()](boost::beast::error_code error, std::size_t count) {
                self->m_waiting = false;
                self->onFirstBytes(error, count);
            });
    }
    /// Ends the wait for the next request; one that has arrived is read first.
    auto closeIfIdle() -> void
    {
        if (m_waiting) {
            m_stream.cancel();
        }
    }
    /// Refuses the request that is being read, if there is one, with 503.
    auto refuseArriving() -> void
    {
        if (m_reading) {
            m_refused = true;
            m_stream.cancel();
        }
    }

private:
    static constexpr unsigned HTTP_VERSION = 11;
    static constexpr std::size_t FIRST_READ_BYTES = 512;
    static constexpr std::size_t DISCARD_BYTES = 16 * 1024;

    auto onFirstBytes(boost::beast::error_code error, std::size_t count) -> void
    {
        if (error == boost::asio::error::operation_aborted && !m_left) {
            readRequest();
        } else if (error) {
            close();
        } else {
            m_buffer.commit(count);
            readMessage();
        }
    }
    /// Reads the request whose first bytes have arrived.
    auto readMessage() -> void
    {
        setBusy(true);
        m_reading = true;
        m_refused = false;
        m_parser.emplace();
        m_parser->header_limit(m_server.limits().headerBytes);
        m_parser->body_limit(m_server.limits().bodyBytes);
        m_stream.expires_after(m_server.limits().requestTimeout);
        if (m_server.idleClosed()) {
            m_server.limitLastReads();
        }
        boost::beast::http::async_read(
            m_stream, m_buffer, *m_parser,
            [self = this->shared_from_this()](boost::beast::error_code error, std::size_t) {
                self->m_reading = false;
                self->onRequestRead(error);
            });
    }
    auto hasArrived() const -> bool
    {
        boost::system::error_code ignored;
        return m_stream.socket().available(ignored) > 0;
    }
    auto onRequestRead(boost::beast::error_code error) -> void
    {
        namespace http = boost::beast::http;
        if (error == http::error::header_limit || error == http::error::body_limit) {
            refuse(error == http::error::body_limit
                       ? http::status::payload_too_large
                       : http::status::request_header_fields_too_large);
            return;
        }
        if (error && error.category() == http::make_error_code(http::error::bad_method).category()
            && error != http::error::end_of_stream && error != http::error::partial_message) {
            refuse(http::status::bad_request);
            return;
        }
        if (error && m_refused) {
            refuse(http::status::service_unavailable);
            return;
        }
        if (error) {
            close();
            return;
        }
        m_stream.expires_never();
        takeRequest();
        ++m_served;
        m_answering = true;
        watchForClose();
        m_server.app().onRequest(this->shared_from_this());
    }
    auto refuse(boost::beast::http::status status) -> void
    {
        m_keepAlive = false;
        m_callerMaySend = true;
        respond(m_server.app().refusal(static_cast<int>(status)));
    }
    auto takeRequest() -> void
    {
        auto message = m_parser->release();
        m_keepAlive = message.keep_alive();
        m_request = {.method = std::string(message.method_string()),
                     .target = std::string(message.target())};
        for (const auto &field : message) {
            m_request.headers.push_back(
                {std::string(field.name_string()), std::string(field.value())});
        }
        m_request.body = std::move(message.body());
    }
    auto onResponseWritten(boost::beast::error_code error) -> void
    {
        m_writing = false;
        m_streaming = false;
        setBusy(false);
        if (error) {
            close();
        } else if (!m_keepAlive) {
            closeAfterAnswer();
        } else {
            readRequest();
        }
    }
    /// Closing with unread input resets the connection, which can destroy the answer on its way.
    /// So bytes that the caller still sends are discarded until it closes, within bounds.
    auto closeAfterAnswer() -> void
    {
        boost::beast::error_code ignored;
        m_stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
        if (!m_callerMaySend && !hasArrived()) {
            close();
            return;
        }
        m_buffer.clear();
        m_stream.expires_after(m_server.limits().lingerTimeout);
        discard();
    }
    auto discard() -> void
    {
        m_stream.async_read_some(
            m_buffer.prepare(DISCARD_BYTES),
            [self = this->shared_from_this()](boost::beast::error_code error, std::size_t count) {
                self->m_discarded += count;
                if (error || self->m_discarded > self->m_server.limits().lingerBytes) {
                    self->close();
                } else {
                    self->discard();
                }
            });
    }
    auto limitKeepAlive() -> void
    {
        if (m_keepAlive && m_server.closing()) {
            m_keepAlive = false;
            m_callerMaySend = true;
        }
    }
    auto setBusy(bool busy) -> void
    {
        if (std::exchange(m_busy, busy) != busy) {
            m_server.countBusy(busy);
        }
    }
    auto flush() -> void
    {
        if (m_writing || m_left) {
            return;
        }
        if (m_pending.empty()) {
            if (m_streamEnded) {
                writeLastChunk();
            }
            return;
        }
        m_inFlight.clear();
        std::swap(m_inFlight, m_pending);
        m_writing = true;
        m_stream.expires_after(m_server.limits().writeTimeout);
        boost::asio::async_write(
            m_stream,
            boost::beast::http::make_chunk(
                boost::asio::const_buffer(m_inFlight.data(), m_inFlight.size())),
            [self = this->shared_from_this()](boost::beast::error_code error, std::size_t) {
                self->onChunkWritten(error);
            });
    }
    auto onChunkWritten(boost::beast::error_code error) -> void
    {
        m_writing = false;
        m_inFlight.clear();
        if (error) {
            close();
            return;
        }
        if (m_pending.empty()) {
            m_stream.expires_never();
            m_server.app().onDrained(*this);
        }
        flush();
    }
    auto writeLastChunk() -> void
    {
        m_writing = true;
        stopWatching();
        boost::asio::async_write(
            m_stream, boost::beast::http::make_chunk_last(),
            [self = this->shared_from_this()](boost::beast::error_code error, std::size_t) {
                self->m_writing = false;
                self->onResponseWritten(error);
            });
    }
    auto watchForClose() -> void
    {
        m_stream.socket().async_wait(
            boost::asio::ip::tcp::socket::wait_read,
            [self = this->shared_from_this()](boost::beast::error_code error) {
                self->onReadable(error);
            });
    }
    auto onReadable(boost::beast::error_code error) -> void
    {
        if (error || !m_answering) {
            return;
        }
        // Bytes of a next request end the watch: whether the caller leaves is not seen behind them.
        char byte = 0;
        boost::beast::error_code peekError;
        m_stream.socket().receive(boost::asio::buffer(&byte, 1),
                                  boost::asio::socket_base::message_peek, peekError);
        if (peekError == boost::asio::error::would_block) {
            watchForClose();
        } else if (peekError) {
            close();
        }
    }
    auto stopWatching() -> void
    {
        if (std::exchange(m_answering, false)) {
            boost::beast::error_code ignored;
            m_stream.socket().cancel(ignored);
        }
    }
    auto leave() -> void
    {
        if (m_left) {
            return;
        }
        m_left = true;
        setBusy(false);
        m_server.app().onClosed(*this);
        m_server.forget(m_id);
    }

    http_server<App> &m_server;
    boost::beast::tcp_stream m_stream;
    std::uint64_t m_id;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> m_parser;
    http_request m_request;
    boost::beast::http::response<boost::beast::http::string_body> m_response;
    boost::beast::http::response<boost::beast::http::empty_body> m_head;
    std::optional<boost::beast::http::response_serializer<boost::beast::http::empty_body>>
        m_serializer;
    std::string m_pending;
    std::string m_inFlight;
    std::uint64_t m_served = 0;
    std::uint64_t m_discarded = 0;
    bool m_keepAlive = true;
    /// The caller may send more although the connection closes after the answer.
    bool m_callerMaySend = false;
    /// A request is being read, or its answer is not written whole.
    bool m_busy = false;
    bool m_waiting = false;
    bool m_reading = false;
    /// The request that is being read is to be refused.
    bool m_refused = false;
    bool m_writing = false;
    /// A request has been read and its answer is not complete.
    bool m_answering = false;
    /// A chunked response has begun and is not complete.
    bool m_streaming = false;
    bool m_streamEnded = false;
    bool m_left = false;
};

/// What a server asks of the application behind it. Callbacks run on the server's thread.
template <typename A>
concept http_application = requires(A &app, std::shared_ptr<http_session<A>> session)
{
    app.onRequest(session);
    app.onDrained(*session);
    app.onClosed(*session);
    {
        app.refusal(400)
        } -> std::same_as<http_response>;
};

/// Accepts connections for an application. Not thread safe: lives on one io_context.
template <typename App>
class http_server
{
public:
    using session_ptr = std::shared_ptr<http_session<App>>;

    /// Precondition: `context` and `app` outlive the server.
    http_server(boost::asio::io_context &context, App &app, http_limits limits)
        : m_context(context)
        , m_acceptor(context)
        , m_retryTimer(context)
        , m_lastReadTimer(context)
        , m_app(app)
        , m_limits(limits)
    { }

    /// Opens the listener; port 0 takes a free one. Errors: those of the socket calls.
    auto listen(const endpoint &where) -> result<endpoint>
    {
        static_assert(http_application<App>);
        using boost::asio::ip::tcp;
        boost::system::error_code error;
        const tcp::endpoint local(boost::asio::ip::make_address(where.address, error), where.port);
        if (!error) {
            m_acceptor.open(local.protocol(), error);
        }
        if (!error) {
            m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
        }
        if (!error) {
            m_acceptor.bind(local, error);
        }
        if (!error) {
            m_acceptor.listen(LISTEN_BACKLOG, error);
        }
        if (error) {
            return std::error_code(error);
        }
        accept();
        return endpoint{.address = where.address, .port = m_acceptor.local_endpoint().port()};
    }
    /// Takes the connections that wait in the listener's queue and stops accepting; running
    /// sessions go on.
    auto stopListening() -> void
    {
        boost::system::error_code error;
        m_acceptor.cancel(error);
        m_acceptor.non_blocking(true, error);
        while (!error) {
            boost::asio::ip::tcp::socket socket(m_context);
            m_acceptor.accept(socket, error);
            if (!error) {
                startSession(std::move(socket));
            }
        }
        m_acceptor.close(error);
    }

    /// Bounds for requests that begin from now on.
    auto setLimits(http_limits limits) -> void { m_limits = limits; }
    /// From now on each answer closes its connection.
    auto closeAfterAnswers() -> void { m_closing = true; }
    auto closing() const -> bool { return m_closing; }
    /// Closes the connections that are idle, from now on also those that become idle. A request
    /// that is arriving is answered if it is read whole within `lastReadTimeout`, else refused
    /// with 503.
    auto closeIdle() -> void
    {
        m_idleClosed = true;
        forEachSession([](http_session<App> &session) { session.closeIfIdle(); });
        limitLastReads();
    }
    /// Called by sessions that read a request after closeIdle().
    auto limitLastReads() -> void
    {
        if (std::exchange(m_lastReadsLimited, true)) {
            return;
        }
        m_lastReadTimer.expires_after(m_limits.lastReadTimeout);
        m_lastReadTimer.async_wait([this](boost::system::error_code error) {
            m_lastReadsLimited = false;
            if (!error) {
                forEachSession([](http_session<App> &session) { session.refuseArriving(); });
            }
        });
    }
    auto idleClosed() const -> bool { return m_idleClosed; }
    /// Number of requests that are being read or whose answer is not written whole. Thread safe.
    auto busy() const -> std::size_t { return m_busy.load(std::memory_order_relaxed); }
    /// Called by sessions that begin or end such a request.
    auto countBusy(bool begins) -> void
    {
        if (begins) {
            m_busy.fetch_add(1, std::memory_order_relaxed);
        } else {
            m_busy.fetch_sub(1, std::memory_order_relaxed);
        }
    }

    auto app() -> App & { return m_app; }
    auto limits() const -> const http_limits & { return m_limits; }
    auto connections() const -> std::size_t { return m_sessions.size(); }
    /// Bytes of streams that clients have not taken yet.
    auto backlogBytes() const -> std::size_t
    {
        std::size_t out = 0;
        for (const auto &[id, weak] : m_sessions) {
            const auto session = weak.lock();
            out += session ? session->backlogBytes() : 0;
        }
        return out;
    }
    /// Open session of an id, or null.
    auto find(std::uint64_t id) -> session_ptr
    {
        const auto found = m_sessions.find(id);
        return found == m_sessions.end() ? nullptr : found->second.lock();
    }
    auto forget(std::uint64_t id) -> void { m_sessions.erase(id); }

private:
    static constexpr int LISTEN_BACKLOG = 4096;
    static constexpr std::chrono::milliseconds ACCEPT_RETRY{50};

    auto accept() -> void
    {
        m_acceptor.async_accept(
            [this](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
                onAccepted(error, std::move(socket));
            });
    }
    auto onAccepted(boost::system::error_code error, boost::asio::ip::tcp::socket socket) -> void
    {
        if (error == boost::asio::error::operation_aborted
            || error == boost::asio::error::bad_descriptor) {
            return;
        }
        if (error) {
            acceptLater();
            return;
        }
        startSession(std::move(socket));
        if (m_acceptor.is_open()) {
            accept();
        }
    }
    auto startSession(boost::asio::ip::tcp::socket socket) -> void
    {
        if (m_sessions.size() >= m_limits.connections) {
            return;
        }
        boost::system::error_code ignored;
        socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        const auto id = ++m_lastId;
        auto session = std::make_shared<http_session<App>>(*this, std::move(socket), id);
        m_sessions.emplace(id, session);
        session->readRequest();
    }
    template <typename Do>
    auto forEachSession(Do &&apply) -> void
    {
        std::vector<session_ptr> sessions;
        for (const auto &[id, weak] : m_sessions) {
            if (auto session = weak.lock()) {
                sessions.push_back(std::move(session));
            }
        }
        for (const auto &session : sessions) {
            apply(*session);
        }
    }
    // Out of descriptors: accepting at once would spin.
    auto acceptLater() -> void
    {
        m_retryTimer.expires_after(ACCEPT_RETRY);
        m_retryTimer.async_wait([this](boost::system::error_code error) {
            if (!error) {
                accept();
            }
        });
    }

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_retryTimer;
    boost::asio::steady_timer m_lastReadTimer;
    App &m_app;
    http_limits m_limits;
    std::uint64_t m_lastId = 0;
    bool m_closing = false;
    bool m_idleClosed = false;
    bool m_lastReadsLimited = false;
    std::atomic<std::size_t> m_busy{0};
    std::unordered_map<std::uint64_t, std::weak_ptr<http_session<App>>> m_sessions;
};

} // namespace marjoram
