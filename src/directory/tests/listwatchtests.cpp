#include "directory/directoryoptions.h"

#include <doctest/doctest.h>

using namespace marjoram;

namespace {

struct recorder
{
    std::vector<std::string> lists;
    std::vector<std::uint64_t> watches;
    std::int64_t lastWaitMs = -1;
    int abandoned = 0;
    int synced = 0;
    int lost = 0;
    int regained = 0;
    std::vector<history_order> orders;

    auto list(const std::string &after) -> void { lists.push_back(after); }
    auto watch(std::uint64_t revision, std::int64_t waitMs) -> void
    {
        watches.push_back(revision);
        lastWaitMs = waitMs;
    }
    auto abandon() -> void { ++abandoned; }
    auto onPublished(const published<int> &) -> void { }
    auto onSynced() -> void { ++synced; }
    auto onCallFailed(const call_failure &) -> void { }
    auto onServiceLost() -> void { ++lost; }
    auto onServiceRegained(const service_outage &) -> void { ++regained; }
    auto onHistory(history_order order, const history_position &, const history_position &) -> void
    {
        orders.push_back(order);
    }
};

struct fixture
{
    virtual_clock_source::state time;
    recorder sink;
    list_watch<int, virtual_clock_source, recorder> feed{
        {.removalGraceUs = 2 * US_PER_SECOND, .restoreHoldUs = 6 * US_PER_SECOND},
        virtual_clock_source(&time),
        1,
        sink};

    auto advance(std::int64_t ms) -> void
    {
        time.now = time.now + ms * US_PER_MS;
        feed.onTimer();
    }
    auto listed(std::initializer_list<std::string> keys, std::uint64_t revision) -> void
    {
        published_page<int> page{.revision = revision};
        for (const auto &key : keys) {
            page.items.push_back({.key = key, .revision = 1, .value = 1});
        }
        feed.onPage(std::move(page));
    }
};

} // namespace

TEST_CASE("all pages are listed, and the watch begins at the first page's revision")
{
    fixture f;
    f.feed.start();
    f.feed.onPage(
        {.items = {{.key = "a", .revision = 1, .value = 1}}, .more = true, .revision = 7});
    CHECK(f.sink.lists == std::vector<std::string>{"", "a"});
    f.feed.onPage({.items = {{.key = "b", .revision = 2, .value = 2}}, .revision = 9});
    f.advance(1);
    CHECK(f.sink.watches == std::vector<std::uint64_t>{7});
    CHECK(f.feed.items().size() == 2);
}

TEST_CASE("after compaction the items are listed again, and missing ones are removed")
{
    fixture f;
    f.feed.start();
    f.listed({"a", "b"}, 5);
    f.feed.onCompacted();
    f.listed({"b"}, 20);
    CHECK_FALSE(f.feed.items().contains("a"));
    CHECK(f.feed.revision() == 20);
}

TEST_CASE("an older change of a key does not replace a newer one")
{
    fixture f;
    f.feed.start();
    f.feed.onPage({.items = {{.key = "a", .revision = 5, .value = 5}}, .revision = 5});
    f.feed.onChanges({{.key = "a", .revision = 4, .value = 4}}, 6);
    CHECK(f.feed.items().at("a").value == 5);
}

TEST_CASE("a removal after an outage is held back, and cancelled if the key is written again")
{
    fixture f;
    f.feed.start();
    f.listed({"a", "b"}, 5);
    f.feed.onFailed();
    CHECK(f.sink.lost == 1);
    f.advance(500);
    f.feed.onChanges({{.key = "a", .revision = 8, .removed = true},
                      {.key = "b", .revision = 9, .removed = true}},
                     9);
    CHECK(f.sink.regained == 1);
    CHECK(f.feed.items().size() == 2);
    f.feed.onChanges({{.key = "a", .revision = 10, .value = 1}}, 10);
    f.advance(2'100);
    CHECK(f.feed.items().contains("a"));
    CHECK_FALSE(f.feed.items().contains("b"));
}

TEST_CASE("without an outage a removal is applied at once")
{
    fixture f;
    f.feed.start();
    f.listed({"a"}, 5);
    f.feed.onChanges({{.key = "a", .revision = 8, .removed = true}}, 8);
    CHECK(f.feed.items().empty());
}

TEST_CASE("an answer that brings a few bytes now and then is waited for without end")
{
    fixture f;
    f.feed.start();
    f.listed({"a"}, 5);
    f.advance(0);
    for (auto i = 0; i < 100; ++i) {
        f.advance(100);
        f.feed.onProgress(1);
    }
    CHECK(f.sink.abandoned > 0);
}

TEST_CASE("what is needed now is read when the service next changes")
{
    fixture f;
    f.feed.start();
    f.listed({"a"}, 5);
    f.advance(0);
    REQUIRE(f.sink.lastWaitMs > 0);
    f.advance(1'000);
    const auto wantedAt = f.time.now;
    f.feed.refresh();
    REQUIRE(f.feed.nextTimer() == wantedAt);
    f.advance(0);
    CHECK(f.sink.abandoned == 1);
    CHECK(f.sink.watches.size() == 2);
    CHECK(f.sink.lastWaitMs == 0);
    CHECK(f.feed.readAt() < wantedAt);
    f.advance(4);
    f.feed.onChanges({}, 5);
    CHECK(f.feed.readAt() == wantedAt);
    CHECK(f.sink.lost == 0);
    // The next one is not sooner than a tenth of a second later.
    f.advance(0);
    f.feed.refresh();
    f.advance(50);
    CHECK(f.sink.abandoned == 1);
    f.advance(50);
    CHECK(f.sink.abandoned == 2);
    // A service that has failed is not called sooner.
    f.feed.onFailed();
    const auto next = f.feed.nextTimer();
    f.feed.refresh();
    CHECK(f.feed.nextTimer() == next);
}

TEST_CASE("after a failure and a pause the watch resumes at its last revision")
{
    fixture f;
    f.feed.start();
    f.listed({"a"}, 5);
    f.advance(0);
    f.feed.onFailed();
    f.advance(100);
    CHECK(f.sink.watches.size() == 1);
    f.advance(400);
    CHECK(f.sink.watches == std::vector<std::uint64_t>{5, 5});
}

// The listing began after the same key again and again without a pause, or ended early, and what
// was not on its pages counted as removed.
TEST_CASE("a page that does not advance the listing is a failure, and removes nothing")
{
    fixture f;
    f.feed.start();
    f.listed({"a", "b"}, 5);
    f.feed.onCompacted();
    f.feed.onPage(
        {.items = {{.key = "a", .revision = 1, .value = 1}}, .more = true, .revision = 7});
    f.feed.onPage(
        {.items = {{.key = "a", .revision = 1, .value = 1}}, .more = true, .revision = 7});
    CHECK(f.sink.lists == std::vector<std::string>{"", "", "a"});
    CHECK(f.sink.lost == 1);
    f.advance(401);
    CHECK(f.sink.lists.size() == 4);
    f.feed.onPage({.more = true, .revision = 8});
    CHECK(f.feed.items().size() == 2);
    CHECK(f.sink.lists.size() == 4);
    f.advance(401);
    CHECK(f.sink.lists.back().empty());
    f.listed({"a"}, 9);
    f.advance(2'100);
    CHECK_FALSE(f.feed.items().contains("b"));
}

TEST_CASE("an item that cannot be decoded ends what was known under its key, until it is changed")
{
    fixture f;
    f.feed.start();
    f.listed({"a", "b"}, 5);
    f.feed.onChanges({{.key = "a", .revision = 6}}, 6);
    CHECK_FALSE(f.feed.items().at("a").value);
    CHECK(f.feed.items().at("b").value == 1);
    f.feed.onChanges({{.key = "a", .revision = 7, .value = 2}}, 7);
    CHECK(f.feed.items().at("a").value == 2);
    f.feed.onChanges({{.key = "a", .revision = 8}}, 8);
    f.feed.onChanges({{.key = "a", .revision = 9, .removed = true}}, 9);
    CHECK(f.feed.items().size() == 1);
}

namespace {

auto item(std::string key, std::uint64_t revision, int value) -> published<int>
{
    return {.key = std::move(key), .revision = revision, .value = value};
}

/// A feed whose service states its generation, and that has listed `a` at revision 5.
struct generation_fixture : fixture
{
    generation_fixture()
    {
        feed.start();
        feed.onPage({.items = {item("a", 5, 5)}, .revision = 5, .generation = 1});
        advance(1);
        sink.lists.clear();
    }
};

} // namespace

TEST_CASE("an item written again after a restore is ignored because its revision is lower")
{
    generation_fixture f;
    f.feed.onCompacted();
    f.feed.onPage({.items = {item("a", 2, 2)}, .revision = 3, .generation = 2});
    CHECK(f.feed.items().at("a").value == 2);
    CHECK(f.feed.revision() == 3);
    f.feed.onChanges({item("a", 4, 6)}, 4, 2);
    CHECK(f.feed.items().at("a").value == 6);
    CHECK(f.sink.orders == std::vector{history_order::restored});
}

TEST_CASE("a change is missed because the restored service has reached the watched revision again")
{
    generation_fixture f;
    f.feed.onChanges({}, 5, 2);
    f.advance(500);
    CHECK(f.sink.lists == std::vector<std::string>{""});
    f.feed.onPage({.items = {item("a", 5, 7)}, .revision = 5, .generation = 2});
    CHECK(f.feed.items().at("a").value == 7);
}

TEST_CASE("pages from before and after a restore are joined into one listing")
{
    generation_fixture f;
    f.feed.onCompacted();
    f.feed.onPage({.items = {item("a", 6, 6)}, .more = true, .revision = 8, .generation = 1});
    CHECK(f.sink.lists == std::vector<std::string>{"", "a"});
    f.feed.onPage({.items = {item("b", 3, 3)}, .revision = 9, .generation = 2});
    CHECK_FALSE(f.feed.items().contains("b"));
    f.advance(500);
    CHECK(f.sink.lists == std::vector<std::string>{"", "a", ""});
    f.feed.onPage({.items = {item("a", 4, 4), item("b", 3, 3)}, .revision = 9, .generation = 2});
    CHECK(f.feed.items().at("a").value == 4);
    CHECK(f.feed.items().at("b").value == 3);
}

TEST_CASE("a late answer of an earlier generation replaces what a later one contained")
{
    generation_fixture f;
    f.feed.onCompacted();
    f.feed.onPage({.items = {item("a", 2, 2)}, .revision = 2, .generation = 2});
    f.feed.onChanges({item("a", 9, 9)}, 9, 1);
    CHECK(f.feed.items().at("a").value == 2);
    CHECK(f.sink.lost == 1);
    f.advance(500);
    f.feed.onChanges({item("a", 3, 3)}, 3, 2);
    CHECK(f.feed.items().at("a").value == 3);
    CHECK(f.sink.regained == 1);
    CHECK(f.sink.orders == std::vector{history_order::restored, history_order::outdated});
}

TEST_CASE("a service whose generation went back for good is never followed again")
{
    generation_fixture f;
    f.feed.onPage({.items = {item("a", 6, 6)}, .revision = 6, .generation = 9});
    for (int i = 0; i < 40; ++i) {
        f.advance(500);
        f.feed.onPage({.items = {item("a", 3, 3)}, .revision = 3, .generation = 1});
    }
    CHECK(f.feed.items().at("a").value == 3);
    CHECK_FALSE(f.feed.lost());
}

TEST_CASE("a page older than the watch removes items and moves the watch back")
{
    generation_fixture f;
    f.feed.onChanges({item("b", 7, 7)}, 7, 1);
    f.feed.onCompacted();
    f.feed.onPage({.items = {item("a", 5, 5)}, .revision = 6, .generation = 1});
    f.advance(3'000);
    CHECK(f.feed.items().contains("b"));
    CHECK(f.feed.revision() == 7);
}

TEST_CASE("a restore goes unnoticed where the service states no generation")
{
    fixture f;
    f.feed.start();
    f.feed.onPage({.items = {item("a", 5, 5)}, .revision = 5});
    f.feed.onChanges({item("b", 4, 4)}, 4);
    f.advance(500);
    CHECK(f.sink.lists == std::vector<std::string>{"", ""});
    f.feed.onPage({.items = {item("a", 3, 3)}, .revision = 4});
    CHECK(f.feed.items().at("a").value == 3);
}

TEST_CASE("an item missing from the restored copy is removed before it can be written again")
{
    generation_fixture f;
    f.feed.onPage({.items = {item("b", 2, 2)}, .revision = 2, .generation = 2});
    CHECK(f.feed.items().contains("a"));
    f.feed.onChanges({item("a", 3, 6)}, 3, 2);
    f.advance(2'100);
    CHECK(f.feed.items().at("a").value == 6);
}

namespace {

/// A restored copy contains `b`, which had been removed before.
struct removed_fixture : generation_fixture
{
    removed_fixture()
    {
        feed.onChanges({item("b", 6, 6)}, 6, 1);
        feed.onChanges({{.key = "b", .revision = 7, .removed = true}}, 7, 1);
        feed.onPage({.items = {item("a", 5, 5), item("b", 6, 6)}, .revision = 6, .generation = 2});
    }
};

} // namespace

TEST_CASE("an item that had been removed comes back with the restored copy")
{
    removed_fixture f;
    CHECK(f.feed.items().contains("a"));
    CHECK_FALSE(f.feed.items().contains("b"));
    f.feed.onCompacted();
    f.feed.onPage({.items = {item("a", 5, 5), item("b", 6, 6)}, .revision = 8, .generation = 2});
    CHECK_FALSE(f.feed.items().contains("b"));
    f.feed.onChanges({{.key = "b", .revision = 9, .removed = true}}, 9, 2);
    f.advance(7'000);
    CHECK_FALSE(f.feed.items().contains("b"));
}

TEST_CASE("an item of the restored copy that is written again is held back")
{
    removed_fixture f;
    f.feed.onChanges({item("b", 8, 8)}, 8, 2);
    CHECK(f.feed.items().at("b").value == 8);
}

TEST_CASE("an item of the restored copy that nobody removes is held back for ever")
{
    removed_fixture f;
    const auto synced = f.sink.synced;
    REQUIRE(f.feed.nextTimer());
    f.advance(5'000);
    CHECK_FALSE(f.feed.items().contains("b"));
    f.advance(2'000);
    CHECK(f.feed.items().at("b").value == 6);
    CHECK(f.sink.synced > synced);
}

TEST_CASE("a removal that waits for the end of an outage keeps the timer busy")
{
    fixture f;
    f.feed.start();
    f.listed({"a"}, 5);
    f.feed.onFailed();
    f.feed.onChanges({}, 5);
    f.feed.onChanges({{.key = "a", .revision = 6, .removed = true}}, 6);
    f.feed.onFailed();
    f.advance(3'000);
    const auto next = f.feed.nextTimer();
    CHECK((!next || *next > f.time.now));
}

TEST_CASE("a removal in its grace is forgotten when the restored copy lists the item")
{
    generation_fixture f;
    f.feed.onFailed();
    f.feed.onChanges({{.key = "a", .revision = 6, .removed = true}}, 6, 1);
    f.feed.onPage({.items = {item("a", 5, 5)}, .revision = 5, .generation = 2});
    f.advance(2'100);
    CHECK_FALSE(f.feed.items().contains("a"));
    f.feed.onChanges({item("a", 6, 7)}, 6, 2);
    CHECK(f.feed.items().at("a").value == 7);
}

namespace {

/// Calls made in ten seconds in which the service refuses each at once.
auto callsDuringOutage(const list_watch_options &options) -> std::size_t
{
    constexpr std::int64_t TICK_MS = 10;
    constexpr std::int64_t OUTAGE_MS = 10'000;
    virtual_clock_source::state time;
    recorder sink;
    list_watch<int, virtual_clock_source, recorder> feed{options, virtual_clock_source(&time), 1,
                                                         sink};
    feed.start();
    feed.onPage({.revision = 5});
    const auto calls = [&] { return sink.lists.size() + sink.watches.size(); };
    auto answered = calls();
    for (std::int64_t at = 0; at < OUTAGE_MS; at += TICK_MS) {
        time.now = time.now + TICK_MS * US_PER_MS;
        feed.onTimer();
        if (calls() > answered) {
            answered = calls();
            feed.onFailed();
        }
    }
    return calls();
}

} // namespace

// Each entry repeated refused calls about four times a second for as long as the outage lasted, and
// so did hundreds of others.
TEST_CASE("calls of a service that refuses them are repeated at the same rate for a long time")
{
    const auto options
        = directoryOptionsFor({.leavingMs = 4'000, .configurationMs = 4'000, .contactMs = 5'000});
    constexpr std::size_t MAX_CALLS = 16;
    CHECK(callsDuringOutage(options.servers) <= MAX_CALLS);
    CHECK(callsDuringOutage(options.configuration) <= MAX_CALLS);
}

TEST_CASE("after an answer the first failure is followed by a short pause again")
{
    fixture f;
    auto options = directoryOptionsFor({.leavingMs = 4'000}).servers;
    options.watchPauseUs = 0;
    list_watch<int, virtual_clock_source, recorder> feed{options, virtual_clock_source(&f.time), 1,
                                                         f.sink};
    feed.start();
    for (int i = 0; i < 4; ++i) {
        feed.onFailed();
    }
    feed.onPage({.revision = 5});
    feed.onFailed();
    REQUIRE(feed.nextTimer());
    CHECK(*feed.nextTimer() - f.time.now <= options.retry.maxRetryUs);
}

// A pause of 1.3 seconds was compiled in, so that a fleet with longer bounds read the list as often
// as one with short ones.
TEST_CASE("the directory service is read as often whatever the operators' bounds are")
{
    for (const std::int64_t boundMs : {600, 2'000, 3'000, 4'000, 20'000}) {
        CAPTURE(boundMs);
        const auto options = directoryOptionsFor(
            {.leavingMs = boundMs, .configurationMs = boundMs, .contactMs = boundMs + 1'000});
        const auto pauseMs = options.servers.watchPauseUs / US_PER_MS;
        CHECK(pauseMs >= boundMs / 2);
        CHECK(pauseMs <= boundMs * 3 / 4);
        CHECK(options.configuration.longPollMs <= boundMs);
        CHECK(options.configuration.longPollMs >= std::min<std::int64_t>(boundMs, 1'000));
        CHECK(options.servers.retry.maxBackoffUs
              <= std::max<std::int64_t>(400, boundMs) * US_PER_MS);
    }
}

// Servers that had just started were used only after the pause between two watches.
TEST_CASE("an expected change is read only after the whole pause between watches")
{
    constexpr std::int64_t PAUSE_MS = 1'300;
    constexpr std::int64_t EXPECTANT_PAUSE_MS = 300;
    virtual_clock_source::state time;
    recorder sink;
    list_watch<int, virtual_clock_source, recorder> feed{
        {.watchPauseUs = PAUSE_MS * US_PER_MS, .expectantPauseUs = EXPECTANT_PAUSE_MS * US_PER_MS},
        virtual_clock_source(&time),
        1,
        sink};
    const auto advance = [&](std::int64_t ms) {
        time.now = time.now + ms * US_PER_MS;
        feed.onTimer();
    };
    feed.start();
    feed.onPage({.revision = 5});
    advance(100);
    feed.expectChange(time.now + 2 * US_PER_SECOND);
    advance(199);
    CHECK(sink.watches.empty());
    advance(1);
    CHECK(sink.watches.size() == 1);
    // An answer that lacks the change does not end the expectation.
    feed.onChanges({}, 6);
    advance(EXPECTANT_PAUSE_MS);
    CHECK(sink.watches.size() == 2);
    feed.endExpectation();
    feed.onChanges({}, 7);
    advance(PAUSE_MS - 1);
    CHECK(sink.watches.size() == 2);
    advance(1);
    CHECK(sink.watches.size() == 3);
    // A service that fails is not called sooner.
    feed.onFailed();
    const auto retryAt = feed.nextTimer();
    feed.expectChange(time.now + 2 * US_PER_SECOND);
    CHECK(feed.nextTimer() == retryAt);
}
