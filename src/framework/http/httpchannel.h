#pragma once

#include "framework/http/httptypes.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <linux/sockios.h>
#include <memory>
#include <netinet/tcp.h>
#include <optional>
#include <sys/ioctl.h>

namespace marjoram {

/// Status and fields of a response.
struct channel_head
{
    int status = 0;
    std::vector<http_header> headers;
    /// Whether the peer keeps the connection.
    bool keepAlive = false;

    /// Value of a field, compared without case; empty when absent.
    auto header(std::string_view name) const -> std::string_view
    {
        return findHeader(headers, name);
    }
};

/// What the owner does with a response. A refused one ends the exchange and the connection.
enum class head_verdict { take, skip, refuse };
inline constexpr std::array headVerdictNames{
    enum_name<head_verdict>{head_verdict::take, "take"},
    enum_name<head_verdict>{head_verdict::skip, "skip"},
    enum_name<head_verdict>{head_verdict::refuse, "refuse"},
};
constexpr auto namesOf(head_verdict) -> const auto &
{
    return headVerdictNames;
}

/// How an exchange on a channel ended.
struct channel_outcome
{
    std::error_code error;
    fetch_phase phase = fetch_phase::connecting;
    /// The connection can carry another exchange.
    bool reusable = false;
    /// The response had neither a length nor chunks, and ended with its connection.
    bool endedByClose = false;
};

/// Owner of channels: all callbacks come on the channel's io_context.
template <typename O, typename C>
concept channel_owner = requires(O &owner, C &channel, const channel_head &head,
                                 std::string_view bytes, const channel_outcome &outcome)
{
    {
        owner.onHead(channel, head)
        } -> std::same_as<head_verdict>;
    {
        owner.onBody(channel, bytes)
        } -> std::same_as<body_verdict>;
    owner.onDone(channel, outcome);
    owner.onIdleClosed(channel);
};

/// Time limits of a channel.
struct channel_options
{
    std::chrono::milliseconds connectTimeout{1'000};
    /// Time after which unacknowledged bytes or probes end the connection.
    std::chrono::milliseconds peerTimeout{3'000};
};

/// One persistent client connection, which carries one exchange at a time. Owned by shared_ptr.
/// Not thread safe: lives on its io_context. The owner outlives it or calls close().
template <typename Owner>
class http_channel : public std::enable_shared_from_this<http_channel<Owner>>
{
public:
    http_channel(boost::asio::io_context &context, Owner &owner, std::uint64_t id, endpoint peer,
                 channel_options options)
        : m_stream(context)
        , m_uploadTimer(context)
        , m_owner(&owner)
        , m_id(id)
        , m_peer(std::move(peer))
        , m_options(options)
    { }

    auto id() const -> std::uint64_t { return m_id; }
    auto peer() const -> const endpoint & { return m_peer; }

    /// Begins an exchange; connects first when this is the first one. The owner hears exactly one
    /// onDone() unless it calls close(). Precondition: no exchange is running.
    auto start(const http_request &request) -> void
    {
        static_assert(channel_owner<Owner, http_channel>);
        prepare(request);
        m_busy = true;
        m_skippedBytes = 0;
        m_skippedResponses = 0;
        m_phase = fetch_phase::connecting;
        if (!m_connected) {
            connect();
            return;
        }
        boost::system::error_code ignored;
        m_stream.socket().cancel(ignored);
        if (peerHasSpoken()) {
            finish(make_error_code(std::errc::connection_reset));
            return;
        }
        write();
    }
    /// Stops reading the response until resume(), so that the peer has to wait. Call from onBody().
    auto pause() -> void { m_paused = true; }
    /// Ignored unless the channel is paused.
    auto resume() -> void
    {
        if (std::exchange(m_paused, false) && m_owner) {
            read();
        }
    }
    /// Begins to watch an unused connection for its closure.
    auto idle() -> void
    {
        m_stream.socket().async_wait(
            boost::asio::ip::tcp::socket::wait_read,
            [self = this->shared_from_this()](boost::system::error_code error) {
                if (!error && !self->m_busy) {
                    self->closeIdle();
                }
            });
    }
    /// Closes; the owner hears nothing more.
    auto close() -> void
    {
        m_owner = nullptr;
        boost::system::error_code ignored;
        m_stream.socket().close(ignored);
    }

private:
    static constexpr unsigned HTTP_VERSION = 11;
    static constexpr std::size_t BUFFER_BYTES = 4 * 1024;
    static constexpr int RECEIVE_BUFFER_BYTES = 256 * 1024;
    static constexpr std::size_t HEAD_LIMIT_BYTES = 32 * 1024;
    /// Limits on responses that are skipped within an exchange.
    static constexpr std::size_t SKIPPED_LIMIT_BYTES = 1024 * 1024;
    static constexpr std::uint32_t SKIPPED_RESPONSE_LIMIT = 16;
    /// Keep-alive probes before the peer counts as gone.
    static constexpr int PROBES = 2;
    /// Interval between the checks whether the peer has received the request that it has answered.
    static constexpr std::chrono::milliseconds UPLOAD_CHECK_INTERVAL{20};

    auto prepare(const http_request &request) -> void
    {
        m_request = {};
        m_request.method_string(request.method);
        m_request.target(request.target);
        m_request.version(HTTP_VERSION);
        for (const auto &header : request.headers) {
            m_request.insert(header.name, header.value);
        }
        m_request.body() = request.body;
        m_request.prepare_payload();
        m_bodyless = request.method == "HEAD";
    }
    auto connect() -> void
    {
        boost::system::error_code error;
        const auto address = boost::asio::ip::make_address(m_peer.address, error);
        const boost::asio::ip::tcp::endpoint peer(address, m_peer.port);
        // Before the connection, which fixes the largest window. Without this the kernel may hold
        // tens of megabytes of a response that is read slowly.
        m_stream.socket().open(peer.protocol(), error);
        m_stream.socket().set_option(
            boost::asio::socket_base::receive_buffer_size(RECEIVE_BUFFER_BYTES), error);
        m_stream.expires_after(m_options.connectTimeout);
        m_stream.async_connect(peer, [self = this->shared_from_this()](
                                         boost::system::error_code e) { self->onConnected(e); });
    }
    auto onConnected(boost::system::error_code error) -> void
    {
        if (!m_owner) {
            return;
        }
        if (error) {
            finish(error);
            return;
        }
        m_connected = true;
        m_stream.expires_never();
        setOptions();
        write();
    }
    auto setOptions() -> void
    {
        using boost::asio::detail::socket_option::integer;
        const auto ms = static_cast<int>(m_options.peerTimeout.count());
        const auto seconds = std::max(1, ms / 1'000 / (PROBES + 1));
        boost::system::error_code ignored;
        auto &socket = m_stream.socket();
        socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
        socket.set_option(integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(ms), ignored);
        socket.set_option(integer<IPPROTO_TCP, TCP_KEEPIDLE>(seconds), ignored);
        socket.set_option(integer<IPPROTO_TCP, TCP_KEEPINTVL>(seconds), ignored);
        socket.set_option(integer<IPPROTO_TCP, TCP_KEEPCNT>(PROBES), ignored);
    }
    /// Whether the peer has closed or sent bytes although nothing was asked.
    auto peerHasSpoken() -> bool
    {
        char byte = 0;
        boost::system::error_code error;
        m_stream.socket().non_blocking(true, error);
        m_stream.socket().receive(boost::asio::buffer(&byte, 1),
                                  boost::asio::socket_base::message_peek, error);
        return error != boost::asio::error::would_block;
    }
    auto write() -> void
    {
        m_phase = fetch_phase::writing;
        m_written = false;
        m_writeError = {};
        boost::beast::http::async_write(
            m_stream, m_request,
            [self = this->shared_from_this()](boost::system::error_code error, std::size_t) {
                self->onWritten(error);
            });
        startReading();
    }
    auto onWritten(boost::system::error_code error) -> void
    {
        m_written = !error;
        // A connection that is kept holds no body.
        m_request = {};
        if (error && m_busy) {
            // An answer may have come before the whole request was sent: reading tells.
            m_writeError = error;
            return;
        }
        if (m_phase == fetch_phase::writing) {
            m_phase = fetch_phase::reading;
        }
    }
    auto startReading() -> void
    {
        m_headTaken = false;
        m_skipping = false;
        m_parser.emplace();
        m_parser->header_limit(HEAD_LIMIT_BYTES);
        m_parser->body_limit(boost::none);
        m_parser->skip(m_bodyless);
        read();
    }
    auto read() -> void
    {
        m_parser->get().body().data = m_bytes.data();
        m_parser->get().body().size = m_bytes.size();
        boost::beast::http::async_read_some(
            m_stream, m_buffer, *m_parser,
            [self = this->shared_from_this()](boost::system::error_code error, std::size_t) {
                self->onRead(error);
            });
    }
    auto onRead(boost::system::error_code error) -> void
    {
        if (!m_owner) {
            return;
        }
        if (error == boost::beast::http::error::need_buffer) {
            error = {};
        }
        const auto received = m_bytes.size() - m_parser->get().body().size;
        auto refusal = m_parser->is_header_done() && !std::exchange(m_headTaken, true)
                           ? takeHead()
                           : std::error_code{};
        if (m_owner && !refusal && m_headTaken && received > 0) {
            refusal = takeBody(std::string_view(m_bytes.data(), received));
        }
        if (!m_owner) {
            return;
        }
        if (refusal) {
            finish(refusal);
        } else if (error) {
            finish(error);
        } else if (!m_parser->is_done()) {
            if (!m_paused) {
                read();
            }
        } else if (m_skipping) {
            startReading();
        } else if (m_parser->need_eof()) {
            finishByClose();
        } else {
            finish({});
        }
    }
    /// Ends a response that only the end of the connection has ended. A reset ends a part in the
    /// same way if the writer of the request got its error, or if it follows the end because the
    /// peer has not read the request. So the response counts as complete once the peer has received
    /// the whole request; until then the owner's time limit applies.
    auto finishByClose() -> void
    {
        if (!m_owner) {
            return;
        }
        if (const auto error = connectionError()) {
            finish(error);
        } else if (m_written && unacknowledgedBytes() == 0) {
            finish({});
        } else {
            m_uploadTimer.expires_after(UPLOAD_CHECK_INTERVAL);
            m_uploadTimer.async_wait(
                [self = this->shared_from_this()](boost::system::error_code error) {
                    if (!error) {
                        self->finishByClose();
                    }
                });
        }
    }
    /// The error that has ended the connection, if any, whichever call got it.
    auto connectionError() -> std::error_code
    {
        if (m_writeError) {
            return m_writeError;
        }
        using boost::asio::detail::socket_option::integer;
        integer<SOL_SOCKET, SO_ERROR> pending;
        boost::system::error_code error;
        m_stream.socket().get_option(pending, error);
        return error ? std::error_code(error)
                     : std::error_code(pending.value(), std::system_category());
    }
    /// Bytes written to the kernel that the peer has not acknowledged.
    auto unacknowledgedBytes() -> int
    {
        int bytes = 0;
        return ::ioctl(m_stream.socket().native_handle(), SIOCOUTQ, &bytes) == 0 ? bytes : 0;
    }
    auto takeHead() -> std::error_code
    {
        const auto &message = m_parser->get();
        const auto kind = statusKindOf(message.result_int());
        if (kind == status_kind::invalid) {
            return make_error_code(response_error::invalid_status);
        }
        if (kind == status_kind::interim) {
            m_skipping = true;
            return ++m_skippedResponses > SKIPPED_RESPONSE_LIMIT
                       ? make_error_code(response_error::too_much_skipped)
                       : std::error_code{};
        }
        channel_head head{.status = static_cast<int>(message.result_int()),
                          .keepAlive = message.keep_alive()};
        for (const auto &field : message) {
            head.headers.push_back({std::string(field.name_string()), std::string(field.value())});
        }
        const auto verdict = m_owner->onHead(*this, head);
        m_skipping = verdict == head_verdict::skip;
        if (m_skipping && ++m_skippedResponses > SKIPPED_RESPONSE_LIMIT) {
            return make_error_code(response_error::too_much_skipped);
        }
        return verdict == head_verdict::refuse ? make_error_code(response_error::refused)
                                               : std::error_code{};
    }
    auto takeBody(std::string_view bytes) -> std::error_code
    {
        if (m_skipping) {
            m_skippedBytes += bytes.size();
            return m_skippedBytes > SKIPPED_LIMIT_BYTES
                       ? make_error_code(response_error::too_much_skipped)
                       : std::error_code{};
        }
        return m_owner->onBody(*this, bytes) == body_verdict::refuse
                   ? make_error_code(response_error::refused)
                   : std::error_code{};
    }
    auto finish(std::error_code error) -> void
    {
        const auto whole = !error;
        const auto reusable
            = whole && m_written && m_buffer.size() == 0 && m_parser->get().keep_alive();
        const auto cause = error && m_writeError ? std::error_code(m_writeError) : error;
        m_busy = false;
        m_paused = false;
        if (!reusable) {
            boost::system::error_code ignored;
            m_stream.socket().close(ignored);
        }
        if (m_owner) {
            m_owner->onDone(*this, {.error = cause,
                                    .phase = whole ? fetch_phase::finished : m_phase,
                                    .reusable = reusable,
                                    .endedByClose = whole && m_parser->need_eof()});
        }
    }
    auto closeIdle() -> void
    {
        auto *owner = std::exchange(m_owner, nullptr);
        boost::system::error_code ignored;
        m_stream.socket().close(ignored);
        if (owner) {
            owner->onIdleClosed(*this);
        }
    }

    boost::beast::tcp_stream m_stream;
    boost::asio::steady_timer m_uploadTimer;
    Owner *m_owner;
    std::uint64_t m_id;
    endpoint m_peer;
    channel_options m_options;
    boost::beast::http::request<boost::beast::http::string_body> m_request;
    boost::beast::flat_buffer m_buffer{UNPARSED_LIMIT_BYTES};
    std::optional<boost::beast::http::response_parser<boost::beast::http::buffer_body>> m_parser;
    std::array<char, BUFFER_BYTES> m_bytes;
    boost::system::error_code m_writeError;
    fetch_phase m_phase = fetch_phase::connecting;
    std::size_t m_skippedBytes = 0;
    std::uint32_t m_skippedResponses = 0;
    bool m_connected = false;
    bool m_busy = false;
    bool m_written = false;
    bool m_headTaken = false;
    bool m_skipping = false;
    bool m_paused = false;
    bool m_bodyless = false;
};

} // namespace marjoram
