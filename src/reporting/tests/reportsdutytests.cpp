#include "framework/ring/ringends.h"
#include "reporting/datagramsocket.h"
#include "reporting/reportorder.h"
#include "reporting/reportsduty.h"

#include <boost/asio/steady_timer.hpp>
#include <doctest/doctest.h>

using namespace marjoram;

namespace {

constexpr std::int64_t BORN = 1'800'000'000'000;

/// A duty, and a reporter on the loopback address that answers each request for reports.
class reports_fixture
{
public:
    reports_fixture()
        : m_socket(m_context, *this)
        , m_events(m_context, m_rings.fromReports, *this)
        , m_list(m_context, m_rings.directoryToReports, 1)
        , m_timer(m_context)
    {
        REQUIRE_FALSE(m_socket.open({.port = REPORTER_PORT}));
        m_socket.start();
        m_events.start();
        REQUIRE_FALSE(m_duty.listen());
        m_duty.start();
    }
    ~reports_fixture() { m_duty.stop(); }

    static auto entryOf(std::string id, std::int64_t born) -> server_entry
    {
        return {.id = std::move(id), .pool = "p", .address = {.port = 80}, .bornUnixMs = born};
    }
    /// Publishes a list and returns the server that the reporter's next report is ascribed to.
    auto reportedServer(std::vector<server_entry> entries) -> std::string
    {
        m_list.push(servers_changed{std::move(entries)});
        return awaitReport();
    }
    /// Publishes a list and waits until the reporter has been asked for a report.
    auto publish(std::vector<server_entry> entries) -> void
    {
        m_list.push(servers_changed{std::move(entries)});
        m_awaitsRequest = true;
        awaitReport();
        REQUIRE_FALSE(m_awaitsRequest);
    }
    /// Announces a server and returns the server that the next report is ascribed to.
    auto announcedServer(const std::string &id) -> std::string
    {
        m_socket.send(
            {.port = ENTRY_PORT},
            server_news_frame{.id = id, .server = "127.0.0.1:80", .bornUnixMs = BORN, .relays = 2});
        return awaitReport();
    }

    // --- called by the socket and the ring reader

    auto onDatagram(const endpoint &from, const frame &message) -> void
    {
        if (const auto *wanted = std::get_if<report_request_frame>(&message)) {
            if (m_requestSentAtUs == 0) {
                m_requestSentAtUs = wanted->sentAtUs;
                m_requestedAt = m_clock.now();
            }
            m_heldMs = (m_clock.now() - m_requestedAt) / US_PER_MS;
            m_socket.send(from, server_report_frame{.server = "127.0.0.1:80",
                                                    .sequence = ++m_sequence,
                                                    .answering = true,
                                                    .bornUnixMs = BORN,
                                                    .running = m_reporterProcess,
                                                    .requestSentAtUs = m_requestSentAtUs});
            if (std::exchange(m_awaitsRequest, false)) {
                m_context.stop();
            }
        }
    }
    auto handle(report_event &&event) -> void
    {
        if (const auto *reported = std::get_if<server_reported>(&event)) {
            m_reported = reported->serverId;
            m_delayMs = reported->report.delayMs;
            m_reportedProcess = reported->report.running;
            m_context.stop();
        } else if (const auto *replaced = std::get_if<server_replaced>(&event)) {
            m_replaced.push_back(replaced->serverId);
        } else if (auto *replied = std::get_if<room_replied>(&event)) {
            m_reply = std::move(*replied);
            m_context.stop();
        }
    }
    /// Waits for a report that was made at the entry's first request, and has been held since then
    /// for as long as is returned first; the second is what the duty makes of it.
    auto heldReport() -> std::pair<std::int64_t, std::optional<std::int64_t>>
    {
        REQUIRE_FALSE(awaitReport().empty());
        return {m_heldMs, m_delayMs};
    }
    /// The reporter has sent so many reports to all its entries.
    auto setSequence(std::uint64_t sequence) -> void { m_sequence = sequence; }
    /// Another process of the reporter has sent so many. It has got none of the requests before.
    auto restartReporter(std::uint64_t sequence) -> void
    {
        m_sequence = sequence;
        m_requestSentAtUs = 0;
        ++m_reporterProcess;
    }
    /// A reply of the reporter to a room request, about the server process with that start.
    auto roomReply(std::int64_t bornUnixMs) const -> room_reply_frame
    {
        return {.askId = 1,
                .verdict = room_verdict::granted,
                .report = {.server = "127.0.0.1:80",
                           .sequence = m_sequence + 1,
                           .answering = true,
                           .bornUnixMs = bornUnixMs,
                           .requestSentAtUs = m_requestSentAtUs}};
    }
    /// Sends a reply to the entry and returns what its duty makes of it.
    auto deliver(const room_reply_frame &reply) -> room_replied
    {
        m_reply.reset();
        m_socket.send({.port = ENTRY_PORT}, reply);
        while (!m_reply && !awaitReport().empty()) { }
        REQUIRE(m_reply.has_value());
        return *m_reply;
    }
    /// Waits for the next report of the reporter's present process and returns the server that it
    /// is ascribed to.
    auto nextReport() -> std::string
    {
        while (!awaitReport().empty() && m_reportedProcess != m_reporterProcess) { }
        return m_reported;
    }
    /// The reports that follow state a request of an earlier process.
    auto stateEarlierRequest() -> void { m_requestSentAtUs = 1; }
    auto replacedServers() const -> const std::vector<std::string> & { return m_replaced; }

private:
    // Below the range from which the kernel draws.
    static constexpr std::uint16_t REPORTER_PORT = 26'990;
    static constexpr std::uint16_t ENTRY_PORT = 26'991;
    static constexpr std::chrono::seconds WAIT_LIMIT{5};

    /// Empty if no report is ascribed to a server.
    auto awaitReport() -> std::string
    {
        m_reported.clear();
        m_timer.expires_after(WAIT_LIMIT);
        m_timer.async_wait([this](boost::system::error_code error) {
            if (!error) {
                m_context.stop();
            }
        });
        m_context.restart();
        m_context.run();
        return m_reported;
    }

    boost::asio::io_context m_context;
    forward_rings m_rings;
    datagram_socket<reports_fixture> m_socket;
    ring_reader<report_event, reports_fixture> m_events;
    ring_writer<servers_changed> m_list;
    boost::asio::steady_timer m_timer;
    process_state m_state;
    reports_duty m_duty{
        {.host = "e", .listen = {.port = ENTRY_PORT}, .reporterPort = REPORTER_PORT},
        m_rings,
        m_state};
    std::uint64_t m_sequence = 0;
    /// Counts the restarts of the reporter; its reports state it as the number of running requests.
    std::uint32_t m_reporterProcess = 0;
    std::uint32_t m_reportedProcess = 0;
    bool m_awaitsRequest = false;
    std::string m_reported;
    std::optional<std::int64_t> m_delayMs;
    /// What the reports state of the entry's first request.
    std::int64_t m_requestSentAtUs = 0;
    system_clock_source m_clock;
    time_us m_requestedAt;
    std::int64_t m_heldMs = 0;
    std::vector<std::string> m_replaced;
    std::optional<room_replied> m_reply;
};

} // namespace

// The server whose entry came first got the reports of the other one, or nobody got them: those of
// a server that had restarted under a new id were dropped until the old entry had gone.
TEST_CASE("a report is ascribed to the server with its start among entries that share an address")
{
    reports_fixture f;
    CHECK(f.reportedServer({reports_fixture::entryOf("a-crashed", BORN - 1),
                            reports_fixture::entryOf("b-restarted", BORN),
                            reports_fixture::entryOf("c-odd", 0)})
          == "b-restarted");
}

TEST_CASE("an announced server gets its reports although an old entry has its address")
{
    reports_fixture f;
    f.publish({reports_fixture::entryOf("a-crashed", BORN - 1)});
    CHECK(f.announcedServer("b-restarted") == "b-restarted");
    CHECK(f.reportedServer({reports_fixture::entryOf("a-crashed", BORN - 1),
                            reports_fixture::entryOf("b-restarted", BORN)})
          == "b-restarted");
}

// After all hosts had lost power, entries sent each request to listed processes that had ended, and
// the new ones at their addresses refused it three times in a row.
TEST_CASE("a listed process still gets requests although a later one reports from its address")
{
    reports_fixture f;
    f.reportedServer({reports_fixture::entryOf("a-ended", BORN - 1),
                      reports_fixture::entryOf("b-restarted", BORN),
                      reports_fixture::entryOf("c-odd", 0)});
    CHECK(f.replacedServers() == std::vector<std::string>{"a-ended"});
}

// After a standstill the datagrams of that time were read from the socket, and counted as made
// then.
TEST_CASE("a report that has waited on its way counts as made when it arrives")
{
    constexpr std::int64_t HELD_MS = 500;
    reports_fixture f;
    REQUIRE_FALSE(f.reportedServer({reports_fixture::entryOf("a", BORN)}).empty());
    auto held = f.heldReport();
    while (held.first < HELD_MS) {
        held = f.heldReport();
    }
    REQUIRE(held.second.has_value());
    CHECK(*held.second >= held.first);
    f.stateEarlierRequest();
    CHECK_FALSE(f.heldReport().second.has_value());
}

// After a restart of their reporter, which numbers its reports from 1 again, entries dropped its
// reports as old until the number had passed the former one.
TEST_CASE("reports of a restarted reporter are dropped")
{
    constexpr std::uint64_t SENT_BEFORE = 100;
    reports_fixture f;
    f.setSequence(SENT_BEFORE);
    REQUIRE_FALSE(f.reportedServer({reports_fixture::entryOf("a", BORN)}).empty());
    f.restartReporter(1);
    CHECK(f.nextReport() == "a");
    CHECK(f.nextReport() == "a");
}

// A reply to a room request from the former process of a reporter arrived late, and raised the
// number that reports of the present one had to pass.
TEST_CASE("a late reply of a former reporter process hides the reports of its successor")
{
    constexpr std::uint64_t SENT_BEFORE = 100;
    reports_fixture f;
    f.setSequence(SENT_BEFORE);
    REQUIRE_FALSE(f.reportedServer({reports_fixture::entryOf("a", BORN)}).empty());
    const auto late = f.roomReply(BORN);
    f.restartReporter(0);
    REQUIRE(f.nextReport() == "a");
    const auto reply = f.deliver(late);
    CHECK(reply.verdict == room_verdict::granted);
    CHECK_FALSE(reply.report.has_value());
    CHECK(f.nextReport() == "a");
}

// The reply of a server's former process, which arrived late, was taken for a sign that the present
// one does not answer.
TEST_CASE("a late reply about a former server process shows the present one as down")
{
    reports_fixture f;
    REQUIRE_FALSE(f.reportedServer({reports_fixture::entryOf("a", BORN)}).empty());
    const auto former = f.deliver(f.roomReply(BORN - 1));
    CHECK(former.verdict == room_verdict::not_answering);
    CHECK_FALSE(former.report.has_value());
    const auto successor = f.deliver(f.roomReply(BORN + 1));
    CHECK(successor.verdict == room_verdict::not_answering);
    REQUIRE(successor.report.has_value());
    CHECK_FALSE(successor.report->answering);
}

TEST_CASE("reports are ordered by the entry's requests, whatever their reporter's numbers")
{
    constexpr time_us STARTED{1'000};
    constexpr time_us NOW{9'000};
    const auto reportAt = [](std::int64_t requestedAtUs, std::uint64_t number) {
        return server_report_frame{
            .sequence = number, .bornUnixMs = BORN, .requestSentAtUs = requestedAtUs};
    };
    report_order order;
    const auto classify = [&](const server_report_frame &report) {
        return order.classify(report, BORN, STARTED, NOW);
    };
    CHECK(classify(reportAt(2'000, 50)) == report_standing::latest);
    CHECK(classify(reportAt(2'000, 49)) == report_standing::outdated);
    CHECK(classify(reportAt(2'000, 50)) == report_standing::outdated);
    CHECK(classify(reportAt(3'000, 51)) == report_standing::latest);
    CHECK_FALSE(order.reporterRestarted());
    CHECK(classify(reportAt(4'000, 1)) == report_standing::latest);
    CHECK(order.reporterRestarted());
    // Of the process before.
    CHECK(classify(reportAt(3'000, 52)) == report_standing::outdated);
    CHECK(classify(reportAt(4'000, 2)) == report_standing::latest);
    CHECK_FALSE(order.reporterRestarted());
    // No request, one of an earlier process of the entry, one of a clock that was set anew.
    for (const auto requestedAtUs : {0, 900, 9'001}) {
        CHECK(classify(reportAt(requestedAtUs, 1)) == report_standing::undated);
    }
    CHECK(classify(reportAt(4'000, 3)) == report_standing::latest);
    auto ofOther = reportAt(5'000, 4);
    ofOther.bornUnixMs = BORN + 1;
    CHECK(classify(ofOther) == report_standing::other_process);
    ofOther.bornUnixMs = 0;
    CHECK(classify(ofOther) == report_standing::latest);
}
