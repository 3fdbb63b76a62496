#pragma once

#include "framework/http/bodybudget.h"
#include "framework/http/requestreader.h"

#include <algorithm>
#include <array>
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
    body_budget_options bodyBudget;
    /// Time for the head of a request to arrive, from its first byte.
    std::chrono::milliseconds headTimeout{10'000};
    /// Time for a whole request to arrive, from its first byte.
    std::chrono::milliseconds requestTimeout{10'000};
    std::chrono::milliseconds idleTimeout{60'000};
    std::chrono::milliseconds writeTimeout{30'000};
    /// Time to read the rest of a request that is arriving when idle connections close.
    std::chrono::milliseconds lastReadTimeout{400};
    /// Bounds on what is read and discarded after an answer that closes its connection.
    std::chrono::milliseconds lingerTimeout{2'000};
    std::uint64_t lingerBytes = 8 * 1024 * 1024;
    std::size_t connections = 12'000;
    /// Requests refused in a row with 4xx other than 429 after which the connection is closed. A
    /// client that sent invalid requests without reading the answers was served for minutes, until
    /// the buffers of both sockets were full.
    std::uint32_t refusalsInRow = 1'000;
};

/// What tells a client that a streamed response is complete.
enum class stream_framing { chunked, connection_close };
inline constexpr std::array streamFramingNames{
    enum_name<stream_framing>{stream_framing::chunked, "chunked"},
    enum_name<stream_framing>{stream_framing::connection_close, "connection_close"},
};
constexpr auto namesOf(stream_framing) -> const auto &
{
    return streamFramingNames;
}

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
    {
        boost::beast::error_code ignored;
        m_stream.socket().non_blocking(true, ignored);
    }

    /// Identity of the connection, unique within the server.
    auto id() const -> std::uint64_t { return m_id; }
    /// The request being answered.
    auto request() const -> const http_request & { return m_request; }
    /// Hands over the body of the request being answered, which is empty afterwards.
    auto takeBody() -> std::string { return std::exchange(m_request.body, {}); }

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
        limitRefusals(response.status);
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

    /// Begins a response of unknown length. If a response has begun, closes the connection instead.
    auto startStream(const std::vector<http_header> &headers,
                     stream_framing framing = stream_framing::chunked) -> void
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
        m_framing = framing;
        m_keepAlive = m_keepAlive && framing == stream_framing::chunked;
        m_head.keep_alive(m_keepAlive);
        m_head.chunked(framing == stream_framing::chunked);
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
        dropBlankLines();
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
    static constexpr std::string_view RETRY_AFTER = "Retry-After";
    static constexpr std::size_t FIRST_READ_BYTES = 512;
    static constexpr std::size_t HEAD_READ_BYTES = 4 * 1024;
    static constexpr std::size_t BODY_READ_BYTES = 32 * 1024;
    /// Bytes of pipelined requests that are read while a request is answered. Beyond them the
    /// client has to wait.
    static constexpr std::size_t READ_AHEAD_BYTES = 16 * 1024;
    /// Time for a client that sends without a pause to end a request that is late.
    static constexpr std::chrono::milliseconds OVERDUE_READ{1'000};
    /// Largest buffer that an idle connection keeps.
    static constexpr std::size_t IDLE_BUFFER_BYTES = 4 * 1024;
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
        m_reader.emplace(message_limits{.headBytes = m_server.limits().headerBytes,
                                        .bodyBytes = m_server.limits().bodyBytes});
        const auto &limits = m_server.limits();
        m_readBegin = std::chrono::steady_clock::now();
        m_overdueSince.reset();
        limitRead(std::min(limits.headTimeout, limits.requestTimeout));
        if (m_server.idleClosed()) {
            m_server.limitLastReads();
        }
        parse();
    }
    auto parse() -> void
    {
        const auto inBody = m_reader->inBody();
        const auto bytes = m_buffer.cdata();
        const auto used = m_reader->feed({static_cast<const char *>(bytes.data()), bytes.size()});
        if (!used) {
            refuse(static_cast<message_fault>(used.error().value()));
            return;
        }
        m_buffer.consume(*used);
        if (!growBody()) {
            refuse(message_fault::over_budget);
        } else if (m_reader->done()) {
            m_reading = false;
            onRequestRead();
        } else if (m_refused) {
            refuse(message_fault::unavailable);
        } else {
            if (!inBody && m_reader->inBody()) {
                limitRead(m_server.limits().requestTimeout);
            }
            if (isOverdue()) {
                m_reading = false;
                close();
                return;
            }
            readMore();
        }
    }
    auto growBody() -> bool
    {
        const auto needed = m_reader->bodyBytes();
        if (!m_server.bodyBudget().grow(m_heldBodyBytes, needed, m_server.limits().bodyBudget)) {
            return false;
        }
        m_heldBodyBytes = std::max(m_heldBodyBytes, needed);
        return true;
    }
    auto limitRead(std::chrono::milliseconds timeout) -> void
    {
        m_readEnd = m_readBegin + timeout;
        m_stream.expires_at(m_readEnd);
    }
    /// The stream's timer never fires while bytes keep arriving. Counted from when the lateness is
    /// noticed, so that a process that was paused still reads what has arrived meanwhile.
    auto isOverdue() -> bool
    {
        const auto now = std::chrono::steady_clock::now();
        if (now < m_readEnd) {
            return false;
        }
        m_overdueSince = m_overdueSince.value_or(now);
        return now - *m_overdueSince > OVERDUE_READ;
    }
    auto readMore() -> void
    {
        m_stream.async_read_some(
            m_buffer.prepare(m_reader->inBody() ? BODY_READ_BYTES : HEAD_READ_BYTES),
            [self = this->shared_from_this()](boost::beast::error_code error, std::size_t count) {
                self->onMoreRead(error, count);
            });
    }
    auto onMoreRead(boost::beast::error_code error, std::size_t count) -> void
    {
        if (!error) {
            m_buffer.commit(count);
            parse();
        } else if (m_refused) {
            refuse(message_fault::unavailable);
        } else {
            m_reading = false;
            close();
        }
    }
    /// Some clients send an empty line after a body. It begins no request.
    auto dropBlankLines() -> void
    {
        static constexpr std::string_view BLANK_LINE = "\r\n";
        const auto starts = [this] {
            const auto bytes = m_buffer.cdata();
            return std::string_view(static_cast<const char *>(bytes.data()), bytes.size())
                .starts_with(BLANK_LINE);
        };
        while (starts()) {
            m_buffer.consume(BLANK_LINE.size());
        }
    }
    auto hasArrived() const -> bool
    {
        boost::system::error_code ignored;
        return m_stream.socket().available(ignored) > 0;
    }
    auto onRequestRead() -> void
    {
        m_stream.expires_never();
        m_keepAlive = m_reader->keepAlive();
        m_request = m_reader->take();
        m_reader.reset();
        ++m_served;
        m_answering = true;
        watchForClose();
        m_server.app().onRequest(this->shared_from_this());
    }
    auto refuse(message_fault fault) -> void
    {
        m_reading = false;
        m_reader.reset();
        releaseBody();
        m_keepAlive = false;
        m_callerMaySend = true;
        auto refusal = m_server.app().refusal(statusOf(fault));
        if (fault == message_fault::over_budget
            && findHeader(refusal.headers, RETRY_AFTER).empty()) {
            refusal.headers.push_back({std::string(RETRY_AFTER), "1"});
        }
        respond(std::move(refusal));
    }
    auto releaseBody() -> void { m_server.bodyBudget().release(std::exchange(m_heldBodyBytes, 0)); }
    /// Frees what the last exchange needed, so that idle connections hold none of it.
    auto releaseMemory() -> void
    {
        releaseBody();
        m_request = {};
        m_response = {};
        std::string().swap(m_pending);
        std::string().swap(m_inFlight);
        if (m_buffer.size() == 0 && m_buffer.capacity() > IDLE_BUFFER_BYTES) {
            m_buffer.shrink_to_fit();
        }
    }
    auto onResponseWritten(boost::beast::error_code error) -> void
    {
        m_writing = false;
        m_streaming = false;
        setBusy(false);
        releaseMemory();
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
        if (!m_callerMaySend && m_buffer.size() == 0 && !hasArrived()) {
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
    auto limitRefusals(int status) -> void
    {
        constexpr int FIRST_CLIENT_ERROR = 400;
        constexpr int FIRST_SERVER_ERROR = 500;
        constexpr int TOO_MANY_REQUESTS = 429;
        const auto refused = status >= FIRST_CLIENT_ERROR && status < FIRST_SERVER_ERROR
                             && status != TOO_MANY_REQUESTS;
        m_refusalsInRow = refused ? m_refusalsInRow + 1 : 0;
        if (m_refusalsInRow >= m_server.limits().refusalsInRow) {
            m_keepAlive = false;
            m_callerMaySend = true;
        }
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
                endStream();
            }
            return;
        }
        m_inFlight.clear();
        std::swap(m_inFlight, m_pending);
        m_writing = true;
        m_stream.expires_after(m_server.limits().writeTimeout);
        const boost::asio::const_buffer bytes(m_inFlight.data(), m_inFlight.size());
        const auto onWritten
            = [self = this->shared_from_this()](boost::beast::error_code error, std::size_t) {
                  self->onChunkWritten(error);
              };
        if (m_framing == stream_framing::chunked) {
            boost::asio::async_write(m_stream, boost::beast::http::make_chunk(bytes), onWritten);
        } else {
            boost::asio::async_write(m_stream, bytes, onWritten);
        }
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
    auto endStream() -> void
    {
        stopWatching();
        if (m_framing == stream_framing::connection_close) {
            onResponseWritten({});
            return;
        }
        m_writing = true;
        boost::asio::async_write(
            m_stream, boost::beast::http::make_chunk_last(),
            [self = this->shared_from_this()](boost::beast::error_code error, std::size_t) {
                self->m_writing = false;
                self->onResponseWritten(error);
            });
    }
    /// Watches for the client's closure while its request is answered. Pipelined requests are read
    /// ahead to see it; once there is no room for more, only a reset is noticed.
    auto watchForClose() -> void
    {
        const auto kind = m_buffer.size() < READ_AHEAD_BYTES
                              ? boost::asio::ip::tcp::socket::wait_read
                              : boost::asio::ip::tcp::socket::wait_error;
        m_stream.socket().async_wait(
            kind, [self = this->shared_from_this()](boost::beast::error_code error) {
                self->onReadable(error);
            });
    }
    auto onReadable(boost::beast::error_code error) -> void
    {
        if (error || !m_answering) {
            return;
        }
        if (m_buffer.size() >= READ_AHEAD_BYTES) {
            close();
            return;
        }
        const auto room = std::min(READ_AHEAD_BYTES - m_buffer.size(), HEAD_READ_BYTES);
        boost::beast::error_code receiveError;
        const auto count = m_stream.socket().receive(m_buffer.prepare(room), 0, receiveError);
        if (receiveError && receiveError != boost::asio::error::would_block) {
            close();
            return;
        }
        m_buffer.commit(count);
        watchForClose();
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
        releaseBody();
        m_server.app().onClosed(*this);
        m_server.forget(m_id);
    }

    http_server<App> &m_server;
    boost::beast::tcp_stream m_stream;
    std::uint64_t m_id;
    boost::beast::flat_buffer m_buffer;
    std::optional<request_reader> m_reader;
    std::chrono::steady_clock::time_point m_readBegin;
    /// When the head that is being read, or the request, must be whole.
    std::chrono::steady_clock::time_point m_readEnd;
    std::optional<std::chrono::steady_clock::time_point> m_overdueSince;
    http_request m_request;
    boost::beast::http::response<boost::beast::http::string_body> m_response;
    boost::beast::http::response<boost::beast::http::empty_body> m_head;
    std::optional<boost::beast::http::response_serializer<boost::beast::http::empty_body>>
        m_serializer;
    std::string m_pending;
    std::string m_inFlight;
    std::uint64_t m_served = 0;
    std::uint32_t m_refusalsInRow = 0;
    std::uint64_t m_discarded = 0;
    /// Granted by the budget for the request that is being read or answered.
    std::uint64_t m_heldBodyBytes = 0;
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
    stream_framing m_framing = stream_framing::chunked;
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
    /// Bytes of all request bodies that are being read or whose answer is not written whole.
    auto bodyBudget() -> body_budget & { return m_bodyBudget; }
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
    body_budget m_bodyBudget;
    std::uint64_t m_lastId = 0;
    bool m_closing = false;
    bool m_idleClosed = false;
    bool m_lastReadsLimited = false;
    std::atomic<std::size_t> m_busy{0};
    std::unordered_map<std::uint64_t, std::weak_ptr<http_session<App>>> m_sessions;
};

} // namespace marjoram
