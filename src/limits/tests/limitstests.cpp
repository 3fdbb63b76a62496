#include "limits/admissiongate.h"
#include "limits/retrybudget.h"

#include <doctest/doctest.h>
#include <random>

using namespace marjoram;

namespace {

struct item
{
    rank workRank = rank::standard;
    std::string team;
    std::uint32_t weight = 1;
    int number = 0;
};

auto takeAll(fair_queue<item> &queue, double tokensEach) -> std::vector<item>
{
    std::vector<item> out;
    while (const auto r = queue.nextRank()) {
        out.push_back(queue.pop(*r));
        queue.charge(*r, out.back().team, tokensEach);
    }
    return out;
}

} // namespace

TEST_CASE("the survival curve starts from a plausible prior and follows recorded lengths")
{
    length_estimator estimator;
    const auto keys = lengthKeysOf("m", "t", rank::standard);
    CHECK(estimator.curve(keys).survivalProbability(0, 10)
          > estimator.curve(keys).survivalProbability(0, 1000));
    for (int i = 0; i < 500; ++i) {
        estimator.recordGrowth(keys, 0, 100);
        estimator.recordEnd(keys, 100);
    }
    CHECK(estimator.curve(keys).survivalProbability(0, 50) > 0.9);
    CHECK(estimator.curve(keys).survivalProbability(0, 400) < 0.1);
    const auto other = lengthKeysOf("m", "another", rank::standard);
    CHECK(estimator.curve(other).survivalProbability(0, 400) < 0.2);
}

TEST_CASE("running generations count too: short completed ones do not bias the estimate")
{
    length_estimator estimator;
    const auto keys = lengthKeysOf("m", "t", rank::standard);
    for (int i = 0; i < 100; ++i) {
        estimator.recordGrowth(keys, 0, 2'000);
    }
    for (int i = 0; i < 10; ++i) {
        estimator.recordEnd(keys, 20);
    }
    CHECK(estimator.curve(keys).survivalProbability(0, 1'000) > 0.6);
}

TEST_CASE("the estimator's memory is bounded")
{
    length_estimator estimator;
    for (int i = 0; i < 5'000; ++i) {
        estimator.recordEnd(lengthKeysOf("m", std::to_string(i), rank::urgent), 10);
    }
    CHECK(estimator.classCount() <= length_estimator::MAX_CLASSES);
}

TEST_CASE("the step model fits a line and ignores implausible measurements")
{
    step_model model;
    for (int i = 0; i < 200; ++i) {
        const std::uint32_t running = 1 + i % 64;
        model.observe(running, 10'000 + 500 * running);
        model.observe(running, -4);
        model.observe(running, 900'000'000);
    }
    CHECK(model.stepUs(100) == doctest::Approx(60'000).epsilon(0.05));
    CHECK(model.maxRunning(60'000) == doctest::Approx(100).epsilon(0.05));
}

TEST_CASE("teams of equal weight get equal service however many items they queue")
{
    fair_queue<item> queue;
    for (int i = 0; i < 100; ++i) {
        queue.push({.team = "huge", .number = i});
    }
    queue.push({.team = "small", .number = 0});
    const auto order = takeAll(queue, 10.0);
    CHECK(order.size() == 101);
    const auto small = std::find_if(order.begin(), order.end(),
                                    [](const item &one) { return one.team == "small"; });
    CHECK(small - order.begin() <= 1);
}

TEST_CASE("a team gains no credit while it is idle")
{
    fair_queue<item> queue;
    for (int i = 0; i < 50; ++i) {
        queue.push({.team = "busy"});
        queue.pop(rank::standard);
        queue.charge(rank::standard, "busy", 1'000.0);
    }
    for (int i = 0; i < 10; ++i) {
        queue.push({.team = "busy"});
        queue.push({.team = "back"});
    }
    const auto order = takeAll(queue, 100.0);
    const auto first = std::count_if(order.begin(), order.begin() + 10,
                                     [](const item &one) { return one.team == "back"; });
    CHECK(first <= 6);
}

TEST_CASE("standard work keeps its minimum share while urgent work floods the queue")
{
    fair_queue<item> queue;
    queue.setMinShares({0.5, 0.2});
    for (int i = 0; i < 1'000; ++i) {
        queue.push({.workRank = rank::urgent, .team = "u"});
        queue.push({.workRank = rank::standard, .team = "s"});
    }
    int standard = 0;
    for (int i = 0; i < 500; ++i) {
        const auto r = *queue.nextRank();
        standard += r == rank::standard ? 1 : 0;
        const auto taken = queue.pop(r);
        queue.charge(r, taken.team, 100.0);
    }
    CHECK(standard == doctest::Approx(100).epsilon(0.05));
}

TEST_CASE("resumed work comes before new work of its rank, and removing items keeps the order")
{
    fair_queue<item> queue;
    queue.push({.team = "a", .number = 1});
    queue.push({.team = "b", .number = 2});
    queue.pushResumed({.team = "c", .number = 3});
    CHECK(queue.front(rank::standard).number == 3);
    queue.removeIf([](const item &one) { return one.team == "a"; }, [](const item &) {});
    CHECK(queue.size() == 2);
    CHECK(queue.pop(rank::standard).number == 3);
    CHECK(queue.pop(rank::standard).number == 2);
    CHECK(!queue.nextRank());
}

TEST_CASE("admission keeps the forecast peak of KV cache use within the capacity")
{
    admission_gate<forecast_admission> gate({.assumedCapacityTokens = 10'000});
    const auto keys = lengthKeysOf("m", "t", rank::standard);

    std::uint64_t key = 0;
    for (int i = 0; i < 400; ++i) {
        gate.reserve(++key, {.lengthKeys = keys, .promptTokens = 10, .maxTokens = 4'000});
        gate.updateProduced(key, 200);
        gate.release(key, true);
    }
    int admitted = 0;
    while (
        gate.admits({.lengthKeys = keys, .promptTokens = 10, .maxTokens = 4'000}, rank::urgent)) {
        gate.reserve(++key, {.lengthKeys = keys, .promptTokens = 10, .maxTokens = 4'000});
        ++admitted;
    }
    CHECK(admitted >= 35);
    CHECK(admitted <= 70);
    CHECK(
        !gate.admits({.lengthKeys = keys, .promptTokens = 10, .maxTokens = 4'000}, rank::standard));
}

TEST_CASE("retries are limited to a fraction of first attempts")
{
    retry_budget budget({.ratio = 0.1, .burst = 2.0});
    CHECK(budget.tryAcquire());
    CHECK(budget.tryAcquire());
    CHECK(!budget.tryAcquire());
    for (int i = 0; i < 11; ++i) {
        budget.recordFirstAttempt();
    }
    CHECK(budget.tryAcquire());
    CHECK(!budget.tryAcquire());
}
