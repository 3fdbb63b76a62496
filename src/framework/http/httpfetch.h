#pragma once

#include "framework/global/answerdeadline.h"
#include "framework/http/httptypes.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <memory>
#include <optional>

namespace marjoram {

/// How an exchange ended.
struct fetch_outcome
{
    std::error_code error;
    fetch_phase phase = fetch_phase::connecting;
    int status = 0;
};

/// Time limits of one exchange.
struct fetch_options
{
    std::chrono::milliseconds connectTimeout{1'000};
    /// Longest silence while the response is read.
    std::chrono::milliseconds readTimeout{30'000};
    /// Longest time until the response is complete; unset for streams.
    std::optional<std::chrono::milliseconds> totalTimeout;
    /// Limits on the response that depend on its size, and how long it may be held back; unset if
    /// the other limits are enough.
    std::optional<answer_deadline_options> answer;
    std::int64_t answerWaitUs = 0;
};

/// Receives a response as it arrives; all callbacks on the fetch's io_context. Refusing a body ends
/// the exchange with response_error::refused.
template <typename S>
concept fetch_sink = requires(S &sink, std::string_view bytes, const fetch_outcome &outcome)
{
    {
        sink.onBody(bytes)
        } -> std::same_as<body_verdict>;
    sink.onDone(outcome);
};

/// One HTTP exchange whose body is handed on piece by piece. Owned by shared_ptr.
/// Not thread safe: lives on its io_context. The sink must outlive it or call cancel().
template <typename Sink>
class http_fetch : public std::enable_shared_from_this<http_fetch<Sink>>
{
public:
    http_fetch(boost::asio::io_context &context, Sink &sink, fetch_options options)
        : m_stream(context)
        , m_sink(&sink)
        , m_options(options)
    { }

    /// Begins. The sink hears exactly one onDone() unless cancel() comes first.
    auto start(const endpoint &where, http_request request) -> void
    {
        static_assert(fetch_sink<Sink>);
        namespace http = boost::beast::http;
        m_request.method_string(request.method);
        m_request.target(request.target);
        m_request.version(HTTP_VERSION);
        m_request.set(http::field::host, toText(where));
        for (const auto &header : request.headers) {
            m_request.set(header.name, header.value);
        }
        m_request.body() = std::move(request.body);
        m_request.keep_alive(false);
        m_request.prepare_payload();
        if (m_options.totalTimeout) {
            m_endAt = clock::now() + *m_options.totalTimeout;
        }
        if (m_options.answer) {
            m_answer.emplace(*m_options.answer);
            m_answer->start(m_clock.now(), m_options.answerWaitUs);
        }
        boost::system::error_code error;
        const auto address = boost::asio::ip::make_address(where.address, error);
        m_stream.expires_after(m_options.connectTimeout);
        m_stream.async_connect(boost::asio::ip::tcp::endpoint(address, where.port),
                               [self = this->shared_from_this()](boost::system::error_code e) {
                                   self->onConnected(e);
                               });
    }
    /// Drops the connection; the sink hears nothing more.
    auto cancel() -> void
    {
        m_sink = nullptr;
        m_stream.close();
    }
    /// Stops reading, so that the peer feels the back-pressure, until resume().
    auto pause() -> void { m_paused = true; }
    auto resume() -> void
    {
        m_paused = false;
        if (m_readDeferred) {
            m_readDeferred = false;
            read();
        }
    }
    auto status() const -> int { return m_status; }

private:
    using clock = std::chrono::steady_clock;

    static constexpr unsigned HTTP_VERSION = 11;
    static constexpr std::size_t BUFFER_BYTES = 16 * 1024;
    static constexpr std::uint32_t SKIPPED_RESPONSE_LIMIT = 16;

    auto onConnected(boost::system::error_code error) -> void
    {
        if (error) {
            done(error);
            return;
        }
        boost::system::error_code ignored;
        m_stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        m_phase = fetch_phase::writing;
        boost::beast::http::async_write(
            m_stream, m_request,
            [self = this->shared_from_this()](boost::system::error_code e, std::size_t) {
                self->onWritten(e);
            });
    }
    auto onWritten(boost::system::error_code error) -> void
    {
        if (error) {
            done(error);
            return;
        }
        m_phase = fetch_phase::reading;
        m_parser.emplace();
        m_parser->body_limit(boost::none);
        read();
    }
    auto read() -> void
    {
        if (!m_sink) {
            return;
        }
        if (m_paused) {
            m_readDeferred = true;
            m_stream.expires_never();
            return;
        }
        m_parser->get().body().data = m_bytes.data();
        m_parser->get().body().size = m_bytes.size();
        auto until = clock::now() + m_options.readTimeout;
        if (m_endAt) {
            until = std::min(until, *m_endAt);
        }
        if (m_answer) {
            until
                = std::min(until, clock::now() + durationUntil(m_answer->endsAt(), m_clock.now()));
        }
        m_stream.expires_at(until);
        boost::beast::http::async_read_some(
            m_stream, m_buffer, *m_parser,
            [self = this->shared_from_this()](boost::system::error_code e, std::size_t) {
                self->onRead(e);
            });
    }
    auto onRead(boost::system::error_code error) -> void
    {
        if (!m_sink) {
            return;
        }
        if (error == boost::beast::http::error::need_buffer) {
            error = {};
        }
        if (m_parser->is_header_done()) {
            m_status = static_cast<int>(m_parser->get().result_int());
            const auto kind = statusKindOf(m_parser->get().result_int());
            if (kind == status_kind::invalid) {
                done(make_error_code(response_error::invalid_status));
                return;
            }
            if (kind == status_kind::interim && !error) {
                skipInterim();
                return;
            }
        }
        const auto size = m_bytes.size() - m_parser->get().body().size;
        if (m_answer && size > 0) {
            m_answer->onProgress(m_clock.now(), size);
        }
        const auto refused
            = m_parser->is_header_done() && size > 0
              && m_sink->onBody(std::string_view(m_bytes.data(), size)) == body_verdict::refuse;
        if (!m_sink) {
            return;
        }
        if (refused) {
            done(make_error_code(response_error::refused));
            return;
        }
        if (error || m_parser->is_done()) {
            if (!error) {
                m_phase = fetch_phase::finished;
            }
            done(error);
            return;
        }
        read();
    }
    /// Reads on for the final response. Precondition: the head of an interim one, which has no
    /// body, has been read.
    auto skipInterim() -> void
    {
        if (++m_skippedResponses > SKIPPED_RESPONSE_LIMIT) {
            done(make_error_code(response_error::too_much_skipped));
            return;
        }
        m_status = 0;
        m_parser.emplace();
        m_parser->body_limit(boost::none);
        read();
    }
    auto done(std::error_code error) -> void
    {
        m_stream.close();
        auto *sink = std::exchange(m_sink, nullptr);
        if (sink) {
            sink->onDone({.error = error, .phase = m_phase, .status = m_status});
        }
    }

    boost::beast::tcp_stream m_stream;
    Sink *m_sink;
    fetch_options m_options;
    std::optional<clock::time_point> m_endAt;
    system_clock_source m_clock;
    std::optional<answer_deadline> m_answer;
    boost::beast::http::request<boost::beast::http::string_body> m_request;
    boost::beast::flat_buffer m_buffer{UNPARSED_LIMIT_BYTES};
    std::optional<boost::beast::http::response_parser<boost::beast::http::buffer_body>> m_parser;
    std::array<char, BUFFER_BYTES> m_bytes;
    fetch_phase m_phase = fetch_phase::connecting;
    std::uint32_t m_skippedResponses = 0;
    int m_status = 0;
    bool m_paused = false;
    bool m_readDeferred = false;
};

} // namespace marjoram
