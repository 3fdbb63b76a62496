#include "forwarding/tests/forwardingfixture.h"

#include <doctest/doctest.h>

using namespace marjoram;
using namespace marjoram::testing;

namespace {

/// Time from the stop order to the end of the process; shorter than the time limit of the routes.
constexpr std::int64_t STOP_IN_US = 3 * US_PER_SECOND;

/// Deadline of a caller that ends before the process.
constexpr std::int64_t SHORT_DEADLINE_MS = 2'900;

auto refusedAsDraining(const forwarding_fixture &f) -> std::size_t
{
    std::size_t out = 0;
    for (const auto &failed : f.sink.callers<send_failure>()) {
        out += failed.reason == failure::draining && failed.ran == run_state::not_run ? 1 : 0;
    }
    return out;
}

/// Plays a generation whose events, of four tokens each, come at a steady pace.
auto playGeneration(forwarding_fixture &f, std::int64_t msPerEvent) -> void
{
    constexpr std::uint64_t EVENTS = 39;
    f.openEstimated("draft", 100);
    f.beginStream();
    for (std::uint64_t event = 1; event <= EVENTS; ++event) {
        f.advance(msPerEvent);
        f.streamEvents(event, event);
    }
    f.core.onEvent(stream_completed{f.lastSend().exchangeId});
}

} // namespace

TEST_CASE(
    "a generation accepted after the stop order is cut when it outlasts its caller's estimate")
{
    forwarding_fixture f;
    f.core.drain(f.time.now + STOP_IN_US);
    f.openEstimated("draft", 1'000);
    CHECK(f.sends() == 0);
    CHECK(refusedAsDraining(f) == 1);
    f.openEstimated("draft", 50, SHORT_DEADLINE_MS);
    CHECK(f.sends() == 1);
}

TEST_CASE("a generation without a limit on its output is accepted after the stop order")
{
    forwarding_fixture f;
    f.core.drain(f.time.now + STOP_IN_US);
    f.openEstimated("draft", 0);
    CHECK(f.sends() == 0);
    CHECK(refusedAsDraining(f) == 1);
}

TEST_CASE("a generation that no server has got yet is kept waiting after the stop order")
{
    forwarding_fixture f;
    for (const auto *id : {"i-c", "i-d"}) {
        f.core.onReport(id, {.capacityTokens = 34'000});
    }
    f.openEstimated("draft", 1'000);
    REQUIRE(f.sink.roomRequests.size() == 1);
    REQUIRE(f.sink.callers<send_failure>().empty());
    f.core.drain(f.time.now + STOP_IN_US);
    CHECK(refusedAsDraining(f) == 1);
    CHECK(f.core.drained());
}

TEST_CASE("a request is sent again after the stop order although it cannot end in time")
{
    forwarding_fixture f;
    f.openEstimated("label", 1'000);
    f.core.drain(f.time.now + STOP_IN_US);
    f.failExchange(fetch_phase::connecting);
    CHECK(f.sends() == 1);
    CHECK(refusedAsDraining(f) == 1);
}

// In a planned stop in calm, streams were accepted late since their pool had been fast, or since
// nothing was known of its pace. Its servers took as long as their targets allow, and the streams
// were cut at the end of the stop.
TEST_CASE("a stopping process accepts streams whose end rests on an expected pace")
{
    for (const auto seen : {0, 1, 8}) {
        CAPTURE(seen);
        forwarding_fixture f;
        for (int i = 0; i < seen; ++i) {
            playGeneration(f, 10);
        }
        const auto sends = f.sends();
        f.core.drain(f.time.now + STOP_IN_US);
        f.openEstimated("draft", 100);
        f.openEstimated("label", 100);
        CHECK(f.sends() == sends);
        CHECK(refusedAsDraining(f) == 2);
        f.openEstimated("draft", 100, SHORT_DEADLINE_MS);
        f.openEstimated("label", 100, SHORT_DEADLINE_MS);
        CHECK(f.sends() == sends + 2);
        CHECK(refusedAsDraining(f) == 2);
    }
}

// The same for calls that may not be repeated: nobody knows whether one that is cut has run.
TEST_CASE("a stopping process accepts calls that rest on an expected answer time")
{
    forwarding_fixture f;
    constexpr int CALLS = 8;
    for (int i = 0; i < CALLS; ++i) {
        f.openRequest("book");
        f.advance(20);
        f.answer({.status = 200});
    }
    f.core.drain(f.time.now + STOP_IN_US);
    f.openRequest("book");
    CHECK(f.sends() == CALLS);
    CHECK(refusedAsDraining(f) == 1);
    // Whoever asks for something that may be repeated asks elsewhere if it fails.
    f.openRequest("look");
    CHECK(f.sends() == CALLS + 1);
}

TEST_CASE("a stopping process accepts generations that slow engines do not complete in time")
{
    forwarding_fixture f;
    playGeneration(f, 100);
    f.core.drain(f.time.now + STOP_IN_US);
    f.openEstimated("draft", 120);
    CHECK(f.sends() == 1);
    CHECK(refusedAsDraining(f) == 1);

    forwarding_fixture g;
    playGeneration(g, 100);
    g.advance(20'001);
    g.core.drain(g.time.now + STOP_IN_US);
    g.openEstimated("draft", 120);
    CHECK(g.sends() == 1);
    CHECK(refusedAsDraining(g) == 1);
    g.openEstimated("draft", 120, SHORT_DEADLINE_MS);
    CHECK(g.sends() == 2);
}

TEST_CASE("a stopping process accepts calls that its slow servers do not answer in time")
{
    forwarding_fixture f;
    f.openRequest("book");
    f.advance(3'200);
    f.core.onEvent(response_received{
        .exchangeId = f.lastSend().exchangeId, .head = {.status = 200}, .body = "ok"});
    f.core.drain(f.time.now + STOP_IN_US);
    f.openRequest("book");
    CHECK(f.sends() == 1);
    CHECK(refusedAsDraining(f) == 1);
}

// In a calm planned stop calls came late in the grace, were passed on, and were cut at its end
// without an answer; some of them could not be repeated.
TEST_CASE("calls that come late in a planned stop are passed on and cut at its end")
{
    for (const auto *kind : {"book", "look", "draft", "label"}) {
        CAPTURE(kind);
        forwarding_fixture f;
        f.openRequest(kind);
        f.core.drain(f.time.now + STOP_IN_US);
        f.advance(2'900);
        f.openRequest(kind);
        CHECK(f.sends() == 1);
        CHECK(refusedAsDraining(f) == 1);
        // Nobody knows whether the call that is still open at the end has run.
        f.core.abandonRequests();
        REQUIRE(f.sink.callers<send_failure>().size() == 2);
        CHECK(f.sink.callers<send_failure>().back().ran == run_state::unknown);
        CHECK_FALSE(f.sink.callers<send_failure>().back().retryAfterMs);
        CHECK(f.core.drained());
    }
}

TEST_CASE("a run of slow engines stays on its leaving server until that shuts down")
{
    constexpr std::int64_t LEAVES_MS = 4'000;
    forwarding_fixture f;
    playGeneration(f, 100);
    f.openRequest("draft");
    f.beginStream();
    f.streamEvents(1, 200);
    f.reportLeaving(f.lastSend().request->requestId, LEAVES_MS);
    CHECK(f.copyCommands() == 1);
}

TEST_CASE("the pace of a single fast generation is taken for that of its pool")
{
    forwarding_fixture f;
    playGeneration(f, 10);
    f.core.drain(f.time.now + STOP_IN_US);
    f.openEstimated("draft", 200);
    CHECK(f.sends() == 1);
    CHECK(refusedAsDraining(f) == 1);
}

TEST_CASE("an answer of a server is given up for a retry that a stop does not allow")
{
    forwarding_fixture f;
    f.openRequest("look");
    f.core.drain(f.time.now + 200 * US_PER_MS);
    f.core.onEvent(
        response_received{.exchangeId = f.lastSend().exchangeId, .head = {.status = 500}});
    CHECK(f.sends() == 1);
    REQUIRE(f.sink.callers<send_response>().size() == 1);
    CHECK(f.sink.callers<send_response>().front().status == 500);

    f.openRequest("look");
    CHECK(refusedAsDraining(f) == 1);
}
