#pragma once

#include "admission/enginecore.h"
#include "bench/benchreport.h"
#include "bench/scenario.h"
#include "dispatching/generationdispatcher.h"

#include <cmath>
#include <deque>
#include <memory>
#include <queue>
#include <random>
#include <variant>

namespace marjoram {

/// Entries, agents and engine models joined in virtual time by frames with a delay. Runs the same
/// decision code as the daemons. The same scenario, policy and seed give the same report.
template <admission_policy Admission, routing_policy Routing>
class virtual_fleet
{
public:
    virtual_fleet(scenario given, std::uint64_t seed)
        : m_scenario(std::move(given))
        , m_random(seed)
        , m_clock(&m_time)
    {
        m_manifest = makeManifest();
        for (std::uint32_t i = 0; i < m_scenario.engines; ++i) {
            m_agents.push_back(std::make_unique<agent_node>(*this, i));
        }
        for (std::uint32_t i = 0; i < m_scenario.entries; ++i) {
            m_entries.push_back(std::make_unique<entry_node>(*this, i, m_random()));
        }
        connectAll();
        scheduleWork();
    }

    /// Runs the scenario to its end.
    auto run() -> bench_report
    {
        m_report.scenario = m_scenario.name;
        const time_us end{m_scenario.durationUs};
        while (!m_events.empty() && m_events.top().when <= end) {
            auto next = m_events.top();
            m_events.pop();
            m_time.now = next.when;
            std::visit([this](auto &&what) { this->on(what); }, std::move(next.what));
        }
        collect();
        return std::move(m_report);
    }

private:
    // --- events

    struct to_agent
    {
        std::uint32_t entry;
        std::uint32_t agent;
        frame message;
    };
    struct to_entry
    {
        std::uint32_t agent;
        std::uint32_t entry;
        frame message;
    };
    struct step_done
    {
        std::uint32_t agent;
        std::uint64_t epoch;
        engine_step step;
    };
    struct report_due
    {
        std::uint32_t agent;
    };
    struct load_seen
    {
        std::uint32_t agent;
        engine_load load;
    };
    struct timer_due
    {
        bool atEntry;
        std::uint32_t index;
    };
    struct arrival
    {
        std::size_t stream;
    };
    struct credit_back
    {
        std::uint32_t entry;
        caller_credit credit;
    };
    struct prefixes_seen
    {
        std::uint32_t agent;
        std::vector<std::uint64_t> cached;
        std::vector<std::uint64_t> evicted;
    };
    struct fault_due
    { };
    using event = std::variant<to_agent, to_entry, step_done, report_due, load_seen, timer_due,
                               arrival, credit_back, prefixes_seen, fault_due>;
    struct scheduled
    {
        time_us when;
        std::uint64_t order;
        event what;
        friend auto operator>(const scheduled &a, const scheduled &b) -> bool
        {
            return a.when != b.when ? a.when > b.when : a.order > b.order;
        }
    };

    // --- nodes

    struct agent_node
    {
        agent_node(virtual_fleet &owner, std::uint32_t number)
            : fleet(owner)
            , index(number)
            , model(owner.m_scenario.engine)
            , core({.admission = owner.m_scenario.admission}, owner.m_clock, *this)
        {
            core.onManifest(owner.m_manifest);
        }
        auto toEntry(std::uint64_t linkId, frame message) -> void
        {
            fleet.schedule(
                fleet.m_scenario.oneWayUs,
                to_entry{index, static_cast<std::uint32_t>(linkId - 1), std::move(message)});
        }
        auto startEngineJob(const engine_job &job) -> void
        {
            if (dead) {
                failLater.push_back(job.serial);
                return;
            }
            const auto &target = fleet.m_callers.at(job.generation);
            model.submit({.id = job.serial,
                          .promptTokens = target.promptTokens,
                          .produced = static_cast<std::uint32_t>(job.given.size()),
                          .length = target.length,
                          .priority = Admission::PREEMPTS ? static_cast<std::uint32_t>(
                                          indexOf(job.request.workRank))
                                                          : 0,
                          .prefix = target.prefix});
            generationOf[job.serial] = job.generation;
            fleet.stepLater(*this);
        }
        auto stopEngineJob(std::uint64_t serial) -> void { model.cancel(serial); }
        auto pauseEngineJob(std::uint64_t) -> void { }
        auto resumeEngineJob(std::uint64_t) -> void { }

        virtual_fleet &fleet;
        std::uint32_t index;
        engine_model model;
        engine_core<Admission, virtual_clock_source, agent_node> core;
        std::unordered_map<std::uint64_t, generation_id> generationOf;
        std::deque<std::uint64_t> failLater;
        std::vector<std::uint64_t> cachedNews;
        std::vector<std::uint64_t> evictedNews;
        std::uint64_t epoch = 0;
        std::int64_t slowFactor = 1;
        bool stepping = false;
        bool dead = false;
        std::optional<time_us> armed;
    };
    struct entry_node
    {
        entry_node(virtual_fleet &owner, std::uint32_t number, std::uint64_t seed)
            : fleet(owner)
            , index(number)
            , directory({})
            , core({.dataCentre = "x"}, owner.m_clock, seed, directory, *this)
        {
            core.onManifest(owner.m_manifest);
        }
        auto toAgent(const std::string &host, frame message) -> void
        {
            fleet.schedule(fleet.m_scenario.oneWayUs,
                           to_agent{index, fleet.agentIndex(host), std::move(message)});
        }
        auto toCaller(caller_action action) -> void
        {
            std::visit([this](const auto &one) { fleet.onCaller(*this, one); }, action);
        }

        virtual_fleet &fleet;
        std::uint32_t index;
        agent_directory directory;
        generation_dispatcher<Routing, virtual_clock_source, entry_node> core;
        std::optional<time_us> armed;
    };
    /// A caller and what it should get.
    struct caller_state
    {
        std::uint64_t callerId = 0;
        rank workRank = rank::standard;
        std::string team;
        std::uint32_t promptTokens = 0;
        std::uint32_t length = 0;
        std::uint64_t prefix = 0;
        time_us askedAt;
        time_us lastTokenAt;
        std::uint64_t received = 0;
        bool measured = false;
    };

    static constexpr auto MODEL = "briefing";

    // --- building

    auto makeManifest() const -> manifest_ptr
    {
        auto out = std::make_shared<manifest>();
        out->version = 1;
        out->ranks[indexOf(rank::urgent)]
            = {.leastShare = 0.5, .firstTokenMs = 490, .deadlineMs = 5'000};
        out->ranks[indexOf(rank::standard)]
            = {.leastShare = 0.2, .firstTokenMs = 3'000, .deadlineMs = 20'000};
        for (const auto &work : m_scenario.work) {
            if (!out->findTeam(work.team)) {
                out->teams.push_back({.name = work.team,
                                      .credentialSha256 = {work.team},
                                      .highestRank = rank::urgent,
                                      .maxWaiting = 10'000});
            }
        }
        out->models.push_back({.name = MODEL,
                               .contextTokens = 100'000,
                               .maxOutputTokens = 50'000,
                               .replicas = m_scenario.engines});
        return out;
    }
    static auto hostName(std::uint32_t agent) -> std::string
    {
        return "host-" + std::to_string(agent);
    }
    auto agentIndex(const std::string &host) const -> std::uint32_t
    {
        return static_cast<std::uint32_t>(std::stoul(host.substr(host.find('-') + 1)));
    }
    auto connectAll() -> void
    {
        host_list hosts;
        for (const auto &agent : m_agents) {
            hosts.hosts.push_back({.host = hostName(agent->index), .dataCentre = "x"});
        }
        for (auto &entry : m_entries) {
            entry->directory.onHosts(hosts);
            for (const auto &host : hosts.hosts) {
                entry->directory.onLinkUp(host.host, 1, m_time.now);
            }
        }
        for (auto &agent : m_agents) {
            const auto offset = static_cast<std::int64_t>(m_random() % US_PER_MS);
            schedule(offset, report_due{agent->index});
        }
        if (m_scenario.fault != bench_fault::none) {
            schedule(m_scenario.faultAtUs, fault_due{});
        }
    }
    auto scheduleWork() -> void
    {
        for (std::size_t i = 0; i < m_scenario.work.size(); ++i) {
            schedule(m_scenario.work[i].startUs + gapOf(m_scenario.work[i]), arrival{i});
        }
    }
    auto gapOf(const work_stream &work) -> std::int64_t
    {
        const auto spread = work.lengthSpread;
        const auto meanLength = work.medianLength * std::exp(spread * spread / 2.0);
        const auto perSecond = work.load * capacityTokensPerSecond(m_scenario) / meanLength;
        std::exponential_distribution<double> gaps(perSecond / US_PER_SECOND);
        return 1 + static_cast<std::int64_t>(gaps(m_random));
    }
    auto schedule(std::int64_t inUs, event what) -> void
    {
        m_events.push({m_time.now + inUs, ++m_order, std::move(what)});
    }

    // --- what happens

    auto on(const arrival &arrived) -> void
    {
        const auto &work = m_scenario.work[arrived.stream];
        if (m_time.now.value >= work.endUs) {
            return;
        }
        schedule(gapOf(work), arrival{arrived});
        std::lognormal_distribution<double> lengths(std::log(work.medianLength), work.lengthSpread);
        const auto id = ++m_lastCaller;
        const auto prefix = work.prefixes > 0 ? m_random() % work.prefixes : id;
        const auto prompt = work.team + "-" + std::to_string(prefix) + " ";
        caller_state caller{.callerId = id,
                            .workRank = work.workRank,
                            .team = work.team,
                            .promptTokens = work.promptTokens,
                            .length = 1 + static_cast<std::uint32_t>(lengths(m_random)),
                            .askedAt = m_time.now,
                            .measured = m_time.now.value >= m_scenario.warmUpUs};
        open_generation open{.callerId = id,
                             .credentialSha256 = work.team,
                             .requestedRank = work.workRank,
                             .stream = true};
        open.request.model = MODEL;
        open.request.prompt = prompt + std::string(work.promptTokens * 4 - prompt.size(), ' ');
        caller.prefix = prefixHash(open.request);
        if (caller.measured) {
            ++m_report.teams[work.team].asked;
        }
        auto &entry = *m_entries[m_random() % m_entries.size()];
        m_byCaller.emplace(id, caller);
        entry.core.onOpen(std::move(open));
        arm(entry);
    }
    auto on(to_agent &arrived) -> void
    {
        auto &agent = *m_agents[arrived.agent];
        const auto link = std::uint64_t{arrived.entry} + 1;
        if (auto *bid = std::get_if<bid_frame>(&arrived.message)) {
            agent.core.onBid(link, *bid);
        } else if (auto *withdrawn = std::get_if<withdraw_frame>(&arrived.message)) {
            agent.core.onWithdraw(link, *withdrawn);
        } else if (auto *start = std::get_if<start_frame>(&arrived.message)) {
            m_callers[start->generation] = callerFor(arrived.entry, start->generation);
            agent.core.onStart(link, std::move(*start));
        } else if (auto *credit = std::get_if<credit_frame>(&arrived.message)) {
            agent.core.onCredit(link, *credit);
        } else if (auto *cancel = std::get_if<cancel_frame>(&arrived.message)) {
            agent.core.onCancel(link, *cancel);
        }
        failPending(agent);
        arm(agent);
    }
    auto on(to_entry &arrived) -> void
    {
        auto &entry = *m_entries[arrived.entry];
        const auto host = hostName(arrived.agent);
        if (auto *tokens = std::get_if<tokens_frame>(&arrived.message)) {
            entry.core.onTokens(host, std::move(*tokens));
        } else if (auto *granted = std::get_if<grant_frame>(&arrived.message)) {
            entry.core.onGrant(host, *granted);
        } else if (auto *refused = std::get_if<refusal_frame>(&arrived.message)) {
            entry.core.onRefusal(host, *refused);
        } else if (auto *finished = std::get_if<finished_frame>(&arrived.message)) {
            entry.core.onFinished(host, *finished);
        } else if (auto *report = std::get_if<load_report_frame>(&arrived.message)) {
            entry.directory.onReport(host, *report, m_time.now);
        }
        arm(entry);
    }
    auto on(const step_done &done) -> void
    {
        auto &agent = *m_agents[done.agent];
        agent.stepping = false;
        if (agent.dead) {
            return;
        }
        for (const auto serial : done.step.finished) {
            agent.core.onEngineFinished(serial, tokensOf(done.step, serial), finish_reason::stop);
        }
        for (const auto serial : done.step.emitted) {
            agent.core.onEngineTokens(serial, {"t"});
        }
        noteCacheEvents(agent);
        stepLater(agent);
        arm(agent);
    }
    auto on(const report_due &due) -> void
    {
        auto &agent = *m_agents[due.agent];
        schedule(m_scenario.reportIntervalUs, report_due{due});
        if (!agent.dead) {
            schedule(m_scenario.reportLagUs,
                     load_seen{due.agent,
                               {.running = agent.model.running(),
                                .waiting = agent.model.waiting(),
                                .kvUsedTokens = agent.model.usedTokens(),
                                .kvCapacityTokens = m_scenario.engine.kvCapacityTokens,
                                .stepUs = agent.model.lastStepUs() * agent.slowFactor,
                                .models = {MODEL}}});
        }
        auto current = agent.core.report();
        current.prefixesCached = std::exchange(agent.cachedNews, {});
        current.prefixesEvicted = std::exchange(agent.evictedNews, {});
        for (std::uint32_t i = 0; i < m_entries.size(); ++i) {
            schedule(m_scenario.oneWayUs + m_scenario.reportLagUs, to_entry{due.agent, i, current});
        }
    }
    auto on(const load_seen &seen) -> void
    {
        auto &agent = *m_agents[seen.agent];
        agent.core.onEngineLoad(seen.load);
        arm(agent);
    }
    auto on(const timer_due &due) -> void
    {
        if (due.atEntry) {
            auto &entry = *m_entries[due.index];
            entry.armed.reset();
            entry.core.onTimer();
            arm(entry);
            return;
        }
        auto &agent = *m_agents[due.index];
        agent.armed.reset();
        agent.core.onTimer();
        arm(agent);
    }
    auto on(const credit_back &back) -> void { m_entries[back.entry]->core.onCredit(back.credit); }
    auto on(const prefixes_seen &seen) -> void
    {
        auto &agent = *m_agents[seen.agent];
        agent.cachedNews.insert(agent.cachedNews.end(), seen.cached.begin(), seen.cached.end());
        agent.evictedNews.insert(agent.evictedNews.end(), seen.evicted.begin(), seen.evicted.end());
    }
    auto on(const fault_due &) -> void
    {
        auto &agent = *m_agents.front();
        if (m_scenario.fault == bench_fault::engine_slow) {
            constexpr std::int64_t SLOW_FACTOR = 4;
            agent.slowFactor = SLOW_FACTOR;
            return;
        }
        agent.dead = true;
        for (const auto &[serial, generation] : agent.generationOf) {
            agent.model.cancel(serial);
            agent.core.onEngineFailed(serial);
        }
        arm(agent);
    }

    // --- engines

    auto stepLater(agent_node &agent) -> void
    {
        if (agent.stepping || agent.dead || agent.model.idle()) {
            return;
        }
        auto step = agent.model.step();
        agent.stepping = true;
        const auto durationUs = step.durationUs * agent.slowFactor;
        schedule(durationUs, step_done{agent.index, agent.epoch, std::move(step)});
    }
    auto failPending(agent_node &agent) -> void
    {
        while (!agent.failLater.empty()) {
            const auto serial = agent.failLater.front();
            agent.failLater.pop_front();
            agent.core.onEngineFailed(serial);
        }
    }
    static auto tokensOf(const engine_step &step, std::uint64_t serial) -> std::vector<std::string>
    {
        const auto emitted = std::find(step.emitted.begin(), step.emitted.end(), serial);
        return std::vector<std::string>(emitted == step.emitted.end() ? 0 : 1, "t");
    }
    auto noteCacheEvents(agent_node &agent) -> void
    {
        prefixes_seen seen{agent.index, agent.model.takeCached(), agent.model.takeEvicted()};
        if (seen.cached.empty() && seen.evicted.empty()) {
            return;
        }
        std::bernoulli_distribution lost(m_scenario.cacheEventLoss);
        if (!lost(m_random)) {
            schedule(m_scenario.cacheEventLagUs, std::move(seen));
        }
    }

    // --- callers

    auto callerFor(std::uint32_t entry, const generation_id &generation) -> caller_state
    {
        const auto known = m_callers.find(generation);
        if (known != m_callers.end()) {
            return known->second;
        }
        return m_byCaller.at(*m_entries[entry]->core.callerOf(generation));
    }
    auto onCaller(entry_node &entry, const deliver_tokens &delivered) -> void
    {
        auto &caller = m_byCaller.at(delivered.callerId);
        auto &seen = m_report.of(caller.workRank);
        const auto count = delivered.tokens.size();
        if (delivered.position != caller.received) {
            ++m_report.wrongAnswers;
        }
        if (caller.measured) {
            noteTokens(caller, seen, count);
        }
        caller.received += count;
        caller.lastTokenAt = m_time.now;
        schedule(m_scenario.oneWayUs, credit_back{entry.index,
                                                  {.callerId = delivered.callerId,
                                                   .tokens = static_cast<std::uint32_t>(count)}});
    }
    auto noteTokens(const caller_state &caller, rank_report &seen, std::size_t count) -> void
    {
        auto &team = m_report.teams[caller.team];
        const auto now = m_time.now.value;
        const auto counts = now >= m_scenario.shareFromUs && now < m_scenario.shareToUs;
        m_shareTokens[indexOf(caller.workRank)] += counts ? count : 0;
        seen.tokens += count;
        team.tokens += count;
        if (caller.received == 0) {
            const auto waitedMs = static_cast<double>(m_time.now - caller.askedAt) / US_PER_MS;
            seen.firstTokenMs.record(waitedMs);
            team.firstTokenMs.record(waitedMs);
            return;
        }
        const auto gapMs = static_cast<double>(m_time.now - caller.lastTokenAt) / US_PER_MS;
        seen.betweenTokensMs.record(gapMs);
        seen.stalledMs += std::max(0.0, gapMs - bench_report::STALL_MS);
    }
    auto onCaller(entry_node &, const deliver_finish &finished) -> void
    {
        auto &caller = m_byCaller.at(finished.callerId);
        if (caller.received != caller.length || finished.length != caller.length) {
            ++m_report.wrongAnswers;
        }
        if (caller.measured) {
            ++m_report.of(caller.workRank).completed;
            ++m_report.teams[caller.team].completed;
        }
        m_callers.erase(finished.generation);
        m_byCaller.erase(finished.callerId);
    }
    auto onCaller(entry_node &, const deliver_failure &failed) -> void
    {
        const auto found = m_byCaller.find(failed.callerId);
        auto &seen = m_report.of(found->second.workRank);
        if (found->second.measured) {
            ++(found->second.received == 0 ? seen.refused : seen.broken);
        }
        m_byCaller.erase(found);
    }
    auto onCaller(entry_node &, const deliver_answer &) -> void { }

    // --- timers and the end

    template <typename Node>
    auto arm(Node &node) -> void
    {
        const auto next = node.core.nextTimer();
        if (!next || (node.armed && *node.armed <= *next)) {
            return;
        }
        node.armed = next;
        const auto inUs = std::max<std::int64_t>(0, *next - m_time.now);
        schedule(inUs, timer_due{std::is_same_v<Node, entry_node>, node.index});
    }
    auto collect() -> void
    {
        for (const auto &agent : m_agents) {
            m_report.preemptions += agent->core.counts().preempted + agent->model.preemptions();
            m_report.prefixHits += agent->model.prefixHits();
            m_report.prefixMisses += agent->model.prefixMisses();
        }
        for (const auto &entry : m_entries) {
            m_report.continued += entry->core.counts().continued;
            m_report.bids += entry->core.counts().bids;
        }
        const auto urgent = static_cast<double>(m_shareTokens[indexOf(rank::urgent)]);
        const auto standard = static_cast<double>(m_shareTokens[indexOf(rank::standard)]);
        m_report.standardShare = standard / std::max(1.0, urgent + standard);
    }

    scenario m_scenario;
    random_source m_random;
    virtual_clock_source::state m_time;
    virtual_clock_source m_clock;
    manifest_ptr m_manifest;
    std::vector<std::unique_ptr<agent_node>> m_agents;
    std::vector<std::unique_ptr<entry_node>> m_entries;
    std::priority_queue<scheduled, std::vector<scheduled>, std::greater<>> m_events;
    std::unordered_map<generation_id, caller_state> m_callers;
    std::unordered_map<std::uint64_t, caller_state> m_byCaller;
    bench_report m_report;
    std::array<std::uint64_t, RANK_COUNT> m_shareTokens{};
    std::uint64_t m_order = 0;
    std::uint64_t m_lastCaller = 0;
};

} // namespace marjoram
