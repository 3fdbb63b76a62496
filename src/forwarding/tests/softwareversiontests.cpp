#include "forwarding/tests/forwardingfixture.h"

#include <doctest/doctest.h>

using namespace marjoram;
using namespace marjoram::testing;

namespace {

auto engineOf(std::string id, std::string version, std::int64_t born = 1) -> server_entry
{
    auto out = serverOf(std::move(id), "engines");
    out.softwareVersion = std::move(version);
    out.bornUnixMs = born;
    return out;
}

/// A stream that was begun by the only server of the list, before the others joined.
struct begun_stream : forwarding_fixture
{
    begun_stream(const std::string &route, std::vector<server_entry> others)
        : servers(std::move(others))
    {
        core.onServerList({engineOf("i-c", "v1")});
        openRequest(route);
        REQUIRE(lastSend().serverId == "i-c");
        beginStream();
        streamEvents(1, 10);
        servers.push_back(engineOf("i-c", "v1"));
        core.onServerList(servers);
    }
    auto cut() const -> bool { return !sink.callers<abort_response_stream>().empty(); }

    std::vector<server_entry> servers;
};

} // namespace

TEST_CASE("a run moves to a server of another version")
{
    begun_stream alone("draft", {engineOf("i-d", "v2"), engineOf("i-e", "v2")});
    alone.reportLeaving();
    alone.advance(200);
    CHECK(alone.copyCommands() == 0);
    CHECK_FALSE(alone.cut());

    begun_stream f("draft", {engineOf("i-d", "v2"), engineOf("i-e", "v2"), engineOf("i-f", "v1")});
    f.reportLeaving();
    REQUIRE(f.copyCommands() == 1);
    CHECK(f.sink.servers<copy_run>().back().target == engineOf("i-f", "v1").address);
}

TEST_CASE("a run that has made no event moves to a server of another version")
{
    forwarding_fixture f;
    f.core.onServerList({engineOf("i-c", "v1")});
    f.openRequest("draft");
    f.beginStream();
    f.core.onServerList({engineOf("i-c", "v1"), engineOf("i-d", "v2")});
    f.reportLeaving();
    CHECK(f.copyCommands() == 0);
}

TEST_CASE("a broken stream is repeated at a server of another version")
{
    begun_stream f("label", {engineOf("i-d", "v2"), engineOf("i-e", "v1"), engineOf("i-f", "v2")});
    f.failExchange(fetch_phase::reading);
    REQUIRE(f.sends() == 2);
    CHECK(f.lastSend().serverId == "i-e");
    CHECK(f.lastSend().resumeAfter == 10);
}

TEST_CASE("a broken stream waits although no server of its version is left")
{
    begun_stream f("label", {engineOf("i-d", "v2")});
    f.core.onServerList({engineOf("i-d", "v2")});
    f.failExchange(fetch_phase::reading);
    CHECK(f.sends() == 1);
    CHECK(f.cut());
}

TEST_CASE("a request that has brought no event is not repeated at another version")
{
    forwarding_fixture f;
    f.core.onServerList({engineOf("i-c", "v1")});
    f.openRequest("label");
    f.beginStream();
    f.core.onServerList({engineOf("i-c", "v1"), engineOf("i-d", "v2")});
    f.failExchange(fetch_phase::reading);
    REQUIRE(f.sends() == 2);
    CHECK(f.lastSend().serverId == "i-d");
}

TEST_CASE("a stopped run resumes at a target that has started anew with another version")
{
    begun_stream f("draft", {engineOf("i-d", "v1")});
    f.reportLeaving();
    f.completeCopy(copy_outcome::copied, "h1");
    REQUIRE(f.sink.servers<copy_run>().back().stop);
    f.core.onServerList({engineOf("i-c", "v1"), engineOf("i-d", "v2", 9)});
    f.failExchange(fetch_phase::reading);
    f.completeCopy(copy_outcome::copied, "h2");
    REQUIRE(f.sends() == 2);
    CHECK(f.lastSend().serverId == "i-c");
    CHECK(f.lastSend().resumeFrom->handle == "h2");
}

TEST_CASE("a run that its target refuses resumes at the successor of its source")
{
    begun_stream f("draft", {engineOf("i-d", "v1"), engineOf("i-e", "v2")});
    f.reportLeaving();
    f.completeCopy(copy_outcome::copied, "h1");
    f.failExchange(fetch_phase::reading);
    f.completeCopy(copy_outcome::copied, "h2");
    REQUIRE(f.sends() == 2);
    REQUIRE(f.lastSend().serverId == "i-d");
    f.core.onServerList({engineOf("i-c", "v2", 9), engineOf("i-d", "v1"), engineOf("i-e", "v2")});
    f.answer({.status = 503, .notRun = true});
    CHECK(f.sends() == 2);
    CHECK(f.cut());
    CHECK(f.sink.servers<release_kv_copy>().size() == 1);
}

TEST_CASE("a room granted before a server started anew with another version is used")
{
    begun_stream f("label", {engineOf("i-e", "v1")});
    f.core.onReport("i-e", {.capacityTokens = 34'000, .bornUnixMs = 1});
    f.failExchange(fetch_phase::reading);
    REQUIRE(f.sink.roomRequests.size() == 1);
    f.core.onReplaced("i-e");
    f.core.onServerList({engineOf("i-c", "v1"), engineOf("i-e", "v2", 9)});
    f.replyToRoomRequest(room_verdict::granted);
    CHECK(f.sends() == 1);
}

TEST_CASE("a stream whose first server was uncertain goes on at the version of the list")
{
    forwarding_fixture f;
    f.core.onServerList({engineOf("i-c", "v1")});
    f.core.onListAvailability(false);
    f.openRequest("label");
    f.beginStream();
    f.streamEvents(1, 10);
    f.core.onListAvailability(true);
    f.core.onServerList({engineOf("i-c", "v1"), engineOf("i-d", "v1")});
    f.failExchange(fetch_phase::reading);
    CHECK(f.sends() == 1);
    CHECK(f.sink.callers<abort_response_stream>().size() == 1);
}

// The list named the predecessor of the process that had got the request.
TEST_CASE("a run whose process was uncertain moves to a server of the version of the list")
{
    for (const auto hasEvents : {true, false}) {
        CAPTURE(hasEvents);
        forwarding_fixture f;
        f.core.onServerList({engineOf("i-c", "v1")});
        f.core.onListAvailability(false);
        f.openRequest("draft");
        f.beginStream();
        if (hasEvents) {
            f.streamEvents(1, 10);
        }
        f.core.onListAvailability(true);
        f.core.onServerList({engineOf("i-c", "v2", 9), engineOf("i-d", "v1")});
        f.reportLeaving();
        CHECK(f.copyCommands() == 0);
    }
}

TEST_CASE("events of a process that started anew as the repeat was sent are joined to a stream")
{
    begun_stream f("label", {engineOf("i-e", "v1")});
    f.core.onReport("i-e", {.capacityTokens = 34'000, .bornUnixMs = 1});
    f.failExchange(fetch_phase::reading);
    f.replyToRoomRequest(room_verdict::granted);
    REQUIRE(f.lastSend().serverId == "i-e");
    f.beginStream();
    f.advance(30);
    f.streamEvents(11, 12);
    f.streamEvents(13, 14);
    CHECK(f.deliveredBytes().ends_with("10;"));
    SUBCASE("its reporter sees the new process")
    {
        f.core.onReplaced("i-e");
        CHECK(f.cut());
    }
    SUBCASE("its report was made before the repeat was sent")
    {
        f.core.onReport("i-e", {.bornUnixMs = 1, .delayMs = 40});
        f.advance(501);
        CHECK(f.cut());
    }
    SUBCASE("its reporter falls silent")
    {
        f.core.onReport("i-e", {.bornUnixMs = 1, .answeredAgoMs = 40});
        f.advance(501);
        CHECK(f.cut());
    }
    SUBCASE("the process is the one that the repeat was sent to")
    {
        f.endStream(response_end::framing);
        CHECK(f.sink.callers<end_response_stream>().empty());
        f.core.onReport("i-e", {.bornUnixMs = 1});
        CHECK(f.deliveredBytes().ends_with("10;11;12;13;14;"));
        CHECK(f.sink.callers<end_response_stream>().size() == 1);
        CHECK(f.core.drained());
        return;
    }
    CHECK(f.deliveredBytes().ends_with("10;"));
}
