#include "forwarding/evacuationplan.h"

#include <doctest/doctest.h>

using namespace marjoram;

TEST_CASE("runs leave one after the other, the smallest first, those that have just begun last")
{
    evacuation_plan plan({.overheadUs = 10, .patienceUs = 5}, 1.0, time_us{1'000});
    plan.note({{"big", 300, 50}, {"young", 10, 1}, {"small", 100, 50}});
    CHECK(plan.startOf("small") == time_us{});
    CHECK(plan.startOf("big") == time_us{1'000 + 110 + 5});
    CHECK(plan.startOf("young") == time_us{1'000 + 110 + 310 + 5});
    CHECK_FALSE(plan.startOf("unknown"));
}

TEST_CASE("a run may begin as soon as all before it have left")
{
    evacuation_plan plan({}, 1.0, {});
    plan.note({{"a", 100, 50}, {"b", 200, 50}});
    plan.left("a");
    CHECK(plan.startOf("b") == time_us{});
    plan.note({{"b", 210, 52}, {"late", 50, 60}});
    CHECK(plan.startOf("b") == time_us{});
    CHECK(plan.startOf("late") > time_us{});
}
