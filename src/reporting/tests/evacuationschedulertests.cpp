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

TEST_CASE("runs leave one after the other, the smallest first, those that have just begun last")
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

TEST_CASE("a turn that nobody takes up goes to the next run, and comes again")
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

TEST_CASE("a move that takes too long, or whose run has gone for a while, holds nobody up")
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

TEST_CASE("a run that is put off lets the others go first and is not asked at once again")
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

TEST_CASE("a run that ends by itself before its turn is left out")
{
    evacuation_scheduler scheduler({});
    scheduler.update(threeRuns(), {});
    scheduler.update({{"young", 10, 1}}, {30 * MS});
    CHECK(scheduler.current() == "young");
    scheduler.onMove("big", move_note::ended, {30 * MS});
    CHECK(scheduler.current() == "young");
}
