#include "framework/ring/ringends.h"
#include "reporting/datagramsocket.h"
#include "reporting/reportsduty.h"

#include <boost/asio/steady_timer.hpp>
#include <doctest/doctest.h>
#include <set>

using namespace marjoram;

namespace {

/// Reporter that counts the requests for reports and may leave them unanswered.
class counting_reporter
{
public:
    counting_reporter(boost::asio::io_context &context, const endpoint &where)
        : m_server(toText({.address = where.address, .port = 80}))
        , m_socket(context, *this)
    {
        REQUIRE_FALSE(m_socket.open(where));
        m_socket.start();
    }
    auto onDatagram(const endpoint &from, const frame &message) -> void
    {
        if (!std::holds_alternative<report_request_frame>(message)) {
            return;
        }
        ++requests;
        if (answers) {
            m_socket.send(from, server_report_frame{.server = m_server,
                                                    .sequence = ++m_sequence,
                                                    .answering = true});
        }
    }

    bool answers = true;
    std::uint32_t requests = 0;

private:
    std::string m_server;
    datagram_socket<counting_reporter> m_socket;
    std::uint64_t m_sequence = 0;
};

/// Collects which servers are said to have no reporter.
struct absence_recorder
{
    auto handle(report_event &&event) -> void
    {
        if (const auto *absent = std::get_if<reporter_absent>(&event)) {
            servers.insert(absent->serverId);
        }
    }
    std::set<std::string> servers;
};

} // namespace

// After an entry had been cut off for a few seconds, it asked for reports only every ten seconds.
TEST_CASE("a reporter is asked too seldom after it was silent")
{
    constexpr std::uint16_t REPORTER_PORT = 26'992;
    constexpr std::uint16_t ENTRY_PORT = 26'993;
    constexpr std::uint32_t ROUNDS = 60;
    constexpr std::chrono::seconds WAIT_LIMIT{20};
    boost::asio::io_context context;
    counting_reporter steady(context, {.address = "127.0.0.1", .port = REPORTER_PORT});
    counting_reporter silent(context, {.address = "127.0.0.2", .port = REPORTER_PORT});
    silent.answers = false;
    forward_rings rings;
    process_state state;
    const reports_options defaults;
    reports_options options{.host = "e",
                            .listen = {.port = ENTRY_PORT},
                            .reporterPort = REPORTER_PORT,
                            .requestIntervalUs = 20 * US_PER_MS};
    reports_duty duty(options, rings, state);
    ring_writer<servers_changed> list(context, rings.directoryToReports, 1);
    REQUIRE_FALSE(duty.listen());
    duty.start();
    list.push(servers_changed{
        {{.id = "steady", .pool = "p", .address = {.address = "127.0.0.1", .port = 80}},
         {.id = "silent", .pool = "p", .address = {.address = "127.0.0.2", .port = 80}}}});
    const auto giveUp = std::chrono::steady_clock::now() + WAIT_LIMIT;
    while (steady.requests < ROUNDS && std::chrono::steady_clock::now() < giveUp) {
        context.run_for(std::chrono::milliseconds(20));
    }
    duty.stop();
    REQUIRE(steady.requests >= ROUNDS);
    // At the default interval of a second, once in three rounds is within the time after a
    // disturbance for which the small fleets' operators allow for it.
    constexpr std::uint32_t MAX_ROUNDS_BETWEEN = 3;
    CHECK(defaults.requestIntervalUs == 1 * US_PER_SECOND);
    CHECK(silent.requests >= ROUNDS / MAX_ROUNDS_BETWEEN);
    CHECK(silent.requests < steady.requests);
}

// A silent reporter was taken for one that does not exist, and its server was trusted by the list.
TEST_CASE("a reporter that is silent among others of its pool counts as absent")
{
    constexpr std::uint16_t REPORTER_PORT = 26'988;
    constexpr std::uint16_t ENTRY_PORT = 26'989;
    constexpr std::uint32_t ROUNDS = 30;
    constexpr std::chrono::seconds WAIT_LIMIT{20};
    boost::asio::io_context context;
    counting_reporter steady(context, {.address = "127.0.0.1", .port = REPORTER_PORT});
    forward_rings rings;
    process_state state;
    reports_duty duty({.host = "e",
                       .listen = {.port = ENTRY_PORT},
                       .reporterPort = REPORTER_PORT,
                       .requestIntervalUs = 20 * US_PER_MS},
                      rings, state);
    ring_writer<servers_changed> list(context, rings.directoryToReports, 1);
    absence_recorder recorder;
    ring_reader<report_event, absence_recorder> events(context, rings.fromReports, recorder);
    events.start();
    REQUIRE_FALSE(duty.listen());
    duty.start();
    list.push(servers_changed{
        {{.id = "steady", .pool = "p", .address = {.address = "127.0.0.1", .port = 80}},
         {.id = "silent", .pool = "p", .address = {.address = "127.0.0.2", .port = 80}},
         {.id = "plain", .pool = "q", .address = {.address = "127.0.0.3", .port = 80}}}});
    const auto giveUp = std::chrono::steady_clock::now() + WAIT_LIMIT;
    while (steady.requests < ROUNDS && std::chrono::steady_clock::now() < giveUp) {
        context.run_for(std::chrono::milliseconds(20));
    }
    duty.stop();
    CHECK(recorder.servers == std::set<std::string>{"plain"});
}
