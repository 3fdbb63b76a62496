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

struct service_core_options
{
    /// Name of this process's host in the manifest.
    std::string host;
    std::uint32_t concurrency = 64;
    std::size_t waitingLimit = 1'024;
    call_ledger_options ledger;
};

/// A call to send to the service now.
struct service_job
{
    std::uint64_t serial = 0;
    call_frame call;
};

/// Asks a former owner of a key whether it ran the key.
struct claim_request
{
    std::uint64_t claimId = 0;
    std::string host;
    std::string key;
    std::uint64_t bodyHash = 0;
};

/// Answer to a claim_request. `reached` is false when the former owner could not be asked.
struct claim_reply
{
    std::uint64_t claimId = 0;
    bool reached = false;
    claim_outcome outcome = claim_outcome::unknown;
    call_answer answer;
};

/// Carries out the decisions of a service_core.
template <typename S>
concept service_core_sink
    = requires(S &sink, std::uint64_t id, frame message, service_job job, claim_request claim)
{
    sink.toEntry(id, std::move(message));
    sink.callService(std::move(job));
    sink.sendClaim(std::move(claim));
};

/// Counters for metrics.
struct service_core_counts
{
    std::uint64_t run = 0;
    std::uint64_t replayed = 0;
    std::uint64_t refused = 0;
    std::uint64_t claims = 0;
};

/// Schedules the calls to the service on this host and makes sure that a non-idempotent call runs
/// at most once. The owner of a key first claims it from the key's former owners, which then
/// promise never to run it. Takes events and passes its decisions to the sink. Not thread safe:
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
            handleIdempotent(from, std::move(call));
            return;
        }
        handleKeyed(from, *service, std::move(call));
    }
    /// `ran` may be not_run only if no byte of the call reached the service.
    auto onServiceFailed(std::uint64_t serial, run_state ran) -> void
    {
        const auto found = m_running.find(serial);
        if (found == m_running.end()) {
            return;
        }
        const auto key = found->second.call.key;
        if (!key.empty()) {
            m_ledger.fail(key, ran);
        }
        const auto reason = ran == run_state::not_run ? failure::backend_server_lost
                                                      : failure::backend_server_failed;
        answerAll(found->second, {.reason = reason, .ran = ran});
        m_running.erase(found);
        startWaitingCalls();
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
        startWaitingCalls();
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
    /// Handles the claim of a key's new owner. Fills `answer` if the call completed here.
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
    /// Accepts no new calls from now on and seals keys that have not run here. Idempotent.
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

    auto handleIdempotent(const caller_ref &from, call_frame call) -> void
    {
        if (m_leaving) {
            refuse(from, failure::draining, run_state::not_run);
            return;
        }
        call.key.clear();
        admit(from, std::move(call), 0);
    }
    auto handleKeyed(const caller_ref &from, const service_entry &service, call_frame call) -> void
    {
        if (!isOwner(service, call)) {
            refuse(from, failure::wrong_owner, run_state::unknown);
            return;
        }
        const auto hash = stableHash(call.body, stableHash(call.method + call.path));
        const auto formerOwners = formerOwnersOf(service, call.key, m_options.host);
        if (m_leaving) {
            handleWhileLeaving(from, call, hash, formerOwners);
            return;
        }
        const auto decision = m_ledger.begin(call.key, hash, m_clock.unixMs());
        if (decision.action == call_action::run) {
            claimFromFormerOwners(from, std::move(call), hash, formerOwners);
            return;
        }
        answerKnownKey(from, call, decision, formerOwners);
    }
    /// Answers known keys. A key that never ran here is sealed, so that the next owner may run it.
    auto handleWhileLeaving(const caller_ref &from, const call_frame &call, std::uint64_t hash,
                            const std::vector<std::string> &formerOwners) -> void
    {
        // If the key was sealed already, the owner that claimed it may have run it.
        const auto ran
            = m_ledger.isSealed(call.key) ? run_state::unknown : stateIfNotRunHere(formerOwners);
        if (m_ledger.claim(call.key, hash, m_clock.unixMs()) == claim_outcome::never_ran) {
            refuse(from, failure::draining, ran);
            return;
        }
        answerKnownKey(from, call, m_ledger.begin(call.key, hash, m_clock.unixMs()), formerOwners);
    }
    /// Run state of a key that did not run here: a former owner, which was not asked, may have run
    /// it.
    static auto stateIfNotRunHere(const std::vector<std::string> &formerOwners) -> run_state
    {
        return formerOwners.empty() ? run_state::not_run : run_state::unknown;
    }
    auto answerKnownKey(const caller_ref &from, const call_frame &call,
                        const call_decision &decision, const std::vector<std::string> &formerOwners)
        -> void
    {
        if (decision.action == call_action::replay) {
            ++m_counts.replayed;
            answer(from, resultOf(*decision.answer));
            return;
        }
        if (decision.reason == failure::key_in_flight && joinInFlight(from, call.key)) {
            return;
        }
        const auto ran
            = decision.ran == run_state::not_run ? stateIfNotRunHere(formerOwners) : decision.ran;
        refuse(from, decision.reason, ran);
    }
    /// Adds a retry to the callers that wait for the attempt in flight.
    auto joinInFlight(const caller_ref &from, const std::string &key) -> bool
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
    /// Whether this host is the key's first owner, leaving out owners that have sealed the key.
    auto isOwner(const service_entry &service, const call_frame &call) const -> bool
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
    auto claimFromFormerOwners(const caller_ref &from, call_frame call, std::uint64_t hash,
                               std::vector<std::string> formerOwners) -> void
    {
        std::erase_if(formerOwners, [&call](const std::string &host) {
            return std::find(call.sealedBy.begin(), call.sealedBy.end(), host)
                   != call.sealedBy.end();
        });
        if (formerOwners.empty()) {
            admit(from, std::move(call), 0);
            return;
        }
        const auto claimId = ++m_lastId;
        const auto key = call.key;
        auto pending = makePendingCall(from, std::move(call));
        pending.claimsLeft = formerOwners.size();
        m_claiming.emplace(claimId, std::move(pending));
        for (auto &host : formerOwners) {
            ++m_counts.claims;
            m_sink.sendClaim({.claimId = claimId, .host = host, .key = key, .bodyHash = hash});
        }
    }
    auto failClaim(typename std::unordered_map<std::uint64_t, pending_call>::iterator found,
                   failure reason) -> void
    {
        m_ledger.fail(found->second.call.key, run_state::not_run);
        answerAll(found->second, {.reason = reason, .ran = run_state::unknown});
        m_claiming.erase(found);
    }
    auto admit(const caller_ref &from, call_frame call, std::size_t claims) -> void
    {
        auto pending = makePendingCall(from, std::move(call));
        pending.claimsLeft = claims;
        enqueue(std::move(pending));
    }
    auto makePendingCall(const caller_ref &from, call_frame call) const -> pending_call
    {
        const auto *service = m_manifest->findService(call.service);
        const auto *team = m_manifest->findTeam(call.team);
        pending_call pending{.workRank = service ? service->workRank : rank::standard,
                             .team = call.team,
                             .weight = team ? team->weight : 1,
                             .callers = {from},
                             .deadline = m_clock.now() + toUs(call.deadlineMs)};
        pending.call = std::move(call);
        return pending;
    }
    auto enqueue(pending_call pending) -> void
    {
        if (m_queue.size() >= m_options.waitingLimit) {
            failWithoutRunning(pending, failure::overloaded);
            return;
        }
        m_queue.push(std::move(pending));
        startWaitingCalls();
    }
    auto startWaitingCalls() -> void
    {
        while (m_running.size() < m_options.concurrency) {
            const auto turn = m_queue.nextRank();
            if (!turn) {
                return;
            }
            auto next = m_queue.pop(*turn);
            m_queue.charge(*turn, next.team, 1.0);
            // The deadline may have passed while the call waited or the process was suspended.
            if (next.deadline <= m_clock.now()) {
                failWithoutRunning(next, failure::deadline_exceeded);
                continue;
            }
            const auto serial = ++m_lastId;
            ++m_counts.run;
            m_sink.callService({.serial = serial, .call = next.call});
            m_running.emplace(serial, std::move(next));
        }
    }
    auto failWithoutRunning(const pending_call &pending, failure reason) -> void
    {
        if (!pending.call.key.empty()) {
            m_ledger.fail(pending.call.key, run_state::not_run);
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
    std::uint64_t m_lastId = 0;
    bool m_leaving = false;
};

} // namespace marjoram
