#include "forwarding/tests/forwardingfixture.h"

#include <doctest/doctest.h>

using namespace marjoram;
using namespace marjoram::testing;

namespace {

/// A run on a leaving server whose stream ends with its connection alone, up to the order to stop.
struct stopping_run : forwarding_fixture
{
    explicit stopping_run(const std::string &route = "draft")
    {
        openRequest(route);
        beginStream();
        streamEvents(1, 10);
        source = lastSend().serverId;
        reportLeaving();
        completeCopy(copy_outcome::copied, "h1");
        REQUIRE(sink.servers<copy_run>().back().stop);
    }
    auto endedAsComplete() const -> bool { return !sink.callers<end_response_stream>().empty(); }
    auto cut() const -> bool { return !sink.callers<abort_response_stream>().empty(); }

    std::string source;
};

/// A stream of a server that states its start, up to its end.
struct silent_reporter : forwarding_fixture
{
    static constexpr std::int64_t BORN = 1'800'000'000'000;

    explicit silent_reporter(bool leaving = false)
    {
        auto entries = std::vector{serverOf("i-c", "engines"), serverOf("i-d", "engines")};
        for (auto &entry : entries) {
            entry.bornUnixMs = BORN;
        }
        core.onServerList(entries);
        openRequest("draft");
        beginStream();
        streamEvents(1, 10);
        if (leaving) {
            reportLeaving("another", 8'000);
        } else {
            core.onReport(lastSend().serverId, {});
        }
    }
    auto queries() const -> std::size_t { return sink.servers<query_process>().size(); }
    auto answerQuery(query_outcome outcome, std::int64_t born = BORN) -> void
    {
        core.onEvent(process_queried{.queryId = sink.servers<query_process>().back().queryId,
                                     .outcome = outcome,
                                     .bornUnixMs = born});
    }
    auto endedAsComplete() const -> bool { return !sink.callers<end_response_stream>().empty(); }
    auto wasCut() const -> bool
    {
        return !endedAsComplete() && sink.callers<abort_response_stream>().size() == 1;
    }
    auto isOpen() const -> bool
    {
        return !endedAsComplete() && sink.callers<abort_response_stream>().empty();
    }
};

constexpr std::array REPLIES{copy_outcome::copied, copy_outcome::no_such_run, copy_outcome::no_room,
                             copy_outcome::failed};

} // namespace

TEST_CASE("a stream that closes when its run is stopped ends as complete")
{
    for (const auto reply : REPLIES) {
        for (const auto closesFirst : {true, false}) {
            CAPTURE(nameOf(reply));
            CAPTURE(closesFirst);
            stopping_run f;
            if (closesFirst) {
                f.closeStream();
            }
            f.completeCopy(reply, reply == copy_outcome::copied ? "h2" : "");
            if (!closesFirst) {
                f.closeStream();
            }
            CHECK_FALSE(f.endedAsComplete());
            REQUIRE(f.sends() == 2);
            CHECK(f.lastSend().resumeAfter == 10);
            f.beginStream();
            f.streamEvents(11, 12);
            f.endStream(response_end::framing);
            CHECK(f.endedAsComplete());
            CHECK(f.deliveredBytes().ends_with("10;11;12;"));
        }
    }
}

TEST_CASE("a stream that closes after the order to stop was given up ends as complete")
{
    stopping_run refused;
    refused.completeCopy(copy_outcome::no_room, "");
    refused.advance(31);
    REQUIRE(refused.sink.servers<release_kv_copy>().size() == 1);
    refused.closeStream();
    CHECK_FALSE(refused.endedAsComplete());
    CHECK(refused.cut());
    stopping_run resumable("label");
    resumable.completeCopy(copy_outcome::no_room, "");
    resumable.advance(31);
    resumable.closeStream();
    REQUIRE(resumable.sends() == 2);
    CHECK(resumable.lastSend().resumeAfter == 10);
    CHECK_FALSE(resumable.lastSend().resumeFrom);
}

TEST_CASE("a stopped run that resumes nowhere ends as complete")
{
    stopping_run f;
    f.closeStream();
    f.completeCopy(copy_outcome::failed, "");
    for (int i = 0; i < 2; ++i) {
        f.answer({.status = 503, .notRun = true});
    }
    CHECK_FALSE(f.endedAsComplete());
    CHECK(f.cut());
}

// The answer to the order was lost, and the order itself came late: it stopped the run that had
// resumed at its source meanwhile.
TEST_CASE("a stream that a late order to stop closes at its source ends as complete")
{
    for (const auto reply : {copy_outcome::failed, copy_outcome::no_room}) {
        CAPTURE(nameOf(reply));
        stopping_run f;
        f.closeStream();
        f.completeCopy(reply, reply == copy_outcome::failed ? "" : "h1");
        if (reply == copy_outcome::failed) {
            REQUIRE(f.lastSend().serverId != f.source);
            f.answer({.status = 503, .notRun = true});
        }
        REQUIRE(f.lastSend().serverId == f.source);
        f.beginStream();
        f.streamEvents(11, 12);
        f.closeStream();
        f.advance(100);
        f.core.onReport(f.source, {});
        // The order that was answered has been carried out and can't stop another run.
        CHECK(f.endedAsComplete() == (reply == copy_outcome::no_room));
        CHECK(f.cut() == (reply == copy_outcome::failed));
    }
}

TEST_CASE("a run that was ordered to stop and completes its stream is cut")
{
    stopping_run f;
    f.endStream(response_end::framing);
    CHECK(f.endedAsComplete());
    CHECK(f.sink.servers<release_kv_copy>().size() == 1);
}

TEST_CASE("a run that was ordered to stop counts as lost in a crash of its server")
{
    stopping_run f;
    f.completeCopy(copy_outcome::no_room, "");
    f.advance(31);
    f.failExchange(fetch_phase::reading);
    CHECK(f.cut());
    CHECK(f.directory.find(f.source)->consecutiveFailures == 0);
}

// A server that shuts down, or crashes, closes the connections of its unfinished streams.
TEST_CASE("a stream that closes with the process of its server ends as complete")
{
    forwarding_fixture replaced;
    replaced.openRequest("draft");
    replaced.beginStream();
    replaced.streamEvents(1, 10);
    replaced.core.onReport(replaced.lastSend().serverId, {});
    replaced.closeStream();
    CHECK(replaced.sink.callers<end_response_stream>().empty());
    replaced.core.onReplaced(replaced.lastSend().serverId);
    CHECK(replaced.sink.callers<end_response_stream>().empty());
    CHECK(replaced.sink.callers<abort_response_stream>().size() == 1);

    forwarding_fixture crashed;
    crashed.openRequest("label");
    crashed.beginStream();
    crashed.streamEvents(1, 10);
    crashed.core.onReport(crashed.lastSend().serverId, {});
    crashed.closeStream();
    crashed.advance(160);
    crashed.core.onReport(crashed.lastSend().serverId, {.answering = false});
    CHECK(crashed.sink.callers<end_response_stream>().empty());
    REQUIRE(crashed.sends() == 2);
    CHECK(crashed.lastSend().resumeAfter == 10);
    // The repeat goes on when the time to decide on the first run's end is over.
    crashed.beginStream();
    crashed.streamEvents(11, 12);
    crashed.advance(400);
    CHECK(crashed.sink.callers<end_response_stream>().empty());
    CHECK(crashed.sink.servers<cancel_exchange>().empty());

    forwarding_fixture shutDown;
    shutDown.openRequest("draft");
    shutDown.beginStream();
    shutDown.streamEvents(1, 10);
    shutDown.reportLeaving("another", 1'000);
    shutDown.advance(900);
    shutDown.closeStream();
    CHECK(shutDown.sink.callers<end_response_stream>().empty());
    CHECK(shutDown.sink.callers<abort_response_stream>().size() == 1);
}

// A reporter that stood still or had ended was taken for the crash of its server.
TEST_CASE("a silent reporter cuts a whole stream, or ends a part as complete")
{
    // Heard until the end, not heard for a while, of a leaving server, stating that its server does
    // not answer.
    enum class silence { since_end, before_end, leaving, reported };
    for (const auto how :
         {silence::since_end, silence::before_end, silence::leaving, silence::reported}) {
        CAPTURE(static_cast<int>(how));
        silent_reporter sound(how == silence::leaving);
        silent_reporter crashed(how == silence::leaving);
        silent_reporter unreachable(how == silence::leaving);
        for (auto *f : {&sound, &crashed, &unreachable}) {
            f->advance(how == silence::before_end ? 2'000 : 0);
            f->closeStream();
            if (how == silence::reported) {
                f->advance(120);
                f->core.onReport(f->lastSend().serverId, {.answeredAgoMs = 130});
                f->advance(40);
                f->core.onReport(f->lastSend().serverId,
                                 {.answering = false, .answeredAgoMs = 170});
            }
            f->advance(501);
            CHECK(f->isOpen());
            REQUIRE(f->queries() == 1);
        }
        sound.answerQuery(query_outcome::answered);
        CHECK(sound.endedAsComplete());
        crashed.answerQuery(query_outcome::refused);
        CHECK(crashed.wasCut());
        for (int i = 0; i < 3; ++i) {
            unreachable.answerQuery(query_outcome::failed);
            CHECK(unreachable.isOpen());
            unreachable.advance(501);
        }
        CHECK(unreachable.queries() == 4);
        unreachable.advance(4'000);
        CHECK(unreachable.wasCut());
    }
}

TEST_CASE(
    "a query that another process answers, or one from before the end, ends a part as complete")
{
    silent_reporter restarted;
    restarted.closeStream();
    restarted.advance(301);
    restarted.answerQuery(query_outcome::answered, silent_reporter::BORN + 1);
    CHECK(restarted.wasCut());

    forwarding_fixture early;
    early.core.onServerList({serverOf("i-c", "engines")});
    std::vector<std::uint64_t> exchanges;
    for (int i = 0; i < 2; ++i) {
        early.openRequest("draft");
        REQUIRE(early.sends() == exchanges.size() + 1);
        early.beginStream();
        early.streamEvents(1, 3);
        exchanges.push_back(early.lastSend().exchangeId);
    }
    early.core.onReport("i-c", {});
    const auto completed = [&early] { return early.sink.callers<end_response_stream>().size(); };
    const auto answer = [&early] {
        early.core.onEvent(
            process_queried{.queryId = early.sink.servers<query_process>().back().queryId,
                            .outcome = query_outcome::answered});
    };
    early.closeStream();
    early.advance(301);
    REQUIRE(early.sink.servers<query_process>().size() == 1);
    early.core.onEvent(
        stream_completed{.exchangeId = exchanges.front(), .end = response_end::connection_close});
    answer();
    CHECK(completed() == 1);
    early.advance(301);
    REQUIRE(early.sink.servers<query_process>().size() == 2);
    answer();
    CHECK(completed() == 2);
}

TEST_CASE("a request that may be repeated waits for the sign of a silent server")
{
    forwarding_fixture f;
    f.openRequest("label");
    f.beginStream();
    f.streamEvents(1, 10);
    f.core.onReport(f.lastSend().serverId, {});
    f.closeStream();
    f.advance(501);
    REQUIRE(f.sends() == 2);
    CHECK(f.lastSend().resumeAfter == 10);
    f.beginStream();
    f.streamEvents(11, 12);
    f.endStream(response_end::framing);
    CHECK(f.deliveredBytes().ends_with("10;11;12;"));
    CHECK(f.sink.callers<end_response_stream>().size() == 1);
    CHECK(f.core.drained());
}

TEST_CASE("a stream that closes is cut, or kept open, although its server goes on")
{
    forwarding_fixture leaving;
    leaving.openRequest("draft");
    leaving.beginStream();
    leaving.streamEvents(1, 10);
    leaving.reportLeaving("another", 5'000);
    leaving.closeStream();
    leaving.advance(10);
    leaving.reportLeaving("another", 4'990);
    CHECK(leaving.sink.callers<end_response_stream>().empty());
    leaving.advance(30);
    leaving.reportLeaving("another", 4'960);
    CHECK(leaving.sink.callers<end_response_stream>().size() == 1);
    CHECK(leaving.copyCommands() == 0);
    CHECK(leaving.core.drained());

    forwarding_fixture withoutReporter;
    withoutReporter.openRequest("draft");
    withoutReporter.beginStream();
    withoutReporter.streamEvents(1, 10);
    withoutReporter.closeStream();
    CHECK(withoutReporter.sink.callers<end_response_stream>().size() == 1);
}

// An entry that had just started had no report of a server, whose reporter stood still.
TEST_CASE("a stream ends as complete though the reporter of its server has not been heard yet")
{
    const stream_end_options options;
    const time_us expired{options.confirmationUs};
    const server_view awaited{.reporterAwaited = true};
    CHECK(decideStreamEnd(&awaited, {}, {}, options) == stream_end::undecided);
    CHECK(decideStreamEnd(&awaited, {}, expired, options) == stream_end::unconfirmed);
    CHECK(decideStreamEnd(&awaited, {.sign = process_sign::ended}, expired, options)
          == stream_end::cut);
    CHECK(decideStreamEnd(&awaited, {.sign = process_sign::survived}, expired, options)
          == stream_end::complete);
    const server_view withoutReporter;
    CHECK(decideStreamEnd(&withoutReporter, {}, {}, options) == stream_end::complete);
}
