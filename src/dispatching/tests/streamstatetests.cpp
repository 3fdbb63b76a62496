// Model test of the generation dispatcher: a caller, two entries, two agents and their engines.
// The commands include link failures, restarts, engine failures and redelivered frames. Frames stay
// in order within a link, not between links. Only what the caller receives is checked: the tokens
// of one sample, each once and in order, then either the end of a complete answer or a typed
// failure.

#include "admission/enginecore.h"
#include "dispatching/generationdispatcher.h"

#include <deque>
#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <ostream>
#include <rapidcheck.h>

using namespace marjoram;

namespace {

constexpr int ENTRIES = 2;
constexpr int AGENTS = 2;
constexpr std::uint32_t ANSWER_LENGTH = 6;
constexpr int RECOVERY_ROUNDS = 4'000;

auto hostName(int agent) -> std::string
{
    return "host-" + std::to_string(agent);
}

struct fleet_model;

/// An agent with its engine. Tokens read "sample.index"; a resumed answer keeps its sample.
struct agent_node
{
    agent_node(fleet_model &fleetModel, int number);
    auto toEntry(std::uint64_t linkId, frame message) -> void;
    auto startEngineJob(const engine_job &job) -> void;
    auto stopEngineJob(std::uint64_t serial) -> void { jobs.erase(serial); }
    auto pauseEngineJob(std::uint64_t) -> void { }
    auto resumeEngineJob(std::uint64_t) -> void { }
    auto step() -> void;
    auto failAllJobs() -> void;

    struct job_state
    {
        std::string sample;
        std::uint32_t next = 0;
    };
    fleet_model &fleet;
    int index;
    engine_core<forecast_admission, virtual_clock_source, agent_node> core;
    std::map<std::uint64_t, job_state> jobs;
};

struct entry_node
{
    entry_node(fleet_model &fleetModel, int number);
    auto toAgent(const std::string &host, frame message) -> void;
    auto toCaller(const caller_action &action) -> void;

    fleet_model &fleet;
    int index;
    agent_directory directory;
    generation_dispatcher<late_binding, virtual_clock_source, entry_node> core;
};

/// A link between an entry and an agent, with the frames in flight in both directions.
struct link_state
{
    bool up = false;
    std::uint64_t id = 0;
    std::deque<frame> toAgent;
    std::deque<frame> toEntry;
    std::deque<frame> receivedByEntry;
};

/// The caller and what it has received.
struct caller_model
{
    std::uint64_t id = 0;
    int entry = 0;
    bool open = false;
    bool finished = false;
    bool failed = false;
    std::vector<std::string> received;
    event_id last;
};

struct fleet_model
{
    virtual_clock_source::state time;
    random_source random{17};
    manifest_ptr config;
    std::array<std::unique_ptr<agent_node>, AGENTS> agents;
    std::array<std::unique_ptr<entry_node>, ENTRIES> entries;
    std::array<std::array<link_state, AGENTS>, ENTRIES> links;
    caller_model caller;
    std::uint64_t lastLink = 0;
    std::uint64_t lastCaller = 0;
    std::uint64_t samples = 0;
    std::int64_t incarnations = 0;
    int violations = 0;

    fleet_model()
    {
        auto built = std::make_shared<manifest>();
        built->version = 1;
        built->ranks[0] = {.leastShare = 0.5, .deadlineMs = 5'000};
        built->ranks[1] = {.leastShare = 0.2, .deadlineMs = 5'000};
        built->teams.push_back(
            {.name = "t", .credentialSha256 = {"c"}, .highestRank = rank::urgent, .maxWaiting = 9});
        built->models.push_back({.name = "m", .contextTokens = 9'999, .maxOutputTokens = 999});
        config = built;
        for (int i = 0; i < AGENTS; ++i) {
            agents[i] = std::make_unique<agent_node>(*this, i);
        }
        for (int i = 0; i < ENTRIES; ++i) {
            restartEntry(i);
        }
        open();
    }
    auto restartEntry(int entry) -> void
    {
        for (int agent = 0; agent < AGENTS; ++agent) {
            disconnect(entry, agent);
        }
        entries[entry] = std::make_unique<entry_node>(*this, entry);
        for (int agent = 0; agent < AGENTS; ++agent) {
            connect(entry, agent);
        }
    }
    auto restartAgent(int agent) -> void
    {
        for (int entry = 0; entry < ENTRIES; ++entry) {
            disconnect(entry, agent);
        }
        agents[agent] = std::make_unique<agent_node>(*this, agent);
        ++incarnations;
        for (int entry = 0; entry < ENTRIES; ++entry) {
            connect(entry, agent);
        }
    }
    auto connect(int entry, int agent) -> void
    {
        auto &link = links[entry][agent];
        if (link.up) {
            return;
        }
        link = {.up = true, .id = ++lastLink};
        entries[entry]->directory.onLinkUp(hostName(agent), incarnations, time.now);
        entries[entry]->core.onLinkUp(hostName(agent));
        report(entry, agent);
    }
    auto disconnect(int entry, int agent) -> void
    {
        auto &link = links[entry][agent];
        if (!link.up) {
            return;
        }
        const auto id = link.id;
        link = {};
        if (entries[entry]) {
            entries[entry]->directory.onLinkDown(hostName(agent));
            entries[entry]->core.onLinkDown(hostName(agent));
        }
        agents[agent]->core.onLinkDown(id);
    }
    auto report(int entry, int agent) -> void
    {
        auto current = agents[agent]->core.report();
        current.models = {"m"};
        links[entry][agent].toEntry.push_back(current);
    }
    /// Opens the request, or resumes it where the caller has received tokens already.
    auto open() -> void
    {
        caller.id = ++lastCaller;
        caller.open = true;
        open_generation request{.callerId = caller.id,
                                .credentialSha256 = "c",
                                .requestedRank = rank::urgent,
                                .stream = true};
        request.request.model = "m";
        request.request.prompt = "p";
        if (!caller.received.empty()) {
            request.resumeAfter = caller.last;
        }
        entries[caller.entry]->core.onOpen(std::move(request));
    }
    auto reconnectCaller() -> void
    {
        if (!caller.open || caller.finished || caller.received.empty()) {
            return;
        }
        entries[caller.entry]->core.onCallerLeft(caller.id);
        caller.entry = (caller.entry + 1) % ENTRIES;
        open();
    }
    auto restartEntryOfCaller(int entry) -> void
    {
        restartEntry(entry);
        if (caller.entry == entry && caller.open && !caller.finished) {
            caller.entry = (entry + 1) % ENTRIES;
            open();
        }
    }
    auto toAgent(int entry, int agent) -> void
    {
        auto &link = links[entry][agent];
        if (link.toAgent.empty()) {
            return;
        }
        auto message = std::move(link.toAgent.front());
        link.toAgent.pop_front();
        auto &core = agents[agent]->core;
        if (auto *bid = std::get_if<bid_frame>(&message)) {
            core.onBid(link.id, *bid);
        } else if (auto *withdrawn = std::get_if<withdraw_frame>(&message)) {
            core.onWithdraw(link.id, *withdrawn);
        } else if (auto *start = std::get_if<start_frame>(&message)) {
            core.onStart(link.id, std::move(*start));
        } else if (auto *attach = std::get_if<attach_frame>(&message)) {
            core.onAttach(link.id, *attach);
        } else if (auto *credit = std::get_if<credit_frame>(&message)) {
            core.onCredit(link.id, *credit);
        } else if (auto *cancel = std::get_if<cancel_frame>(&message)) {
            core.onCancel(link.id, *cancel);
        }
    }
    auto toEntry(int entry, int agent) -> void
    {
        auto &link = links[entry][agent];
        if (link.toEntry.empty()) {
            return;
        }
        auto message = std::move(link.toEntry.front());
        link.toEntry.pop_front();
        link.receivedByEntry.push_back(message);
        deliverToEntry(entry, agent, std::move(message));
    }
    /// Delivers a frame to an entry, for the first time or again.
    auto deliverToEntry(int entry, int agent, frame message) -> void
    {
        auto &node = *entries[entry];
        const auto host = hostName(agent);
        if (auto *tokens = std::get_if<tokens_frame>(&message)) {
            node.core.onTokens(host, std::move(*tokens));
        } else if (auto *granted = std::get_if<grant_frame>(&message)) {
            node.core.onGrant(host, *granted);
        } else if (auto *refused = std::get_if<refusal_frame>(&message)) {
            node.core.onRefusal(host, *refused);
        } else if (auto *finished = std::get_if<finished_frame>(&message)) {
            node.core.onFinished(host, *finished);
        } else if (auto *load = std::get_if<load_report_frame>(&message)) {
            node.directory.onReport(host, *load, time.now);
        }
    }
    auto redeliverToEntry(int entry, int agent, int which) -> void
    {
        auto &link = links[entry][agent];
        if (!link.receivedByEntry.empty()) {
            deliverToEntry(entry, agent, link.receivedByEntry[which % link.receivedByEntry.size()]);
        }
    }
    auto advanceTime(std::int64_t us) -> void
    {
        time.now.value += us;
        for (auto &agent : agents) {
            agent->core.onTimer();
        }
        for (auto &entry : entries) {
            entry->core.onTimer();
        }
    }
    /// Runs without further faults until the caller's request ends: links reconnect, frames arrive
    /// and engines generate.
    auto recover() -> void
    {
        for (int round = 0; round < RECOVERY_ROUNDS && !caller.finished && !caller.failed;
             ++round) {
            for (int entry = 0; entry < ENTRIES; ++entry) {
                for (int agent = 0; agent < AGENTS; ++agent) {
                    connect(entry, agent);
                    toAgent(entry, agent);
                    toEntry(entry, agent);
                    if (round % 25 == 0) {
                        report(entry, agent);
                    }
                }
            }
            for (auto &agent : agents) {
                agent->step();
            }
            advanceTime(10 * US_PER_MS);
        }
    }
};

agent_node::agent_node(fleet_model &fleetModel, int number)
    : fleet(fleetModel)
    , index(number)
    , core({.keepUs = 120 * US_PER_SECOND}, virtual_clock_source(&fleetModel.time), *this)
{
    core.onManifest(fleetModel.config);
}

auto agent_node::toEntry(std::uint64_t linkId, frame message) -> void
{
    for (auto &row : fleet.links) {
        if (row[index].up && row[index].id == linkId) {
            row[index].toEntry.push_back(std::move(message));
            return;
        }
    }
}

auto agent_node::startEngineJob(const engine_job &job) -> void
{
    job_state state{.next = static_cast<std::uint32_t>(job.given.size())};
    state.sample = job.given.empty() ? "s" + std::to_string(++fleet.samples)
                                     : job.given.front().substr(0, job.given.front().find('.'));
    jobs.emplace(job.serial, std::move(state));
}

auto agent_node::step() -> void
{
    const auto current = jobs;
    for (const auto &[serial, job] : current) {
        if (job.next >= ANSWER_LENGTH) {
            jobs.erase(serial);
            core.onEngineFinished(serial, {}, finish_reason::stop);
            continue;
        }
        ++jobs[serial].next;
        core.onEngineTokens(serial, {job.sample + "." + std::to_string(job.next)});
    }
}

auto agent_node::failAllJobs() -> void
{
    const auto broken = std::exchange(jobs, {});
    for (const auto &[serial, job] : broken) {
        core.onEngineFailed(serial);
    }
}

entry_node::entry_node(fleet_model &fleetModel, int number)
    : fleet(fleetModel)
    , index(number)
    , directory({.suspectAfterUs = 3'600 * US_PER_SECOND})
    , core({.windowTokens = 4}, virtual_clock_source(&fleetModel.time), fleetModel.random(),
           directory, *this)
{
    host_list hosts;
    for (int i = 0; i < AGENTS; ++i) {
        hosts.hosts.push_back({.host = hostName(i)});
    }
    directory.onHosts(hosts);
    core.onManifest(fleetModel.config);
}

auto entry_node::toAgent(const std::string &host, frame message) -> void
{
    auto &link = fleet.links[index][host.back() - '0'];
    if (link.up) {
        link.toAgent.push_back(std::move(message));
    }
}

auto entry_node::toCaller(const caller_action &action) -> void
{
    auto &caller = fleet.caller;
    const auto isCurrentCaller
        = std::visit([&](const auto &sent) { return sent.callerId == caller.id; }, action);
    if (!isCurrentCaller || index != caller.entry || !caller.open) {
        return;
    }
    if (const auto *delivered = std::get_if<deliver_tokens>(&action)) {
        fleet.violations += delivered->position == caller.received.size() ? 0 : 1;
        for (const auto &token : delivered->tokens) {
            caller.received.push_back(token);
        }
        caller.last = {.generation = delivered->generation,
                       .host = delivered->host,
                       .position = caller.received.size()};
        core.onCredit({.callerId = caller.id,
                       .tokens = static_cast<std::uint32_t>(delivered->tokens.size())});
    } else if (std::get_if<deliver_finish>(&action)) {
        caller.finished = true;
        fleet.violations += caller.received.size() == ANSWER_LENGTH ? 0 : 1;
    } else if (std::get_if<deliver_failure>(&action)) {
        caller.failed = true;
        caller.open = false;
    }
}

enum class command {
    to_agent,
    to_entry,
    engine_step,
    engine_failure,
    link_down,
    link_up,
    redeliver_frame,
    agent_restart,
    entry_restart,
    caller_reconnects,
    advance_time,
    advance_time_far,
};
constexpr int COMMANDS = static_cast<int>(command::advance_time_far) + 1;

struct step
{
    int what = 0;
    int entry = 0;
    int agent = 0;
    int value = 0;
};

auto operator<<(std::ostream &out, const step &current) -> std::ostream &
{
    return out << "{" << current.what << "," << current.entry << "," << current.agent << ","
               << current.value << "}";
}

auto apply(fleet_model &fleet, const step &current) -> void
{
    switch (static_cast<command>(current.what)) {
    case command::to_agent:
        fleet.toAgent(current.entry, current.agent);
        return;
    case command::to_entry:
        fleet.toEntry(current.entry, current.agent);
        return;
    case command::engine_step:
        fleet.agents[current.agent]->step();
        return;
    case command::engine_failure:
        fleet.agents[current.agent]->failAllJobs();
        return;
    case command::link_down:
        fleet.disconnect(current.entry, current.agent);
        return;
    case command::link_up:
        fleet.connect(current.entry, current.agent);
        return;
    case command::redeliver_frame:
        fleet.redeliverToEntry(current.entry, current.agent, current.value);
        return;
    case command::agent_restart:
        fleet.restartAgent(current.agent);
        return;
    case command::entry_restart:
        fleet.restartEntryOfCaller(current.entry);
        return;
    case command::caller_reconnects:
        fleet.reconnectCaller();
        return;
    case command::advance_time:
        fleet.advanceTime(current.value * 20 * US_PER_MS);
        return;
    case command::advance_time_far:
        fleet.advanceTime(current.value * US_PER_SECOND);
        return;
    }
}

/// Generates commands, faults less often than the rest.
auto steps() -> rc::Gen<std::vector<step>>
{
    const auto what = rc::gen::weightedOneOf<int>(
        {{8, rc::gen::inRange(0, static_cast<int>(command::engine_failure))},
         {3, rc::gen::inRange(0, COMMANDS)}});
    return rc::gen::container<std::vector<step>>(rc::gen::build<step>(
        rc::gen::set(&step::what, what), rc::gen::set(&step::entry, rc::gen::inRange(0, ENTRIES)),
        rc::gen::set(&step::agent, rc::gen::inRange(0, AGENTS)),
        rc::gen::set(&step::value, rc::gen::inRange(0, 60))));
}

auto isSingleSample(const std::vector<std::string> &received) -> bool
{
    for (std::size_t i = 0; i < received.size(); ++i) {
        const auto dot = received[i].find('.');
        if (received[i].substr(0, dot) != received.front().substr(0, dot)
            || received[i].substr(dot + 1) != std::to_string(i)) {
            return false;
        }
    }
    return true;
}

} // namespace

namespace {

/// Whether the caller received what the head of this file requires, after these steps.
auto propertiesHoldAfter(const std::vector<step> &sequence) -> bool
{
    fleet_model fleet;
    for (const auto &current : sequence) {
        apply(fleet, current);
    }
    fleet.recover();
    const auto &caller = fleet.caller;
    const auto whole = caller.finished && caller.received.size() == ANSWER_LENGTH;
    return fleet.violations == 0 && isSingleSample(caller.received) && (whole || caller.failed);
}

} // namespace

TEST_CASE("a caller gets every token of one sample once and in order, or a typed failure")
{
    const auto holds = rc::check([] {
        const auto sequence = *rc::gen::scale(3.0, steps());
        RC_ASSERT(propertiesHoldAfter(sequence));
    });
    CHECK(holds);
}

TEST_CASE("command sequences that failed before hold")
{
    // The grant of a bid was taken for the answer to an attach.
    CHECK(propertiesHoldAfter({{1, 1, 1, 0},
                               {8, 0, 0, 0},
                               {0, 1, 1, 0},
                               {1, 1, 1, 0},
                               {0, 1, 1, 0},
                               {2, 0, 1, 0},
                               {1, 1, 1, 0},
                               {7, 0, 1, 0},
                               {1, 1, 1, 0},
                               {0, 1, 1, 0},
                               {1, 1, 1, 0},
                               {9, 0, 0, 0},
                               {8, 0, 0, 0}}));
    // A duplicate grant detached the running generation.
    CHECK(propertiesHoldAfter(
        {{1, 0, 0, 0}, {11, 0, 0, 1}, {0, 0, 0, 0}, {1, 0, 0, 0}, {6, 0, 0, 15}}));
    // After the answer to an earlier attach and the loss of the engine, a new sample was started.
    CHECK(propertiesHoldAfter({{1, 0, 0, 0},
                               {10, 0, 0, 5},
                               {0, 0, 0, 0},
                               {1, 0, 0, 0},
                               {0, 0, 0, 0},
                               {2, 0, 0, 0},
                               {1, 0, 0, 0},
                               {4, 0, 0, 0},
                               {5, 0, 0, 0},
                               {9, 0, 0, 0},
                               {8, 1, 0, 0},
                               {0, 0, 0, 0},
                               {3, 0, 0, 0}}));
    // The answer to an earlier attach cancelled the later one.
    CHECK(propertiesHoldAfter({{1, 0, 1, 0},
                               {10, 0, 0, 5},
                               {0, 0, 1, 0},
                               {1, 0, 1, 0},
                               {0, 0, 1, 0},
                               {2, 0, 1, 0},
                               {1, 0, 1, 0},
                               {8, 0, 0, 0},
                               {9, 0, 0, 0},
                               {8, 0, 0, 0}}));
    // The grant of a duplicate bid cancelled an attachment.
    CHECK(propertiesHoldAfter({{1, 0, 0, 0},
                               {11, 0, 0, 1},
                               {0, 0, 0, 0},
                               {1, 0, 0, 0},
                               {0, 0, 0, 0},
                               {2, 0, 0, 0},
                               {1, 0, 0, 0},
                               {2, 0, 0, 0},
                               {9, 0, 0, 0},
                               {1, 0, 0, 0},
                               {9, 0, 0, 0},
                               {6, 0, 0, 5}}));
}
