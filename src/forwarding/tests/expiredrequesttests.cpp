#include "forwarding/tests/forwardingfixture.h"

#include <doctest/doctest.h>

using namespace marjoram;
using namespace marjoram::testing;

namespace {

/// Longer than any request's deadline.
constexpr std::int64_t PAUSE_MS = 10'000;

/// A process that is paused while a request is open.
struct paused_fixture : forwarding_fixture
{
    auto pause() -> void { time.now = time.now + PAUSE_MS * US_PER_MS; }
    auto report(const std::string &id) -> void { core.onReport(id, {.capacityTokens = 34'000}); }
    /// Opens a generation that asks a reporter for room.
    auto openAsking() -> void
    {
        report("i-c");
        report("i-d");
        openRequest("draft");
        REQUIRE(sink.roomRequests.size() == 1);
        REQUIRE(sends() == 0);
    }
};

} // namespace

// After a pause, events that waited for the process are handled before its timers. A request whose
// deadline had passed meanwhile was sent, with a deadline of 1 ms.
TEST_CASE("a grant that is read after a pause does not send an expired request")
{
    paused_fixture f;
    f.openAsking();
    f.pause();
    f.replyToRoomRequest(room_verdict::granted);
    f.core.onTimer();
    CHECK(f.sends() == 0);
    REQUIRE(f.sink.callers<send_failure>().size() == 1);
    CHECK(f.sink.callers<send_failure>().front().ran == run_state::not_run);
}

TEST_CASE("the timers that are due after a pause do not send an expired request")
{
    paused_fixture f;
    f.openAsking();
    f.pause();
    f.core.onTimer();
    CHECK(f.sends() == 0);
    CHECK(f.sink.callers<send_failure>().size() == 1);
    CHECK(f.core.drained());
}

TEST_CASE("a request without room is not sent when its retry comes due after a pause")
{
    paused_fixture f;
    f.openAsking();
    for (int i = 0; i < 4 && f.sends() == 0; ++i) {
        f.replyToRoomRequest(room_verdict::memory_taken);
    }
    REQUIRE(f.sends() == 0);
    f.pause();
    f.report("i-c");
    f.report("i-d");
    f.core.onTimer();
    CHECK(f.sends() == 0);
    CHECK(f.core.drained());
}

TEST_CASE("a call whose server refuses it after a pause is not sent to another server")
{
    paused_fixture f;
    f.openRequest("look");
    REQUIRE(f.sends() == 1);
    f.pause();
    f.core.onEvent(response_received{.exchangeId = f.lastSend().exchangeId,
                                     .head = {.status = 503, .notRun = true}});
    f.core.onTimer();
    CHECK(f.sends() == 1);
    CHECK(f.core.drained());
}
