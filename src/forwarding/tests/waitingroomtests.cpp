#include "forwarding/tests/forwardingfixture.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>

using namespace marjoram;
using namespace marjoram::testing;

// Generations that found no room asked again after random pauses: which of them got the room that
// became free was a matter of chance. With waiting_policy::ordered they wait in the queues of
// reporters, which these tests play.

namespace {

/// Entry with two engines whose reports show no room.
struct full_pool : forwarding_fixture
{
    full_pool()
        : forwarding_fixture({.policy = waiting_policy::ordered})
    {
        report();
    }
    auto report() -> void
    {
        for (const auto *id : {"i-c", "i-d"}) {
            core.onReport(id, {.running = 20, .usedTokens = 33'000, .capacityTokens = 34'000});
        }
    }
    auto reply(std::size_t question, room_verdict verdict, std::int64_t expectedWaitMs = -1) -> void
    {
        const auto room = sink.roomRequests.at(question);
        core.onRoomReply(
            {.askId = room.askId,
             .verdict = verdict,
             .serverId = room.serverId,
             .report = server_report{.running = 20, .usedTokens = 33'000, .capacityTokens = 34'000},
             .expectedWaitMs = expectedWaitMs});
    }
    auto questions() const -> std::size_t { return sink.roomRequests.size(); }
    auto isWithdrawn(std::size_t question) const -> bool
    {
        const auto askId = sink.roomRequests.at(question).askId;
        return std::any_of(
            sink.withdrawn.begin(), sink.withdrawn.end(),
            [askId](const withdraw_room_request &one) { return one.askId == askId; });
    }
    auto failures() const -> std::vector<send_failure> { return sink.callers<send_failure>(); }
};

/// Expected waits within and beyond the latency target of 300 ms and the deadline of 4 s.
constexpr std::int64_t SHORT_MS = 50;
constexpr std::int64_t LATE_MS = 1'500;
constexpr std::int64_t HOPELESS_MS = 10'000;

} // namespace

TEST_CASE("a full pool is asked at two engines, and the first grant wins")
{
    full_pool f;
    f.openEstimated("label", 100, 4'000);
    REQUIRE(f.questions() == 1);
    CHECK(f.sink.roomRequests[0].waitMs > 0);
    f.reply(0, room_verdict::queued);
    REQUIRE(f.questions() == 2);
    CHECK(f.sink.roomRequests[0].serverId != f.sink.roomRequests[1].serverId);
    f.reply(1, room_verdict::queued, SHORT_MS);
    CHECK(f.core.waitingCounts().waiting == 1);
    f.advance(100);
    CHECK(f.questions() == 2);
    CHECK(f.sends() == 0);
    f.reply(0, room_verdict::granted);
    REQUIRE(f.sends() == 1);
    CHECK(f.lastSend().serverId == f.sink.roomRequests[0].serverId);
    CHECK(f.isWithdrawn(1));
    CHECK_FALSE(f.isWithdrawn(0));
    CHECK(f.core.waitingCounts().waiting == 0);
}

// A refusal at once says not_run: the caller can go elsewhere while that still helps.
TEST_CASE("a request is refused at once if no engine can serve it before its deadline")
{
    full_pool f;
    f.openEstimated("label", 100, 4'000);
    f.reply(0, room_verdict::queued, HOPELESS_MS);
    f.reply(1, room_verdict::queued, HOPELESS_MS);
    REQUIRE(f.failures().size() == 1);
    CHECK(f.failures()[0].reason == failure::overloaded);
    CHECK(f.failures()[0].ran == run_state::not_run);
    // A third of the time that the caller has left.
    CHECK(f.failures()[0].retryAfterMs.value() <= 4'000 / 3);
    CHECK(f.isWithdrawn(0));
    CHECK(f.isWithdrawn(1));
    CHECK(f.core.waitingCounts().waitedInVain == 1);

    SUBCASE("the next one without a question")
    {
        f.openEstimated("label", 100, 4'000);
        CHECK(f.questions() == 2);
        CHECK(f.failures().size() == 2);
    }
    SUBCASE("the next one is asked once the figures are old")
    {
        f.advance(1'100);
        f.report();
        f.openEstimated("label", 100, 4'000);
        CHECK(f.questions() == 3);
    }
}

TEST_CASE("late work waits only with a forecast that it will be served")
{
    full_pool f;
    f.openEstimated("label", 100, 4'000);
    SUBCASE("forecast within the deadline")
    {
        f.reply(0, room_verdict::queued, LATE_MS);
        f.reply(1, room_verdict::queued, LATE_MS);
        f.advance(350);
        CHECK(f.failures().empty());
        f.reply(1, room_verdict::granted);
        CHECK(f.sends() == 1);
    }
    SUBCASE("no forecast")
    {
        f.reply(0, room_verdict::queued);
        f.reply(1, room_verdict::queued);
        f.advance(150);
        CHECK(f.failures().empty());
        f.advance(200);
        REQUIRE(f.failures().size() == 1);
        CHECK(f.failures()[0].ran == run_state::not_run);
        CHECK(f.isWithdrawn(0));
        CHECK(f.isWithdrawn(1));
    }
}

// A grant kept memory reserved for a second although nobody used it.
TEST_CASE("a grant that is not used is withdrawn at once")
{
    full_pool f;
    const auto caller = f.openEstimated("label", 100, 4'000);
    SUBCASE("the caller has left")
    {
        f.reply(0, room_verdict::queued);
        f.core.onCallerDisconnected(caller);
        CHECK(f.isWithdrawn(0));
        CHECK(f.isWithdrawn(1));
        f.sink.withdrawn.clear();
        f.reply(0, room_verdict::granted);
        CHECK(f.isWithdrawn(0));
    }
    SUBCASE("the reporter was slow and another was asked")
    {
        f.advance(30);
        REQUIRE(f.questions() == 2);
        CHECK(f.isWithdrawn(0));
        f.sink.withdrawn.clear();
        f.reply(0, room_verdict::granted);
        CHECK(f.isWithdrawn(0));
    }
    SUBCASE("the process is to stop")
    {
        f.reply(0, room_verdict::queued);
        f.reply(1, room_verdict::queued);
        f.core.drain(f.time.now);
        CHECK(f.failures().size() == 1);
        CHECK(f.isWithdrawn(0));
        CHECK(f.isWithdrawn(1));
    }
    CHECK(f.sends() == 0);
}

// A request whose grant was lost, or whose reporter was killed, waited until its limit.
TEST_CASE("a silent reporter is asked again, and given up if it does not answer")
{
    full_pool f;
    f.openEstimated("draft", 100, 4'000);
    f.reply(0, room_verdict::queued, LATE_MS);
    f.reply(1, room_verdict::queued, LATE_MS);
    f.advance(410);
    REQUIRE(f.questions() == 4);
    CHECK(f.sink.roomRequests[2].askId == f.sink.roomRequests[0].askId);
    f.reply(1, room_verdict::queued, LATE_MS);
    f.advance(30);
    CHECK(f.isWithdrawn(0));
    CHECK_FALSE(f.isWithdrawn(1));
    CHECK(f.failures().empty());
}

TEST_CASE("a request that finds room at once is asked for once and sent")
{
    forwarding_fixture f({.policy = waiting_policy::ordered});
    for (const auto *id : {"i-c", "i-d"}) {
        f.core.onReport(id, {.capacityTokens = 34'000});
    }
    f.openRequest("draft");
    f.replyToRoomRequest(room_verdict::granted);
    CHECK(f.sends() == 1);
    CHECK(f.sink.roomRequests.size() == 1);
    CHECK(f.sink.withdrawn.empty());
}

TEST_CASE("a refusal counts as wrong once a later request of its kind gets room in its time")
{
    refusal_audit audit;
    const refused_request refused{
        .pool = "p", .expectedTokens = 100, .urgency = 1, .refusedAt = {10}, .until = {50}};
    const granted_request later{.pool = "p", .expectedTokens = 100, .urgency = 1, .openedAt = {20}};
    SUBCASE("in time")
    {
        audit.onRefused(refused);
        audit.onGranted(later, {40});
        CHECK(audit.refusedWithRoom() == 1);
    }
    SUBCASE("not if it was too late, smaller, more urgent or came before")
    {
        audit.onRefused(refused);
        auto other = later;
        other.expectedTokens = 99;
        audit.onGranted(other, {40});
        other = later;
        other.urgency = 0;
        audit.onGranted(other, {40});
        other = later;
        other.openedAt = {9};
        audit.onGranted(other, {40});
        audit.onGranted(later, {51});
        CHECK(audit.refusedWithRoom() == 0);
    }
}

// Callers that were refused together returned together, and were refused again.
TEST_CASE("returns are spread over what the pool serves")
{
    pool_backlog backlog({});
    const time_us now{US_PER_SECOND};
    std::set<time_us> returns;
    for (int i = 0; i < 4; ++i) {
        const auto at = backlog.reserveReturn("p", now, {10 * US_PER_SECOND}, now);
        REQUIRE(at);
        CHECK(returns.insert(*at).second);
    }
    CHECK_FALSE(backlog.reserveReturn("p", now, now, now));
    // An absurd figure must not keep callers away for ever.
    backlog.onExpectedWait("p", "s", INT64_MAX, now);
    CHECK(backlog.smallestWaitUs("p", now).value() <= 600 * US_PER_SECOND);
}
