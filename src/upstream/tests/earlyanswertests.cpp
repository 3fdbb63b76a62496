#include "upstream/tests/plaincodec.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <thread>

using namespace marjoram;
using namespace marjoram::testing;

namespace {

constexpr std::size_t UPLOAD_BYTES = 3'000'000;

/// What a server does after an answer that it has sent before it has read the request's body.
enum class early_end {
    reset,
    late_reset,
    half_close_and_reset,
    /// It ends its side of the connection and reads the body.
    half_close_and_read
};
constexpr std::array ENDS{early_end::reset, early_end::late_reset, early_end::half_close_and_reset,
                          early_end::half_close_and_read};

/// Server that answers one long request as soon as it has read the head. Its socket holds little,
/// so that the upload is still being written then: on the loopback the kernel would take it whole.
class early_server
{
public:
    early_server(std::string answer, early_end end)
        : m_answer(std::move(answer))
        , m_end(end)
        , m_acceptor(m_context)
    {
        using boost::asio::detail::socket_option::integer;
        m_acceptor.open(boost::asio::ip::tcp::v4());
        m_acceptor.set_option(boost::asio::socket_base::receive_buffer_size(4 * 1024));
        m_acceptor.set_option(integer<IPPROTO_TCP, TCP_MAXSEG>(1'400));
        m_acceptor.bind({boost::asio::ip::address_v4::loopback(), 0});
        m_acceptor.listen();
        m_thread = std::thread([this] { serve(); });
    }
    ~early_server() { m_thread.join(); }

    auto address() const -> endpoint { return {.port = m_acceptor.local_endpoint().port()}; }

private:
    auto serve() -> void
    {
        constexpr std::chrono::milliseconds SHORT{2};
        constexpr std::chrono::milliseconds LONG{300};
        boost::system::error_code error;
        boost::asio::ip::tcp::socket socket(m_context);
        m_acceptor.accept(socket, error);
        std::string received;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(received), "\r\n\r\n", error);
        boost::asio::write(socket, boost::asio::buffer(m_answer), error);
        switch (m_end) {
        case early_end::reset:
            std::this_thread::sleep_for(SHORT);
            break;
        case early_end::late_reset:
            std::this_thread::sleep_for(LONG);
            break;
        case early_end::half_close_and_reset:
            socket.shutdown(boost::asio::socket_base::shutdown_send, error);
            std::this_thread::sleep_for(LONG);
            break;
        case early_end::half_close_and_read:
            socket.shutdown(boost::asio::socket_base::shutdown_send, error);
            std::this_thread::sleep_for(SHORT);
            received.clear();
            boost::asio::read(socket, boost::asio::dynamic_buffer(received), error);
            return;
        }
        socket.set_option(boost::asio::socket_base::linger(true, 0), error);
        socket.close(error);
    }

    std::string m_answer;
    early_end m_end;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
};

/// Sends one long request to a server and keeps how its exchange has ended.
class long_upload
{
public:
    long_upload(const std::string &answer, early_end end, bool stream)
        : m_server(answer, end)
        , m_events(m_context, m_rings.fromServers, *this)
        , m_commands(m_context, m_rings.toServers, 1)
        , m_duty({}, m_rings)
    {
        m_duty.start();
        auto request = std::make_shared<forward_request>();
        request->requestId = "r1";
        request->method = "POST";
        request->body = std::string(UPLOAD_BYTES, 'u');
        m_commands.push(send_request{.exchangeId = 1,
                                     .serverId = "s",
                                     .server = m_server.address(),
                                     .request = request,
                                     .deadlineMs = 30'000,
                                     .stream = stream});
        m_events.start();
        m_context.run();
        m_duty.stop();
    }

    /// Called by the ring reader.
    auto handle(server_event &&event) -> void
    {
        if (!std::holds_alternative<stream_begun>(event)
            && !std::holds_alternative<stream_advanced>(event)) {
            m_last = std::move(event);
            m_context.stop();
        }
    }
    auto hasFailed() const -> bool { return std::holds_alternative<exchange_failed>(m_last); }
    auto isComplete() const -> bool
    {
        return std::holds_alternative<response_received>(m_last)
               || std::holds_alternative<stream_completed>(m_last);
    }

private:
    early_server m_server;
    boost::asio::io_context m_context;
    forward_rings m_rings;
    ring_reader<server_event, long_upload> m_events;
    ring_writer<server_command> m_commands;
    upstream_duty<plain_codec> m_duty;
    server_event m_last;
};

const std::string HEAD = "HTTP/1.1 200 OK\r\nId: r1\r\n";
const std::string STREAM_HEAD = HEAD + "Content-Type: text/event-stream\r\n";

} // namespace

// A server answered a long upload early, without a length, and reset the connection while the
// upload was being written. The write got the error, and the read an ordinary end.
TEST_CASE("a part of an early answer is complete although its connection was reset")
{
    for (const auto end : ENDS) {
        CAPTURE(static_cast<int>(end));
        const long_upload plain(HEAD + "\r\npart", end, false);
        const long_upload stream(STREAM_HEAD + "\r\nid: 1\ndata: x\n\n", end, true);
        const auto whole = end == early_end::half_close_and_read;
        CHECK(plain.hasFailed() == !whole);
        CHECK(stream.hasFailed() == !whole);
        CHECK(plain.isComplete() == whole);
        CHECK(stream.isComplete() == whole);
    }
}

TEST_CASE("an early answer whose framing shows that it is complete is lost with its connection")
{
    for (const auto end : ENDS) {
        CAPTURE(static_cast<int>(end));
        const long_upload withLength(HEAD + "Content-Length: 3\r\n\r\nall", end, false);
        CHECK(withLength.isComplete());
        const long_upload inChunks(HEAD + "Transfer-Encoding: chunked\r\n\r\n3\r\nall\r\n0\r\n\r\n",
                                   end, false);
        CHECK(inChunks.isComplete());
        if (end != early_end::half_close_and_read) {
            const long_upload part(HEAD + "Content-Length: 9\r\n\r\npart", end, false);
            CHECK(part.hasFailed());
        }
    }
}
