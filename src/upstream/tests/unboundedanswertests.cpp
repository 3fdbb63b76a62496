#include "upstream/tests/plaincodec.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <condition_variable>
#include <doctest/doctest.h>
#include <mutex>
#include <thread>

using namespace marjoram;
using namespace marjoram::testing;

namespace {

enum class answer_end { close, reset, never };

/// What a server writes: a beginning, and then the same bytes until the client closes.
struct scripted_answer
{
    std::string begin;
    std::string repeat;
    answer_end end = answer_end::never;
};

/// Server that takes one connection and plays a script.
class scripted_server
{
public:
    explicit scripted_server(scripted_answer script)
        : m_script(std::move(script))
        , m_acceptor(m_context, {boost::asio::ip::address_v4::loopback(), 0})
        , m_thread([this] { serve(); })
    { }
    ~scripted_server() { m_thread.join(); }

    auto address() const -> endpoint { return {.port = m_acceptor.local_endpoint().port()}; }
    /// Waits until nothing more has been written for a while, and returns the bytes written.
    auto writtenUntilBlocked() -> std::size_t
    {
        constexpr std::chrono::milliseconds QUIET{500};
        std::unique_lock lock(m_mutex);
        for (auto seen = m_written;; seen = m_written) {
            m_changed.wait_for(lock, QUIET, [this] { return m_ended; });
            if (m_ended || (seen == m_written && seen > 0)) {
                return m_written;
            }
        }
    }
    /// Bytes written before the client closed. Call after the client is done.
    auto written() -> std::size_t
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [this] { return m_ended; });
        return m_written;
    }

private:
    /// Bound on what is written to a client that does not close.
    static constexpr std::size_t WRITE_LIMIT_BYTES = 128 * 1024 * 1024;

    auto serve() -> void
    {
        boost::system::error_code error;
        boost::asio::ip::tcp::socket socket(m_context);
        m_acceptor.accept(socket, error);
        std::string received;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(received), "\r\n\r\n", error);
        boost::asio::write(socket, boost::asio::buffer(m_script.begin), error);
        std::size_t written = 0;
        while (!error && !m_script.repeat.empty() && written < WRITE_LIMIT_BYTES) {
            written += boost::asio::write(socket, boost::asio::buffer(m_script.repeat), error);
            const std::lock_guard lock(m_mutex);
            m_written = written;
        }
        if (m_script.end == answer_end::reset) {
            socket.set_option(boost::asio::socket_base::linger(true, 0), error);
        }
        socket.close(error);
        const std::lock_guard lock(m_mutex);
        m_written = written;
        m_ended = true;
        m_changed.notify_all();
    }

    scripted_answer m_script;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::size_t m_written = 0;
    bool m_ended = false;
    std::thread m_thread;
};

/// Events of one request to a scripted server, until its exchange has ended. They may stay in the
/// ring instead.
class exchange_fixture
{
public:
    exchange_fixture(scripted_answer script, bool stream, upstream_options options = {},
                     bool consumed = true)
        : m_server(std::move(script))
        , m_events(m_context, m_rings.fromServers, *this)
        , m_commands(m_context, m_rings.toServers, 1)
        , m_duty(options, m_rings)
    {
        m_duty.start();
        auto request = std::make_shared<forward_request>();
        request->requestId = "r1";
        request->method = "GET";
        m_commands.push(send_request{.exchangeId = 1,
                                     .serverId = "s",
                                     .server = m_server.address(),
                                     .request = request,
                                     .deadlineMs = 30'000,
                                     .stream = stream});
        if (consumed) {
            m_events.start();
            m_context.run();
            m_duty.stop();
        }
    }
    /// Ends a duty whose events are not consumed, and closes its connections.
    auto stop() -> void
    {
        m_commands.push(cancel_exchange{1});
        CHECK(m_server.written() > 0);
        m_duty.stop();
    }

    /// Called by the ring reader.
    auto handle(server_event &&event) -> void
    {
        if (const auto *advanced = std::get_if<stream_advanced>(&event)) {
            m_streamEvents += advanced->events.size();
            return;
        }
        if (!std::holds_alternative<stream_begun>(event)) {
            m_last = std::move(event);
            m_context.stop();
        }
    }
    auto error() const -> std::error_code
    {
        const auto *failed = std::get_if<exchange_failed>(&m_last);
        return failed ? failed->error : std::error_code{};
    }
    auto body() const -> std::string
    {
        const auto *received = std::get_if<response_received>(&m_last);
        return received ? received->body : std::string{};
    }
    auto completed() const -> bool { return std::holds_alternative<stream_completed>(m_last); }
    auto streamEvents() const -> std::size_t { return m_streamEvents; }
    auto server() -> scripted_server & { return m_server; }

private:
    scripted_server m_server;
    boost::asio::io_context m_context;
    forward_rings m_rings;
    ring_reader<server_event, exchange_fixture> m_events;
    ring_writer<server_command> m_commands;
    upstream_duty<plain_codec> m_duty;
    server_event m_last;
    std::size_t m_streamEvents = 0;
};

const std::string HEAD = "HTTP/1.1 200 OK\r\nId: r1\r\n";
const std::string STREAM_HEAD = HEAD + "Content-Type: text/event-stream\r\n";

/// Plays an answer without end; it must fail, and the client must close soon.
auto checkClosed(scripted_answer script, bool stream) -> void
{
    constexpr std::size_t CLOSED_WITHIN_BYTES = 32 * 1024 * 1024;
    exchange_fixture f(std::move(script), stream);
    CHECK(f.error());
    CHECK(f.server().written() < CLOSED_WITHIN_BYTES);
}

} // namespace

TEST_CASE("an answer with neither length nor chunks ends with its connection")
{
    exchange_fixture f({.begin = HEAD + "\r\nall of it", .end = answer_end::close}, false);
    CHECK(f.body() == "all of it");
}

TEST_CASE("an answer without a length whose connection is reset is not complete")
{
    exchange_fixture f({.begin = HEAD + "\r\npart", .end = answer_end::reset}, false);
    CHECK(f.error());
}

TEST_CASE("a stream without a length is complete after an event, and broken off within one")
{
    const auto event = std::string("id: 1\ndata: x\n\n");
    exchange_fixture whole({.begin = STREAM_HEAD + "\r\n" + event, .end = answer_end::close}, true);
    CHECK(whole.completed());
    CHECK(whole.streamEvents() == 1);
    exchange_fixture torn(
        {.begin = STREAM_HEAD + "\r\n" + event + "id: 2\nda", .end = answer_end::close}, true);
    CHECK(torn.error() == make_error_code(upstream_error::truncated_event));
    CHECK(torn.streamEvents() == 1);
}

// A server that crashed before its first event was taken to have answered with no event.
TEST_CASE("a stream without a length that ends before its first event is broken off")
{
    exchange_fixture f({.begin = STREAM_HEAD + "\r\n", .end = answer_end::close}, true);
    CHECK(f.error() == make_error_code(upstream_error::empty_stream));
    exchange_fixture framed(
        {.begin = STREAM_HEAD + "Content-Length: 0\r\n\r\n", .end = answer_end::close}, true);
    CHECK(framed.completed());
}

// The rest was read, and the caller kept waiting, until the request's deadline.
TEST_CASE("a body without end is refused, and its connection closed")
{
    checkClosed({.begin = HEAD + "\r\n", .repeat = std::string(4'096, 'x')}, false);
    checkClosed({.begin = HEAD + "Transfer-Encoding: chunked\r\n\r\n",
                 .repeat = "1000\r\n" + std::string(4'096, 'x') + "\r\n"},
                false);
    checkClosed({.begin = STREAM_HEAD + "\r\n", .repeat = std::string(4'096, 'x')}, true);
    checkClosed({.begin = STREAM_HEAD + "\r\n", .repeat = "data: x\n"}, true);
}

// Each was within its own limit, and all together were more than the process may hold.
TEST_CASE("answers that exceed the limit on all of them together are refused")
{
    const upstream_options options{.totalBodyLimitBytes = 1024 * 1024};
    exchange_fixture large(
        {.begin = HEAD + "\r\n" + std::string(2 * 1024 * 1024, 'x'), .end = answer_end::close},
        false, options);
    CHECK(large.error() == make_error_code(upstream_error::answer_too_large));
    exchange_fixture small({.begin = HEAD + "\r\nall of it", .end = answer_end::close}, false,
                           options);
    CHECK(small.body() == "all of it");
}

// Each blank line or comment was passed on as an event, until the request's deadline.
TEST_CASE("a stream without end that holds no event is refused, and its connection closed")
{
    checkClosed({.begin = STREAM_HEAD + "\r\n", .repeat = std::string(4'096, '\n')}, true);
    checkClosed({.begin = STREAM_HEAD + "\r\n", .repeat = ": no event\n\n"}, true);
}

TEST_CASE("a head without end is refused, and its connection closed")
{
    checkClosed({.begin = HEAD, .repeat = "More: of it\r\n"}, false);
    checkClosed({.begin = HEAD + "More: ", .repeat = std::string(4'096, 'x')}, false);
    checkClosed({.repeat = "not an answer "}, false);
    checkClosed({.repeat = "\r\n"}, false);
    checkClosed({.repeat = "HTTP/1.1 100 Continue\r\n\r\n"}, true);
}

TEST_CASE("a chunk's header or a trailer without end is refused, and its connection closed")
{
    const auto chunked = HEAD + "Transfer-Encoding: chunked\r\n\r\n";
    checkClosed({.begin = chunked + "5;", .repeat = std::string(4'096, 'x')}, false);
    checkClosed({.begin = chunked + "0\r\n", .repeat = "More: of it\r\n"}, false);
}

TEST_CASE("bytes without end that belong to no request are refused, and their connection closed")
{
    const std::string other = "HTTP/1.1 200 OK\r\nId: r0\r\n";
    checkClosed({.begin = other + "\r\n", .repeat = std::string(4'096, 'x')}, false);
    checkClosed({.repeat = other + "Content-Length: 1\r\n\r\nx"}, false);
    checkClosed({.begin = "HTTP/1.1 200 OK\r\n\r\n", .repeat = std::string(4'096, 'x')}, false);
}

// A server stopped in the middle of its answer's head and closed; the caller got status 200 with an
// empty or short body that looked complete.
TEST_CASE("an answer whose head is cut anywhere is passed on as complete")
{
    struct framing
    {
        std::string fields;
        std::string body;
        bool stream = false;
    };
    const std::vector<framing> framings{
        {.fields = "Content-Length: 3\r\n", .body = "all"},
        {.fields = "Transfer-Encoding: chunked\r\n", .body = "3\r\nall\r\n0\r\n\r\n"},
        {.fields = "Connection: close\r\n", .body = "all"},
        {.fields = "Transfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n",
         .body = "7\r\nid: 1\n\n\r\n0\r\n\r\n",
         .stream = true},
        {.fields = "Content-Type: text/event-stream\r\n", .body = "id: 1\n\n", .stream = true},
    };
    for (const auto &framing : framings) {
        const auto head = HEAD + framing.fields + "\r\n";
        CAPTURE(head);
        for (std::size_t length = 0; length < head.size(); ++length) {
            CAPTURE(length);
            exchange_fixture f({.begin = head.substr(0, length), .end = answer_end::close},
                               framing.stream);
            CHECK(f.error());
            CHECK(f.streamEvents() == 0);
        }
        exchange_fixture whole({.begin = head + framing.body, .end = answer_end::close},
                               framing.stream);
        CHECK_FALSE(whole.error());
    }
}

TEST_CASE("a body that is cut within its length or its chunks is passed on as complete")
{
    const std::vector<std::string> framed{
        HEAD + "Content-Length: 3\r\n\r\nall",
        HEAD + "Transfer-Encoding: chunked\r\n\r\n3\r\nall\r\n0\r\n\r\n",
        STREAM_HEAD + "Transfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n0\r\n\r\n"};
    for (const auto &answer : framed) {
        CAPTURE(answer);
        for (auto length = answer.find("\r\n\r\n") + 4; length < answer.size(); ++length) {
            CAPTURE(length);
            exchange_fixture f({.begin = answer.substr(0, length), .end = answer_end::close},
                               answer.starts_with(STREAM_HEAD));
            CHECK(f.error());
            CHECK_FALSE(f.completed());
        }
    }
}

// A server sent events without end faster than the entry handled them. They filled the queue
// between two duties, which was bounded by their number only, until the process ran out of memory.
TEST_CASE("a stream that is faster than its consumer is kept in memory")
{
    constexpr std::size_t READ_LIMIT_BYTES = 32 * 1024 * 1024;
    const std::vector<std::string> repeated{"id: 1\n\n",
                                            "id: 1\ndata: " + std::string(4'096, 'x') + "\n\n"};
    for (const auto &event : repeated) {
        CAPTURE(event.size());
        std::string block;
        while (block.size() < 16 * 1024) {
            block += event;
        }
        exchange_fixture f({.begin = STREAM_HEAD + "\r\n", .repeat = block}, true, {}, false);
        CHECK(f.server().writtenUntilBlocked() < READ_LIMIT_BYTES);
        f.stop();
    }
}

// Events that never ended counted towards no limit on all answers together.
TEST_CASE("an event without end is held beyond the limit on all answers together")
{
    const upstream_options options{.totalBodyLimitBytes = 64 * 1024};
    exchange_fixture f({.begin = STREAM_HEAD + "\r\n" + std::string(128 * 1024, 'x')}, true,
                       options);
    CHECK(f.error() == make_error_code(upstream_error::event_too_large));
}

// A server in trouble answered with status 000, and its caller got that as an answer.
TEST_CASE("a status that no response has is passed on")
{
    for (const auto *status : {"000", "099", "101", "600", "999", "20", "2000", "-01"}) {
        for (const auto stream : {false, true}) {
            CAPTURE(status);
            exchange_fixture f({.begin = std::string("HTTP/1.1 ") + status
                                         + " OK\r\nId: r1\r\nContent-Length: 3\r\n\r\nall",
                                .end = answer_end::close},
                               stream);
            CHECK(f.error());
            CHECK(f.body().empty());
        }
    }
}

TEST_CASE("an interim response is passed on as the answer, or hides it")
{
    const auto last = HEAD + "Content-Length: 3\r\n\r\nall";
    for (const auto *status : {"100", "103", "199"}) {
        CAPTURE(status);
        const auto interim = std::string("HTTP/1.1 ") + status + " Wait\r\nId: r1\r\n\r\n";
        exchange_fixture alone({.begin = interim, .end = answer_end::close}, false);
        CHECK(alone.error());
        exchange_fixture followed({.begin = interim + last, .end = answer_end::close}, false);
        CHECK_FALSE(followed.error());
        CHECK(followed.body() == "all");
    }
}
