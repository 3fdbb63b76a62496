#include "directory/tests/virtualdirectory.h"

#include <doctest/doctest.h>

using namespace marjoram;

namespace {

/// Bounds of a small, a grown and a large fleet.
constexpr std::array BOUNDS{
    directory_bounds{.leavingMs = 2'000, .configurationMs = 2'000, .contactMs = 3'000},
    directory_bounds{.leavingMs = 3'000, .configurationMs = 3'000, .contactMs = 4'000},
    directory_bounds{.leavingMs = 4'000, .configurationMs = 4'000, .contactMs = 5'000},
};
constexpr std::int64_t STEADY_MS = 10'000;
constexpr std::int64_t OBSERVED_MS = 40'000;

/// How late changes become known over many scenarios.
struct lateness
{
    std::int64_t worstMs = INT64_MIN;
    std::string worst;

    auto add(const directory_scenario &scenario, std::int64_t latestMs) -> void
    {
        const auto seen = virtual_directory(scenario).play(OBSERVED_MS).value_or(OBSERVED_MS);
        if (seen - latestMs <= worstMs) {
            return;
        }
        worstMs = seen - latestMs;
        worst = "started at " + std::to_string(scenario.startMs) + ", changed at "
                + std::to_string(scenario.changeMs);
        for (const auto &one : scenario.troubles) {
            worst += ", " + std::string(nameOf(one.kind)) + " " + std::to_string(one.fromMs) + "-"
                     + std::to_string(one.toMs);
        }
    }
};

/// Adds the changes that an operator may make to the configuration after a trouble.
auto addConfigurationChanges(lateness &late, directory_scenario scenario,
                             const directory_bounds &bounds) -> void
{
    scenario.options = directoryOptionsFor(bounds).configuration;
    const auto end = scenario.endMs();
    for (const auto afterMs :
         {std::int64_t{0}, bounds.contactMs - bounds.configurationMs, bounds.contactMs}) {
        scenario.changeMs = end + afterMs;
        late.add(scenario,
                 std::max(end + bounds.contactMs, scenario.changeMs + bounds.configurationMs));
    }
}

/// Adds a server that leaves, and one whose entry is removed, as soon as the bound holds again.
auto addServerChanges(lateness &late, directory_scenario scenario, const directory_bounds &bounds)
    -> void
{
    scenario.options = directoryOptionsFor(bounds).servers;
    scenario.changeMs = scenario.endMs() + bounds.contactMs;
    for (const auto removed : {false, true}) {
        scenario.removed = removed;
        late.add(scenario, scenario.changeMs + bounds.leavingMs);
    }
}

/// Plays a trouble that begins in every phase of a feed's calls and pauses.
auto playPhases(service_trouble kind, service_return comesBack, const directory_bounds &bounds,
                auto &&addChanges) -> lateness
{
    constexpr std::int64_t PHASE_STEP_MS = 70;
    lateness late;
    const auto lengths = kind == service_trouble::connections_dead
                             ? std::vector<std::int64_t>{0}
                             : std::vector<std::int64_t>{1, 400, 1'500, 2'600, 8'000};
    const auto cycleMs = 2 * bounds.leavingMs;
    for (const auto lengthMs : lengths) {
        for (std::int64_t phase = 0; phase < cycleMs; phase += PHASE_STEP_MS) {
            const auto from = STEADY_MS + phase;
            directory_scenario scenario{.troubles
                                        = {{.kind = kind, .fromMs = from, .toMs = from + lengthMs}},
                                        .comesBack = comesBack,
                                        .seed = static_cast<std::uint64_t>(phase + 1)};
            addChanges(late, scenario, bounds);
            scenario.startMs = from + lengthMs / 2;
            addChanges(late, scenario, bounds);
        }
    }
    return late;
}

/// Plays every trouble with the bounds of every fleet.
auto checkReturns(std::initializer_list<service_return> returns, auto &&addChanges) -> void
{
    for (const auto &bounds : BOUNDS) {
        for (const auto &trouble : serviceTroubleNames) {
            for (const auto comesBack : returns) {
                const auto late = playPhases(trouble.value, comesBack, bounds, addChanges);
                CAPTURE(bounds.contactMs);
                CAPTURE(trouble.name);
                CAPTURE(nameOf(comesBack));
                CAPTURE(late.worst);
                CHECK(late.worstMs <= 0);
            }
        }
    }
}

} // namespace

// A watch that was sent to a silent store was waited for so long, and followed by such a pause,
// that the next call came after the bound.
TEST_CASE("a configuration is in force too late after the directory service was away")
{
    checkReturns({service_return::unchanged, service_return::compacted}, addConfigurationChanges);
}

TEST_CASE("a server that leaves is known too late after the directory service was away")
{
    checkReturns({service_return::unchanged, service_return::compacted}, addServerChanges);
}

// The first watch after an outage waited at a restored store that had reached its revision again,
// and only its answer showed that the store had been restored.
TEST_CASE("a restore during an outage is noticed only when the next watch ends")
{
    checkReturns({service_return::restored}, addConfigurationChanges);
    checkReturns({service_return::restored}, addServerChanges);
}

TEST_CASE("troubles that follow each other or overlap add up to a late return")
{
    constexpr std::uint64_t SEEDS = 2'000;
    constexpr std::int64_t MAX_GAP_MS = 4'000;
    constexpr std::int64_t MAX_LENGTH_MS = 5'000;
    for (std::uint64_t seed = 1; seed <= SEEDS; ++seed) {
        random_source random(seed);
        const auto below = [&random](auto limit) {
            return static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(limit));
        };
        const auto &bounds = BOUNDS[static_cast<std::size_t>(below(BOUNDS.size()))];
        directory_scenario scenario{.seed = seed};
        auto at = STEADY_MS;
        for (auto left = 1 + below(4); left > 0; --left) {
            at += below(MAX_GAP_MS);
            const auto &kind
                = serviceTroubleNames[static_cast<std::size_t>(below(serviceTroubleNames.size()))];
            const auto dead = kind.value == service_trouble::connections_dead;
            scenario.troubles.push_back({.kind = kind.value,
                                         .fromMs = at,
                                         .toMs = at + (dead ? 0 : 1 + below(MAX_LENGTH_MS))});
        }
        scenario.comesBack = serviceReturnNames[static_cast<std::size_t>(below(3))].value;
        scenario.startMs = below(2) == 0 ? 0 : below(scenario.endMs());
        scenario.heartbeatMs = below(2) == 0 ? 0 : 100;
        CAPTURE(seed);
        lateness late;
        addConfigurationChanges(late, scenario, bounds);
        addServerChanges(late, scenario, bounds);
        CAPTURE(late.worst);
        CHECK(late.worstMs <= 0);
    }
}

// Each answer shows another restore where two copies of the service answer by turns.
TEST_CASE("a service that seems to be restored with every answer is called without a pause")
{
    constexpr std::int64_t PLAYED_MS = 10'000;
    constexpr std::size_t MAX_CALLS = 160;
    for (const auto &bounds : BOUNDS) {
        virtual_directory directory({.options = directoryOptionsFor(bounds).configuration,
                                     .troubles = {{.fromMs = PLAYED_MS, .toMs = PLAYED_MS}},
                                     .changeMs = PLAYED_MS,
                                     .alwaysRestored = true});
        directory.play(PLAYED_MS - 1);
        CHECK(directory.callsSince(0) <= MAX_CALLS);
    }
}
