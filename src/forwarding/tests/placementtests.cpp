#include "forwarding/entrycount.h"
#include "forwarding/placement.h"

#include <doctest/doctest.h>
#include <map>

using namespace marjoram;

namespace {

auto viewOf(std::string id, std::uint64_t used, std::uint32_t starting) -> server_view
{
    server_view view;
    view.entry.id = std::move(id);
    view.entry.slots = 24;
    view.report = server_report{
        .starting = starting, .usedTokens = used, .capacityTokens = 30'000, .listeners = 1};
    return view;
}

} // namespace

TEST_CASE(
    "an engine with little room is not chosen for a new request, but may be chosen for a move")
{
    const pool_entry pool{.name = "p",
                          .engine = engine_traits{.slots = 24, .memoryTokens = 30'000}};
    const std::vector<std::string> none;
    random_source random(1);
    const auto full = viewOf("full", 26'500, 0);
    placement_query query{
        .pool = &pool, .excludedServers = &none, .generation = true, .expectedTokens = 3'000};
    CHECK(sampled_least_loaded::choose(query, {&full}, random) == nullptr);
    query.moving = true;
    CHECK(sampled_least_loaded::choose(query, {&full}, random) == &full);
}

TEST_CASE("prompts that wait to be read count against a server")
{
    const pool_entry pool{.name = "p",
                          .engine = engine_traits{.slots = 24, .memoryTokens = 30'000}};
    const std::vector<std::string> none;
    random_source random(1);
    const auto busy = viewOf("busy", 3'000, 3);
    const auto calm = viewOf("calm", 6'000, 0);
    const placement_query query{
        .pool = &pool, .excludedServers = &none, .generation = true, .expectedTokens = 3'000};
    CHECK(sampled_least_loaded::choose(query, {&busy, &calm}, random) == &calm);
}

TEST_CASE("many entries with the same reports do not all choose the same engine")
{
    const pool_entry pool{.name = "p",
                          .engine = engine_traits{.slots = 24, .memoryTokens = 30'000}};
    const std::vector<std::string> none;
    std::vector<server_view> views;
    for (int i = 0; i < 40; ++i) {
        views.push_back(viewOf("s" + std::to_string(i), static_cast<std::uint64_t>(i) * 200, 0));
    }
    std::vector<const server_view *> candidates;
    for (const auto &view : views) {
        candidates.push_back(&view);
    }
    random_source random(1);
    const placement_query query{.pool = &pool,
                                .excludedServers = &none,
                                .generation = true,
                                .expectedTokens = 3'000,
                                .entries = 25};
    std::map<std::string, int> chosen;
    for (int i = 0; i < 200; ++i) {
        ++chosen[sampled_least_loaded::choose(query, candidates, random)->entry.id];
    }
    for (const auto &[id, times] : chosen) {
        CHECK(times <= 40);
    }
}

TEST_CASE("the entry count is the largest that any reporter has seen recently")
{
    entry_count entries(32);
    CHECK(entries.count() == 32);
    entries.onReport(4, {0});
    entries.onReport(25, {1'000});
    entries.onReport(1, {2'000});
    CHECK(entries.count() == 25);
    entries.onReport(3, {11 * US_PER_SECOND});
    CHECK(entries.count() == 3);
}
