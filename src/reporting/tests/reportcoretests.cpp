#include "reporting/reportcore.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace marjoram;

namespace {

struct recorder
{
    std::vector<server_report_frame> reports;
    std::vector<room_reply_frame> replies;
    std::vector<std::pair<endpoint, server_news_frame>> announcements;

    auto send(const endpoint &to, const frame &message) -> void
    {
        if (const auto *report = std::get_if<server_report_frame>(&message)) {
            reports.push_back(*report);
        } else if (const auto *one = std::get_if<server_news_frame>(&message)) {
            announcements.emplace_back(to, *one);
        } else {
            replies.push_back(std::get<room_reply_frame>(message));
        }
    }
};

struct fixture
{
    virtual_clock_source::state time;
    recorder sink;
    report_core<virtual_clock_source, recorder> core{
        {.entries = {{"10.0.0.2", 7}, {"10.0.0.3", 7}}},
        virtual_clock_source(&time),
        "10.0.0.1:80",
        sink};
    endpoint entry{.address = "10.0.0.9", .port = 7};

    auto advance(std::int64_t ms) -> void { time.now = time.now + ms * US_PER_MS; }
    auto ask(std::string id, std::uint64_t tokens, std::uint64_t output) -> room_verdict
    {
        core.onRoomRequest(entry, {.requestId = std::move(id),
                                   .expectedTokens = tokens,
                                   .promptsAhead = 2,
                                   .outputTokens = output});
        return sink.replies.back().verdict;
    }
};

} // namespace

TEST_CASE("a new listener gets the latest report, then reports at intervals")
{
    fixture f;
    f.core.onReport({.running = 1, .capacityTokens = 100});
    f.core.onReportRequest(f.entry);
    CHECK(f.sink.reports.size() == 1);
    f.advance(10);
    f.core.onReport({.running = 2, .capacityTokens = 100});
    CHECK(f.sink.reports.size() == 1);
    f.advance(300);
    f.core.onReport({.running = 2, .capacityTokens = 100});
    CHECK(f.sink.reports.size() == 2);
    CHECK(f.sink.reports.back().listeners == 1);
}

// How slow a host is changes within 600 ms; entries learnt it with the next regular report, or
// never.
TEST_CASE("a change of the server's slowness waits for the next regular report")
{
    fixture f;
    f.core.onReport({.capacityTokens = 100});
    f.core.onReportRequest(f.entry);
    REQUIRE(f.core.wantsLoad());
    f.core.onLoad(load_sample{.slowdownPercent = 100});
    CHECK_FALSE(f.core.wantsLoad());
    const auto before = f.sink.reports.size();
    f.advance(200);
    REQUIRE(f.core.wantsLoad());
    f.core.onLoad(load_sample{.slowdownPercent = 250});
    REQUIRE(f.sink.reports.size() == before + 1);
    CHECK(f.sink.reports.back().slowdownPercent == 250);
    f.core.onLoad(std::nullopt);
    CHECK(f.sink.reports.size() == before + 1);
}

TEST_CASE("a server that does not state how slow it is is asked again")
{
    fixture f;
    f.core.onReport({.capacityTokens = 100, .bornUnixMs = 1});
    f.core.onLoad(load_sample{});
    f.advance(5'000);
    CHECK_FALSE(f.core.wantsLoad());
    f.core.onReport({.capacityTokens = 100, .bornUnixMs = 2});
    CHECK(f.core.wantsLoad());
}

TEST_CASE("a leaving server is reported at once and on each poll, with its runs and duration")
{
    fixture f;
    f.core.onReportRequest(f.entry);
    f.core.onReport({.running = 1});
    f.advance(50);
    for (int i = 0; i < 2; ++i) {
        f.core.onReport({.state = server_state::leaving, .leavesMs = 1'000, .runs = {{"r", 5, 1}}});
        f.advance(30);
    }
    REQUIRE(f.sink.reports.size() == 3);
    CHECK(f.sink.reports.back().runs.size() == 1);
    CHECK(f.sink.reports.back().leavingForMs == 80);
}

TEST_CASE("a server that does not answer is reported after the second poll")
{
    fixture f;
    f.core.onReportRequest(f.entry);
    f.core.onReport({});
    f.core.onPollFailed();
    CHECK(f.sink.reports.size() == 1);
    f.core.onPollFailed();
    CHECK_FALSE(f.sink.reports.back().answering);
}

TEST_CASE("a listener that doesn't renew its request gets no more reports")
{
    fixture f;
    f.core.onReportRequest(f.entry);
    f.core.onReport({});
    f.advance(4'000);
    f.core.onReport({});
    CHECK(f.sink.reports.size() == 1);
}

TEST_CASE("memory isn't granted twice, and is released if the request never arrives")
{
    fixture f;
    f.core.onReport({.usedTokens = 19'000, .capacityTokens = 30'000});
    CHECK(f.ask("a", 5'000, 1'000) == room_verdict::granted);
    CHECK(f.ask("b", 5'000, 1'000) == room_verdict::memory_taken);
    f.advance(1'100);
    f.core.onReport({.usedTokens = 19'000, .capacityTokens = 30'000});
    CHECK(f.ask("b", 5'000, 1'000) == room_verdict::granted);
}

TEST_CASE("a grant ends when the server lists the request")
{
    fixture f;
    f.core.onReport({.capacityTokens = 30'000});
    f.ask("a", 20'000, 1'000);
    f.core.onReport({.usedTokens = 3'000, .capacityTokens = 30'000, .runs = {{"a", 3'000, 1}}});
    CHECK(f.ask("b", 20'000, 1'000) == room_verdict::granted);
}

TEST_CASE("short generations may use memory that is reserved from long ones")
{
    fixture f;
    f.core.onReport({.running = 8, .usedTokens = 25'000, .capacityTokens = 30'000});
    CHECK(f.ask("long", 3'000, 1'000) == room_verdict::memory_taken);
    CHECK(f.ask("brief", 3'000, 16) == room_verdict::granted);
}

TEST_CASE("room is refused for prompts ahead, a leaving server and one that doesn't answer")
{
    fixture f;
    CHECK(f.ask("a", 1, 1) == room_verdict::not_answering);
    f.core.onReport({.starting = 3, .capacityTokens = 30'000});
    CHECK(f.ask("a", 1, 1) == room_verdict::prompts_ahead);
    f.core.onReport({.capacityTokens = 30'000, .leavesMs = 10});
    CHECK(f.ask("a", 1, 1) == room_verdict::leaving);
}

TEST_CASE("a started server is asked for its identity and announced to each entry in turn")
{
    fixture f;
    f.core.onReport({.bornUnixMs = f.time.unixStartMs});
    CHECK(f.core.wantsIdentity());
    f.core.onIdentity(server_identity{.id = "s", .slots = 24});
    CHECK_FALSE(f.core.wantsIdentity());
    REQUIRE(f.sink.announcements.size() == 1);
    CHECK(f.sink.announcements[0].second.server == "10.0.0.1:80");
    f.core.onReport({.bornUnixMs = f.time.unixStartMs});
    CHECK(f.sink.announcements.size() == 1);
    f.advance(400);
    f.core.onReport({.bornUnixMs = f.time.unixStartMs});
    REQUIRE(f.sink.announcements.size() == 2);
    CHECK(f.sink.announcements[0].first != f.sink.announcements[1].first);
    f.advance(5'000);
    f.core.onReport({.bornUnixMs = f.time.unixStartMs});
    CHECK(f.sink.announcements.size() == 2);
}

TEST_CASE("a server older than its reporter isn't announced, but its successor is")
{
    fixture f;
    f.core.onReport({.bornUnixMs = f.time.unixStartMs - 10'000});
    CHECK_FALSE(f.core.wantsIdentity());
    f.advance(60'000);
    f.core.onReport({.bornUnixMs = f.time.unixStartMs + 50'000});
    CHECK(f.core.wantsIdentity());
}

TEST_CASE("a server that is leaving or whose identity is unknown isn't announced")
{
    fixture f;
    f.core.onReport({.bornUnixMs = f.time.unixStartMs});
    f.core.onIdentity(std::nullopt);
    CHECK(f.sink.announcements.empty());
    CHECK_FALSE(f.core.wantsIdentity());
    f.advance(1'500);
    CHECK(f.core.wantsIdentity());
    f.core.onReport({.state = server_state::leaving, .bornUnixMs = f.time.unixStartMs});
    f.core.onIdentity(server_identity{.id = "s"});
    CHECK(f.sink.announcements.empty());
}

TEST_CASE("a server that is too busy to return its identity is asked again after its pause")
{
    fixture f;
    f.core.onReport({.bornUnixMs = f.time.unixStartMs});
    f.core.onIdentity(std::nullopt, 3'000);
    f.advance(2'900);
    CHECK_FALSE(f.core.wantsIdentity());
    f.advance(200);
    CHECK(f.core.wantsIdentity());
}

TEST_CASE("the announcement of another server is forwarded to the listeners")
{
    fixture f;
    f.core.onReportRequest(f.entry);
    f.core.onAnnouncement({.id = "other", .relays = 1});
    REQUIRE(f.sink.announcements.size() == 1);
    CHECK(f.sink.announcements[0].first == f.entry);
    CHECK(f.sink.announcements[0].second.relays == 2);
}

TEST_CASE("runs are moved in one at a time, and may use memory reserved from new work")
{
    fixture f;
    f.core.onReport({.usedTokens = 20'000, .capacityTokens = 30'000});
    const auto moveIn = [&](std::string id) {
        f.core.onRoomRequest(
            f.entry, {.requestId = std::move(id), .expectedTokens = 4'000, .landing = true});
        return f.sink.replies.back().verdict;
    };
    CHECK(moveIn("a") == room_verdict::granted);
    CHECK(moveIn("a") == room_verdict::granted);
    CHECK(moveIn("b") == room_verdict::link_busy);
    f.core.onMove({.requestId = "a", .note = move_note::ended});
    f.core.onReport({.usedTokens = 24'000, .capacityTokens = 30'000});
    CHECK(moveIn("b") == room_verdict::granted);
    CHECK(moveIn("c") == room_verdict::link_busy);
    f.advance(801);
    f.core.onReport({.usedTokens = 24'000, .capacityTokens = 30'000});
    CHECK(moveIn("c") == room_verdict::memory_taken);
}

TEST_CASE("the run to be moved next is reported at once when it changes")
{
    fixture f;
    f.core.onReportRequest(f.entry);
    const server_report leaving{.state = server_state::leaving,
                                .runs = {{"a", 100, 50}, {"b", 200, 50}}};
    f.core.onReport(leaving);
    CHECK(f.sink.reports.back().turn == "a");
    f.core.onMove({.requestId = "a", .note = move_note::begun});
    CHECK(f.sink.reports.size() == 1);
    f.core.onMove({.requestId = "a", .note = move_note::ended});
    REQUIRE(f.sink.reports.size() == 2);
    CHECK(f.sink.reports.back().turn == "b");
}

// The difference to the present wrapped around, and the start counted as recent.
TEST_CASE("a server whose start lies far in the past or in the future has not just started")
{
    constexpr std::int64_t NOW_UNIX_MS = 1'800'000'000'000;
    for (const auto born : {INT64_MIN, INT64_MIN + NOW_UNIX_MS, INT64_MAX}) {
        fixture f;
        f.core.onReport({.bornUnixMs = born});
        CHECK_FALSE(f.core.wantsIdentity());
    }
}

// Entries that had just started knew only the process that had ended, and learnt of its successor
// when the published list showed it, over a second later.
TEST_CASE("an entry that asks for reports does not learn which process has just started")
{
    fixture f;
    f.core.onReportRequest(f.entry);
    f.core.onReport({.bornUnixMs = f.time.unixStartMs});
    f.core.onIdentity(server_identity{.id = "s", .slots = 24});
    const auto sentTo = [&f](const endpoint &where) {
        return std::count_if(f.sink.announcements.begin(), f.sink.announcements.end(),
                             [&](const auto &one) {
                                 return one.first == where && one.second.id == "s"
                                        && one.second.relays == server_news_frame::MAX_RELAYS;
                             });
    };
    CHECK(sentTo(f.entry) == 1);
    const endpoint later{.address = "10.0.0.8", .port = 7};
    f.core.onReportRequest(later);
    CHECK(sentTo(later) == 1);
    f.core.onReportRequest(later);
    CHECK(sentTo(later) == 1);
}

TEST_CASE("the pace of the runs is reported, whatever the length of prompts")
{
    fixture f;
    f.core.onReportRequest(f.entry);
    constexpr std::int64_t POLL_MS = 80;
    constexpr std::uint64_t EVENTS_PER_POLL = 2;
    for (std::uint64_t poll = 0; poll < 40; ++poll) {
        f.core.onReport({.capacityTokens = 30'000,
                         .runs = {{"a", 3'000, 1 + poll * EVENTS_PER_POLL},
                                  {"b", 3'000, 1 + poll * EVENTS_PER_POLL},
                                  {"reads-prompt", 3'000, 0}}});
        f.advance(POLL_MS);
    }
    CHECK(f.sink.reports.back().usPerEvent == POLL_MS * US_PER_MS / EVENTS_PER_POLL);
}

// A reporter that had been frozen granted the memory of a second ago to whoever had asked
// meanwhile.
TEST_CASE("a reporter that wakes up grants room by a report from before its pause")
{
    fixture f;
    f.core.onReport({.capacityTokens = 30'000});
    CHECK(f.ask("a", 1'000, 100) == room_verdict::granted);
    f.advance(2'000);
    CHECK(f.ask("b", 1'000, 100) == room_verdict::not_answering);
    f.core.onReport({.capacityTokens = 30'000});
    CHECK(f.ask("b", 1'000, 100) == room_verdict::granted);
}

TEST_CASE("a server without an identity can postpone the next request for it without limit")
{
    fixture f;
    f.core.onReport({.bornUnixMs = f.time.unixStartMs});
    f.core.onIdentity(std::nullopt, INT64_MAX);
    constexpr std::int64_t MAX_PAUSE_MS = 300'000;
    f.advance(MAX_PAUSE_MS - 1);
    CHECK_FALSE(f.core.wantsIdentity());
    f.advance(1);
    CHECK(f.core.wantsIdentity());
}

namespace {

struct queue_fixture : fixture
{
    server_report engine{.capacityTokens = 10'000, .bornUnixMs = 1};
    std::uint64_t lastAskId = 0;

    queue_fixture() { poll(); }
    /// Polls after 30 ms.
    auto poll() -> void
    {
        advance(30);
        engine.running = static_cast<std::uint32_t>(engine.runs.size());
        engine.usedTokens = 0;
        for (const auto &run : engine.runs) {
            engine.usedTokens += run.memoryTokens;
        }
        core.onReport(engine);
    }
    auto run(const std::string &id, std::uint64_t memory) -> void
    {
        engine.runs.push_back({id, memory, 1});
    }
    auto end(const std::string &id) -> void
    {
        std::erase_if(engine.runs, [&](const server_run &run) { return run.requestId == id; });
    }
    /// Asks for a short generation that may wait for 10 s; returns the askId.
    auto askToWait(std::string id, std::uint64_t tokens, room_request_frame more = {})
        -> std::uint64_t
    {
        more.askId = ++lastAskId;
        more.requestId = std::move(id);
        more.expectedTokens = tokens;
        more.outputTokens = more.outputTokens == 0 ? 10 : more.outputTokens;
        more.promptsAhead = 64;
        more.startWithinMs = 20'000;
        more.waitMs = more.waitMs == 0 ? 10'000 : more.waitMs;
        core.onRoomRequest(entry, more);
        return more.askId;
    }
    /// Verdicts on an askId, in the order in which they were sent.
    auto verdicts(std::uint64_t askId) const -> std::vector<room_verdict>
    {
        std::vector<room_verdict> out;
        for (const auto &reply : sink.replies) {
            if (reply.askId == askId) {
                out.push_back(reply.verdict);
            }
        }
        return out;
    }
};

using verdict_list = std::vector<room_verdict>;
const verdict_list WAITS{room_verdict::queued};
const verdict_list SERVED{room_verdict::queued, room_verdict::granted};

} // namespace

TEST_CASE("requests wait for room and get it in order, several at once if there is room for them")
{
    queue_fixture f;
    f.run("big", 9'000);
    f.poll();
    const auto last = f.askToWait("last", 5'000, {.urgency = 1});
    const auto first = f.askToWait("first", 3'000);
    const auto second = f.askToWait("second", 4'000);
    CHECK(f.verdicts(first) == WAITS);
    CHECK(f.core.nextPollDelayUs() == 30 * US_PER_MS);
    f.end("big");
    f.poll();
    CHECK(f.verdicts(first) == SERVED);
    CHECK(f.verdicts(second) == SERVED);
    CHECK(f.verdicts(last) == WAITS);
    f.core.onRoomWithdrawal({.askId = second, .requestId = "second"});
    CHECK(f.verdicts(last) == SERVED);
    CHECK(f.core.nextPollDelayUs() == 80 * US_PER_MS);
}

TEST_CASE("a new request doesn't get room before those ahead of it, unless it asks for a verdict")
{
    queue_fixture f;
    f.run("big", 8'000);
    f.poll();
    const auto waits = f.askToWait("waits", 5'000);
    const auto later = f.askToWait("later", 1'000);
    CHECK(f.verdicts(later) == WAITS);
    CHECK(f.ask("at-once", 1'000, 10) == room_verdict::granted);
    const auto urgent = f.askToWait("urgent", 500, {.urgency = 0});
    CHECK(f.verdicts(urgent) == WAITS);
    CHECK(f.verdicts(waits) == WAITS);
}

TEST_CASE("a later request overtakes only if the blocked one is not delayed by it")
{
    queue_fixture f;
    // Shows how long a run takes: 10 tokens in 300 ms.
    const auto sample = f.askToWait("sample", 100);
    CHECK(f.verdicts(sample) == verdict_list{room_verdict::granted});
    f.run("sample", 100);
    for (int i = 0; i < 9; ++i) {
        f.poll();
    }
    f.end("sample");
    f.poll();
    f.askToWait("running", 6'000, {.outputTokens = 50});
    f.run("running", 6'000);
    f.poll();
    const auto large = f.askToWait("large", 8'000);
    // Ends before "running" does, about 1.5 s from now.
    CHECK(f.verdicts(f.askToWait("brief", 1'000)) == verdict_list{room_verdict::granted});
    // Takes longer, but leaves enough memory beside the large one.
    CHECK(f.verdicts(f.askToWait("small", 500, {.outputTokens = 60}))
          == verdict_list{room_verdict::granted});
    // Takes longer, and the large one would have to wait for its end.
    const auto delaying = f.askToWait("delaying", 2'400, {.outputTokens = 60});
    CHECK(f.verdicts(delaying) == WAITS);
    f.run("brief", 1'000);
    f.run("small", 500);
    f.poll();
    // Past the time at which the large one was expected to get room, nothing overtakes it.
    for (int i = 0; i < 60; ++i) {
        f.poll();
    }
    const auto tooLate = f.askToWait("too-late", 100);
    CHECK(f.verdicts(tooLate) == WAITS);
    f.end("running");
    f.end("brief");
    f.poll();
    CHECK(f.verdicts(large) == SERVED);
    CHECK(f.verdicts(tooLate) == SERVED);
    CHECK(f.verdicts(delaying) == WAITS);
}

// Without the bound on overtaking, the small ones took the memory as soon as it was freed.
TEST_CASE("a stream of small requests doesn't keep a large one waiting")
{
    queue_fixture f;
    int number = 0;
    std::uint64_t large = 0;
    std::map<std::string, int> pollsLeft;
    int largeAt = -1;
    for (int poll = 0; poll < 400 && largeAt < 0; ++poll) {
        const auto before = f.sink.replies.size();
        f.askToWait("small" + std::to_string(number++), 1'000, {.waitMs = 1'000});
        if (poll == 100) {
            large = f.askToWait("large", 9'000, {.waitMs = 20'000});
        }
        f.poll();
        for (auto &[id, left] : pollsLeft) {
            if (--left == 0) {
                f.end(id);
            }
        }
        for (auto i = before; i < f.sink.replies.size(); ++i) {
            const auto &reply = f.sink.replies[i];
            if (reply.verdict == room_verdict::granted && reply.askId == large) {
                largeAt = poll;
            } else if (reply.verdict == room_verdict::granted) {
                const auto id = "run" + std::to_string(reply.askId);
                f.run(id, 1'000);
                pollsLeft[id] = 20;
            }
        }
    }
    CHECK(largeAt > 100);
    CHECK(largeAt < 200);
}

TEST_CASE("a duplicate of a request that waits or was granted room changes nothing")
{
    queue_fixture f;
    f.run("big", 9'000);
    f.poll();
    const room_request_frame asked{.askId = 50,
                                   .requestId = "a",
                                   .expectedTokens = 6'000,
                                   .outputTokens = 10,
                                   .waitMs = 5'000};
    f.core.onRoomRequest(f.entry, asked);
    f.core.onRoomRequest(f.entry, asked);
    f.end("big");
    f.poll();
    f.core.onRoomRequest(f.entry, asked);
    CHECK(f.verdicts(50)
          == verdict_list{room_verdict::queued, room_verdict::queued, room_verdict::granted,
                          room_verdict::granted});
    const auto other = f.askToWait("b", 4'000);
    CHECK(f.verdicts(other) == verdict_list{room_verdict::granted});
}

TEST_CASE("a duplicate doesn't make the wait longer, but its request under another askId does")
{
    queue_fixture f;
    f.run("big", 9'900);
    f.poll();
    room_request_frame asked{.askId = 50,
                             .requestId = "a",
                             .expectedTokens = 6'000,
                             .outputTokens = 10,
                             .waitMs = 1'000};
    f.core.onRoomRequest(f.entry, asked);
    f.advance(800);
    f.poll();
    f.core.onRoomRequest(f.entry, asked);
    f.advance(300);
    f.poll();
    CHECK(f.verdicts(50).back() == room_verdict::memory_taken);
    f.core.onRoomRequest(f.entry, asked);
    f.advance(800);
    f.poll();
    asked.askId = 51;
    f.core.onRoomRequest(f.entry, asked);
    f.advance(300);
    f.poll();
    CHECK(f.verdicts(51) == WAITS);
}

TEST_CASE("a grant is not repeated once the server leaves or is replaced")
{
    for (const auto replaced : {false, true}) {
        queue_fixture f;
        const auto granted = f.askToWait("a", 9'000);
        CHECK(f.verdicts(granted) == verdict_list{room_verdict::granted});
        f.engine.state = replaced ? server_state::ready : server_state::leaving;
        f.engine.bornUnixMs += replaced ? 1 : 0;
        f.poll();
        const auto again = f.askToWait("a", 9'000);
        CHECK(f.verdicts(again) == (replaced ? WAITS : verdict_list{room_verdict::leaving}));
    }
}

TEST_CASE("a withdrawal ends the wait or releases the grant, but not one of another askId")
{
    queue_fixture f;
    const auto granted = f.askToWait("granted", 9'000);
    const auto waits = f.askToWait("waits", 9'000);
    const auto behind = f.askToWait("behind", 9'000, {.urgency = 1});
    f.core.onRoomWithdrawal({.askId = granted + 99, .requestId = "granted"});
    f.core.onRoomWithdrawal({.askId = waits + 99, .requestId = "waits"});
    const auto note = f.core.takeQueueNote();
    REQUIRE(note);
    CHECK(note->waiting == 2);
    f.core.onRoomWithdrawal({.askId = waits, .requestId = "waits"});
    f.core.onRoomWithdrawal({.askId = granted, .requestId = "granted"});
    CHECK(f.verdicts(waits) == WAITS);
    CHECK(f.verdicts(behind) == SERVED);
    // Once the server lists the run, its memory is in use.
    f.run("behind", 9'000);
    f.poll();
    f.core.onRoomWithdrawal({.askId = behind, .requestId = "behind"});
    CHECK(f.verdicts(f.askToWait("next", 9'000)) == WAITS);
}

TEST_CASE("64 requests wait; another one is refused unless it is more urgent than the last")
{
    queue_fixture f;
    f.run("big", 9'900);
    f.poll();
    std::vector<std::uint64_t> ids;
    for (int i = 0; i < 64; ++i) {
        ids.push_back(f.askToWait("r" + std::to_string(i), 1'000, {.urgency = 1}));
        REQUIRE(f.verdicts(ids.back()) == WAITS);
    }
    const verdict_list refused{room_verdict::memory_taken};
    CHECK(f.verdicts(f.askToWait("more", 1'000, {.urgency = 1})) == refused);
    CHECK(f.verdicts(f.askToWait("urgent", 1'000)) == WAITS);
    CHECK(f.verdicts(ids.back()) == verdict_list{room_verdict::queued, room_verdict::memory_taken});
    const auto note = f.core.takeQueueNote();
    REQUIRE(note);
    CHECK(note->waiting == 64);
    CHECK_FALSE(f.core.takeQueueNote());
}

TEST_CASE(
    "queued requests get the verdict that holds when their server leaves, dies or is replaced")
{
    const auto finalVerdict = [](auto &&happen) {
        queue_fixture f;
        f.run("big", 9'900);
        f.poll();
        const auto waits = f.askToWait("waits", 1'000);
        happen(f);
        const auto got = f.verdicts(waits);
        REQUIRE(got.size() == 2);
        return got.back();
    };
    CHECK(finalVerdict([](queue_fixture &f) {
              f.engine.state = server_state::leaving;
              f.poll();
          })
          == room_verdict::leaving);
    CHECK(finalVerdict([](queue_fixture &f) {
              f.core.onPollFailed();
              f.core.onPollFailed();
          })
          == room_verdict::not_answering);
    CHECK(finalVerdict([](queue_fixture &f) {
              ++f.engine.bornUnixMs;
              f.end("big");
              f.poll();
          })
          == room_verdict::not_answering);
    CHECK(finalVerdict([](queue_fixture &f) {
              f.advance(10'000);
              f.poll();
          })
          == room_verdict::memory_taken);
}

TEST_CASE("one poll without an answer, or a pause of the reporter, doesn't empty the queue")
{
    queue_fixture f;
    f.run("big", 9'000);
    f.poll();
    const auto waits = f.askToWait("waits", 3'000);
    f.core.onPollFailed();
    CHECK(f.verdicts(waits) == WAITS);
    f.advance(2'000);
    // The report is too old to grant room by.
    CHECK(f.verdicts(f.askToWait("other", 100)) == verdict_list{room_verdict::not_answering});
    CHECK(f.verdicts(waits) == WAITS);
    f.end("big");
    f.poll();
    CHECK(f.verdicts(waits) == SERVED);
}

TEST_CASE("absurd figures are refused at once or bounded")
{
    queue_fixture f;
    const verdict_list refused{room_verdict::memory_taken};
    CHECK(f.verdicts(f.askToWait("huge", UINT64_MAX)) == refused);
    CHECK(f.ask("huge-at-once", UINT64_MAX, 10) == room_verdict::memory_taken);
    CHECK(f.verdicts(f.askToWait("negative", 1'000, {.waitMs = -1}))
          == verdict_list{room_verdict::granted});
    f.run("big", 9'900);
    f.poll();
    const auto patient = f.askToWait("patient", 1'000, {.waitMs = INT64_MAX});
    f.advance(60'000);
    f.poll();
    CHECK(f.verdicts(patient) == verdict_list{room_verdict::queued, room_verdict::memory_taken});
}

TEST_CASE("requests wait for the rate limit of the server, and get room as it admits them")
{
    queue_fixture f;
    f.core.onRateLimit({.milliPerSecond = 1'000});
    const auto first = f.askToWait("a", 100);
    const auto second = f.askToWait("b", 100);
    CHECK(f.verdicts(first) == WAITS);
    CHECK(f.sink.replies.back().expectedWaitMs >= 1'900);
    for (int i = 0; i < 34; ++i) {
        f.poll();
    }
    CHECK(f.verdicts(first) == SERVED);
    CHECK(f.verdicts(second) == WAITS);
}

// The reports of a poll interval go to every entry; polls for the queue must not multiply them.
TEST_CASE("frequent polls while requests wait do not make reports more frequent")
{
    queue_fixture f;
    f.core.onReportRequest(f.entry);
    f.run("big", 9'900);
    f.poll();
    f.askToWait("waits", 1'000);
    const auto before = f.sink.reports.size();
    constexpr std::size_t POLLS = 80;
    for (std::size_t i = 0; i < POLLS; ++i) {
        f.engine.starting = 1 + i % 2;
        f.poll();
    }
    CHECK(f.sink.reports.size() - before <= POLLS * 30 / 80);
}

// An entry that stands still finds reports in its socket afterwards, and can't tell by their
// arrival when they were made.
TEST_CASE("a report does not state when it was made")
{
    constexpr std::int64_t SENT_AT_US = 77;
    fixture f;
    f.core.onReport({.capacityTokens = 100});
    f.core.onReportRequest(f.entry, SENT_AT_US);
    REQUIRE(f.sink.reports.size() == 1);
    CHECK(f.sink.reports.back().requestSentAtUs == SENT_AT_US);
    CHECK(f.sink.reports.back().requestAgoMs == 0);
    f.advance(500);
    f.core.onReport({.capacityTokens = 100});
    REQUIRE(f.sink.reports.size() == 2);
    CHECK(f.sink.reports.back().requestSentAtUs == SENT_AT_US);
    CHECK(f.sink.reports.back().requestAgoMs == 500);
    f.advance(100);
    f.ask("r1", 10, 5);
    CHECK(f.sink.replies.back().report.requestSentAtUs == SENT_AT_US);
    CHECK(f.sink.replies.back().report.requestAgoMs == 600);
    // An entry that has not asked for reports yet.
    f.entry.address = "10.0.0.8";
    f.ask("r2", 10, 5);
    CHECK(f.sink.replies.back().report.requestSentAtUs == 0);
}

// The answer had waited at the reporter, which stood still, while the server started anew.
TEST_CASE("a server's answer counts as given when its reporter reads it")
{
    fixture f;
    f.core.onReportRequest(f.entry, 1);
    f.core.onPoll();
    f.advance(3'000);
    f.core.onReport({.capacityTokens = 100});
    REQUIRE_FALSE(f.sink.reports.empty());
    CHECK(f.sink.reports.back().answeredAgoMs == 3'000);
}
