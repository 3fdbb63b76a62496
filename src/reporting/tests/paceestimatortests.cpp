#include "reporting/paceestimator.h"

#include <doctest/doctest.h>

using namespace marjoram;

namespace {

constexpr std::int64_t POLL_US = 80 * US_PER_MS;

/// Polls an engine whose one run makes so many events between two polls.
struct polled_engine
{
    pace_estimator pace{{}};
    time_us now{5 * US_PER_SECOND};
    std::uint64_t events = 1;

    auto poll(std::uint64_t added, int times = 1) -> void
    {
        for (int i = 0; i < times; ++i) {
            now = now + POLL_US;
            events += added;
            pace.onRuns({{.requestId = "r", .events = events}}, now);
        }
    }
};

} // namespace

TEST_CASE("the pace is unknown until enough events were seen")
{
    polled_engine engine;
    engine.poll(2, 5);
    CHECK(engine.pace.usPerEvent() == 0);
    engine.poll(2, 20);
    CHECK(engine.pace.usPerEvent() == POLL_US / 2);
}

TEST_CASE("the pace follows an engine that slows down, and an idle one keeps it")
{
    polled_engine engine;
    engine.poll(4, 50);
    engine.poll(1, 200);
    CHECK(engine.pace.usPerEvent() > POLL_US * 9 / 10);
    const auto last = engine.pace.usPerEvent();
    for (int i = 0; i < 100; ++i) {
        engine.now = engine.now + POLL_US;
        engine.pace.onRuns({}, engine.now);
    }
    CHECK(engine.pace.usPerEvent() == last);
}

// A pause of the reporter, or a run that comes back with fewer events, would look like a slow or
// a negative pace.
TEST_CASE("polls far apart and runs whose events decrease do not count")
{
    polled_engine engine;
    engine.poll(2, 50);
    const auto before = engine.pace.usPerEvent();
    engine.now = engine.now + 10 * US_PER_SECOND;
    engine.poll(0);
    engine.events = 1;
    engine.poll(0);
    CHECK(engine.pace.usPerEvent() == before);
}

TEST_CASE("absurd numbers of events leave the pace in range")
{
    polled_engine engine;
    engine.poll(2, 50);
    engine.poll(UINT64_MAX / 4);
    engine.poll(UINT64_MAX / 4);
    CHECK(engine.pace.usPerEvent() <= POLL_US / 2);
    polled_engine stuck;
    stuck.poll(0, 10'000);
    CHECK(stuck.pace.usPerEvent() == 0);
}
