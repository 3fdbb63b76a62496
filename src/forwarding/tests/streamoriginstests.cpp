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

const server_software OLDER{.pool = "engines", .version = "v1"};
const server_software NEWER{.pool = "engines", .version = "v2"};

struct two_versions : forwarding_fixture
{
    two_versions()
    {
        core.onServerList({engineOf("i-c", "v1"), engineOf("i-d", "v2"), engineOf("i-e", "v2"),
                           engineOf("i-f", "v2")});
    }
    /// A caller resumes the stream of another request after event 10.
    auto resume(const std::string &resumedId, const std::string &route = "label") -> void
    {
        auto request = std::make_shared<forward_request>();
        request->callerId = ++lastCaller;
        request->requestId = "r" + std::to_string(lastCaller);
        request->target = "/" + route + "/x";
        request->host = "h";
        request->callerTimeoutMs = 4'000;
        request->generation = {.promptTokens = 100,
                               .maxOutputTokens = 100,
                               .resumeAfter = 10,
                               .resumedRequestId = resumedId};
        core.onRequest({request});
    }
    auto reply(const std::string &reporter, const stream_origin &origin) -> void
    {
        core.onOriginReply(
            {.lookupId = lookups().back().lookupId, .reporter = reporter, .origin = origin});
    }
    auto asked(std::size_t reporters) -> void
    {
        core.onOriginAsked({.lookupId = lookups().back().lookupId, .reporters = reporters});
    }
    auto lookups() const -> const std::vector<find_origin> & { return sink.originsRequested; }
    auto refusals() const -> std::vector<send_failure> { return sink.callers<send_failure>(); }
};

} // namespace

TEST_CASE("a caller's stream goes on at another version than the one that began it")
{
    two_versions f;
    f.resume("gone");
    REQUIRE(f.lookups().size() == 1);
    CHECK(f.lookups().back().requestId == "gone");
    CHECK(f.sends() == 0);
    f.reply("a", {origin_evidence::delivered, OLDER});
    REQUIRE(f.sends() == 1);
    CHECK(f.lastSend().serverId == "i-c");
    CHECK(f.lastSend().resumeAfter == 10);
}

TEST_CASE("the origin of a stream that this entry carried is asked for, or forgotten")
{
    two_versions f;
    f.core.onServerList({engineOf("i-c", "v1")});
    f.openRequest("label");
    f.beginStream();
    f.streamEvents(1, 10);
    REQUIRE(f.sink.originsShared.size() == 1);
    CHECK(f.sink.originsShared.back().requestId == "r1");
    CHECK(f.sink.originsShared.back().software == OLDER);
    f.core.onCallerDisconnected(1);
    f.core.onServerList({engineOf("i-c", "v1"), engineOf("i-d", "v2"), engineOf("i-e", "v2")});
    f.resume("r1");
    CHECK(f.lookups().empty());
    REQUIRE(f.sends() == 2);
    CHECK(f.lastSend().serverId == "i-c");
}

TEST_CASE("a stream that nobody knows is resumed, or kept waiting until its deadline")
{
    two_versions f;
    SUBCASE("all reporters have replied")
    {
        f.resume("gone");
        f.asked(2);
        f.reply("a", {});
        CHECK(f.refusals().empty());
        f.reply("b", {});
        REQUIRE(f.refusals().size() == 1);
        CHECK_FALSE(f.refusals().back().retryAfterMs);
    }
    SUBCASE("there is no reporter")
    {
        f.resume("gone");
        f.asked(0);
    }
    SUBCASE("it has made events at two versions")
    {
        f.resume("gone");
        f.asked(2);
        f.reply("a", {origin_evidence::ran, OLDER});
        f.reply("b", {origin_evidence::ran, NEWER});
    }
    SUBCASE("its caller doesn't name it")
    {
        f.resume("");
        CHECK(f.lookups().empty());
    }
    SUBCASE("no reporter replies")
    {
        f.resume("gone");
        f.asked(2);
        f.advance(31);
        CHECK(f.lookups().size() == 2);
        CHECK(f.refusals().empty());
        f.advance(60);
        REQUIRE(f.refusals().size() == 1);
        CHECK(f.refusals().back().retryAfterMs);
    }
    REQUIRE(f.refusals().size() == 1);
    CHECK(f.refusals().back().reason == failure::stream_origin_unknown);
    CHECK(f.refusals().back().ran == run_state::not_run);
    CHECK(f.sends() == 0);
    CHECK(f.core.drained());
}

TEST_CASE("a stream whose version has no server left is resumed, or kept waiting")
{
    two_versions f;
    f.core.onServerList({engineOf("i-d", "v2"), engineOf("i-e", "v2")});
    f.resume("gone");
    f.reply("a", {origin_evidence::delivered, OLDER});
    REQUIRE(f.refusals().size() == 1);
    CHECK(f.refusals().back().reason == failure::software_version_gone);
    CHECK(f.refusals().back().ran == run_state::not_run);
    CHECK_FALSE(f.refusals().back().retryAfterMs);
    CHECK(f.sends() == 0);
}

TEST_CASE("a stream whose version's servers are only silent is refused without a time to return")
{
    two_versions f;
    f.core.onReport("i-c", {.answering = false, .bornUnixMs = 1});
    f.resume("gone");
    f.reply("a", {origin_evidence::delivered, OLDER});
    REQUIRE(f.refusals().size() == 1);
    CHECK(f.refusals().back().reason == failure::overloaded);
    CHECK(f.refusals().back().retryAfterMs);
    CHECK(f.sends() == 0);
}

TEST_CASE("a resumed stream goes on in another pool of its route")
{
    two_versions f;
    f.resume("gone");
    f.reply("a", {origin_evidence::delivered, {.pool = "others", .version = "v1"}});
    REQUIRE(f.refusals().size() == 1);
    CHECK(f.refusals().back().reason == failure::software_version_gone);
    CHECK(f.sends() == 0);
}

TEST_CASE("replies that come after the caller has left send its request")
{
    two_versions f;
    f.resume("gone");
    f.core.onCallerDisconnected(f.lastCaller);
    f.reply("a", {origin_evidence::delivered, OLDER});
    f.advance(200);
    CHECK(f.sends() == 0);
    CHECK(f.core.drained());
}

TEST_CASE("streams of servers without versions are not resumed")
{
    forwarding_fixture f;
    auto request = std::make_shared<forward_request>();
    request->callerId = 1;
    request->requestId = "r1";
    request->target = "/label/x";
    request->host = "h";
    request->generation.resumeAfter = 10;
    f.core.onRequest({request});
    CHECK(f.sink.originsRequested.empty());
    REQUIRE(f.sends() == 1);
    CHECK(f.lastSend().resumeAfter == 10);
}

namespace {

/// An entry that has not read the list for a second, in which servers of the newer version joined.
struct out_of_step : two_versions
{
    out_of_step()
    {
        core.onServerList({engineOf("i-c", "v1"), engineOf("i-d", "v1")});
        advance(1'000);
        resume("gone");
    }
    auto askedAt(std::size_t reporters, time_us listReadAt, std::size_t unheard = 0) -> void
    {
        core.onOriginAsked({.lookupId = lookups().back().lookupId,
                            .reporters = reporters,
                            .unheard = unheard,
                            .listReadAt = listReadAt});
    }
    /// The list is read, and the reporters are asked that it names.
    auto readList(std::size_t reporters) -> void
    {
        core.onServerList({engineOf("i-c", "v1"), engineOf("i-d", "v1"), engineOf("i-e", "v2")});
        askedAt(reporters, time.now);
    }
    auto refusedForGood() const -> bool
    {
        return refusals().size() == 1 && !refusals().back().retryAfterMs;
    }
    auto refusedForNow() const -> bool
    {
        return refusals().size() == 1 && refusals().back().retryAfterMs
               && refusals().back().ran == run_state::not_run;
    }
};

} // namespace

// The run at the older version made events that never reached the caller; the reporters that knew
// of the first delivered event had joined with the newer version.
TEST_CASE("an entry out of step resumes a stream at a version that its caller has not seen")
{
    out_of_step f;
    f.askedAt(2, {});
    f.reply("a", {origin_evidence::ran, OLDER});
    f.reply("b", {});
    CHECK(f.sends() == 0);
    REQUIRE(f.sink.listsRequested.size() == 1);
    SUBCASE("the new reporter knows the origin")
    {
        f.readList(3);
        f.reply("a", {origin_evidence::ran, OLDER});
        f.reply("b", {});
        CHECK(f.sends() == 0);
        f.reply("c", {origin_evidence::delivered, NEWER});
        REQUIRE(f.sends() == 1);
        CHECK(f.lastSend().serverId == "i-e");
    }
    SUBCASE("nobody knows more")
    {
        f.readList(3);
        f.reply("a", {origin_evidence::ran, OLDER});
        f.reply("b", {});
        f.reply("c", {});
        REQUIRE(f.sends() == 1);
        CHECK(f.lastSend().serverId != "i-e");
    }
    SUBCASE("the new reporter does not reply")
    {
        f.readList(3);
        f.reply("a", {origin_evidence::ran, OLDER});
        f.reply("b", {});
        f.advance(91);
        CHECK(f.refusedForNow());
    }
    SUBCASE("the list does not come")
    {
        f.advance(301);
        CHECK(f.refusedForNow());
    }
    CHECK(f.sink.listsRequested.size() == 1);
}

TEST_CASE("a run made known by some reporters decides although others are silent")
{
    two_versions f;
    f.resume("gone");
    f.core.onOriginAsked({.lookupId = f.lookups().back().lookupId, .reporters = 1, .unheard = 1});
    f.reply("a", {origin_evidence::ran, OLDER});
    CHECK(f.sends() == 0);
    REQUIRE(f.refusals().size() == 1);
    CHECK(f.refusals().back().reason == failure::stream_origin_unknown);
    CHECK(f.refusals().back().retryAfterMs);
}

TEST_CASE("an entry out of step refuses a stream for good that it could resume a moment later")
{
    out_of_step f;
    SUBCASE("the list names a reporter that knows the origin")
    {
        f.askedAt(1, {});
        f.reply("a", {});
        CHECK(f.refusals().empty());
        f.readList(2);
        f.reply("a", {});
        f.reply("b", {origin_evidence::delivered, NEWER});
        REQUIRE(f.sends() == 1);
        CHECK(f.lastSend().serverId == "i-e");
    }
    SUBCASE("the duty that asks reporters reads the list a little later")
    {
        f.askedAt(1, {});
        f.reply("a", {});
        f.core.onServerList({engineOf("i-c", "v1"), engineOf("i-e", "v2")});
        f.askedAt(1, {});
        f.reply("a", {});
        CHECK(f.refusals().empty());
        f.advance(31);
        f.askedAt(2, f.time.now);
        f.reply("a", {});
        f.reply("b", {origin_evidence::delivered, NEWER});
        REQUIRE(f.sends() == 1);
        CHECK(f.lastSend().serverId == "i-e");
    }
    SUBCASE("no server of its version is known")
    {
        f.reply("a", {origin_evidence::delivered, NEWER});
        CHECK(f.refusals().empty());
        CHECK(f.sink.listsRequested.size() == 1);
        f.readList(2);
        f.reply("a", {origin_evidence::delivered, NEWER});
        REQUIRE(f.sends() == 1);
        CHECK(f.lastSend().serverId == "i-e");
    }
    SUBCASE("the list does not come")
    {
        f.reply("a", {origin_evidence::delivered, NEWER});
        f.advance(301);
        CHECK(f.refusedForNow());
        CHECK(f.refusals().back().reason == failure::software_version_gone);
    }
    SUBCASE("the list is out of reach")
    {
        f.core.onListAvailability(false);
        f.askedAt(1, {});
        f.reply("a", {});
        CHECK(f.refusedForNow());
        CHECK(f.sink.listsRequested.empty());
    }
    SUBCASE("the list shows that nobody knows it")
    {
        f.askedAt(1, {});
        f.reply("a", {});
        f.readList(2);
        f.reply("a", {});
        f.reply("b", {});
        CHECK(f.refusedForGood());
    }
    SUBCASE("the list shows that its version has left")
    {
        f.reply("a", {origin_evidence::delivered, {.pool = "engines", .version = "v0"}});
        f.readList(2);
        f.reply("a", {});
        f.reply("b", {});
        CHECK(f.refusedForGood());
        CHECK(f.refusals().back().reason == failure::software_version_gone);
    }
}
