#include "framework/global/pausedetector.h"

#include <doctest/doctest.h>

using namespace marjoram;

namespace {

constexpr std::int64_t START_MS = 10'000;

auto at(std::int64_t ms) -> time_us
{
    return {(START_MS + ms) * US_PER_MS};
}

/// A detector of a process that ran without a pause for the first second.
struct detector_fixture
{
    pause_detector pauses;

    detector_fixture()
    {
        for (std::int64_t ms = 0; ms <= 1'000; ms += 100) {
            pauses.noteActive(at(ms));
        }
    }
    auto earliestMs(std::int64_t handledMs) const -> std::int64_t
    {
        return pauses.earliestSignalTime(at(handledMs)).value / US_PER_MS - START_MS;
    }
};

} // namespace

// A process that was stopped when SIGTERM was sent counted its grace from the time at which it
// handled the signal, and was killed with requests in progress.
TEST_CASE("a signal that is handled first after a pause may be as old as the pause")
{
    const detector_fixture f;
    CHECK(f.earliestMs(6'000) == 1'000);
}

TEST_CASE("a signal that is handled after other threads have run may be as old as the pause")
{
    detector_fixture f;
    f.pauses.noteActive(at(6'000));
    f.pauses.noteActive(at(6'010));
    CHECK(f.earliestMs(6'020) == 1'000);
}

TEST_CASE("a signal may be as old as the first of several pauses with little time between them")
{
    detector_fixture f;
    f.pauses.noteActive(at(3'000));
    f.pauses.noteActive(at(3'050));
    CHECK(f.earliestMs(6'000) == 1'000);
    f.pauses.noteActive(at(6'000));
    CHECK(f.earliestMs(6'010) == 1'000);
}

TEST_CASE("a signal long after a pause is not older than the last activity")
{
    detector_fixture f;
    for (std::int64_t ms = 6'000; ms <= 7'000; ms += 50) {
        f.pauses.noteActive(at(ms));
    }
    CHECK(f.earliestMs(7'010) == 7'000);
    CHECK(f.earliestMs(6'990) == 6'990);
}

TEST_CASE("a process that has just started was not paused before")
{
    pause_detector pauses;
    pauses.noteActive(at(0));
    CHECK(pauses.earliestSignalTime(at(10)) == at(0));
}

TEST_CASE("a quiet process counts as paused since its start")
{
    constexpr std::int64_t END_MS = 60'000;
    detector_fixture f;
    for (std::int64_t ms = 2'000; ms <= END_MS; ms += 1'000) {
        f.pauses.noteActive(at(ms));
        f.pauses.noteActive(at(ms + 5));
    }
    CHECK(f.earliestMs(END_MS + 900) >= END_MS);
}
