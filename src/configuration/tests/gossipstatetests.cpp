// State test of gossip_core: random sequences of new versions, reads, restarts, service outages,
// stale reads, network partitions, and lost or duplicated messages between a few processes. The
// oracle is the version that each process has in force.

#include "configuration/gossipcore.h"

#include <deque>
#include <doctest/doctest.h>
#include <memory>
#include <ostream>
#include <rapidcheck.h>

using namespace marjoram;

namespace {

constexpr int PROCESSES = 4;
constexpr std::uint64_t INVALID_EVERY = 5;

auto textOf(std::uint64_t version) -> std::string
{
    return R"({"version":)" + std::to_string(version) + R"(,"teams":[{"name":"a","weight":)"
           + std::to_string(version) + R"(}],"fixed":[1,2,3]})";
}

struct fleet_model;

struct process_model
{
    process_model(fleet_model &owner, int number);
    auto sendAnnounce(std::uint64_t link, const announce_message &message) -> void;
    auto sendFetch(std::uint64_t link, const fetch_request &message) -> void;
    auto adopt(document_kind kind, const std::string &text) -> bool;

    fleet_model &fleet;
    int index;
    gossip_core<virtual_clock_source, process_model> core;
    std::uint64_t inForce = 0;
    std::string text;
};

enum class message_kind { announce, announce_reply, fetch, fetch_reply };
struct message
{
    message_kind kind = message_kind::announce;
    announce_message announce;
    fetch_request request;
    fetch_reply reply;
};

struct fleet_model
{
    virtual_clock_source::state time;
    std::array<std::unique_ptr<process_model>, PROCESSES> processes;
    std::array<std::array<std::deque<message>, PROCESSES>, PROCESSES> messageQueues;
    std::array<std::array<bool, PROCESSES>, PROCESSES> linkDown{};
    std::uint64_t published = 1;
    bool outage = false;
    std::uint64_t staleVersion = 0;
    int violations = 0;

    fleet_model()
    {
        for (int i = 0; i < PROCESSES; ++i) {
            start(i);
        }
    }
    auto start(int number) -> void
    {
        for (int other = 0; other < PROCESSES; ++other) {
            messageQueues[number][other].clear();
            messageQueues[other][number].clear();
            if (processes[other] && other != number) {
                processes[other]->core.onPeerDown(static_cast<std::uint64_t>(number) + 1);
            }
        }
        processes[number] = std::make_unique<process_model>(*this, number);
        for (int other = 0; other < PROCESSES; ++other) {
            if (processes[other] && other != number) {
                processes[number]->core.onPeerUp(static_cast<std::uint64_t>(other) + 1);
                processes[other]->core.onPeerUp(static_cast<std::uint64_t>(number) + 1);
            }
        }
    }
    auto newestValid() const -> std::uint64_t
    {
        return published % INVALID_EVERY == 0 ? published - 1 : published;
    }
    auto read(int number) -> void
    {
        if (!outage) {
            const auto version = staleVersion > 0 ? staleVersion : published;
            processes[number]->core.onServiceDocument(document_kind::manifest, textOf(version));
        }
    }
    auto deliver(int from, int to, bool lost) -> void
    {
        auto &queue = messageQueues[from][to];
        if (queue.empty()) {
            return;
        }
        const auto next = queue.front();
        queue.pop_front();
        if (!lost && !linkDown[from][to]) {
            handle(from, to, next);
        }
    }
    auto handle(int from, int to, const message &next) -> void
    {
        auto &core = processes[to]->core;
        const auto link = static_cast<std::uint64_t>(from) + 1;
        switch (next.kind) {
        case message_kind::announce:
            core.onAnnounce(link, next.announce);
            messageQueues[to][from].push_back(
                {.kind = message_kind::announce_reply, .announce = core.announcement()});
            return;
        case message_kind::announce_reply:
            core.onAnnounce(link, next.announce);
            return;
        case message_kind::fetch:
            messageQueues[to][from].push_back(
                {.kind = message_kind::fetch_reply, .reply = core.onFetch(next.request)});
            return;
        case message_kind::fetch_reply:
            core.onFetchReply(link, next.reply);
            return;
        }
    }
    auto runUntilSettled() -> void
    {
        linkDown = {};
        outage = false;
        staleVersion = 0;
        read(0);
        for (int round = 0; round < 3'000; ++round) {
            time.now.value += 20 * US_PER_MS;
            for (int from = 0; from < PROCESSES; ++from) {
                processes[from]->core.onTimer();
                for (int to = 0; to < PROCESSES; ++to) {
                    deliver(from, to, false);
                }
            }
        }
    }
};

process_model::process_model(fleet_model &owner, int number)
    : fleet(owner)
    , index(number)
    , core({}, virtual_clock_source(&owner.time), static_cast<std::uint64_t>(number) + 7, *this)
{ }

auto process_model::sendAnnounce(std::uint64_t link, const announce_message &sent) -> void
{
    fleet.messageQueues[index][link - 1].push_back({.announce = sent});
}

auto process_model::sendFetch(std::uint64_t link, const fetch_request &sent) -> void
{
    fleet.messageQueues[index][link - 1].push_back({.kind = message_kind::fetch, .request = sent});
}

auto process_model::adopt(document_kind, const std::string &offered) -> bool
{
    const auto document = splitDocument(offered);
    if (!document || document->version % INVALID_EVERY == 0) {
        return false;
    }
    fleet.violations += document->version > inForce ? 0 : 1;
    inForce = document->version;
    text = offered;
    return true;
}

struct step
{
    int what = 0;
    int a = 0;
    int b = 0;
};
constexpr int COMMANDS = 12;

auto operator<<(std::ostream &out, const step &one) -> std::ostream &
{
    return out << "{" << one.what << "," << one.a << "," << one.b << "}";
}

auto apply(fleet_model &fleet, const step &one) -> void
{
    switch (one.what) {
    case 0:
        ++fleet.published;
        return;
    case 1:
        fleet.read(one.a);
        return;
    case 2:
        fleet.start(one.a);
        return;
    case 3:
        fleet.linkDown[one.a][one.b] = !fleet.linkDown[one.a][one.b];
        return;
    case 4:
        fleet.outage = !fleet.outage;
        return;
    case 5:
        fleet.staleVersion = fleet.staleVersion > 0 ? 0 : fleet.published;
        return;
    case 6:
        fleet.deliver(one.a, one.b, true);
        return;
    case 7:
        if (!fleet.messageQueues[one.a][one.b].empty()) {
            fleet.handle(one.a, one.b, message{fleet.messageQueues[one.a][one.b].front()});
        }
        return;
    case 8:
        fleet.time.now.value += one.a * 20 * US_PER_SECOND;
        return;
    default:
        fleet.deliver(one.a, one.b, false);
        return;
    }
}

auto steps() -> rc::Gen<std::vector<step>>
{
    return rc::gen::container<std::vector<step>>(
        rc::gen::build<step>(rc::gen::set(&step::what, rc::gen::inRange(0, COMMANDS)),
                             rc::gen::set(&step::a, rc::gen::inRange(0, PROCESSES)),
                             rc::gen::set(&step::b, rc::gen::inRange(0, PROCESSES))));
}

} // namespace

TEST_CASE("versions in force never decrease and converge to the newest valid one")
{
    const auto holds = rc::check([] {
        const auto given = *rc::gen::scale(3.0, steps());
        fleet_model fleet;
        for (const auto &one : given) {
            apply(fleet, one);
        }
        RC_ASSERT(fleet.violations == 0);
        fleet.runUntilSettled();
        RC_ASSERT(fleet.violations == 0);
        const auto newestHeld = fleet.processes[0]->inForce;
        RC_ASSERT(fleet.published % INVALID_EVERY == 0 || newestHeld == fleet.newestValid());
        for (const auto &process : fleet.processes) {
            RC_ASSERT(process->inForce == newestHeld);
            RC_ASSERT(process->text == fleet.processes[0]->text);
        }
    });
    CHECK(holds);
}

TEST_CASE("an invalid version does not prevent a process from getting an older valid one")
{
    fleet_model fleet;
    fleet.published = INVALID_EVERY - 1;
    fleet.read(1);
    fleet.published = INVALID_EVERY;
    fleet.runUntilSettled();
    CHECK(fleet.processes[0]->inForce == INVALID_EVERY - 1);
}

TEST_CASE("a new process is not caught up while its peers have a newer version")
{
    fleet_model fleet;
    fleet.published = 3;
    fleet.read(0);
    fleet.start(3);
    fleet.staleVersion = 1;
    fleet.read(3);
    CHECK(fleet.processes[3]->inForce == 1);
    CHECK(!fleet.processes[3]->core.caughtUp());
    fleet.runUntilSettled();
    CHECK(fleet.processes[3]->inForce == 3);
    CHECK(fleet.processes[3]->core.caughtUp());
}

TEST_CASE("only the changed sections of a document are sent")
{
    std::string teams;
    for (int i = 0; i < 1'000; ++i) {
        teams += (i > 0 ? "," : "") + std::string(R"({"name":"t)") + std::to_string(i)
                 + R"(","weight":1})";
    }
    const auto before = splitDocument(R"({"version":1,"teams":[)" + teams + "]}");
    teams.replace(teams.find(R"("weight":1)"), 10, R"("weight":2)");
    const auto after = splitDocument(R"({"version":2,"teams":[)" + teams + "]}");
    REQUIRE(before.has_value());
    REQUIRE(after.has_value());
    std::vector<std::uint64_t> known;
    for (const auto &section : before->sections) {
        known.push_back(section.hash);
    }
    const auto changed = changedSections(*after, known);
    std::size_t bytes = 0;
    for (const auto &section : changed.sections) {
        bytes += section.text.size();
    }
    const auto whole = composeDocument(*after);
    CHECK(bytes * 16 < whole->size());
    const auto merged = mergeSections(*before, changed);
    REQUIRE(merged.has_value());
    CHECK(composeDocument(*merged).value() == *whole);
}
