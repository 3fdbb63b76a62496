// State test of order_core: random sequences of manifest and host list changes, restarts, failed
// orders, and orders of an earlier process that arrive late. The oracle is the state of each
// engine.

#include "orders/ordercore.h"

#include <deque>
#include <doctest/doctest.h>
#include <memory>
#include <ostream>
#include <rapidcheck.h>

using namespace marjoram;

namespace {

constexpr int HOSTS = 3;

auto hostName(int host) -> std::string
{
    return "h" + std::to_string(host);
}

using core_type = order_core<virtual_clock_source>;

struct engine_model
{
    std::uint64_t highestFence = 0;
    std::vector<std::string> models;
};

struct fleet_model
{
    virtual_clock_source::state time;
    std::array<std::unique_ptr<core_type>, HOSTS> cores;
    std::array<std::deque<decided_order>, HOSTS> decided;
    std::array<engine_model, HOSTS> engines;
    std::array<std::int64_t, HOSTS> incarnation{};
    std::array<bool, HOSTS> leaving{};
    manifest_ptr current;
    std::uint64_t version = 0;
    int violations = 0;

    fleet_model()
    {
        publish("1");
        for (int i = 0; i < HOSTS; ++i) {
            restart(i);
        }
    }
    auto publish(const std::string &modelVersion) -> void
    {
        auto next = std::make_shared<manifest>();
        next->version = ++version;
        next->weightLoadsPerMinute = 60;
        next->models.push_back({.name = "m", .version = modelVersion, .replicas = 2});
        for (int i = 0; i < HOSTS; ++i) {
            next->backendServers.push_back({.host = hostName(i)});
        }
        current = next;
        updateAllCores();
    }
    auto updateAllCores() -> void
    {
        for (int i = 0; i < HOSTS; ++i) {
            updateCore(i);
        }
    }
    auto updateCore(int host) -> void
    {
        if (!cores[host]) {
            return;
        }
        cores[host]->onManifest(current);
        host_list hosts;
        for (int i = 0; i < HOSTS; ++i) {
            hosts.hosts.push_back({.host = hostName(i),
                                   .state = leaving[i] ? host_state::leaving : host_state::live});
        }
        cores[host]->onHosts(hosts);
        cores[host]->onEngineModels(engines[host].models);
    }
    /// Replaces the process. Orders that the old one decided may still arrive.
    auto restart(int host) -> void
    {
        ++incarnation[host];
        cores[host] = std::make_unique<core_type>(
            order_options{.host = hostName(host), .incarnation = incarnation[host]},
            virtual_clock_source(&time), static_cast<std::uint64_t>(host) + 1);
        updateCore(host);
    }
    auto decide(int host) -> void
    {
        if (auto order = cores[host]->next()) {
            decided[host].push_back(std::move(*order));
        }
    }
    auto send(int host, bool fails) -> void
    {
        if (decided[host].empty()) {
            return;
        }
        const auto next = decided[host].front();
        decided[host].pop_front();
        const auto fromCurrent
            = (next.order.fence >> 20) == static_cast<std::uint64_t>(incarnation[host]);
        if (time.now > next.validUntil || fails) {
            if (fromCurrent) {
                cores[host]->onOrderEnded(next.order, order_outcome::failed);
            }
            return;
        }
        execute(host, next.order, fromCurrent);
    }
    auto execute(int host, const engine_order &order, bool fromCurrent) -> void
    {
        auto &engine = engines[host];
        if (order.fence < engine.highestFence) {
            violations += fromCurrent ? 1 : 0;
            return;
        }
        engine.highestFence = order.fence;
        std::erase_if(engine.models, [&](const std::string &loaded) {
            return loaded.substr(0, loaded.find('@')) == order.model;
        });
        if (order.kind == order_kind::load_model) {
            engine.models.push_back(order.model + "@" + order.version);
        }
        if (fromCurrent) {
            cores[host]->onOrderEnded(order, order_outcome::done);
        }
        cores[host]->onEngineModels(engine.models);
    }
    auto runUntilSettled() -> void
    {
        leaving = {};
        updateAllCores();
        for (int round = 0; round < 3'000; ++round) {
            time.now.value += 500 * US_PER_MS;
            for (int host = 0; host < HOSTS; ++host) {
                decide(host);
                send(host, false);
            }
        }
    }
};

struct step
{
    int what = 0;
    int host = 0;
    int value = 0;
};

auto operator<<(std::ostream &out, const step &one) -> std::ostream &
{
    return out << "{" << one.what << "," << one.host << "," << one.value << "}";
}

auto apply(fleet_model &fleet, const step &one) -> void
{
    switch (one.what) {
    case 0:
        fleet.decide(one.host);
        return;
    case 1:
        fleet.send(one.host, false);
        return;
    case 2:
        fleet.send(one.host, true);
        return;
    case 3:
        fleet.time.now.value += one.value * 200 * US_PER_MS;
        return;
    case 4:
        fleet.publish(std::to_string(one.value % 3));
        return;
    case 5:
        fleet.restart(one.host);
        return;
    default:
        fleet.leaving[one.host] = !fleet.leaving[one.host];
        fleet.updateAllCores();
        return;
    }
}

} // namespace

TEST_CASE("placement converges to the manifest and the newest process's orders are never refused")
{
    const auto holds = rc::check([] {
        const auto steps = rc::gen::container<std::vector<step>>(
            rc::gen::build<step>(rc::gen::set(&step::what, rc::gen::inRange(0, 7)),
                                 rc::gen::set(&step::host, rc::gen::inRange(0, HOSTS)),
                                 rc::gen::set(&step::value, rc::gen::inRange(0, 30))));
        const auto given = *steps;
        fleet_model fleet;
        for (const auto &one : given) {
            apply(fleet, one);
        }
        fleet.runUntilSettled();
        RC_ASSERT(fleet.violations == 0);
        const auto wanted = "m@" + fleet.current->models.front().version;
        int replicas = 0;
        for (const auto &engine : fleet.engines) {
            replicas += engine.models == std::vector<std::string>{wanted} ? 1 : 0;
            RC_ASSERT((engine.models.empty() || engine.models.front() == wanted));
        }
        RC_ASSERT(replicas == 2);
    });
    CHECK(holds);
}

TEST_CASE("after a manifest change hosts start their loads at least one interval apart")
{
    fleet_model fleet;
    fleet.publish("2");
    std::vector<std::int64_t> due;
    for (const auto &core : fleet.cores) {
        if (const auto next = core->nextTimer()) {
            due.push_back(next->value);
        }
    }
    std::sort(due.begin(), due.end());
    REQUIRE(due.size() >= 2);
    CHECK(due[1] - due[0] >= US_PER_SECOND);
}
