#include "reporting/tests/virtualfleet.h"

#include <doctest/doctest.h>

using namespace marjoram;
using namespace marjoram::testing;

namespace {

/// Time for a limit to reach all entries, the window over which requests are counted, and what is
/// tolerated in it beyond the limit, as the users state it.
constexpr std::int64_t CONTACT_US = 3 * US_PER_SECOND;
constexpr std::int64_t WINDOW_US = 4 * US_PER_SECOND;
constexpr double TOLERATED_FACTOR = 1.5;
constexpr double TOLERATED_REQUESTS = 5.0;

auto play(virtual_fleet &fleet, const std::string &route, std::int64_t ms, std::int64_t everyMs)
    -> void
{
    random_source random{7};
    constexpr std::int64_t TICK_MS = 10;
    for (std::int64_t at = 0; at < ms; at += TICK_MS) {
        if (at % everyMs == 0) {
            fleet.open(random() % fleet.entryCount(), {11, 12}, route);
        }
        fleet.advance(TICK_MS);
    }
}

/// Largest number of requests that one of the limited engines got within a window.
auto busiestWindow(const virtual_fleet &fleet, std::size_t limitedEngines, time_us from)
    -> std::size_t
{
    std::size_t busiest = 0;
    for (const auto &first : fleet.sends()) {
        if (first.at < from || first.engine >= limitedEngines) {
            continue;
        }
        const auto inWindow = std::count_if(
            fleet.sends().begin(), fleet.sends().end(), [&first](const virtual_send &other) {
                return other.engine == first.engine && other.at >= first.at
                       && other.at - first.at < WINDOW_US;
            });
        busiest = std::max(busiest, static_cast<std::size_t>(inWindow));
    }
    return busiest;
}

auto allowed(double perSecond) -> double
{
    return TOLERATED_FACTOR * perSecond * WINDOW_US / US_PER_SECOND + TOLERATED_REQUESTS;
}

} // namespace

// Entries did not read the limit, and chose limited engines as often as others.
TEST_CASE("engines get no more requests than the limit that they state allows all entries")
{
    for (const std::size_t entries : {4, 25}) {
        for (const std::size_t limitedEngines : {8, 12}) {
            CAPTURE(entries);
            CAPTURE(limitedEngines);
            virtual_fleet fleet({.entries = entries,
                                 .datagramLoss = 0.03,
                                 .limitedEngines = limitedEngines,
                                 .milliRateLimit = 500,
                                 .limitedFromMs = 4'000});
            fleet.advance(2'000);
            play(fleet, "draft", 20'000, 40);
            const time_us from{4 * US_PER_SECOND + CONTACT_US};
            CHECK(static_cast<double>(busiestWindow(fleet, limitedEngines, from)) <= allowed(0.5));
            CHECK(busiestWindow(fleet, limitedEngines, from) > 0);
        }
    }
}

TEST_CASE("servers without a reporter get no more requests than their limit either")
{
    for (const std::size_t entries : {4, 25}) {
        CAPTURE(entries);
        virtual_fleet fleet({.entries = entries,
                             .prefillMs = 60,
                             .limitedEngines = 8,
                             .milliRateLimit = 2'000,
                             .limitedFromMs = 4'000,
                             .reporters = false});
        play(fleet, "find", 20'000, 10);
        const time_us from{4 * US_PER_SECOND + CONTACT_US};
        CHECK(static_cast<double>(busiestWindow(fleet, 8, from)) <= allowed(2.0));
        CHECK(busiestWindow(fleet, 8, from) > 0);
    }
}

TEST_CASE("a restarted entry and restarted reporters keep to the limits of servers")
{
    virtual_fleet fleet(
        {.datagramLoss = 0.03, .limitedEngines = 12, .milliRateLimit = 500, .limitedFromMs = 0});
    fleet.advance(2'000);
    play(fleet, "draft", 8'000, 40);
    fleet.restartEntry(0);
    play(fleet, "draft", 6'000, 40);
    for (std::size_t i = 0; i < fleet.engineCount(); ++i) {
        fleet.restartReporter(i);
    }
    play(fleet, "draft", 8'000, 40);
    CHECK(static_cast<double>(busiestWindow(fleet, 12, {5 * US_PER_SECOND})) <= allowed(0.5));
}

TEST_CASE("requests beyond the limits of all servers are refused at once, with the time to retry")
{
    virtual_fleet fleet({.entries = 1, .limitedEngines = 12, .milliRateLimit = 20});
    fleet.advance(2'000);
    play(fleet, "draft", 10'000, 40);
    const auto before = fleet.rateLimited().size();
    fleet.open(0, {11, 12}, "draft");
    fleet.open(0, {11, 12}, "draft");
    CHECK(fleet.rateLimited().size() == before + 2);
}
