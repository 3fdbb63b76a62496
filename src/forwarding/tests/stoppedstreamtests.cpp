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
    auto closeStream() -> void { endStream(response_end::connection_close); }
    auto endStream(response_end end) -> void
    {
        core.onEvent(stream_completed{.exchangeId = lastSend().exchangeId, .end = end});
    }
    auto endedAsComplete() const -> bool { return !sink.callers<end_response_stream>().empty(); }
    auto cut() const -> bool { return !sink.callers<abort_response_stream>().empty(); }

    std::string source;
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
