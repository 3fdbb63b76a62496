#include "quarantine/observationlog.h"

#include <doctest/doctest.h>

using namespace marjoram;

namespace {

auto lost(std::string requestId, std::int64_t ageMs = 0) -> run_observation
{
    return {.serverId = "s", .requestId = std::move(requestId), .traits = {1}, .ageMs = ageMs};
}

constexpr time_us START{1'000 * US_PER_SECOND};

} // namespace

TEST_CASE("an observation is kept once and grows older")
{
    observation_log log({});
    CHECK(log.add(lost("a", 100), START));
    CHECK_FALSE(log.add(lost("a", 900), START));
    const auto kept = log.collect({}, START + 2 * US_PER_SECOND);
    REQUIRE(kept.size() == 1);
    CHECK(kept.front().ageMs == 2'100);
}

TEST_CASE("only observations added since a time are collected")
{
    observation_log log({});
    log.add(lost("a"), START);
    log.add(lost("b"), START + US_PER_SECOND);
    CHECK(log.collect(START + US_PER_MS, START + US_PER_SECOND).size() == 1);
}

TEST_CASE("the log of observations is bounded in number and age")
{
    observation_log log({.limit = 2, .retentionUs = 10 * US_PER_SECOND});
    for (const std::string id : {"a", "b", "c"}) {
        log.add(lost(id), START);
    }
    CHECK(log.collect({}, START).size() == 2);
    CHECK(log.collect({}, START + 11 * US_PER_SECOND).empty());
}
