#include "serverviews/serverdirectory.h"

#include <doctest/doctest.h>

using namespace marjoram;

namespace {

auto entryOf(std::string id) -> server_entry
{
    return {.id = std::move(id), .pool = "engines", .address = {.address = "10.0.0.1", .port = 80}};
}

} // namespace

TEST_CASE("a list that changes names who joined, who leaves and who is gone")
{
    server_directory directory({});
    const auto first = directory.onServers({entryOf("a"), entryOf("b")}, {});
    CHECK(first.joined == std::vector<std::string>{"a", "b"});
    auto leaving = entryOf("a");
    leaving.state = server_state::leaving;
    const auto second = directory.onServers({leaving}, {});
    CHECK(second.leaving == std::vector<std::string>{"a"});
    CHECK(second.unlisted == std::vector<std::string>{"b"});
    CHECK(directory.find("b")->leaving());
    const auto later = time_us{7 * US_PER_SECOND};
    CHECK(directory.onServers({leaving}, later).gone == std::vector<std::string>{"b"});
    CHECK(directory.usableFor("engines", {}).empty());
}

TEST_CASE("a server that is started again under its id forgets what was known of it")
{
    server_directory directory({});
    directory.onServers({entryOf("a")}, {});
    directory.noteSent("a", 100);
    auto reborn = entryOf("a");
    reborn.bornUnixMs = 7;
    CHECK(directory.onServers({reborn}, {}).joined.size() == 1);
    CHECK(directory.find("a")->heldTokens == 0);
}

TEST_CASE("failures in a row eject a server for a while, but never more than the bounded share")
{
    server_directory directory({});
    directory.onServers({entryOf("a"), entryOf("b"), entryOf("c")}, {});
    CHECK_FALSE(directory.noteFailure("a", {}));
    CHECK_FALSE(directory.noteFailure("a", {}));
    CHECK(directory.noteFailure("a", {}));
    CHECK(directory.usableFor("engines", {}).size() == 2);
    for (int i = 0; i < 9; ++i) {
        CHECK_FALSE(directory.noteFailure("b", {}));
    }
    CHECK(directory.usableFor("engines", {2 * US_PER_SECOND}).size() == 3);
    CHECK(directory.usableFor("engines", {2 * US_PER_SECOND}, true).size() == 2);
    directory.noteSuccess("a");
    CHECK(directory.usableFor("engines", {2 * US_PER_SECOND}, true).size() == 3);
}

TEST_CASE("a report that tells of leaving is news once")
{
    server_directory directory({});
    directory.onServers({entryOf("a")}, {});
    CHECK(directory.onReport("a", {.leavesMs = 1'500}, {}));
    CHECK_FALSE(directory.onReport("a", {.leavesMs = 1'400}, {}));
    CHECK(directory.find("a")->goneAt == time_us{1'400'000});
}
