#include "reporting/evacuationturns.h"

#include <doctest/doctest.h>

using namespace marjoram;

namespace {

constexpr auto MS = US_PER_MS;

auto threeRuns() -> std::vector<server_run>
{
    return {{"big", 300, 50}, {"young", 10, 1}, {"small", 100, 50}};
}

} // namespace

TEST_CASE("runs leave one after the other, the smallest first, those that have just begun last")
{
    evacuation_turns turns({});
    turns.note(threeRuns(), {});
    for (const auto *id : {"small", "big", "young"}) {
        CHECK(turns.turn() == id);
        turns.onMove(id, move_note::begun, {});
        turns.onMove(id, move_note::ended, {});
    }
    CHECK(turns.turn().empty());
    turns.note(threeRuns(), {30 * MS});
    CHECK(turns.turn().empty());
}

TEST_CASE("a turn that nobody takes up goes to the next run, and comes again")
{
    evacuation_turns turns({});
    turns.note(threeRuns(), {});
    turns.note(threeRuns(), {79 * MS});
    CHECK(turns.turn() == "small");
    turns.note(threeRuns(), {80 * MS});
    CHECK(turns.turn() == "big");
    turns.onMove("big", move_note::ended, {90 * MS});
    turns.onMove("young", move_note::ended, {95 * MS});
    CHECK(turns.turn() == "small");
}

TEST_CASE("a move that takes too long, or whose run has gone for a while, holds nobody up")
{
    evacuation_turns turns({});
    turns.note(threeRuns(), {});
    turns.onMove("small", move_note::begun, {});
    turns.note(threeRuns(), {900 * MS});
    CHECK(turns.turn() == "small");
    turns.note(threeRuns(), {1'000 * MS});
    CHECK(turns.turn() == "big");
    turns.onMove("big", move_note::begun, {1'000 * MS});
    turns.note({{"young", 10, 1}}, {1'010 * MS});
    CHECK(turns.turn() == "big");
    turns.note({{"young", 10, 1}}, {1'110 * MS});
    CHECK(turns.turn() == "young");
}

TEST_CASE("a run that is put off lets the others go first and is not asked at once again")
{
    evacuation_turns turns({});
    turns.note({{"a", 1, 50}, {"b", 2, 50}}, {});
    turns.onMove("a", move_note::put_off, {});
    CHECK(turns.turn() == "b");
    turns.onMove("b", move_note::put_off, {10 * MS});
    CHECK(turns.turn().empty());
    turns.note({{"a", 1, 50}, {"b", 2, 50}}, {50 * MS});
    CHECK(turns.turn().empty());
    turns.note({{"a", 1, 50}, {"b", 2, 50}}, {100 * MS});
    CHECK(turns.turn() == "a");
}

TEST_CASE("a run that ends by itself before its turn is left out")
{
    evacuation_turns turns({});
    turns.note(threeRuns(), {});
    turns.note({{"young", 10, 1}}, {30 * MS});
    CHECK(turns.turn() == "young");
    turns.onMove("big", move_note::ended, {30 * MS});
    CHECK(turns.turn() == "young");
}
