#pragma once

#include "calls/callledger.h"
#include "calls/callowner.h"
#include "framework/global/identifiers.h"
#include "innerprotocol/frames.h"
#include "limits/waitingqueue.h"
#include "manifest/manifest.h"

#include <algorithm>
#include <unordered_map>
#include <utility>
#include <vector>

namespace marjoram {

/// Options of the decisions beside one plain service.
struct service_core_options
{
    /// Name of the host this process is on, as the manifest has it.
    std::string host;
    std::uint32_t concurrency = 64;
    std::size_t waitingLimit = 1'024;
    call_ledger_options ledger;
};

/// A call to be made now.
struct service_job
{
    std::uint64_t serial = 0;
    call_frame call;
};

/// A question to a former owner of a key.
struct claim_request
{
    std::uint64_t claimId = 0;
    std::string host;
    std::string key;
    std::uint64_t bodyHash = 0;
};

/// Its answer; `reached` is false when the owner could not be asked.
struct claim_reply
{
    std::uint64_t claimId = 0;
    bool reached = false;
    claim_outcome outcome = claim_outcome::unknown;
    call_answer answer;
};

/// Takes the actions of a service_core.
template <typename S>
concept service_core_sink
    = requires(S &sink, std::uint64_t id, frame message, service_job job, claim_request claim)
{
    sink.toEntry(id, std::move(message));
    sink.callService(std::move(job));
    sink.askClaim(std::move(claim));
};

/// Counts kept for metrics.
struct service_core_counts
{
    std::uint64_t run = 0;
    std::uint64_t replayed = 0;
    std::uint64_t refused = 0;
    std::uint64_t claims = 0;
};

/// The decisions beside one plain service: which call runs next, and that a call which may not be
/// repeated runs at most once. Takes events and gives actions to its sink. Not thread safe:
/// belongs to one duty.
template <clock_source Clock, typename Sink>
class service_core
{
public:
    /// Precondition: the sink outlives the core.
    service_core(service_core_options options, Clock clock, Sink &sink)
        : m_options(std::move(options))
        , m_clock(clock)
        , m_sink(sink)
        , m_ledger(m_options.ledger, m_clock.unixMs())
    {
        static_assert(service_core_sink<Sink>);
    }

    // --- events

    auto onCall(std::uint64_t linkId, call_frame call) -> void
    {
        const caller_ref from{.linkId = linkId, .callId = call.callId};
        const auto *service = m_manifest ? m_manifest->findService(call.service) : nullptr;
        if (!service) {
            refuse(from, m_manifest ? failure::unknown_service : failure::no_manifest,
                   run_state::not_run);
            return;
        }
        if (service->idempotent) {
            takeRepeatable(from, std::move(call));
            return;
        }
        takeKeyed(from, *service, std::move(call));
    }
    /// `ran` is not_run only when no byte of the call reached the service.
    auto onServiceFailed(std::uint64_t serial, run_state ran) -> void
    {
        const auto found = m_running.find(serial);
        if (found == m_running.end()) {
            return;
        }
        const auto key = found->second.call.key;
        if (!key.empty()) {
            m_ledger.abandon(key, ran);
        }
        const auto reason = ran == run_state::not_run ? failure::backend_server_lost
                                                      : failure::backend_server_failed;
        answerAll(found->second, {.reason = reason, .ran = ran});
        m_running.erase(found);
        runWaiting();
    }
    auto onServiceAnswered(std::uint64_t serial, call_answer answer) -> void
    {
        const auto found = m_running.find(serial);
        if (found == m_running.end()) {
            return;
        }
        const auto key = found->second.call.key;
        answerAll(found->second, resultOf(answer));
        if (!key.empty()) {
            m_ledger.complete(key, std::move(answer));
        }
        m_running.erase(found);
        runWaiting();
    }
    auto onClaimReply(claim_reply reply) -> void
    {
        const auto found = m_claiming.find(reply.claimId);
        if (found == m_claiming.end()) {
            return;
        }
        auto &pending = found->second;
        if (!reply.reached) {
            failClaim(found, failure::owner_unreachable);
            return;
        }
        if (reply.outcome == claim_outcome::completed) {
            answerAll(pending, resultOf(reply.answer));
            m_ledger.complete(pending.call.key, std::move(reply.answer));
            m_claiming.erase(found);
            return;
        }
        if (reply.outcome != claim_outcome::never_ran) {
            failClaim(found, reply.outcome == claim_outcome::other_body ? failure::key_body_mismatch
                                                                        : failure::owner_amnesia);
            return;
        }
        if (--pending.claimsLeft > 0) {
            return;
        }
        auto ready = std::move(pending);
        m_claiming.erase(found);
        enqueue(std::move(ready));
    }
    /// A new owner asks what became of a key here. Fills `answer` when it completed.
    auto onClaim(const std::string &key, std::uint64_t bodyHash, call_answer &answer)
        -> claim_outcome
    {
        const auto outcome = m_ledger.claim(key, bodyHash, m_clock.unixMs());
        if (outcome == claim_outcome::completed) {
            answer = *m_ledger.answerOf(key);
        }
        return outcome;
    }
    auto onManifest(manifest_ptr current) -> void
    {
        m_manifest = std::move(current);
        m_queue.setMinShares({m_manifest->rankOf(rank::urgent).leastShare,
                              m_manifest->rankOf(rank::standard).leastShare});
    }
    /// Takes no new call from now on; keys not yet run here are sealed. Idempotent.
    auto leave() -> void { m_leaving = true; }
    auto drained() const -> bool
    {
        return m_running.empty() && m_claiming.empty() && m_queue.size() == 0;
    }

    auto report() const -> load_report_frame
    {
        return {.leaving = m_leaving,
                .running = static_cast<std::uint32_t>(m_running.size()),
                .waitingUrgent = static_cast<std::uint32_t>(m_queue.size(rank::urgent)),
                .waitingStandard = static_cast<std::uint32_t>(m_queue.size(rank::standard)),
                .manifestVersion = m_manifest ? m_manifest->version : 0};
    }
    auto counts() const -> const service_core_counts & { return m_counts; }
    auto leaving() const -> bool { return m_leaving; }

private:
    struct caller_ref
    {
        std::uint64_t linkId = 0;
        std::uint64_t callId = 0;
    };
    struct pending_call
    {
        rank workRank = rank::urgent;
        std::string team;
        std::uint32_t weight = 1;
        call_frame call;
        std::vector<caller_ref> callers;
        std::size_t claimsLeft = 0;
        time_us deadline;
    };

    auto takeRepeatable(const caller_ref &from, call_frame call) -> void
    {
        if (m_leaving) {
            refuse(from, failure::draining, run_state::not_run);
            return;
        }
        call.key.clear();
        admit(from, std::move(call), 0);
    }
    auto takeKeyed(const caller_ref &from, const service_entry &service, call_frame call) -> void
    {
        if (!owns(service, call)) {
            refuse(from, failure::wrong_owner, run_state::unknown);
            return;
        }
        const auto hash = stableHash(call.body, stableHash(call.method + call.path));
        const auto former = formerOwnersOf(service, call.key, m_options.host);
        if (m_leaving) {
            takeWhileLeaving(from, call, hash, former);
            return;
        }
        const auto decision = m_ledger.begin(call.key, hash, m_clock.unixMs());
        if (decision.verdict == call_verdict::run) {
            claimFrom(from, std::move(call), hash, former);
            return;
        }
        answerKnown(from, call, decision, former);
    }
    /// Known keys are still answered; a key that never ran here is sealed for the next owner.
    auto takeWhileLeaving(const caller_ref &from, const call_frame &call, std::uint64_t hash,
                          const std::vector<std::string> &former) -> void
    {
        // A key sealed before may have run at whoever asked for the seal.
        const auto ran = m_ledger.sealed(call.key) ? run_state::unknown : notRunUnless(former);
        if (m_ledger.claim(call.key, hash, m_clock.unixMs()) == claim_outcome::never_ran) {
            refuse(from, failure::draining, ran);
            return;
        }
        answerKnown(from, call, m_ledger.begin(call.key, hash, m_clock.unixMs()), former);
    }
    /// That a key did not run here says nothing of an earlier owner that was not asked.
    static auto notRunUnless(const std::vector<std::string> &former) -> run_state
    {
        return former.empty() ? run_state::not_run : run_state::unknown;
    }
    auto answerKnown(const caller_ref &from, const call_frame &call, const call_decision &decision,
                     const std::vector<std::string> &former) -> void
    {
        if (decision.verdict == call_verdict::replay) {
            ++m_counts.replayed;
            answer(from, resultOf(*decision.answer));
            return;
        }
        if (decision.reason == failure::key_in_flight && join(from, call.key)) {
            return;
        }
        const auto ran = decision.ran == run_state::not_run ? notRunUnless(former) : decision.ran;
        refuse(from, decision.reason, ran);
    }
    /// Lets a retry wait for the answer of the attempt in flight.
    auto join(const caller_ref &from, const std::string &key) -> bool
    {
        for (auto *group : {&m_running, &m_claiming}) {
            for (auto &[id, pending] : *group) {
                if (pending.call.key == key) {
                    pending.callers.push_back(from);
                    return true;
                }
            }
        }
        return false;
    }
    /// Whether this host is the first owner of the key that has not sealed it.
    auto owns(const service_entry &service, const call_frame &call) const -> bool
    {
        for (const auto &owner : ownersOf(service.placements.front(), call.key)) {
            if (owner == m_options.host) {
                return true;
            }
            const auto &sealed = call.sealedBy;
            if (std::find(sealed.begin(), sealed.end(), owner) == sealed.end()) {
                return false;
            }
        }
        return false;
    }
    auto claimFrom(const caller_ref &from, call_frame call, std::uint64_t hash,
                   std::vector<std::string> former) -> void
    {
        std::erase_if(former, [&call](const std::string &host) {
            return std::find(call.sealedBy.begin(), call.sealedBy.end(), host)
                   != call.sealedBy.end();
        });
        if (former.empty()) {
            admit(from, std::move(call), 0);
            return;
        }
        const auto claimId = ++m_lastSerial;
        const auto key = call.key;
        auto pending = pendingOf(from, std::move(call));
        pending.claimsLeft = former.size();
        m_claiming.emplace(claimId, std::move(pending));
        for (auto &host : former) {
            ++m_counts.claims;
            m_sink.askClaim({.claimId = claimId, .host = host, .key = key, .bodyHash = hash});
        }
    }
    auto failClaim(typename std::unordered_map<std::uint64_t, pending_call>::iterator found,
                   failure reason) -> void
    {
        m_ledger.abandon(found->second.call.key, run_state::not_run);
        answerAll(found->second, {.reason = reason, .ran = run_state::unknown});
        m_claiming.erase(found);
    }
    auto admit(const caller_ref &from, call_frame call, std::size_t claims) -> void
    {
        auto pending = pendingOf(from, std::move(call));
        pending.claimsLeft = claims;
        enqueue(std::move(pending));
    }
    auto pendingOf(const caller_ref &from, call_frame call) const -> pending_call
    {
        const auto *service = m_manifest->findService(call.service);
        const auto *team = m_manifest->findTeam(call.team);
        pending_call pending{.workRank = service ? service->workRank : rank::standard,
                             .team = call.team,
                             .weight = team ? team->weight : 1,
                             .callers = {from},
                             .deadline = m_clock.now() + call.deadlineMs * US_PER_MS};
        pending.call = std::move(call);
        return pending;
    }
    auto enqueue(pending_call pending) -> void
    {
        if (m_queue.size() >= m_options.waitingLimit) {
            dropUnrun(pending, failure::overloaded);
            return;
        }
        m_queue.push(std::move(pending));
        runWaiting();
    }
    auto runWaiting() -> void
    {
        while (m_running.size() < m_options.concurrency) {
            const auto turn = m_queue.nextRank();
            if (!turn) {
                return;
            }
            auto next = m_queue.pop(*turn);
            m_queue.charge(*turn, next.team, 1.0);
            // The deadline may have passed while the call waited or the process slept.
            if (next.deadline <= m_clock.now()) {
                dropUnrun(next, failure::deadline_exceeded);
                continue;
            }
            const auto serial = ++m_lastSerial;
            ++m_counts.run;
            m_sink.callService({.serial = serial, .call = next.call});
            m_running.emplace(serial, std::move(next));
        }
    }
    auto dropUnrun(const pending_call &pending, failure reason) -> void
    {
        if (!pending.call.key.empty()) {
            m_ledger.abandon(pending.call.key, run_state::not_run);
        }
        answerAll(pending, {.reason = reason, .ran = run_state::not_run});
    }
    static auto resultOf(const call_answer &answer) -> call_result_frame
    {
        return {.ran = run_state::completed,
                .status = answer.status,
                .contentType = answer.contentType,
                .body = answer.body};
    }
    auto answerAll(const pending_call &pending, const call_result_frame &result) -> void
    {
        for (const auto &caller : pending.callers) {
            answer(caller, result);
        }
    }
    auto answer(const caller_ref &to, call_result_frame result) -> void
    {
        result.callId = to.callId;
        m_sink.toEntry(to.linkId, std::move(result));
    }
    auto refuse(const caller_ref &to, failure reason, run_state ran) -> void
    {
        ++m_counts.refused;
        answer(to, {.reason = reason, .ran = ran});
    }

    service_core_options m_options;
    Clock m_clock;
    Sink &m_sink;
    manifest_ptr m_manifest;
    call_ledger m_ledger;
    fair_queue<pending_call> m_queue;
    std::unordered_map<std::uint64_t, pending_call> m_running;
    std::unordered_map<std::uint64_t, pending_call> m_claiming;
    service_core_counts m_counts;
    std::uint64_t m_lastSerial = 0;
    bool m_leaving = false;
};

} // namespace marjoram
