#pragma once

#include "admission/runtable.h"
#include "framework/global/timerqueue.h"
#include "innerprotocol/frames.h"
#include "manifest/manifest.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace marjoram {

/// Executes the actions of an engine_core.
template <typename S>
concept engine_core_sink = requires(S &sink, std::uint64_t id, frame message, engine_job job)
{
    sink.toEntry(id, std::move(message));
    sink.startEngineJob(std::move(job));
    sink.stopEngineJob(id);
    sink.pauseEngineJob(id);
    sink.resumeEngineJob(id);
};

/// Counters for metrics.
struct engine_core_counts
{
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    std::uint64_t started = 0;
    std::uint64_t preempted = 0;
    std::uint64_t finished = 0;
    std::uint64_t engineFailures = 0;
    std::uint64_t tokens = 0;
};

/// Scheduler of one engine: decides which waiting generation runs next, what is preempted, which
/// entry gets which tokens, and what a leaving host still does. It alone controls its engine;
/// entries only have copies of its reports. It receives events and passes actions to its sink, does
/// no I/O and reads time only from `Clock`. Not thread safe: belongs to one duty.
template <admission_policy Policy, clock_source Clock, typename Sink>
class engine_core
{
public:
    /// Precondition: the sink outlives the core.
    engine_core(engine_core_options options, Clock clock, Sink &sink)
        : m_options(options)
        , m_clock(clock)
        , m_sink(sink)
        , m_gate(options.admission)
    {
        static_assert(engine_core_sink<Sink>);
    }

    // --- frames from entries

    auto onBid(std::uint64_t linkId, const bid_frame &bid) -> void
    {
        const auto reason = bidRefusal(bid);
        if (reason != failure::none) {
            refuse(linkId, bid.generation, bid.attempt, reason, run_state::not_run,
                   expectedWaitMs(bid.workRank, bid.team));
            return;
        }
        waiting_generation item{.workRank = bid.workRank,
                                .team = bid.team,
                                .weight = weightOf(bid.team),
                                .linkId = linkId,
                                .generation = bid.generation,
                                .attempt = bid.attempt,
                                .footprint = footprintOf(bid),
                                .waitingSince = m_clock.now(),
                                .deadline = m_clock.now() + toUs(bid.deadlineMs)};
        m_bids.insert_or_assign(bid.generation, bid_key{.linkId = linkId, .attempt = bid.attempt});
        // With tokens given, the bid continues an answer that its caller is already reading.
        if (bid.givenTokens > 0) {
            m_queue.pushResumed(std::move(item));
        } else {
            m_queue.push(std::move(item));
        }
        admitWaiting();
    }
    auto onWithdraw(std::uint64_t linkId, const withdraw_frame &withdrawn) -> void
    {
        const auto bid = m_bids.find(withdrawn.generation);
        if (bid != m_bids.end() && bid->second.linkId == linkId
            && bid->second.attempt == withdrawn.attempt) {
            m_bids.erase(bid);
            recordDeparture();
        }
        const auto granted = m_grants.find(withdrawn.generation);
        if (granted != m_grants.end() && granted->second.item.linkId == linkId
            && granted->second.item.attempt == withdrawn.attempt) {
            dropGrant(granted);
        }
        admitWaiting();
    }
    auto onStart(std::uint64_t linkId, start_frame start) -> void
    {
        const auto granted = m_grants.find(start.generation);
        if (granted == m_grants.end() || granted->second.item.linkId != linkId
            || granted->second.item.attempt != start.attempt) {
            refuse(linkId, start.generation, start.attempt, failure::overloaded, run_state::not_run,
                   0);
            return;
        }
        const auto grant = granted->second;
        m_grants.erase(granted);
        m_timers.cancel(timer_key{timer_kind::grant, start.generation});
        endPreviousRun(start.generation);
        startRun(linkId, grant, std::move(start));
    }
    auto onAttach(std::uint64_t linkId, const attach_frame &attach) -> void
    {
        auto *found = m_runs.find(attach.generation);
        if (!found || attach.fromPosition > found->tokens.size()) {
            refuse(linkId, attach.generation, 0, failure::generation_lost, run_state::unknown, 0);
            return;
        }
        auto &run = *found;
        if (run.linkId != 0 && run.linkId != linkId) {
            refuse(run.linkId, run.generation, run.attempt, failure::superseded, run_state::unknown,
                   0);
        }
        run.linkId = linkId;
        run.sent = attach.fromPosition;
        run.credit = attach.credit;
        run.finishSent = false;
        m_timers.cancel(timer_key{timer_kind::retention, run.generation});
        m_sink.toEntry(linkId, grant_frame{.generation = run.generation,
                                           .attempt = run.attempt,
                                           .attachId = attach.attachId});
        sendAvailableTokens(run);
    }
    auto onCredit(std::uint64_t linkId, const credit_frame &credit) -> void
    {
        auto *run = m_runs.find(credit.generation);
        if (!run || run->linkId != linkId) {
            return;
        }
        run->credit += credit.tokens;
        sendAvailableTokens(*run);
    }
    auto onCancel(std::uint64_t linkId, const cancel_frame &cancel) -> void
    {
        auto *run = m_runs.find(cancel.generation);
        if (!run || run->attempt != cancel.attempt || (run->linkId != linkId && run->linkId != 0)) {
            return;
        }
        if (cancel.keep && run->reattachable) {
            detach(*run);
            return;
        }
        endRun(*run);
        admitWaiting();
    }
    /// The link to an entry is down: drops its bids and keeps its generations for `keepUs`.
    auto onLinkDown(std::uint64_t linkId) -> void
    {
        std::erase_if(m_bids, [&](const auto &bid) { return bid.second.linkId == linkId; });
        for (auto it = m_grants.begin(); it != m_grants.end();) {
            const auto current = it++;
            if (current->second.item.linkId == linkId) {
                dropGrant(current);
            }
        }
        for (const auto &generation : m_runs.generations()) {
            auto *run = m_runs.find(generation);
            if (run->linkId == linkId) {
                detach(*run);
            }
        }
        admitWaiting();
    }

    // --- the engine

    auto onEngineTokens(std::uint64_t serial, std::vector<std::string> tokens) -> void
    {
        auto *run = m_runs.findBySerial(serial);
        if (!run) {
            return;
        }
        appendTokens(*run, std::move(tokens));
        sendAvailableTokens(*run);
        preemptUntilMemoryFits();
    }
    /// The generation is complete; `tokens` are its last ones.
    auto onEngineFinished(std::uint64_t serial, std::vector<std::string> tokens,
                          finish_reason reason) -> void
    {
        auto *run = m_runs.findBySerial(serial);
        if (!run) {
            return;
        }
        appendTokens(*run, std::move(tokens));
        removeFromEngine(*run, true);
        settleCharge(*run);
        ++m_counts.finished;
        run->phase = run_phase::finished;
        run->reason = reason;
        retainFinished(*run);
        sendAvailableTokens(*run);
        admitWaiting();
    }
    /// The engine's stream broke. An attached entry continues the answer on another host. Without
    /// one the generation is requeued until the engine is back.
    auto onEngineFailed(std::uint64_t serial) -> void
    {
        auto *run = m_runs.findBySerial(serial);
        if (!run) {
            return;
        }
        ++m_counts.engineFailures;
        m_engineDownUntil = m_clock.now() + m_options.engineBackoffUs;
        m_timers.set(timer_key{timer_kind::engine, {}}, m_engineDownUntil);
        removeFromEngine(*run, false);
        settleCharge(*run);
        if (run->linkId == 0) {
            // It may be what crashes the engine.
            if (++run->engineFailures < m_options.maxEngineFailures) {
                requeue(*run);
            } else {
                m_runs.erase(run->generation);
            }
            return;
        }
        refuse(run->linkId, run->generation, run->attempt, failure::backend_server_lost,
               run_state::unknown, 0);
        m_runs.erase(run->generation);
    }
    auto onEngineLoad(const engine_load &load) -> void
    {
        m_gate.observe(load.kvCapacityTokens, load.running, load.stepUs);
        m_gate.recordElapsed(m_clock.now() - std::exchange(m_lastLoadAt, m_clock.now()));
        m_load = load;
        admitWaiting();
    }

    // --- configuration and draining

    auto onManifest(manifest_ptr current) -> void
    {
        m_manifest = std::move(current);
        m_queue.setMinShares({m_manifest->rankOf(rank::urgent).leastShare,
                              m_manifest->rankOf(rank::standard).leastShare});
    }
    /// Refuses new and waiting bids from now on; started generations continue. Idempotent.
    auto leave() -> void
    {
        m_leaving = true;
        refuseWaitingBids(failure::draining);
    }
    /// Returns every unfinished generation to its entry, which continues it on another host.
    auto handBack() -> void
    {
        leave();
        for (const auto &generation : m_runs.generations()) {
            auto *run = m_runs.find(generation);
            if (run->phase == run_phase::finished || run->linkId == 0) {
                continue;
            }
            refuse(run->linkId, generation, run->attempt, failure::backend_server_lost,
                   run_state::unknown, 0);
            endRun(*run);
        }
    }
    /// Whether a leaving host may stop: no generation is unfinished and all attached entries have
    /// their whole answers.
    auto drained() const -> bool
    {
        const auto isDelivered = [this](const generation_id &generation) {
            const auto *run = m_runs.find(generation);
            return run->phase == run_phase::finished && (run->linkId == 0 || run->finishSent);
        };
        const auto all = m_runs.generations();
        return m_grants.empty() && std::all_of(all.begin(), all.end(), isDelivered);
    }

    // --- timers

    /// Earliest time at which onTimer() has to be called.
    auto nextTimer() const -> std::optional<time_us> { return m_timers.next(); }
    auto onTimer() -> void
    {
        while (const auto key = m_timers.popDue(m_clock.now())) {
            onTimeout(*key);
        }
        admitWaiting();
    }

    // --- state

    auto report() const -> load_report_frame
    {
        const auto view = m_gate.view();
        return {.leaving = m_leaving,
                .running = view.running,
                .waitingUrgent = static_cast<std::uint32_t>(waiting(rank::urgent)),
                .waitingStandard = static_cast<std::uint32_t>(waiting(rank::standard)),
                .expectedWaitUrgentMs = expectedWaitMs(rank::urgent),
                .expectedWaitStandardMs = expectedWaitMs(rank::standard),
                .kvUsedTokens = view.heldTokens,
                .kvCapacityTokens = view.capacityTokens,
                .stepUs = static_cast<std::uint32_t>(m_gate.stepUs()),
                .manifestVersion = m_manifest ? m_manifest->version : 0,
                .models = engineUp() ? m_load.models : std::vector<std::string>{}};
    }
    auto counts() const -> const engine_core_counts & { return m_counts; }
    auto runs() const -> std::size_t { return m_runs.size(); }
    auto waiting(rank r) const -> std::size_t { return m_queue.size(r); }
    auto leaving() const -> bool { return m_leaving; }

private:
    static constexpr double DEPARTURE_SMOOTHING = 0.1;
    static constexpr std::uint32_t MAX_WAIT_MS = 600'000;
    /// Maximum number of runs preempted for one waiting generation.
    static constexpr int MAX_PREEMPTIONS_PER_ITEM = 3;

    enum class timer_kind { grant, retention, admission, engine };
    struct timer_key
    {
        timer_kind kind;
        generation_id generation;
        friend auto operator<=>(const timer_key &, const timer_key &)
            -> std::strong_ordering = default;
    };
    struct bid_key
    {
        std::uint64_t linkId = 0;
        std::uint32_t attempt = 0;
    };
    struct grant_state
    {
        waiting_generation item;
        std::uint64_t serial = 0;
    };
    using grant_map = std::unordered_map<generation_id, grant_state>;

    // --- admission

    auto bidRefusal(const bid_frame &bid) const -> failure
    {
        if (m_leaving) {
            return failure::draining;
        }
        if (!engineUp()) {
            return failure::backend_server_lost;
        }
        if (m_bids.size() >= m_options.waitingLimit) {
            return failure::overloaded;
        }
        if (expectedWaitMs(bid.workRank, bid.team) > bid.deadlineMs) {
            return failure::would_miss_deadline;
        }
        return failure::none;
    }
    auto admitWaiting() -> void
    {
        if (!engineUp()) {
            return;
        }
        while (const auto turn = m_queue.nextRank()) {
            if (dropIfStale(*turn)) {
                continue;
            }
            if (!admitFront(*turn) && !admitUnderservedTeam(*turn)) {
                break;
            }
        }
        m_queue.size() > 0 ? m_timers.set(timer_key{timer_kind::admission, {}},
                                          m_clock.now() + m_options.urgentPatienceUs)
                           : m_timers.cancel(timer_key{timer_kind::admission, {}});
    }
    /// Drops the front item of a rank if its bid was withdrawn or has missed its deadline, or if
    /// its run has ended.
    auto dropIfStale(rank r) -> bool
    {
        const auto &item = m_queue.front(r);
        if (isCurrent(item) && item.deadline > m_clock.now()) {
            return false;
        }
        const auto dropped = m_queue.pop(r);
        if (isCurrent(dropped) && !dropped.resumed) {
            m_bids.erase(dropped.generation);
            refuse(dropped.linkId, dropped.generation, dropped.attempt, failure::deadline_exceeded,
                   run_state::not_run, expectedWaitMs(r, dropped.team));
        }
        return true;
    }
    auto isCurrent(const waiting_generation &item) const -> bool
    {
        if (item.resumed) {
            const auto *run = m_runs.find(item.generation);
            return run && run->phase == run_phase::preempted && run->attempt == item.attempt;
        }
        const auto bid = m_bids.find(item.generation);
        return bid != m_bids.end() && bid->second.linkId == item.linkId
               && bid->second.attempt == item.attempt;
    }
    auto admitFront(rank r) -> bool
    {
        const auto &item = m_queue.front(r);
        if (!m_gate.admits(item.footprint, r, m_queue.standardIsOwed())
            && !preemptForUrgent(item)) {
            return false;
        }
        auto taken = m_queue.pop(r);
        recordDeparture();
        if (taken.resumed) {
            resumeRun(*m_runs.find(taken.generation));
        } else {
            grant(std::move(taken));
        }
        return true;
    }
    auto grant(waiting_generation item) -> void
    {
        const auto serial = ++m_lastSerial;
        ++m_counts.granted;
        m_bids.erase(item.generation);
        m_gate.reserve(serial, item.footprint);
        m_timers.set(timer_key{timer_kind::grant, item.generation},
                     m_clock.now() + m_options.grantTimeoutUs);
        m_sink.toEntry(item.linkId,
                       grant_frame{.generation = item.generation, .attempt = item.attempt});
        const auto generation = item.generation;
        m_grants.insert_or_assign(generation,
                                  grant_state{.item = std::move(item), .serial = serial});
    }
    auto dropGrant(typename grant_map::iterator granted) -> void
    {
        m_gate.release(granted->second.serial, false);
        m_timers.cancel(timer_key{timer_kind::grant, granted->first});
        m_grants.erase(granted);
    }

    // --- runs

    auto startRun(std::uint64_t linkId, const grant_state &grant, start_frame start) -> void
    {
        generation_run run{.generation = start.generation,
                           .attempt = start.attempt,
                           .request = std::move(start.request),
                           .trace = start.trace,
                           .tokens = std::move(start.given),
                           .linkId = linkId,
                           .credit = start.credit,
                           .reattachable = start.reattachable,
                           .footprint = grant.item.footprint,
                           .startedAt = m_clock.now()};
        run.givenTokens = static_cast<std::uint32_t>(run.tokens.size());
        run.sent = run.givenTokens;
        ++m_counts.started;
        const auto expected = m_gate.expectedRemainingTokens(run.footprint);
        m_queue.charge(run.request.workRank, run.request.team,
                       run.footprint.promptTokens + expected);
        run.chargedTokens = expected;
        auto &started = m_runs.insert(std::move(run));
        m_runs.addToBatch(started, grant.serial);
        m_sink.startEngineJob(jobOf(started));
    }
    auto resumeRun(generation_run &run) -> void
    {
        m_runs.addToBatch(run, ++m_lastSerial);
        m_gate.reserve(run.serial, run.footprint);
        m_sink.startEngineJob(jobOf(run));
    }
    auto jobOf(const generation_run &run) const -> engine_job
    {
        return {.serial = run.serial,
                .generation = run.generation,
                .request = run.request,
                .given = run.tokens,
                .trace = run.trace};
    }
    auto appendTokens(generation_run &run, std::vector<std::string> tokens) -> void
    {
        const auto count = static_cast<std::uint32_t>(tokens.size());
        m_counts.tokens += count;
        std::move(tokens.begin(), tokens.end(), std::back_inserter(run.tokens));
        run.footprint.produced += count;
        m_gate.updateProduced(run.serial, run.footprint.produced);
        chargeUpTo(run, producedByAttempt(run));
    }
    /// Sends the attached entry as many tokens as its credit allows, and the end of the answer.
    auto sendAvailableTokens(generation_run &run) -> void
    {
        if (run.linkId == 0) {
            return;
        }
        const auto unsent = run.tokens.size() - run.sent;
        const auto count = std::min<std::uint64_t>(unsent, run.credit);
        if (count > 0) {
            const auto first = run.tokens.begin() + static_cast<std::ptrdiff_t>(run.sent);
            m_sink.toEntry(
                run.linkId,
                tokens_frame{.generation = run.generation,
                             .attempt = run.attempt,
                             .position = run.sent,
                             .tokens = {first, first + static_cast<std::ptrdiff_t>(count)}});
            run.sent += count;
            run.credit -= count;
        }
        if (run.phase == run_phase::finished && run.sent == run.tokens.size() && !run.finishSent) {
            run.finishSent = true;
            m_sink.toEntry(run.linkId, finished_frame{.generation = run.generation,
                                                      .attempt = run.attempt,
                                                      .length = run.tokens.size(),
                                                      .reason = run.reason});
        }
        updateBackpressure(run);
    }
    auto updateBackpressure(generation_run &run) -> void
    {
        const auto shouldPause = run.tokens.size() - run.sent > m_options.unsentLimit;
        if (run.serial == 0 || shouldPause == run.paused) {
            return;
        }
        run.paused = shouldPause;
        shouldPause ? m_sink.pauseEngineJob(run.serial) : m_sink.resumeEngineJob(run.serial);
    }
    auto detach(generation_run &run) -> void
    {
        run.linkId = 0;
        m_timers.set(timer_key{timer_kind::retention, run.generation},
                     m_clock.now() + m_options.keepUs);
    }
    auto removeFromEngine(generation_run &run, bool completed) -> void
    {
        m_gate.release(run.serial, completed);
        m_runs.removeFromBatch(run);
    }
    auto endPreviousRun(const generation_id &generation) -> void
    {
        if (auto *run = m_runs.find(generation)) {
            endRun(*run);
        }
    }
    /// Stops and erases a run; the reference is invalid afterwards.
    auto endRun(generation_run &run) -> void
    {
        if (run.serial != 0) {
            m_sink.stopEngineJob(run.serial);
            removeFromEngine(run, false);
            settleCharge(run);
        }
        const auto generation = run.generation;
        m_timers.cancel(timer_key{timer_kind::retention, generation});
        m_runs.erase(generation);
    }
    auto retainFinished(const generation_run &run) -> void
    {
        m_timers.set(timer_key{timer_kind::retention, run.generation},
                     m_clock.now() + m_options.keepUs);
        m_runs.addFinished(run.generation);
        while (const auto oldest = m_runs.popFinishedBeyond(m_options.finishedLimit)) {
            auto *old = m_runs.find(*oldest);
            if (old && old->phase == run_phase::finished && (old->finishSent || old->linkId == 0)) {
                endRun(*old);
            }
        }
    }

    // --- charges

    static auto producedByAttempt(const generation_run &run) -> double
    {
        return static_cast<double>(run.tokens.size()) - run.givenTokens;
    }
    auto chargeUpTo(generation_run &run, double tokens) -> void
    {
        if (tokens <= run.chargedTokens) {
            return;
        }
        m_queue.charge(run.request.workRank, run.request.team, tokens - run.chargedTokens);
        run.chargedTokens = tokens;
    }
    // Refunds expected tokens that were not produced.
    auto settleCharge(generation_run &run) -> void
    {
        const auto produced = producedByAttempt(run);
        m_queue.charge(run.request.workRank, run.request.team, produced - run.chargedTokens);
        run.chargedTokens = produced;
    }

    // --- preemption

    /// Preempts standard work for an urgent bid that has waited for `urgentPatienceUs`.
    auto preemptForUrgent(const waiting_generation &item) -> bool
    {
        if (!Policy::PREEMPTS || item.workRank != rank::urgent || m_queue.standardIsOwed()
            || m_clock.now() - item.waitingSince < m_options.urgentPatienceUs) {
            return false;
        }
        return preemptFor(item, [this](const generation_run &run) {
            return run.request.workRank == rank::standard && standardExceedsMinShare();
        });
    }
    /// Admits a bid of a team that has less than half of its even share of the batch, by preempting
    /// runs of teams that have more than theirs.
    auto admitUnderservedTeam(rank r) -> bool
    {
        const auto *item = Policy::PREEMPTS ? m_queue.frontNew(r) : nullptr;
        if (!item || !isCurrent(*item) || item->deadline <= m_clock.now()
            || m_clock.now() - item->waitingSince < m_options.teamPatienceUs) {
            return false;
        }
        const auto evenShare = evenBatchShare(item->team);
        if (2.0 * static_cast<double>(batchSlotsOf(item->team)) >= evenShare) {
            return false;
        }
        const auto admitted = preemptFor(*item, [this, r, evenShare](const generation_run &run) {
            return run.request.workRank == r
                   && static_cast<double>(batchSlotsOf(run.request.team)) > evenShare;
        });
        if (admitted) {
            recordDeparture();
            grant(m_queue.popNew(r));
        }
        return admitted;
    }
    /// Batch size divided by the number of teams, including `team`.
    auto evenBatchShare(const std::string &team) const -> double
    {
        return static_cast<double>(m_runs.batchSize())
               / static_cast<double>(m_runs.batchTeamsWith(team));
    }
    auto batchSlotsOf(const std::string &team) const -> std::int64_t
    {
        const auto granted = std::count_if(m_grants.begin(), m_grants.end(), [&](const auto &one) {
            return one.second.item.team == team;
        });
        return granted + m_runs.batchSizeOf(team);
    }
    /// Preempts up to MAX_PREEMPTIONS_PER_ITEM runs for which `allowed` is true, until the item can
    /// be admitted. A run is preempted for other work only once.
    auto preemptFor(const waiting_generation &item, auto &&allowed) -> bool
    {
        const auto isCandidate = [&allowed](const generation_run &run) {
            return !run.preemptedForOther && allowed(run);
        };
        for (int i = 0;
             i < MAX_PREEMPTIONS_PER_ITEM && !m_gate.admits(item.footprint, item.workRank, true);
             ++i) {
            auto *victim = m_runs.chooseVictim(isCandidate);
            if (!victim) {
                return false;
            }
            victim->preemptedForOther = true;
            preempt(*victim);
        }
        return m_gate.admits(item.footprint, item.workRank, true);
    }
    /// Whether standard work has more than its minimum share of the batch.
    auto standardExceedsMinShare() const -> bool
    {
        const auto share = m_manifest ? m_manifest->rankOf(rank::standard).leastShare : 0.0;
        return static_cast<double>(m_runs.batchSizeOf(rank::standard))
               > share * static_cast<double>(m_runs.batchSize());
    }
    /// Preempts runs, standard ones first, until the KV cache use is within its limit.
    auto preemptUntilMemoryFits() -> void
    {
        if (!Policy::PREEMPTS) {
            return;
        }
        while (m_gate.exceedsMemory() && m_runs.batchSize() > 1) {
            const auto ofRank = [](rank r) {
                return [r](const generation_run &run) { return run.request.workRank == r; };
            };
            auto *victim = m_runs.chooseVictim(ofRank(rank::standard));
            if (!victim) {
                victim = m_runs.chooseVictim(ofRank(rank::urgent));
            }
            if (!victim) {
                return;
            }
            m_gate.recordPreemption();
            preempt(*victim);
        }
    }
    auto preempt(generation_run &run) -> void
    {
        ++m_counts.preempted;
        m_sink.stopEngineJob(run.serial);
        removeFromEngine(run, false);
        requeue(run);
    }
    auto requeue(generation_run &run) -> void
    {
        run.phase = run_phase::preempted;
        m_queue.pushResumed({.workRank = run.request.workRank,
                             .team = run.request.team,
                             .weight = weightOf(run.request.team),
                             .generation = run.generation,
                             .attempt = run.attempt,
                             .footprint = run.footprint,
                             .waitingSince = m_clock.now(),
                             .deadline = time_us{INT64_MAX},
                             .resumed = true});
    }

    // --- helpers

    auto refuse(std::uint64_t linkId, const generation_id &generation, std::uint32_t attempt,
                failure reason, run_state ran, std::uint32_t retryAfterMs) -> void
    {
        ++m_counts.refused;
        m_sink.toEntry(linkId, refusal_frame{.generation = generation,
                                             .attempt = attempt,
                                             .reason = reason,
                                             .ran = ran,
                                             .retryAfterMs = retryAfterMs});
    }
    auto refuseWaitingBids(failure reason) -> void
    {
        const auto isBid = [](const waiting_generation &item) { return !item.resumed; };
        m_queue.removeIf(isBid, [this, reason](const waiting_generation &item) {
            if (isCurrent(item)) {
                refuse(item.linkId, item.generation, item.attempt, reason, run_state::not_run, 0);
            }
        });
        m_bids.clear();
    }
    auto onTimeout(const timer_key &key) -> void
    {
        if (key.kind == timer_kind::grant) {
            const auto granted = m_grants.find(key.generation);
            if (granted != m_grants.end()) {
                dropGrant(granted);
            }
            return;
        }
        auto *run = m_runs.find(key.generation);
        if (key.kind == timer_kind::retention && run && (run->linkId == 0 || run->finishSent)) {
            endRun(*run);
        }
    }
    auto footprintOf(const bid_frame &bid) const -> generation_footprint
    {
        return {.lengthKeys = lengthKeysOf(bid.model, bid.team, bid.workRank),
                .promptTokens = bid.promptTokens,
                .produced = bid.givenTokens,
                .maxTokens = bid.maxTokens};
    }
    auto weightOf(const std::string &team) const -> std::uint32_t
    {
        const auto *entry = m_manifest ? m_manifest->findTeam(team) : nullptr;
        return entry ? entry->weight : 1;
    }
    auto engineUp() const -> bool { return m_clock.now() >= m_engineDownUntil; }
    auto recordDeparture() -> void
    {
        const auto now = m_clock.now();
        const auto interval = static_cast<double>(now - m_lastDeparture);
        m_lastDeparture = now;
        m_departureIntervalUs += DEPARTURE_SMOOTHING * (interval - m_departureIntervalUs);
    }
    /// Expected wait of a new bid: items ahead of it times the mean interval between departures.
    auto expectedWaitMs(rank r, const std::string &team = {}) const -> std::uint32_t
    {
        auto ahead = static_cast<double>(m_queue.itemsAhead(r, team));
        if (r == rank::standard) {
            ahead += static_cast<double>(m_queue.size(rank::urgent));
        }
        const auto waitMs = ahead * m_departureIntervalUs / US_PER_MS;
        return static_cast<std::uint32_t>(std::min<double>(waitMs, MAX_WAIT_MS));
    }

    engine_core_options m_options;
    Clock m_clock;
    Sink &m_sink;
    manifest_ptr m_manifest;
    admission_gate<Policy> m_gate;
    typename Policy::template queue<waiting_generation> m_queue;
    std::unordered_map<generation_id, bid_key> m_bids;
    grant_map m_grants;
    run_table m_runs;
    timer_queue<timer_key> m_timers;
    engine_load m_load;
    engine_core_counts m_counts;
    std::uint64_t m_lastSerial = 0;
    time_us m_engineDownUntil;
    time_us m_lastDeparture;
    time_us m_lastLoadAt;
    double m_departureIntervalUs = 0.0;
    bool m_leaving = false;
};

} // namespace marjoram
