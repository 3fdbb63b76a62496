#include "forwarding/tests/forwardingfixture.h"

#include <doctest/doctest.h>

using namespace marjoram;
using namespace marjoram::testing;

// A backend server that is about to shut down states so in all its answers. The published list may
// show it as ready for seconds, and while the store is away it is the only source. An entry that
// ignored the answers kept sending requests to servers that were shutting down.

namespace {

constexpr std::size_t MANY = 20;

/// Opens requests and answers each; returns whether one of them went to the given server.
auto reaches(forwarding_fixture &f, const std::string &serverId) -> bool
{
    for (std::size_t i = 0; i < MANY; ++i) {
        f.openRequest("book");
        if (f.lastSend().serverId == serverId) {
            return true;
        }
        f.answer({.status = 200});
    }
    return false;
}

auto listDesk(forwarding_fixture &f) -> void
{
    f.core.onServerList({serverOf("i-a", "desk"), serverOf("i-b", "desk"),
                         serverOf("i-c", "engines"), serverOf("i-d", "engines")});
}

} // namespace

TEST_CASE("a server that states in any answer that it is leaving gets no new requests")
{
    forwarding_fixture f;
    f.openRequest("look");
    const auto leaving = f.lastSend().serverId;
    SUBCASE("success")
    {
        f.answer({.status = 200, .leaving = true});
    }
    SUBCASE("error")
    {
        f.answer({.status = 500, .leaving = true});
        f.answer({.status = 200});
    }
    SUBCASE("refusal")
    {
        f.answer({.status = 503, .notRun = true, .leaving = true});
        f.answer({.status = 200});
    }
    CHECK_FALSE(reaches(f, leaving));
    listDesk(f);
    f.core.onReport(leaving, {});
    f.advance(10'000);
    CHECK_FALSE(reaches(f, leaving));
}

TEST_CASE("an answer of a different server at the address does not make the server leave")
{
    forwarding_fixture f;
    f.openRequest("look");
    const auto id = f.lastSend().serverId;
    f.answer({.status = 421, .wrongServer = true, .leaving = true});
    CHECK_FALSE(f.directory.find(id)->leaving());
}

TEST_CASE("a run moves off a server whose answer states that it is leaving")
{
    forwarding_fixture f;
    f.openRequest("draft");
    const auto source = f.lastSend().serverId;
    f.beginStream({.status = 200});
    f.streamEvents(1, 3);
    CHECK(f.copyCommands() == 0);
    do {
        f.openRequest("draft");
    } while (f.lastSend().serverId != source);
    f.beginStream({.status = 200, .leaving = true});
    REQUIRE(f.copyCommands() == 2);
    for (const auto &copy : f.sink.servers<copy_run>()) {
        CHECK(copy.source == f.directory.find(source)->entry.address);
    }
}

TEST_CASE("a run moves off a server that states that it is leaving although its reports show it as "
          "ready")
{
    forwarding_fixture f;
    f.openRequest("draft");
    const auto source = f.lastSend().serverId;
    const auto report = [&](server_report seen) {
        f.core.onReport(source, std::move(seen));
        f.advance(30);
    };
    report({});
    f.beginStream({.status = 200, .leaving = true});
    report({});
    CHECK(f.copyCommands() == 0);
    SUBCASE("at once when a report gives it the turn")
    {
        report({.state = server_state::leaving, .turn = "other"});
        CHECK(f.copyCommands() == 0);
        report({.state = server_state::leaving, .turn = f.lastSend().request->requestId});
    }
    SUBCASE("after a while when none does")
    {
        for (int i = 0; i < 6; ++i) {
            report({});
        }
    }
    CHECK(f.copyCommands() == 1);
}

TEST_CASE("a request is refused at once when all servers of its pool are leaving")
{
    forwarding_fixture f;
    for (int i = 0; i < 2; ++i) {
        f.openRequest("book");
        f.answer({.status = 200, .leaving = true});
    }
    f.openRequest("book");
    REQUIRE(f.sink.callers<send_failure>().size() == 1);
    const auto refused = f.sink.callers<send_failure>().front();
    CHECK(refused.reason == failure::no_backend_server);
    CHECK(refused.ran == run_state::not_run);
    CHECK(refused.retryAfterMs);
    CHECK(f.core.drained());
}
