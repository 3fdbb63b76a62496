#include "directory/tests/virtualdirectory.h"

#include <doctest/doctest.h>

using namespace marjoram;

namespace {

constexpr std::int64_t CHANGED_MS = 10'000;
constexpr std::int64_t OBSERVED_MS = 40'000;
/// A link of 10 Mbit/s.
constexpr std::int64_t LINK_BYTES_PER_MS = 1'250;
/// The largest value that the directory service takes, as its answers encode it.
constexpr std::int64_t MAX_VALUE_BYTES = 4 * 1'048'576 / 3;

auto scenarioOf(const directory_bounds &bounds, std::int64_t bytes, std::int64_t bytesPerMs)
    -> directory_scenario
{
    return {.options = directoryOptionsFor(bounds).configuration,
            .troubles = {{.kind = service_trouble::silent}},
            .changeMs = CHANGED_MS,
            .itemBytes = bytes,
            .linkBytesPerMs = bytesPerMs};
}

constexpr directory_bounds SMALL{.leavingMs = 2'000, .configurationMs = 2'000, .contactMs = 3'000};
constexpr directory_bounds GROWN{.leavingMs = 3'000, .configurationMs = 3'000, .contactMs = 4'000};

} // namespace

// A call was given up a fixed time after its start, while its answer was arriving, again and again.
TEST_CASE("a configuration that takes long to transfer is never read")
{
    for (const auto &bounds : {SMALL, GROWN}) {
        for (std::int64_t bytes = 64 * 1'024; bytes <= MAX_VALUE_BYTES; bytes *= 2) {
            CAPTURE(bytes);
            const auto seen
                = virtual_directory(scenarioOf(bounds, bytes, LINK_BYTES_PER_MS)).play(OBSERVED_MS);
            CHECK(seen.value_or(OBSERVED_MS) <= CHANGED_MS + bounds.configurationMs);
        }
        const auto largest
            = virtual_directory(scenarioOf(bounds, MAX_VALUE_BYTES, LINK_BYTES_PER_MS))
                  .play(OBSERVED_MS);
        CHECK(largest.value_or(OBSERVED_MS) <= CHANGED_MS + bounds.configurationMs);
        // A tenth of the link is left.
        const auto shared
            = virtual_directory(scenarioOf(bounds, MAX_VALUE_BYTES / 8, LINK_BYTES_PER_MS / 10))
                  .play(OBSERVED_MS);
        CHECK(shared.value_or(OBSERVED_MS) <= CHANGED_MS + bounds.configurationMs);
    }
}

// The time that an answer may take must not delay the next call after its connection has died.
TEST_CASE("an answer that is cut off in the middle keeps its call in progress")
{
    constexpr std::int64_t BYTES = 512 * 1'024;
    constexpr std::int64_t STEP_MS = 30;
    for (const auto &bounds : {SMALL, GROWN}) {
        for (const auto kind :
             {service_trouble::silent, service_trouble::path_cut, service_trouble::refusing}) {
            for (std::int64_t phase = 0; phase < 600; phase += STEP_MS) {
                auto scenario = scenarioOf(bounds, BYTES, LINK_BYTES_PER_MS);
                const auto from = CHANGED_MS + phase;
                scenario.troubles = {{.kind = kind, .fromMs = from, .toMs = from + 1'500}};
                scenario.seed = static_cast<std::uint64_t>(phase + 1);
                CAPTURE(nameOf(kind));
                CAPTURE(phase);
                const auto seen = virtual_directory(scenario).play(OBSERVED_MS);
                CHECK(seen.value_or(OBSERVED_MS)
                      <= scenario.endMs() + bounds.contactMs + scenario.transferMs());
            }
        }
    }
}
