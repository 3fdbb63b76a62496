#include "serverviews/serverdirectory.h"

#include <doctest/doctest.h>

using namespace marjoram;

namespace {

auto entryOf(std::string id, std::string version, std::int64_t born) -> server_entry
{
    const auto port = static_cast<std::uint16_t>(1'000 + id.back());
    return {.id = std::move(id),
            .pool = "engines",
            .address = {.address = "10.0.0.1", .port = port},
            .bornUnixMs = born,
            .softwareVersion = std::move(version)};
}

auto originAt(std::string id, std::string version, std::int64_t born) -> run_origin
{
    const auto entry = entryOf(std::move(id), std::move(version), born);
    return {.software = server_software{.pool = entry.pool, .version = *entry.softwareVersion},
            .process = processOf(entry)};
}

auto mayContinue(const server_directory &directory, const run_origin &origin, const std::string &id,
                 time_us now = {}) -> bool
{
    const auto *view = directory.find(id);
    return view && directory.mayContinueAt(origin, *view, now);
}

} // namespace

TEST_CASE("a stream goes on at another version, or in another pool of the same one")
{
    server_directory directory({});
    auto other = entryOf("d", "v1", 1);
    other.pool = "others";
    directory.onServerList(
        {entryOf("a", "v1", 1), entryOf("b", "v1", 2), entryOf("c", "v2", 3), other}, {});
    const auto origin = originAt("a", "v1", 1);
    CHECK(mayContinue(directory, origin, "a"));
    CHECK(mayContinue(directory, origin, "b"));
    CHECK_FALSE(mayContinue(directory, origin, "c"));
    CHECK_FALSE(mayContinue(directory, origin, "d"));
    CHECK_FALSE(mayContinue(directory, {}, "b"));
}

TEST_CASE("the version of a process is forgotten when it is no longer listed")
{
    server_directory directory({});
    directory.onServerList({entryOf("a", "v1", 1), entryOf("b", "v1", 2)}, {});
    directory.onServerList({entryOf("b", "v1", 2)}, time_us{10 * US_PER_SECOND});
    directory.onServerList({entryOf("b", "v1", 2)}, time_us{20 * US_PER_SECOND});
    REQUIRE_FALSE(directory.find("a"));
    CHECK(mayContinue(directory, {.process = originAt("a", "v1", 1).process}, "b"));
}

TEST_CASE("a server that started anew with another version is taken for its predecessor")
{
    server_directory directory({});
    directory.onServerList({entryOf("a", "v1", 1), entryOf("b", "v1", 2)}, {});
    const auto origin = originAt("a", "v1", 1);
    SUBCASE("its reporter has seen the new process")
    {
        directory.onReport("b", {.bornUnixMs = 9}, {});
    }
    SUBCASE("its reporter gets no answer")
    {
        directory.onReport("b", {.answering = false, .bornUnixMs = 2}, {});
    }
    SUBCASE("a later process has its address")
    {
        directory.onReplaced("b");
    }
    SUBCASE("the list is out of reach and its reporter silent")
    {
        directory.onListAvailability(false, {});
    }
    SUBCASE("its reporter has fallen silent")
    {
        directory.onReport("b", {.bornUnixMs = 2}, {-2 * US_PER_SECOND});
    }
    SUBCASE("the list has the new process")
    {
        directory.onServerList({entryOf("a", "v1", 1), entryOf("b", "v2", 9)}, {});
    }
    SUBCASE("what its reporter sent has waited while this process stood still")
    {
        directory.onReport("b", {.bornUnixMs = 2, .delayMs = 1'500}, {});
    }
    SUBCASE("nothing shows when its reporter sent this")
    {
        directory.onReport("b", {.bornUnixMs = 2, .delayMs = std::nullopt}, {});
    }
    SUBCASE("its reporter stood still after it had asked")
    {
        directory.onReport("b", {.bornUnixMs = 2, .answeredAgoMs = 1'500}, {});
    }
    CHECK_FALSE(mayContinue(directory, origin, "b"));
}

TEST_CASE("a server whose reporter shows its process is not trusted without the list")
{
    server_directory directory({});
    directory.onServerList({entryOf("a", "v1", 1), entryOf("b", "v1", 2)}, {});
    directory.onListAvailability(false, {});
    directory.onReport("b", {.bornUnixMs = 2}, {});
    CHECK(mayContinue(directory, originAt("a", "v1", 1), "b"));
    CHECK_FALSE(mayContinue(directory, originAt("a", "v1", 1), "b", time_us{2 * US_PER_SECOND}));
}

TEST_CASE("a stream whose version has no server left is kept waiting for one")
{
    server_directory directory({});
    directory.onServerList({entryOf("a", "v1", 1), entryOf("b", "v2", 2)}, {});
    CHECK(directory.continuationOf(originAt("a", "v1", 1), {}) == continuation::possible);
    CHECK(directory.continuationOf(originAt("a", "v0", 5), {}) == continuation::none);
    directory.onReport("a", {.answering = false, .bornUnixMs = 1}, {});
    CHECK(directory.continuationOf(originAt("a", "v1", 1), {}) == continuation::later);
    directory.onReport("a", {.state = server_state::leaving, .bornUnixMs = 1}, {});
    CHECK(directory.continuationOf(originAt("a", "v1", 1), {}) == continuation::none);
}

TEST_CASE("the memory of versions grows without limit")
{
    software_history history({.retentionUs = 10, .limit = 3});
    for (std::int64_t born = 1; born <= 9; ++born) {
        history.record({.bornUnixMs = born}, {.pool = "p", .version = "v"}, time_us{born});
    }
    CHECK(history.find({.bornUnixMs = 9}));
    CHECK(history.find({.bornUnixMs = 7}));
    CHECK_FALSE(history.find({.bornUnixMs = 6}));
    history.record({.bornUnixMs = 0}, {.pool = "q", .version = "v"}, time_us{9});
    CHECK_FALSE(history.find({.bornUnixMs = 0}));
}

TEST_CASE("entries without versions or start times are taken for the same software")
{
    server_directory directory({});
    directory.onServerList({entryOf("a", "v1", 0), entryOf("b", "", 2), entryOf("c", "", 3)}, {});
    CHECK_FALSE(mayContinue(directory, originAt("b", "", 2), "c"));
    CHECK(mayContinue(directory, originAt("b", "", 2), "b"));
    CHECK_FALSE(mayContinue(directory, originAt("a", "v2", 0), "a"));
    CHECK(directory.statesVersions("engines"));
}

TEST_CASE("the unknown version of an announced server is taken for none")
{
    server_directory directory({});
    auto started = entryOf("a", "", 1);
    started.softwareVersion.reset();
    directory.onAnnounced(started, {}, {});
    CHECK(directory.statesVersions(directory.find("a")->entry.pool));
    CHECK_FALSE(directory.statesVersions("other"));
}

// An entry that had just started had no report of a server yet, and trusted the list, which lags
// behind.
TEST_CASE("a server whose reporter has not been heard yet is taken for the listed process")
{
    server_directory directory({.awaitReporters = true});
    directory.onServerList({entryOf("a", "v1", 1), entryOf("b", "v1", 2)}, {});
    const auto origin = originAt("a", "v1", 1);
    CHECK_FALSE(mayContinue(directory, origin, "b"));
    CHECK(directory.continuationOf(origin, {}) == continuation::later);
    SUBCASE("it is heard")
    {
        directory.onReport("b", {.bornUnixMs = 2}, {});
        CHECK(mayContinue(directory, origin, "b"));
        CHECK_FALSE(directory.onReporterAbsent("b"));
    }
    SUBCASE("it does not exist")
    {
        CHECK(directory.onReporterAbsent("b"));
        CHECK(mayContinue(directory, origin, "b"));
        directory.onServerList({entryOf("a", "v1", 1), entryOf("b", "v1", 9)}, {});
        CHECK_FALSE(mayContinue(directory, origin, "b"));
    }
}
