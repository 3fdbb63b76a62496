#include "framework/http/httpfetch.h"
#include "framework/http/httpserver.h"

#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace marjoram;

namespace {

struct echo_app
{
    auto onRequest(const std::shared_ptr<http_session<echo_app>> &session) -> void
    {
        if (session->request().path() == "/stream") {
            session->startStream({{"Content-Type", "text/event-stream"}});
            session->sendChunk("one ");
            session->sendChunk("two");
            session->finishStream();
            return;
        }
        if (session->request().path() == "/broken-stream") {
            session->startStream({{"Content-Type", "text/event-stream"}});
            session->sendChunk("one ");
            session->respond({.status = 502, .body = "error"});
            session->sendChunk("two");
            session->finishStream();
            return;
        }
        if (session->request().path() == "/two-responses") {
            session->respond({.body = "one"});
            session->respond({.status = 502, .body = "error"});
            return;
        }
        session->respond({.body = session->request().body});
    }
    auto onDrained(http_session<echo_app> &) -> void { }
    auto onClosed(http_session<echo_app> &) -> void { ++closed; }
    auto refusal(int status) -> http_response { return {.status = status}; }
    int closed = 0;
};

struct collecting_sink
{
    auto onBody(std::string_view bytes) -> body_verdict
    {
        body.append(bytes);
        return body_verdict::take;
    }
    auto onDone(const fetch_outcome &ended) -> void { outcome = ended; }
    std::string body;
    fetch_outcome outcome;
};

auto exchange(const http_limits &limits, const http_request &request) -> collecting_sink
{
    boost::asio::io_context context;
    echo_app app;
    http_server<echo_app> server(context, app, limits);
    const auto where = server.listen({});
    REQUIRE(where.has_value());
    collecting_sink sink;
    auto fetch = std::make_shared<http_fetch<collecting_sink>>(context, sink, fetch_options{});
    fetch->start(*where, request);
    while (sink.outcome.status == 0 && !sink.outcome.error) {
        context.run_one();
    }
    return sink;
}

/// All bytes that the server writes for a request until it closes the connection.
auto bytesOf(const std::string &target) -> std::string
{
    boost::asio::io_context context;
    echo_app app;
    http_server<echo_app> server(context, app, {});
    const auto where = server.listen({});
    REQUIRE(where.has_value());
    boost::asio::ip::tcp::socket socket(context);
    socket.connect({boost::asio::ip::address_v4::loopback(), where->port});
    boost::asio::write(
        socket, boost::asio::buffer("GET " + target + " HTTP/1.1\r\nConnection: close\r\n\r\n"));
    std::string bytes;
    auto ended = false;
    boost::asio::async_read(socket, boost::asio::dynamic_buffer(bytes),
                            [&ended](boost::system::error_code, std::size_t) { ended = true; });
    while (!ended) {
        context.run_one();
    }
    return bytes;
}

/// Server that answers one connection byte by byte, and closes after many of them.
class trickling_server
{
public:
    explicit trickling_server(boost::asio::io_context &context)
        : m_acceptor(context, {boost::asio::ip::address_v4::loopback(), 0})
        , m_socket(context)
        , m_timer(context)
    {
        m_acceptor.async_accept(m_socket, [this](boost::system::error_code) { sendNext(HEAD); });
    }
    auto address() const -> endpoint { return {.port = m_acceptor.local_endpoint().port()}; }

private:
    static constexpr std::string_view HEAD = "HTTP/1.1 200 OK\r\n\r\n";
    static constexpr std::size_t BYTE_LIMIT = 2'000;

    auto sendNext(std::string_view bytes) -> void
    {
        boost::system::error_code error;
        m_socket.write_some(boost::asio::buffer(bytes), error);
        if (error || ++m_sent > BYTE_LIMIT) {
            m_socket.close(error);
            return;
        }
        m_timer.expires_after(std::chrono::milliseconds(1));
        m_timer.async_wait([this](boost::system::error_code) { sendNext("x"); });
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::size_t m_sent = 0;
};

} // namespace

TEST_CASE("a body is answered whole and a stream arrives in order")
{
    const auto whole = exchange({}, {.method = "POST", .target = "/echo", .body = "hello"});
    CHECK(whole.outcome.status == 200);
    CHECK(whole.body == "hello");
    const auto streamed = exchange({}, {.target = "/stream?x=1"});
    CHECK(streamed.outcome.phase == fetch_phase::finished);
    CHECK(streamed.body == "one two");
}

// The head and the text of the error went into the middle of the stream.
TEST_CASE("a response given while another has begun closes the connection")
{
    for (const auto *target : {"/broken-stream", "/two-responses"}) {
        const auto bytes = bytesOf(target);
        CHECK(bytes.starts_with("HTTP/1.1 200 OK"));
        CHECK(bytes.find("502") == std::string::npos);
        CHECK(bytes.find("error") == std::string::npos);
        CHECK(bytes.find("two") == std::string::npos);
        CHECK(bytes.find("\r\n0\r\n") == std::string::npos);
    }
}

TEST_CASE("an oversize body and an oversize header are refused with a status")
{
    const auto body = exchange({.bodyBytes = 10},
                               {.method = "POST", .target = "/", .body = std::string(100, 'x')});
    CHECK(body.outcome.status == 413);
    const auto header
        = exchange({.headerBytes = 256}, {.headers = {{"X-Long", std::string(1000, 'x')}}});
    CHECK(header.outcome.status == 431);
}

TEST_CASE("a peer that is not there fails while connecting")
{
    boost::asio::io_context context;
    collecting_sink sink;
    auto fetch = std::make_shared<http_fetch<collecting_sink>>(context, sink, fetch_options{});
    fetch->start({.address = "127.0.0.1", .port = 1}, {});
    context.run();
    CHECK(sink.outcome.error);
    CHECK(sink.outcome.phase == fetch_phase::connecting);
}

// Each byte ended the wait for the next, so that a response that trickles never ended.
TEST_CASE("a response that trickles ends with the total time limit")
{
    boost::asio::io_context context;
    trickling_server server(context);
    collecting_sink sink;
    auto fetch = std::make_shared<http_fetch<collecting_sink>>(
        context, sink, fetch_options{.totalTimeout = std::chrono::milliseconds(50)});
    fetch->start(server.address(), {});
    context.run();
    const std::error_code timeout = make_error_code(boost::beast::error::timeout);
    CHECK(sink.outcome.error == timeout);
}

// Statuses such as 000 reached callers as answers.
TEST_CASE("a fetch takes a status that no response has, or an interim response, for the answer")
{
    using boost::asio::ip::tcp;
    const auto fetchFrom = [](const std::string &answer) {
        boost::asio::io_context context;
        tcp::acceptor acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
        tcp::socket socket(context);
        acceptor.async_accept(socket, [&](boost::system::error_code) {
            boost::asio::write(socket, boost::asio::buffer(answer));
            socket.shutdown(tcp::socket::shutdown_send);
        });
        collecting_sink sink;
        auto fetch = std::make_shared<http_fetch<collecting_sink>>(context, sink, fetch_options{});
        fetch->start({.port = acceptor.local_endpoint().port()}, {});
        context.run();
        return sink.outcome;
    };
    const std::string rest = " OK\r\nContent-Length: 3\r\n\r\nall";
    for (const auto *status : {"000", "099", "101", "600", "999"}) {
        CAPTURE(status);
        CHECK(fetchFrom(std::string("HTTP/1.1 ") + status + rest).error);
    }
    const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    CHECK(fetchFrom(interim).error);
    const auto followed = fetchFrom(interim + "HTTP/1.1 200" + rest);
    CHECK_FALSE(followed.error);
    CHECK(followed.status == 200);
}

TEST_CASE("targets and endpoints are taken apart")
{
    const http_request request{.target = "/a/b?after=3&wait=10"};
    CHECK(request.path() == "/a/b");
    CHECK(request.query("wait") == "10");
    CHECK(request.query("none").empty());
    CHECK(parseEndpoint("127.0.0.1:80")->port == 80);
    CHECK(parseEndpoint("localhost:80").error() == endpoint_error::malformed);
    CHECK(parseEndpoint("127.0.0.1:99999").has_error());
}
