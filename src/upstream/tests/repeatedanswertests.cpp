#include "upstream/upstreamduty.h"

#include <atomic>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <list>
#include <thread>

using namespace marjoram;

namespace {

/// Answers name their request in "Id"; refusals carry "Refused", and need no name.
struct naming_codec
{
    static auto encode(const send_request &send) -> http_request
    {
        return {.target = send.request->target};
    }
    static auto encode(const copy_run &) -> http_request { return {.target = "/copy"}; }
    static auto encode(const release_kv_copy &) -> http_request { return {.target = "/release"}; }
    static auto encode(const query_process &) -> http_request { return {.target = "/process"}; }
    static auto identify(const channel_head &head, const std::string &requestId) -> answer_identity
    {
        const auto named = head.header("Id");
        if (named == requestId || (named.empty() && !head.header("Refused").empty())) {
            return answer_identity::expected;
        }
        return named.empty() ? answer_identity::unnamed : answer_identity::of_another_request;
    }
    static auto decode(const channel_head &head) -> response_head
    {
        return {.status = head.status, .notRun = !head.header("Refused").empty()};
    }
    static auto isEventStream(const channel_head &) -> bool { return false; }
    static auto idleTimeoutMs(const channel_head &) -> std::optional<std::int64_t>
    {
        return std::nullopt;
    }
    static auto decodeCopied(std::uint64_t copyId, int status, std::string_view body) -> run_copied
    {
        return {.copyId = copyId,
                .outcome = status == 200 ? copy_outcome::copied : copy_outcome::no_room,
                .handle = std::string(body)};
    }
    static auto decodeQueried(std::uint64_t queryId, int, std::string_view) -> process_queried
    {
        return {.queryId = queryId};
    }
};

auto answer(const std::string &fields, const std::string &body = {}) -> std::string
{
    return "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + std::to_string(body.size())
           + "\r\n\r\n" + body;
}

const std::string REFUSAL
    = "HTTP/1.1 503 Service Unavailable\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n";
const std::string NAMED_REFUSAL
    = "HTTP/1.1 503 Service Unavailable\r\nId: r1\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n";

/// What is written on one connection for each request that arrives there.
using connection_script = std::vector<std::string>;

/// Server that serves one connection after the other by a script.
class scripted_server
{
public:
    explicit scripted_server(std::vector<connection_script> scripts)
        : m_scripts(std::move(scripts))
        , m_acceptor(m_context, {boost::asio::ip::address_v4::loopback(), 0})
        , m_thread([this] { serve(); })
    { }
    ~scripted_server()
    {
        // Ends the wait for connections that never came.
        m_stopping = true;
        boost::asio::ip::tcp::socket wake(m_context);
        boost::system::error_code ignored;
        wake.connect(m_acceptor.local_endpoint(), ignored);
        m_thread.join();
    }
    auto address() const -> endpoint { return {.port = m_acceptor.local_endpoint().port()}; }

private:
    auto serve() -> void
    {
        for (const auto &script : m_scripts) {
            auto &socket = m_sockets.emplace_back(m_context);
            boost::system::error_code error;
            m_acceptor.accept(socket, error);
            if (error || m_stopping) {
                return;
            }
            std::string received;
            for (const auto &bytes : script) {
                const auto size = boost::asio::read_until(
                    socket, boost::asio::dynamic_buffer(received), "\r\n\r\n", error);
                if (error) {
                    break;
                }
                received.erase(0, size);
                boost::asio::write(socket, boost::asio::buffer(bytes), error);
            }
        }
    }

    std::vector<connection_script> m_scripts;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::list<boost::asio::ip::tcp::socket> m_sockets;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

/// Sends commands to a scripted server, each after the result of the one before.
class exchange_fixture
{
public:
    explicit exchange_fixture(std::vector<connection_script> scripts)
        : m_server(std::move(scripts))
        , m_events(m_context, m_rings.fromServers, *this)
        , m_commands(m_context, m_rings.toServers, 1)
        , m_duty({}, m_rings)
    {
        m_events.start();
        m_duty.start();
    }
    ~exchange_fixture() { m_duty.stop(); }

    /// Called by the ring reader.
    auto handle(server_event &&event) -> void
    {
        m_last = std::move(event);
        m_context.stop();
    }
    /// The outcome of a request in a word: its body, "refused" or "failed".
    auto send(const std::string &requestId, bool atMostOnce = true) -> std::string
    {
        auto request = std::make_shared<forward_request>();
        request->requestId = requestId;
        request->target = "/" + requestId;
        run(send_request{.exchangeId = ++m_lastExchange,
                         .serverId = "s",
                         .server = m_server.address(),
                         .request = request,
                         .deadlineMs = 3'000,
                         .freshConnection = atMostOnce});
        const auto *received = std::get_if<response_received>(&m_last);
        if (!received) {
            return "failed";
        }
        return received->head.notRun ? "refused" : received->body;
    }
    auto copy() -> std::string
    {
        run(copy_run{.copyId = ++m_lastExchange, .source = m_server.address(), .requestId = "r1"});
        const auto *copied = std::get_if<run_copied>(&m_last);
        REQUIRE(copied);
        return copied->outcome == copy_outcome::copied ? copied->handle : "not copied";
    }
    auto connections() const -> std::int64_t
    {
        return m_duty.metrics().value(upstream_metric::connections_opened);
    }

private:
    auto run(server_command command) -> void
    {
        m_commands.push(std::move(command));
        m_context.restart();
        m_context.run();
    }

    scripted_server m_server;
    boost::asio::io_context m_context;
    forward_rings m_rings;
    ring_reader<server_event, exchange_fixture> m_events;
    ring_writer<server_command> m_commands;
    upstream_duty<naming_codec> m_duty;
    server_event m_last;
    std::uint64_t m_lastExchange = 0;
};

} // namespace

// The server wrote the refusal once more when the next request arrived, and ran that request. The
// caller was told that it had not run.
TEST_CASE("a refusal repeated on its connection is not the answer to the next request")
{
    exchange_fixture f({{REFUSAL, REFUSAL + answer("Id: r2\r\n", "late")},
                        {answer("Id: r2\r\n", "second"), answer("Id: r3\r\n", "third")}});
    CHECK(f.send("r1") == "refused");
    CHECK(f.send("r2") == "second");
    CHECK(f.send("r3") == "third");
    CHECK(f.connections() == 2);
}

// A request that comes back to a server that has refused it carries the same id.
TEST_CASE("a refusal repeated for the same request is not taken for its second answer")
{
    exchange_fixture f({{NAMED_REFUSAL, NAMED_REFUSAL}, {answer("Id: r1\r\n", "ran")}});
    CHECK(f.send("r1") == "refused");
    CHECK(f.send("r1") == "ran");
}

TEST_CASE("a refusal behind an answer to another request proves nothing")
{
    const auto other = answer("Id: r1\r\n", "first");
    exchange_fixture f({{other, other + REFUSAL}});
    CHECK(f.send("r1") == "first");
    CHECK(f.send("r2") == "failed");
}

TEST_CASE("requests that may run twice reuse the connection of a refusal, others do not")
{
    exchange_fixture f({{REFUSAL, answer("Id: r2\r\n", "second"), REFUSAL},
                        {answer("Id: r3\r\n", "third"), answer("Id: r4\r\n", "fourth")}});
    CHECK(f.send("r1", false) == "refused");
    CHECK(f.send("r2", false) == "second");
    CHECK(f.connections() == 1);
    CHECK(f.send("r3") == "third");
    CHECK(f.send("r4") == "fourth");
    CHECK(f.connections() == 2);
}

// Answers about copies name no request: the handle of one run was taken for that of another.
TEST_CASE("a copy's answer repeated on its connection is not the answer to the next copy")
{
    exchange_fixture f(
        {{answer("Id: r1\r\n", "first"), answer("", "h1"), answer("", "h1")}, {answer("", "h2")}});
    CHECK(f.send("r1", false) == "first");
    CHECK(f.copy() == "h1");
    CHECK(f.copy() == "h2");
    CHECK(f.connections() == 2);
}

TEST_CASE("an answer to a request is not taken for that to a copy")
{
    const auto other = answer("Id: r0\r\n", "first");
    exchange_fixture f({{other, other + answer("", "h1")}});
    CHECK(f.send("r0", false) == "first");
    CHECK(f.copy() == "h1");
}

TEST_CASE("a connection on which bytes follow a complete answer is not used again")
{
    const auto first = answer("Id: r1\r\n", "first");
    exchange_fixture f({{first + REFUSAL}, {answer("Id: r2\r\n", "second")}});
    CHECK(f.send("r1") == "first");
    CHECK(f.send("r2") == "second");
    CHECK(f.connections() == 2);
}
