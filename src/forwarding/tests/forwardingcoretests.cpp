#include "forwarding/tests/forwardingfixture.h"

#include <doctest/doctest.h>
#include <set>

using namespace marjoram;
using namespace marjoram::testing;

TEST_CASE("a response is forwarded unchanged")
{
    forwarding_fixture f;
    f.openRequest("book");
    f.core.onEvent(response_received{
        .exchangeId = f.lastSend().exchangeId, .head = {.status = 200}, .body = "ok"});
    REQUIRE(f.sink.callers<send_response>().size() == 1);
    CHECK(f.sink.callers<send_response>().front().body == "ok");
    CHECK(f.core.drained());
}

TEST_CASE("an at-most-once request is retried only if it certainly has not run")
{
    forwarding_fixture f;
    f.openRequest("book");
    f.failExchange(fetch_phase::connecting);
    CHECK(f.sends() == 2);
    f.failExchange(fetch_phase::reading);
    CHECK(f.sends() == 2);
    REQUIRE(f.sink.callers<send_failure>().size() == 1);
    CHECK(f.sink.callers<send_failure>().front().ran == run_state::unknown);
    CHECK_FALSE(f.sink.callers<send_failure>().front().retryAfterMs);
}

TEST_CASE("a status that means not run is not forwarded for an at-most-once request")
{
    forwarding_fixture f;
    f.openRequest("book");
    f.core.onEvent(
        response_received{.exchangeId = f.lastSend().exchangeId, .head = {.status = 503}});
    CHECK(f.sink.callers<send_response>().empty());
    CHECK(f.sink.callers<send_failure>().front().ran == run_state::unknown);
}

TEST_CASE("a server that did not run a request is excluded from the retry")
{
    forwarding_fixture f;
    f.openRequest("look");
    const auto first = f.lastSend().serverId;
    f.core.onEvent(response_received{.exchangeId = f.lastSend().exchangeId,
                                     .head = {.status = 503, .notRun = true}});
    CHECK(f.sends() == 2);
    CHECK(f.lastSend().serverId != first);
}

TEST_CASE(
    "a repeatable request that gets a server error is retried once, then the error is forwarded")
{
    forwarding_fixture f;
    f.openRequest("look");
    for (int i = 0; i < 2; ++i) {
        f.core.onEvent(
            response_received{.exchangeId = f.lastSend().exchangeId, .head = {.status = 500}});
    }
    CHECK(f.sends() == 2);
    CHECK(f.sink.callers<send_response>().front().status == 500);
}

TEST_CASE("a slow repeatable request is retried on another server")
{
    forwarding_fixture f;
    f.openRequest("look");
    f.advance(601);
    CHECK(f.sends() == 2);
    CHECK(f.sink.servers<cancel_exchange>().size() == 1);
}

TEST_CASE("a request without a response fails at its route's timeout")
{
    forwarding_fixture f;
    f.openRequest("book");
    f.advance(4'001);
    CHECK(f.sink.callers<send_failure>().front().reason == failure::deadline_exceeded);
    CHECK(f.core.drained());
}

TEST_CASE(
    "a repeatable request is cancelled when its caller disconnects, an at-most-once request is not")
{
    forwarding_fixture f;
    f.core.onCallerDisconnected(f.openRequest("look"));
    CHECK(f.sink.servers<cancel_exchange>().size() == 1);
    f.core.onCallerDisconnected(f.openRequest("book"));
    CHECK(f.sink.servers<cancel_exchange>().size() == 1);
    CHECK_FALSE(f.core.drained());
}

TEST_CASE("a broken stream of a resumable route resumes after its last event")
{
    forwarding_fixture f;
    f.openRequest("label");
    f.beginStream();
    f.streamEvents(1, 2);
    f.failExchange(fetch_phase::reading);
    REQUIRE(f.sends() == 2);
    CHECK(f.lastSend().resumeAfter == 2);
    f.beginStream();
    f.streamEvents(2, 4);
    CHECK(f.deliveredBytes() == "1;2;3;4;");
}

TEST_CASE("a broken stream of a route that is not resumable is aborted, not ended as complete")
{
    forwarding_fixture f;
    f.openRequest("draft");
    f.beginStream();
    f.streamEvents(1, 2);
    f.failExchange(fetch_phase::reading);
    CHECK(f.sends() == 1);
    CHECK(f.sink.callers<abort_response_stream>().size() == 1);
    CHECK(f.sink.callers<end_response_stream>().empty());
}

TEST_CASE("a run on a leaving server resumes on another one within the same response")
{
    forwarding_fixture f;
    f.openRequest("draft");
    f.beginStream();
    f.streamEvents(1, 100);
    const auto source = f.lastSend();
    f.reportLeaving();
    REQUIRE(f.sink.servers<copy_run>().size() == 1);
    const auto bulk = f.sink.servers<copy_run>().back();
    CHECK_FALSE(bulk.stop);
    CHECK(bulk.source == source.server);
    f.streamEvents(101, 110);
    f.core.onEvent(
        run_copied{.copyId = bulk.copyId, .outcome = copy_outcome::copied, .handle = "h1"});
    const auto rest = f.sink.servers<copy_run>().back();
    CHECK(rest.stop);
    f.failExchange(fetch_phase::reading);
    f.core.onEvent(
        run_copied{.copyId = rest.copyId, .outcome = copy_outcome::copied, .handle = "h2"});
    REQUIRE(f.sends() == 2);
    CHECK(f.lastSend().serverId != source.serverId);
    CHECK(f.lastSend().resumeFrom->handle == "h2");
    CHECK(f.lastSend().resumeAfter == 110);
    f.beginStream();
    f.streamEvents(109, 112);
    f.core.onEvent(stream_completed{f.lastSend().exchangeId});
    CHECK(f.deliveredBytes().ends_with("110;111;112;"));
    CHECK(f.sink.callers<begin_response_stream>().size() == 1);
    CHECK(f.sink.callers<end_response_stream>().size() == 1);
}

TEST_CASE("a run whose source fails during a move resumes from the copy")
{
    forwarding_fixture f;
    f.openRequest("draft");
    f.beginStream();
    f.streamEvents(1, 10);
    f.reportLeaving();
    const auto bulk = f.sink.servers<copy_run>().back();
    f.core.onEvent(
        run_copied{.copyId = bulk.copyId, .outcome = copy_outcome::copied, .handle = "h1"});
    f.failExchange(fetch_phase::reading);
    CHECK(f.sends() == 1);
    f.core.onEvent(run_copied{.copyId = f.sink.servers<copy_run>().back().copyId,
                              .outcome = copy_outcome::failed});
    REQUIRE(f.sends() == 2);
    CHECK(f.lastSend().resumeFrom->handle == "h1");
}

TEST_CASE("a stopped run that finds no room on the target resumes on its source")
{
    forwarding_fixture f;
    f.openRequest("draft");
    f.beginStream();
    const auto source = f.lastSend();
    f.reportLeaving();
    f.core.onEvent(run_copied{.copyId = f.sink.servers<copy_run>().back().copyId,
                              .outcome = copy_outcome::copied,
                              .handle = "h1"});
    f.core.onEvent(run_copied{.copyId = f.sink.servers<copy_run>().back().copyId,
                              .outcome = copy_outcome::no_room,
                              .handle = "h2"});
    f.failExchange(fetch_phase::reading);
    REQUIRE(f.sends() == 2);
    CHECK(f.lastSend().serverId == source.serverId);
    CHECK(f.lastSend().resumeFrom->handle == "h2");
}

TEST_CASE("a run continues if its target refuses the final copy before the run is stopped")
{
    forwarding_fixture f;
    f.openRequest("draft");
    f.beginStream();
    f.streamEvents(1, 10);
    f.reportLeaving();
    f.completeCopy(copy_outcome::copied, "h1");
    f.completeCopy(copy_outcome::no_room, "");
    f.advance(31);
    CHECK(f.sends() == 1);
    CHECK(f.sink.servers<cancel_exchange>().empty());
    REQUIRE(f.sink.servers<release_kv_copy>().size() == 1);
    f.streamEvents(11, 12);
    f.core.onEvent(stream_completed{f.lastSend().exchangeId});
    CHECK(f.sink.callers<end_response_stream>().size() == 1);
    CHECK(f.deliveredBytes().ends_with("11;12;"));
}

TEST_CASE("a run that finishes while it is copied releases the copy and is not sent again")
{
    forwarding_fixture f;
    f.openRequest("draft");
    f.beginStream();
    f.reportLeaving();
    f.core.onEvent(run_copied{.copyId = f.sink.servers<copy_run>().back().copyId,
                              .outcome = copy_outcome::copied,
                              .handle = "h1"});
    f.core.onEvent(stream_completed{f.lastSend().exchangeId});
    CHECK(f.sends() == 1);
    REQUIRE(f.sink.servers<release_kv_copy>().size() == 1);
    CHECK(f.sink.servers<release_kv_copy>().front().copy.handle == "h1");
    CHECK(f.core.drained());
}

TEST_CASE("a run is moved when its server's reporter says so, or when the reporter falls silent")
{
    forwarding_fixture f;
    f.openRequest("draft");
    f.beginStream();
    f.reportLeaving("another");
    CHECK(f.copyCommands() == 0);
    f.reportLeaving();
    CHECK(f.copyCommands() == 1);
    REQUIRE_FALSE(f.sink.notified.empty());
    CHECK(f.sink.notified.back().note == move_note::begun);

    forwarding_fixture g;
    g.openRequest("draft");
    g.beginStream();
    g.reportLeaving("another");
    g.advance(251);
    g.advance(121);
    CHECK(g.copyCommands() == 1);
}

TEST_CASE("a run that finishes before its server shuts down is not moved")
{
    forwarding_fixture f;
    f.openRequest("draft");
    f.beginStream();
    f.streamEvents(1, 200);
    f.reportLeaving(f.lastSend().request->requestId, 4'000);
    CHECK(f.copyCommands() == 0);
    CHECK(f.sink.notified.back().note == move_note::put_off);
}

TEST_CASE("a run is copied once the target's reporter grants the link, and both reporters hear of "
          "its end")
{
    forwarding_fixture f;
    f.openRequest("draft");
    f.beginStream();
    const auto source = f.lastSend().serverId;
    const auto target = std::string(source == "i-c" ? "i-d" : "i-c");
    f.core.onReport(target, {.capacityTokens = 34'000});
    f.reportLeaving();
    CHECK(f.copyCommands() == 0);
    REQUIRE(f.sink.roomRequests.size() == 1);
    CHECK(f.sink.roomRequests.back().landing);
    CHECK(f.sink.roomRequests.back().serverId == target);
    f.replyToRoomRequest(room_verdict::granted);
    REQUIRE(f.copyCommands() == 1);
    f.completeCopy(copy_outcome::copied, "h1");
    f.failExchange(fetch_phase::reading);
    f.completeCopy(copy_outcome::copied, "h2");
    CHECK(f.sends() == 2);
    REQUIRE(f.sink.notified.size() == 3);
    CHECK(f.sink.notified[1].serverId == target);
    CHECK(f.sink.notified[1].note == move_note::ended);
    CHECK(f.sink.notified[2].serverId == source);
    CHECK(f.sink.notified[2].note == move_note::ended);
}

TEST_CASE("a move is put off if all targets are busy, but not if a reporter does not reply")
{
    forwarding_fixture f;
    f.openRequest("draft");
    f.beginStream();
    const auto source = f.lastSend().serverId;
    f.core.onReport(source == "i-c" ? "i-d" : "i-c", {.capacityTokens = 34'000});
    f.reportLeaving();
    f.replyToRoomRequest(room_verdict::link_busy);
    CHECK(f.copyCommands() == 0);
    CHECK(f.sink.notified.back().note == move_note::put_off);
    f.reportLeaving();
    f.advance(26);
    CHECK(f.copyCommands() == 1);
}

TEST_CASE("a run that its target refuses returns to its source, but only once")
{
    forwarding_fixture f;
    f.openRequest("draft");
    f.beginStream();
    f.streamEvents(1, 10);
    const auto source = f.lastSend().serverId;
    f.reportLeaving();
    f.completeCopy(copy_outcome::copied, "h1");
    f.failExchange(fetch_phase::reading);
    f.completeCopy(copy_outcome::copied, "h2");
    REQUIRE(f.sends() == 2);
    const auto refusal = response_head{.status = 503, .notRun = true};
    f.core.onEvent(response_received{.exchangeId = f.lastSend().exchangeId, .head = refusal});
    REQUIRE(f.sends() == 3);
    CHECK(f.lastSend().serverId == source);
    CHECK(f.lastSend().resumeFrom->handle == "h2");
    f.core.onEvent(response_received{.exchangeId = f.lastSend().exchangeId, .head = refusal});
    CHECK(f.sends() == 3);
    CHECK(f.sink.callers<abort_response_stream>().size() == 1);
}

// Each process of an entry numbered its questions to reporters from 1, so that a late reply to the
// one before was taken for the reply to another question.
TEST_CASE("a reply to a former process of the entry grants room to a request of the present one")
{
    forwarding_fixture former({}, 1);
    forwarding_fixture present({}, 2);
    for (auto *f : {&former, &present}) {
        for (const auto *id : {"i-c", "i-d"}) {
            f->core.onReport(id, {.capacityTokens = 34'000});
        }
        f->openRequest("draft");
        REQUIRE(f->sink.roomRequests.size() == 1);
    }
    const auto late = former.sink.roomRequests.back();
    present.core.onRoomReply({.askId = late.askId,
                              .verdict = room_verdict::granted,
                              .serverId = late.serverId,
                              .report = server_report{.capacityTokens = 34'000}});
    CHECK(present.sends() == 0);
    present.replyToRoomRequest(room_verdict::granted);
    CHECK(present.sends() == 1);
}

TEST_CASE("a generation is sent where a reporter grants room, after trying others")
{
    forwarding_fixture f;
    for (const auto *id : {"i-c", "i-d"}) {
        f.core.onReport(id, {.capacityTokens = 34'000, .listeners = 1});
    }
    f.openRequest("draft");
    CHECK(f.sends() == 0);
    REQUIRE(f.sink.roomRequests.size() == 1);
    const auto full = f.sink.roomRequests.back();
    f.core.onRoomReply({.askId = full.askId,
                        .verdict = room_verdict::memory_taken,
                        .serverId = full.serverId,
                        .report = server_report{.capacityTokens = 34'000}});
    REQUIRE(f.sink.roomRequests.size() == 2);
    const auto open = f.sink.roomRequests.back();
    CHECK(open.serverId != full.serverId);
    f.core.onRoomReply({.askId = open.askId,
                        .verdict = room_verdict::granted,
                        .serverId = open.serverId,
                        .report = server_report{.capacityTokens = 34'000}});
    REQUIRE(f.sends() == 1);
    CHECK(f.lastSend().serverId == open.serverId);
}

TEST_CASE("a generation without room is refused early, as not run and with a retry delay")
{
    forwarding_fixture f;
    for (const auto *id : {"i-c", "i-d"}) {
        f.core.onReport(id, {.usedTokens = 33'000, .capacityTokens = 34'000, .listeners = 1});
    }
    f.openRequest("draft");
    f.advance(37);
    REQUIRE(f.sink.callers<send_failure>().size() == 1);
    CHECK(f.sink.callers<send_failure>().front().ran == run_state::not_run);
    CHECK(f.sink.callers<send_failure>().front().retryAfterMs);
    CHECK(f.sends() == 0);
}

// A caller that may wait for seconds was told to return as soon as one that may not, into the same
// overload.
TEST_CASE("the retry delay does not follow the latency target of the refused request")
{
    struct expected_delay
    {
        std::int64_t targetMs = 0;
        std::int64_t minMs = 0;
        std::int64_t maxMs = 0;
    };
    const std::vector<expected_delay> cases{
        {.targetMs = 100, .minMs = 400, .maxMs = 1'200},
        {.targetMs = 1'500, .minMs = 400, .maxMs = 1'200},
        {.targetMs = 4'000, .minMs = 1'000, .maxMs = 2'400},
        {.targetMs = INT64_MAX, .minMs = 0, .maxMs = INT64_MAX}};
    for (const auto &one : cases) {
        CAPTURE(one.targetMs);
        auto content = tableOf()->content();
        for (auto &route : content.routes) {
            route.latencyTargetMs = one.targetMs;
            route.timeoutMs = 60'000;
        }
        forwarding_fixture f;
        f.core.onRouteTable(std::make_shared<const route_table>(std::move(content)));
        for (const auto *id : {"i-c", "i-d"}) {
            f.core.onReport(id, {.usedTokens = 34'000, .capacityTokens = 34'000});
        }
        constexpr int REQUESTS = 50;
        for (int i = 0; i < REQUESTS; ++i) {
            f.openRequest("draft");
        }
        f.advance(4'000);
        std::set<std::int64_t> delays;
        for (const auto &failed : f.sink.callers<send_failure>()) {
            REQUIRE(failed.retryAfterMs);
            CHECK(*failed.retryAfterMs >= one.minMs);
            CHECK(*failed.retryAfterMs <= one.maxMs);
            delays.insert(*failed.retryAfterMs);
        }
        CHECK(delays.size() > REQUESTS / 2);
    }
}

TEST_CASE("reporters that do not reply do not block a request")
{
    forwarding_fixture f;
    for (const auto *id : {"i-c", "i-d"}) {
        f.core.onReport(id, {.capacityTokens = 34'000, .listeners = 1});
    }
    f.openRequest("draft");
    f.advance(26);
    f.advance(26);
    CHECK(f.sends() == 1);
}

TEST_CASE("an unknown route is refused, and any request while there is no route table")
{
    forwarding_fixture f;
    f.openRequest("nowhere");
    CHECK(f.sink.callers<send_failure>().back().reason == failure::unknown_service);
    recording_sink sink;
    server_directory directory({});
    forwarding_core<sampled_least_added_time, virtual_clock_source, recording_sink> withoutTable(
        {}, virtual_clock_source(&f.time), 1, directory, sink);
    auto request = std::make_shared<forward_request>();
    request->target = "/book/x";
    withoutTable.onRequest({request});
    CHECK(sink.callers<send_failure>().back().reason == failure::no_manifest);
}

TEST_CASE("requests that are still open when the process stops get a final answer and a log line")
{
    forwarding_fixture f;
    f.openRequest("book");
    f.openRequest("draft");
    f.beginStream();
    f.streamEvents(1, 2);
    f.core.drain(f.time.now + 7 * US_PER_SECOND);
    f.core.abandonRequests();
    CHECK(f.core.drained());
    REQUIRE(f.sink.callers<send_failure>().size() == 1);
    CHECK(f.sink.callers<send_failure>().front().ran == run_state::unknown);
    CHECK(f.sink.callers<abort_response_stream>().size() == 1);
    for (const auto *id : {"r1", "r2"}) {
        CHECK(std::count(f.sink.logged.begin(), f.sink.logged.end(),
                         std::pair(log_event::request_failed, std::string(id)))
              == 1);
    }
}

TEST_CASE("a draining process accepts only requests that can finish in time")
{
    forwarding_fixture f;
    f.core.drain(f.time.now + 2 * US_PER_SECOND);
    constexpr std::int64_t SHORT_DEADLINE_MS = 1'900;
    f.openEstimated("book", 0, SHORT_DEADLINE_MS);
    CHECK(f.sends() == 1);
    f.openRequest("look");
    CHECK(f.sends() == 2);
    for (const auto *kind : {"book", "draft"}) {
        f.openRequest(kind);
        CHECK(f.sends() == 2);
        CHECK(f.sink.callers<send_failure>().back().reason == failure::draining);
        CHECK(f.sink.callers<send_failure>().back().ran == run_state::not_run);
    }
}
