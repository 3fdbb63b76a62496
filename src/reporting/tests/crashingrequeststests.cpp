#include "reporting/tests/virtualfleet.h"

#include <doctest/doctest.h>

using namespace marjoram;
using namespace marjoram::testing;

namespace {

constexpr std::uint64_t CRASHING_PART = 66;
/// Time for evidence to reach all entries, as the users state it.
constexpr std::int64_t CONTACT_US = 3 * US_PER_SECOND;
constexpr std::size_t TOLERATED_CRASHES = 5;
constexpr std::size_t TOLERATED_SENDS = 3;

/// Requests that share their first two parts, one in a few with the crashing part after them; none
/// with it if its interval is 0.
struct mixed_traffic
{
    virtual_fleet &fleet;
    std::string route = "draft";
    /// Position of the crashing part among the shared ones.
    std::size_t position = 2;
    random_source random{7};
    std::vector<std::string> sound = {};

    auto play(std::int64_t ms, std::int64_t soundEveryMs, std::int64_t crashingEveryMs) -> void
    {
        constexpr std::int64_t TICK_MS = 10;
        for (std::int64_t at = 0; at < ms; at += TICK_MS) {
            if (at % soundEveryMs == 0) {
                sound.push_back(fleet.open(random() % fleet.entryCount(), {11, 12}, "draft"));
            }
            if (crashingEveryMs > 0 && at % crashingEveryMs == 0) {
                std::vector<std::uint64_t> parts{11, 12};
                parts.insert(parts.begin() + static_cast<std::ptrdiff_t>(position), CRASHING_PART);
                fleet.open(random() % fleet.entryCount(), parts, route);
            }
            fleet.advance(TICK_MS);
        }
    }
};

/// Crashing requests sent to engines later than allowed.
auto lateSends(const virtual_fleet &fleet) -> std::size_t
{
    if (fleet.crashes().size() < TOLERATED_CRASHES) {
        return 0;
    }
    const auto from = fleet.crashes()[TOLERATED_CRASHES - 1] + CONTACT_US;
    std::size_t count = 0;
    for (const auto &send : fleet.sends()) {
        count += send.crashing && send.at > from ? 1 : 0;
    }
    return count;
}

} // namespace

// Entries judged only servers, so each request with the part found one that had not failed yet.
TEST_CASE("requests that crash engines stop reaching them after a few crashes")
{
    for (const std::string route : {"draft", "label"}) {
        for (std::size_t position = 0; position <= 2; ++position) {
            CAPTURE(route);
            CAPTURE(position);
            virtual_fleet fleet({.crashingPart = CRASHING_PART, .datagramLoss = 0.03});
            mixed_traffic traffic{.fleet = fleet, .route = route, .position = position};
            fleet.advance(2'000);
            traffic.play(20'000, 100, 700);
            CHECK(lateSends(fleet) <= TOLERATED_SENDS);
        }
    }
}

// Each crashing request of a route with two attempts crashed two engines.
TEST_CASE("requests are not repeated once two crashes point to what they share")
{
    virtual_fleet fleet({.crashingPart = CRASHING_PART, .datagramLoss = 0.03});
    mixed_traffic traffic{.fleet = fleet, .route = "label"};
    fleet.advance(2'000);
    traffic.play(20'000, 100, 700);
    std::map<std::string, std::size_t> sends;
    for (const auto &send : fleet.sends()) {
        sends[send.requestId] += send.crashing ? 1 : 0;
    }
    const auto repeated = std::count_if(sends.begin(), sends.end(),
                                        [](const auto &named) { return named.second > 1; });
    CHECK(repeated <= 1);
}

// A restarted process is known to reporters under its address, so nothing was sent to it anew.
TEST_CASE("a restarted entry knows the quarantines of its predecessor")
{
    virtual_fleet fleet({.crashingPart = CRASHING_PART, .datagramLoss = 0.03});
    mixed_traffic traffic{.fleet = fleet};
    fleet.advance(2'000);
    traffic.play(12'000, 100, 700);
    // By now each reporter has passed on all evidence, and does not repeat it.
    fleet.advance(40'000);
    const auto before = fleet.crashes().size();
    for (std::size_t i = 0; i < fleet.entryCount(); ++i) {
        fleet.restartEntry(i);
    }
    fleet.advance(2'500);
    traffic.play(10'000, 100, 700);
    CHECK(fleet.crashes().size() == before);
}

TEST_CASE("entries give evidence back to reporters that have restarted")
{
    virtual_fleet fleet({.crashingPart = CRASHING_PART, .datagramLoss = 0.03});
    mixed_traffic traffic{.fleet = fleet};
    fleet.advance(2'000);
    traffic.play(12'000, 100, 700);
    const auto before = fleet.crashes().size();
    for (std::size_t i = 0; i < fleet.engineCount(); ++i) {
        fleet.restartReporter(i);
    }
    fleet.advance(8'000);
    for (std::size_t i = 0; i < fleet.entryCount(); ++i) {
        fleet.restartEntry(i);
        fleet.advance(2'500);
    }
    traffic.play(10'000, 100, 700);
    CHECK(fleet.crashes().size() == before);
}

TEST_CASE("requests that share parts with crashing ones are served as before")
{
    virtual_fleet fleet({.crashingPart = CRASHING_PART, .datagramLoss = 0.03});
    mixed_traffic traffic{.fleet = fleet, .position = 0};
    fleet.advance(2'000);
    traffic.play(8'000, 100, 700);
    traffic.sound.clear();
    traffic.play(10'000, 100, 700);
    fleet.advance(3'000);
    const auto completed
        = std::count_if(traffic.sound.begin(), traffic.sound.end(),
                        [&](const std::string &id) { return fleet.completed().contains(id); });
    CHECK(completed == static_cast<std::ptrdiff_t>(traffic.sound.size()));
}

// Engines also crash for reasons of their own, and then lose requests that share popular parts.
TEST_CASE("engines that crash without a cause in their requests quarantine none")
{
    virtual_fleet fleet({.crashingPart = CRASHING_PART, .datagramLoss = 0.03});
    mixed_traffic traffic{.fleet = fleet};
    fleet.advance(2'000);
    for (std::size_t i = 0; i < 8; ++i) {
        traffic.play(500, 50, 0);
        fleet.crashEngine(i);
    }
    traffic.sound.clear();
    traffic.play(5'000, 100, 0);
    CHECK(fleet.quarantined().empty());
}

// A rack that loses power is many crashes, and all runs near their start are lost in them.
TEST_CASE("engines that crash at the same time quarantine none")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        virtual_fleet fleet({.crashingPart = CRASHING_PART, .datagramLoss = 0.03, .seed = seed});
        mixed_traffic traffic{.fleet = fleet};
        fleet.advance(2'000);
        traffic.play(3'000, 20, 0);
        for (std::size_t i = 0; i < 9; ++i) {
            fleet.crashEngine(i);
        }
        traffic.play(5'000, 20, 0);
        CHECK(fleet.quarantined().empty());
    }
}
