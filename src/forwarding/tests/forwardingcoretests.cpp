#include "forwarding/forwardingcore.h"

#include <doctest/doctest.h>

using namespace marjoram;

namespace {

/// Records the actions of the core.
struct recording_sink
{
    std::vector<forward_action> toCallers;
    std::vector<server_command> toServers;
    std::vector<request_room> roomRequests;
    std::vector<notify_move> notified;

    auto toCaller(forward_action action) -> void { toCallers.push_back(std::move(action)); }
    auto toServer(server_command command) -> void { toServers.push_back(std::move(command)); }
    auto toReporter(reporter_command command) -> void
    {
        if (auto *room = std::get_if<request_room>(&command)) {
            roomRequests.push_back(std::move(*room));
        } else {
            notified.push_back(std::get<notify_move>(std::move(command)));
        }
    }
    auto log(log_event, const std::string &, std::vector<log_field>) -> void { }
    auto observe(latency_kind, std::int64_t) -> void { }

    template <typename T>
    auto callers() const -> std::vector<T>
    {
        return pick<T>(toCallers);
    }
    template <typename T>
    auto servers() const -> std::vector<T>
    {
        return pick<T>(toServers);
    }
    template <typename T>
    static auto pick(const auto &from) -> std::vector<T>
    {
        std::vector<T> out;
        for (const auto &one : from) {
            if (const auto *found = std::get_if<T>(&one)) {
                out.push_back(*found);
            }
        }
        return out;
    }
};

auto tableOf() -> route_table_ptr
{
    route_table_content content{.version = 1};
    const auto add = [&](std::string prefix, work_kind kind, std::uint32_t attempts, bool resumable,
                         std::string pool) {
        content.routes.push_back({.name = prefix,
                                  .host = "h",
                                  .pathPrefix = "/" + prefix + "/",
                                  .kind = kind,
                                  .timeoutMs = 4'000,
                                  .latencyTargetMs = 300,
                                  .attempts = attempts,
                                  .pools = {{.pool = std::move(pool)}},
                                  .resumable = resumable});
    };
    add("book", work_kind::at_most_once, 1, false, "desk");
    add("look", work_kind::repeatable, 2, false, "desk");
    add("draft", work_kind::generation, 1, false, "engines");
    add("label", work_kind::generation, 2, true, "engines");
    content.pools.push_back({.name = "desk"});
    content.pools.push_back({.name = "engines",
                             .engine = engine_traits{.slots = 24,
                                                     .memoryTokens = 34'000,
                                                     .bytesPerToken = 327'680,
                                                     .linkMbps = 47'000.0,
                                                     .moves = true,
                                                     .tokensPerEvent = 4}});
    return std::make_shared<const route_table>(std::move(content));
}

auto serverOf(std::string id, std::string pool) -> server_entry
{
    const auto port = static_cast<std::uint16_t>(1'000 + id.back());
    return {.id = std::move(id),
            .pool = std::move(pool),
            .address = {.address = "10.0.0.1", .port = port},
            .dataCentre = "d",
            .slots = 6};
}

/// A core on virtual time with two servers in each pool.
struct fixture
{
    virtual_clock_source::state time;
    server_directory directory{{}};
    recording_sink sink;
    forwarding_core<sampled_least_loaded, virtual_clock_source, recording_sink> core{
        {.dataCentre = "d", .initialEntryCount = 1},
        virtual_clock_source(&time),
        1,
        directory,
        sink};
    std::uint64_t lastCaller = 0;

    fixture()
    {
        core.onRouteTable(tableOf());
        core.onServerList({serverOf("i-a", "desk"), serverOf("i-b", "desk"),
                           serverOf("i-c", "engines"), serverOf("i-d", "engines")});
    }
    auto openRequest(const std::string &prefix) -> std::uint64_t
    {
        auto request = std::make_shared<forward_request>();
        request->callerId = ++lastCaller;
        request->requestId = "r" + std::to_string(lastCaller);
        request->method = "POST";
        request->target = "/" + prefix + "/x";
        request->host = "h";
        request->callerTimeoutMs = 4'000;
        request->generation.promptTokens = 3'000;
        request->generation.maxOutputTokens = 1'000;
        core.onRequest({request});
        return lastCaller;
    }
    auto lastSend() -> send_request { return sink.servers<send_request>().back(); }
    auto sends() -> std::size_t { return sink.servers<send_request>().size(); }
    auto failExchange(fetch_phase phase) -> void
    {
        core.onEvent(exchange_failed{.exchangeId = lastSend().exchangeId,
                                     .phase = phase,
                                     .error = make_error_code(failure::backend_server_lost)});
    }
    auto beginStream() -> void { core.onEvent(stream_begun{.exchangeId = lastSend().exchangeId}); }
    auto streamEvents(std::uint64_t from, std::uint64_t to) -> void
    {
        stream_advanced advanced{.exchangeId = lastSend().exchangeId};
        for (auto id = from; id <= to; ++id) {
            advanced.events.push_back({.id = id, .bytes = std::to_string(id) + ";"});
        }
        core.onEvent(std::move(advanced));
    }
    auto deliveredBytes() const -> std::string
    {
        std::string out;
        for (const auto &events : sink.callers<send_response_events>()) {
            out += events.bytes;
        }
        return out;
    }
    auto advance(std::int64_t ms) -> void
    {
        time.now = time.now + ms * US_PER_MS;
        core.onTimer();
    }
    /// The server of the last send reports that it is leaving and that the last request may be
    /// moved.
    auto reportLeaving() -> void { reportLeaving(lastSend().request->requestId); }
    auto reportLeaving(const std::string &turn, std::int64_t leavesMs = 1'500) -> void
    {
        core.onReport(lastSend().serverId, {.state = server_state::leaving,
                                            .leavesMs = leavesMs,
                                            .runs = {{lastSend().request->requestId, 3'000, 100}},
                                            .turn = turn});
    }
    auto completeCopy(copy_outcome outcome, std::string handle) -> void
    {
        core.onEvent(run_copied{.copyId = sink.servers<copy_run>().back().copyId,
                                .outcome = outcome,
                                .handle = std::move(handle)});
    }
    auto replyToRoomRequest(room_verdict verdict) -> void
    {
        const auto room = sink.roomRequests.back();
        core.onRoomReply({.askId = room.askId,
                          .verdict = verdict,
                          .serverId = room.serverId,
                          .report = {.capacityTokens = 34'000}});
    }
    auto copyCommands() const -> std::size_t { return sink.servers<copy_run>().size(); }
};

} // namespace

TEST_CASE("a response is forwarded unchanged")
{
    fixture f;
    f.openRequest("book");
    f.core.onEvent(response_received{
        .exchangeId = f.lastSend().exchangeId, .head = {.status = 200}, .body = "ok"});
    REQUIRE(f.sink.callers<send_response>().size() == 1);
    CHECK(f.sink.callers<send_response>().front().body == "ok");
    CHECK(f.core.drained());
}

TEST_CASE("an at-most-once request is retried only if it certainly has not run")
{
    fixture f;
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
    fixture f;
    f.openRequest("book");
    f.core.onEvent(
        response_received{.exchangeId = f.lastSend().exchangeId, .head = {.status = 503}});
    CHECK(f.sink.callers<send_response>().empty());
    CHECK(f.sink.callers<send_failure>().front().ran == run_state::unknown);
}

TEST_CASE("a server that did not run a request is excluded from the retry")
{
    fixture f;
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
    fixture f;
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
    fixture f;
    f.openRequest("look");
    f.advance(601);
    CHECK(f.sends() == 2);
    CHECK(f.sink.servers<cancel_exchange>().size() == 1);
}

TEST_CASE("a request without a response fails at its route's timeout")
{
    fixture f;
    f.openRequest("book");
    f.advance(4'001);
    CHECK(f.sink.callers<send_failure>().front().reason == failure::deadline_exceeded);
    CHECK(f.core.drained());
}

TEST_CASE(
    "a repeatable request is cancelled when its caller disconnects, an at-most-once request is not")
{
    fixture f;
    f.core.onCallerDisconnected(f.openRequest("look"));
    CHECK(f.sink.servers<cancel_exchange>().size() == 1);
    f.core.onCallerDisconnected(f.openRequest("book"));
    CHECK(f.sink.servers<cancel_exchange>().size() == 1);
    CHECK_FALSE(f.core.drained());
}

TEST_CASE("a broken stream of a resumable route resumes after its last event")
{
    fixture f;
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
    fixture f;
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
    fixture f;
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
    fixture f;
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
    fixture f;
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
    fixture f;
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
    fixture f;
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
    fixture f;
    f.openRequest("draft");
    f.beginStream();
    f.reportLeaving("another");
    CHECK(f.copyCommands() == 0);
    f.reportLeaving();
    CHECK(f.copyCommands() == 1);
    REQUIRE_FALSE(f.sink.notified.empty());
    CHECK(f.sink.notified.back().note == move_note::begun);

    fixture g;
    g.openRequest("draft");
    g.beginStream();
    g.reportLeaving("another");
    g.advance(251);
    g.advance(121);
    CHECK(g.copyCommands() == 1);
}

TEST_CASE("a run that finishes before its server shuts down is not moved")
{
    fixture f;
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
    fixture f;
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
    fixture f;
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
    fixture f;
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

TEST_CASE("a generation is sent where a reporter grants room, after trying others")
{
    fixture f;
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
                        .report = {.capacityTokens = 34'000}});
    REQUIRE(f.sink.roomRequests.size() == 2);
    const auto open = f.sink.roomRequests.back();
    CHECK(open.serverId != full.serverId);
    f.core.onRoomReply({.askId = open.askId,
                        .verdict = room_verdict::granted,
                        .serverId = open.serverId,
                        .report = {.capacityTokens = 34'000}});
    REQUIRE(f.sends() == 1);
    CHECK(f.lastSend().serverId == open.serverId);
}

TEST_CASE("a generation without room is refused early, as not run and with a retry delay")
{
    fixture f;
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

TEST_CASE("reporters that do not reply do not block a request")
{
    fixture f;
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
    fixture f;
    f.openRequest("nowhere");
    CHECK(f.sink.callers<send_failure>().back().reason == failure::unknown_service);
    recording_sink sink;
    server_directory directory({});
    forwarding_core<sampled_least_loaded, virtual_clock_source, recording_sink> withoutTable(
        {}, virtual_clock_source(&f.time), 1, directory, sink);
    auto request = std::make_shared<forward_request>();
    request->target = "/book/x";
    withoutTable.onRequest({request});
    CHECK(sink.callers<send_failure>().back().reason == failure::no_manifest);
}

TEST_CASE("a draining process accepts only requests that can finish in time")
{
    fixture f;
    f.core.drain(f.time.now + 2 * US_PER_SECOND);
    f.openRequest("book");
    CHECK(f.sends() == 1);
    f.openRequest("draft");
    CHECK(f.sends() == 1);
    CHECK(f.sink.callers<send_failure>().back().reason == failure::draining);
}
