#include "framework/http/httpserver.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <thread>

using namespace marjoram;

namespace {

using boost::asio::ip::tcp;

constexpr std::size_t LARGE_BYTES = 16U * 1024U * 1024U;

/// Answers with the request's body, with LARGE_BYTES for /large, and keeps /stream open.
struct test_app
{
    using session_ptr = std::shared_ptr<http_session<test_app>>;

    auto onRequest(const session_ptr &session) -> void
    {
        ++requests;
        if (session->request().path() == "/stream") {
            session->startStream({});
            session->sendChunk("one");
            streaming = session;
        } else if (session->request().path() == "/large") {
            session->respond({.body = std::string(LARGE_BYTES, 'x')});
        } else {
            session->respond({.body = session->request().body});
        }
    }
    auto onDrained(http_session<test_app> &) -> void { }
    auto onClosed(http_session<test_app> &) -> void { }
    auto refusal(int status) -> http_response { return {.status = status}; }

    int requests = 0;
    session_ptr streaming;
};

/// A server, and one connection to it that is written and read from the same thread.
class test_site
{
public:
    explicit test_site(const http_limits &limits)
        : server(context, app, limits)
        , client(clientContext)
    {
        const auto where = server.listen({});
        REQUIRE(where.has_value());
        client.connect({boost::asio::ip::address_v4::loopback(), where->port});
        client.non_blocking(true);
    }

    /// Runs the server until `done()` or for a generous time.
    template <typename Done>
    auto runUntil(Done &&done) -> bool
    {
        constexpr std::chrono::seconds GENEROUS{20};
        const auto end = std::chrono::steady_clock::now() + GENEROUS;
        while (!done() && std::chrono::steady_clock::now() < end) {
            context.run_one_for(std::chrono::milliseconds(5));
        }
        return done();
    }
    auto send(std::string_view bytes) -> void
    {
        while (!bytes.empty()) {
            boost::system::error_code error;
            bytes.remove_prefix(client.write_some(boost::asio::buffer(bytes), error));
            sendError = error == boost::asio::error::would_block ? sendError : error;
            if (sendError) {
                return;
            }
            context.poll();
        }
    }
    /// Reads what has arrived; returns whether the connection has ended.
    auto ended() -> bool
    {
        std::array<char, 65536> bytes{};
        while (!receiveError) {
            boost::system::error_code error;
            const auto count = client.read_some(boost::asio::buffer(bytes), error);
            if (error == boost::asio::error::would_block) {
                return false;
            }
            received.append(bytes.data(), count);
            receiveError = error;
        }
        return true;
    }
    auto receivedText(std::string_view text) -> bool
    {
        ended();
        return received.find(text) != std::string::npos;
    }

    boost::asio::io_context context;
    boost::asio::io_context clientContext;
    test_app app;
    http_server<test_app> server;
    tcp::socket client;
    std::string received;
    boost::system::error_code sendError;
    boost::system::error_code receiveError;
};

auto post(std::string_view path, std::size_t length) -> std::string
{
    return "POST " + std::string(path)
           + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

} // namespace

// The connection was closed while the body was still arriving. Closing with unread input resets a
// connection, so the caller failed to send and did not read the answer.
TEST_CASE("a refusal reaches a caller that is still sending its body")
{
    constexpr std::size_t BODY_BYTES = 4U * 1024U * 1024U;
    test_site site({.bodyBytes = 1000});
    site.send(post("/", BODY_BYTES));
    site.runUntil([&] { return site.receivedText("413"); });
    for (std::size_t sent = 0; sent < BODY_BYTES; sent += 65536) {
        site.send(std::string(65536, 'x'));
    }
    CHECK(!site.sendError);
    CHECK(site.runUntil([&] { return site.ended(); }));
    CHECK(site.receiveError == boost::asio::error::eof);
    CHECK(site.received.find("413") != std::string::npos);
}

// A caller that never stops sending would hold the connection for good.
TEST_CASE("a refused caller that goes on sending is cut off in the end")
{
    test_site site({.bodyBytes = 1000, .lingerBytes = 100'000});
    site.send(post("/", LARGE_BYTES));
    for (std::size_t sent = 0; sent < LARGE_BYTES && !site.sendError; sent += 65536) {
        site.send(std::string(65536, 'x'));
    }
    CHECK(site.sendError);
    CHECK(site.runUntil([&] { return site.server.connections() == 0; }));
}

// An answer that closes its connection was destroyed by the reset if the next request had arrived.
TEST_CASE("a closing answer reaches a caller that has already sent its next request")
{
    test_site site({});
    site.server.closeAfterAnswers();
    site.send(post("/large", 0));
    site.send(post("/", 5) + "hello");
    CHECK(site.runUntil([&] { return site.app.requests == 1; }));
    site.send(post("/", 5) + "again");
    CHECK(site.runUntil([&] { return site.ended(); }));
    CHECK(site.receiveError == boost::asio::error::eof);
    CHECK(site.received.size() > LARGE_BYTES);
    CHECK(site.app.requests == 1);
}

// Connections without a request that was read whole were closed at once at a planned stop.
TEST_CASE("a request that is half read when idle connections close is answered")
{
    test_site site({});
    site.send(post("/", 10) + "hello");
    site.runUntil([&] { return site.server.busy() > 0; });
    site.server.closeAfterAnswers();
    site.server.stopListening();
    site.server.closeIdle();
    site.send("world");
    CHECK(site.runUntil([&] { return site.ended(); }));
    CHECK(site.received.find("HTTP/1.1 200") == 0);
    CHECK(site.received.find("helloworld") != std::string::npos);
    CHECK(site.received.find("Connection: close") != std::string::npos);
    CHECK(site.server.busy() == 0);
}

TEST_CASE("a request that stays half read when idle connections close is refused")
{
    test_site site({.lastReadTimeout = std::chrono::milliseconds(20)});
    site.send(post("/", 10) + "hello");
    site.runUntil([&] { return site.server.busy() > 0; });
    site.server.closeAfterAnswers();
    site.server.closeIdle();
    CHECK(site.runUntil([&] { return site.receivedText("HTTP/1.1 503"); }));
    site.send("world");
    CHECK(site.runUntil([&] { return site.ended(); }));
    CHECK(site.receiveError == boost::asio::error::eof);
    CHECK(site.app.requests == 0);
}

// Bytes that have arrived but were not read yet do not make a connection idle.
TEST_CASE("a request that has arrived unread when idle connections close is answered")
{
    test_site site({});
    site.runUntil([&] { return site.server.connections() == 1; });
    const auto request = post("/", 5) + "hello";
    boost::system::error_code error;
    site.client.write_some(boost::asio::buffer(request), error);
    site.server.closeAfterAnswers();
    site.server.closeIdle();
    CHECK(site.runUntil([&] { return site.ended(); }));
    CHECK(site.received.find("HTTP/1.1 200") == 0);
}

// Connections that the kernel had accepted were reset with the listener.
TEST_CASE("a connection in the listener's queue is answered when the listener closes")
{
    test_site site({});
    const auto request = post("/", 5) + "hello";
    boost::system::error_code error;
    site.client.write_some(boost::asio::buffer(request), error);
    site.server.closeAfterAnswers();
    site.server.stopListening();
    site.server.closeIdle();
    CHECK(site.runUntil([&] { return site.ended(); }));
    CHECK(site.receiveError == boost::asio::error::eof);
    CHECK(site.received.find("HTTP/1.1 200") == 0);
}

TEST_CASE("an idle connection closes when idle connections close")
{
    test_site site({});
    site.send(post("/", 5) + "hello");
    CHECK(site.runUntil([&] { return site.receivedText("hello"); }));
    CHECK(!site.ended());
    site.server.closeIdle();
    CHECK(site.runUntil([&] { return site.ended(); }));
}

// A stream that began before the stop promised to keep its connection, which then stayed open
// until the process ended.
TEST_CASE("a stream that ends after idle connections closed closes its connection")
{
    test_site site({});
    site.send(post("/stream", 0));
    CHECK(site.runUntil([&] { return site.receivedText("one"); }));
    site.server.closeAfterAnswers();
    site.server.stopListening();
    site.server.closeIdle();
    CHECK(!site.ended());
    site.app.streaming->finishStream();
    CHECK(site.runUntil([&] { return site.ended(); }));
    CHECK(site.received.ends_with("\r\n0\r\n\r\n"));
    CHECK(site.server.busy() == 0);
}

// The idle time limit ran on while a request was arriving, and closed the connection unanswered.
TEST_CASE("the idle time limit does not cut a request that is arriving")
{
    test_site site({.idleTimeout = std::chrono::milliseconds(60)});
    site.send(post("/", 5) + "first");
    CHECK(site.runUntil([&] { return site.receivedText("first"); }));
    site.send(post("/", 6) + "sec");
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(200);
    while (std::chrono::steady_clock::now() < end) {
        site.context.run_one_for(std::chrono::milliseconds(5));
    }
    site.send("ond");
    CHECK(site.runUntil([&] { return site.receivedText("second"); }));
}

// The process ended once no request was open, with an answer still on its way to a slow reader.
TEST_CASE("an answer that is still being written counts as busy")
{
    test_site site({});
    site.send(post("/large", 0));
    CHECK(site.runUntil([&] { return site.app.requests == 1; }));
    CHECK(site.server.busy() == 1);
    CHECK(site.runUntil([&] {
        site.ended();
        return site.received.size() > LARGE_BYTES && site.server.busy() == 0;
    }));
}
