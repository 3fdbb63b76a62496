#include "reporting/evacuationscheduler.h"

#include <doctest/doctest.h>

using namespace marjoram;

namespace {

constexpr auto MS = US_PER_MS;

auto threeRuns() -> std::vector<server_run>
{
    return {{"big", 300, 50}, {"young", 10, 1}, {"small", 100, 50}};
}

} // namespace

TEST_CASE("runs are moved one at a time, smallest first, new ones last")
{
    evacuation_scheduler scheduler({});
    scheduler.update(threeRuns(), {});
    for (const auto *id : {"small", "big", "young"}) {
        CHECK(scheduler.current() == id);
        scheduler.onMove(id, move_note::begun, {});
        scheduler.onMove(id, move_note::ended, {});
    }
    CHECK(scheduler.current().empty());
    scheduler.update(threeRuns(), {30 * MS});
    CHECK(scheduler.current().empty());
}

TEST_CASE("a run whose move isn't started in time gets another turn after the next run")
{
    evacuation_scheduler scheduler({});
    scheduler.update(threeRuns(), {});
    scheduler.update(threeRuns(), {79 * MS});
    CHECK(scheduler.current() == "small");
    scheduler.update(threeRuns(), {80 * MS});
    CHECK(scheduler.current() == "big");
    scheduler.onMove("big", move_note::ended, {90 * MS});
    scheduler.onMove("young", move_note::ended, {95 * MS});
    CHECK(scheduler.current() == "small");
}

TEST_CASE("a move that takes too long, or whose run disappeared a while ago, doesn't block others")
{
    evacuation_scheduler scheduler({});
    scheduler.update(threeRuns(), {});
    scheduler.onMove("small", move_note::begun, {});
    scheduler.update(threeRuns(), {900 * MS});
    CHECK(scheduler.current() == "small");
    scheduler.update(threeRuns(), {1'000 * MS});
    CHECK(scheduler.current() == "big");
    scheduler.onMove("big", move_note::begun, {1'000 * MS});
    scheduler.update({{"young", 10, 1}}, {1'010 * MS});
    CHECK(scheduler.current() == "big");
    scheduler.update({{"young", 10, 1}}, {1'110 * MS});
    CHECK(scheduler.current() == "young");
}

TEST_CASE("a postponed run goes after the others and only after a pause")
{
    evacuation_scheduler scheduler({});
    scheduler.update({{"a", 1, 50}, {"b", 2, 50}}, {});
    scheduler.onMove("a", move_note::put_off, {});
    CHECK(scheduler.current() == "b");
    scheduler.onMove("b", move_note::put_off, {10 * MS});
    CHECK(scheduler.current().empty());
    scheduler.update({{"a", 1, 50}, {"b", 2, 50}}, {50 * MS});
    CHECK(scheduler.current().empty());
    scheduler.update({{"a", 1, 50}, {"b", 2, 50}}, {100 * MS});
    CHECK(scheduler.current() == "a");
}

TEST_CASE("a run that finishes before its turn is skipped")
{
    evacuation_scheduler scheduler({});
    scheduler.update(threeRuns(), {});
    scheduler.update({{"young", 10, 1}}, {30 * MS});
    CHECK(scheduler.current() == "young");
    scheduler.onMove("big", move_note::ended, {30 * MS});
    CHECK(scheduler.current() == "young");
}
