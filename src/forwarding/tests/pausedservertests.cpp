#include "forwarding/tests/forwardingfixture.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace marjoram;
using namespace marjoram::testing;

// An overloaded backend server turns a request away and states for how long it wants no others. An
// entry that ignored this kept sending new requests and repeats, which prolonged the overload, and
// it ejected the server as if it were broken.

namespace {

constexpr std::size_t MANY = 20;

auto pauseOf(std::int64_t ms) -> response_head
{
    return {.status = 503, .notRun = true, .retryAfterMs = ms};
}

auto sendsTo(const forwarding_fixture &f, const std::string &serverId) -> std::ptrdiff_t
{
    const auto sends = f.sink.servers<send_request>();
    return std::count_if(sends.begin(), sends.end(),
                         [&](const send_request &send) { return send.serverId == serverId; });
}

/// Both servers of the pool turn a request away; the first wants a pause of two seconds, the second
/// of three.
auto pauseDesk(forwarding_fixture &f) -> void
{
    f.openRequest("look");
    f.answer(pauseOf(2'000));
    f.answer(pauseOf(3'000));
}

} // namespace

TEST_CASE("a server that asks for a pause gets no requests until the pause ends")
{
    forwarding_fixture f;
    f.openRequest("look");
    const auto paused = f.lastSend().serverId;
    f.answer(pauseOf(2'000));
    CHECK(f.lastSend().serverId != paused);
    f.answer({.status = 200});
    for (std::size_t i = 0; i < MANY; ++i) {
        f.openRequest("book");
        f.answer({.status = 200});
        f.advance(90);
    }
    CHECK(sendsTo(f, paused) == 1);
    f.advance(200);
    for (std::size_t i = 0; i < MANY; ++i) {
        f.openRequest("book");
    }
    CHECK(sendsTo(f, paused) > 1);
}

TEST_CASE("a request is refused at once, with the time to return, when all servers are paused")
{
    forwarding_fixture f;
    pauseDesk(f);
    f.sink.toCallers.clear();
    const auto sends = f.sends();
    std::vector<std::int64_t> delays;
    for (std::size_t i = 0; i < MANY; ++i) {
        f.openRequest("book");
    }
    for (const auto &refused : f.sink.callers<send_failure>()) {
        CHECK(refused.ran == run_state::not_run);
        REQUIRE(refused.retryAfterMs);
        CHECK(*refused.retryAfterMs >= 2'000);
        delays.push_back(*refused.retryAfterMs);
    }
    CHECK(delays.size() == MANY);
    CHECK(f.sends() == sends);
    CHECK(f.core.drained());
    // Callers that return together would overload the server again.
    const auto [first, last] = std::minmax_element(delays.begin(), delays.end());
    CHECK(*last - *first > 400);
}

TEST_CASE("a slow request keeps its server when no other one may get it")
{
    forwarding_fixture f;
    f.openRequest("look");
    const auto slow = f.lastSend();
    do {
        f.openRequest("look");
    } while (f.lastSend().serverId == slow.serverId);
    f.answer(pauseOf(3'000));
    const auto sends = f.sends();
    f.advance(601);
    CHECK(f.sends() == sends);
    const auto cancelled = f.sink.servers<cancel_exchange>();
    CHECK(std::none_of(cancelled.begin(), cancelled.end(), [&](const cancel_exchange &one) {
        return one.exchangeId == slow.exchangeId;
    }));
}

TEST_CASE("a server that asks for pauses is not ejected as broken")
{
    forwarding_fixture f;
    for (std::size_t i = 0; i < MANY; ++i) {
        f.openRequest("book");
        f.answer({.status = 503, .retryAfterMs = 1});
        f.advance(2);
    }
    for (const auto *id : {"i-a", "i-b"}) {
        CHECK(f.directory.find(id)->ejections == 0);
    }
}

TEST_CASE("an at-most-once request avoids a server on probation only while another is available")
{
    forwarding_fixture f;
    for (int i = 0; i < 3; ++i) {
        f.directory.recordFailure("i-a", f.time.now);
    }
    f.directory.recordWrongServer("i-b", f.time.now);
    f.advance(9'000);
    f.directory.onRetryAfter("i-b", 5'000, f.time.now);
    f.openRequest("book");
    REQUIRE(f.sends() == 1);
    CHECK(f.lastSend().serverId == "i-a");
}

TEST_CASE("a run is not moved to a paused server, nor to one that pauses while the run is copied")
{
    forwarding_fixture f;
    f.core.onServerList({serverOf("i-c", "engines"), serverOf("i-d", "engines"),
                         serverOf("i-e", "engines"), serverOf("i-f", "engines")});
    f.openRequest("draft");
    f.beginStream();
    f.streamEvents(1, 10);
    const auto source = f.lastSend().serverId;
    const auto first = source == "i-c" ? "i-d" : "i-c";
    f.directory.onRetryAfter(first, 5'000, f.time.now);
    f.reportLeaving();
    const auto idOf = [&](const endpoint &address) {
        for (const auto &[id, view] : f.directory.views()) {
            if (view.entry.address == address) {
                return id;
            }
        }
        return std::string();
    };
    const auto second = idOf(f.sink.servers<copy_run>().back().target);
    CHECK(second != first);
    f.directory.onRetryAfter(second, 5'000, f.time.now);
    f.completeCopy(copy_outcome::copied, "h1");
    const auto next = f.sink.servers<copy_run>().back();
    CHECK_FALSE(next.stop);
    CHECK(idOf(next.target) != first);
    CHECK(idOf(next.target) != second);
    REQUIRE(f.sink.servers<release_kv_copy>().size() == 1);
    CHECK(f.sink.servers<release_kv_copy>().front().copy.handle == "h1");
    f.completeCopy(copy_outcome::copied, "h2");
    CHECK(f.sink.servers<copy_run>().back().stop);
    // The run is stopped: only this server and its source can resume it.
    const auto third = idOf(next.target);
    f.directory.onRetryAfter(third, 5'000, f.time.now);
    f.completeCopy(copy_outcome::copied, "h3");
    f.failExchange(fetch_phase::reading);
    CHECK(f.lastSend().serverId == third);
    CHECK(f.lastSend().resumeFrom->handle == "h3");
}

TEST_CASE("a granted request is not sent to a server that has paused meanwhile")
{
    forwarding_fixture f;
    for (const auto *id : {"i-c", "i-d"}) {
        f.core.onReport(id, {.capacityTokens = 34'000});
    }
    f.openRequest("draft");
    REQUIRE(f.sink.roomRequests.size() == 1);
    f.directory.onRetryAfter(f.sink.roomRequests.back().serverId, 5'000, f.time.now);
    f.replyToRoomRequest(room_verdict::granted);
    CHECK(f.sends() == 0);
    REQUIRE(f.sink.roomRequests.size() == 2);
    f.replyToRoomRequest(room_verdict::granted);
    CHECK(f.sends() == 1);
}
