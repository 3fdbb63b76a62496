#pragma once

#include "calls/callowner.h"
#include "calls/idempotencykey.h"
#include "dispatching/generationdispatcher.h"

namespace marjoram {

/// Options of call_dispatcher.
struct call_dispatcher_options
{
    /// Delay before a call is sent again when its host is unreachable or rejected it for now.
    std::int64_t resendDelayUs = 100 * US_PER_MS;
    std::size_t callLimit = 10'000;
    retry_budget_options retries;
};

/// Routes and retries an entry's calls to plain services. A repeatable call goes to any usable host
/// of its service and is retried on other hosts within the retry budget. A call that isn't
/// repeatable goes only to the owner of its idempotency key, whose ledger deduplicates resends.
/// Not thread safe: belongs to one duty.
template <clock_source Clock, typename Sink>
class call_dispatcher
{
public:
    /// Precondition: directory and sink outlive the dispatcher.
    call_dispatcher(call_dispatcher_options options, Clock clock, std::uint64_t seed,
                    agent_directory &directory, Sink &sink)
        : m_options(options)
        , m_clock(clock)
        , m_random(seed)
        , m_directory(directory)
        , m_sink(sink)
        , m_retries(options.retries)
    {
        static_assert(dispatcher_sink<Sink>);
    }

    auto onOpen(open_call open) -> void
    {
        const auto reason = validate(open);
        if (reason != failure::none) {
            fail(open.callerId, reason, run_state::not_run);
            return;
        }
        const auto *service = m_manifest->findService(open.service);
        const auto *team = *resolveCall(*m_manifest, open);
        m_retries.recordFirstAttempt();
        call_state call{.callerId = open.callerId,
                        .repeatable = service->idempotent,
                        .keyFromCaller = !open.key.empty(),
                        .deadline = m_clock.now() + service->timeoutMs * US_PER_MS};
        call.frame = {.callId = ++m_lastCallId,
                      .service = open.service,
                      .team = team->name,
                      .method = open.method,
                      .path = open.path,
                      .contentType = open.contentType,
                      .key = open.key,
                      .body = std::move(open.body),
                      .trace = open.trace};
        if (!call.repeatable && call.frame.key.empty()) {
            call.frame.key = generateKey(m_clock.unixMs(), m_random);
        }
        const auto id = call.frame.callId;
        m_timers.set({timer_kind::deadline, id}, call.deadline);
        m_callIdByCaller.emplace(open.callerId, id);
        send(m_calls.emplace(id, std::move(call)).first->second);
    }
    /// Forgets the caller's call. A call already sent still runs; its key keeps the answer.
    auto onCallerLeft(std::uint64_t callerId) -> void
    {
        const auto caller = m_callIdByCaller.find(callerId);
        if (caller != m_callIdByCaller.end()) {
            close(m_calls.at(caller->second));
        }
    }
    auto onResult(const std::string &host, call_result_frame result) -> void
    {
        const auto found = m_calls.find(result.callId);
        if (found == m_calls.end() || found->second.host != host) {
            return;
        }
        auto &call = found->second;
        if (result.reason == failure::none) {
            m_directory.recordSuccess(host);
            m_sink.toCaller(deliver_answer{.callerId = call.callerId,
                                           .status = result.status,
                                           .contentType = std::move(result.contentType),
                                           .body = std::move(result.body),
                                           .key = call.frame.key});
            close(call);
            return;
        }
        call.lastReason = result.reason;
        call.lastRan = result.ran;
        call.repeatable ? onRepeatableCallFailed(call, host) : onKeyedCallFailed(call, host);
    }
    auto onLinkUp(const std::string &host) -> void { resendTo(host); }
    auto onLinkDown(const std::string &host) -> void
    {
        std::vector<std::uint64_t> affected;
        for (const auto &[id, call] : m_calls) {
            if (call.host == host && call.sent) {
                affected.push_back(id);
            }
        }
        for (const auto id : affected) {
            auto &call = m_calls.at(id);
            call.lastReason = failure::backend_server_lost;
            call.lastRan = run_state::unknown;
            call.mayHaveRun = true;
            call.sent = false;
            if (call.repeatable) {
                onRepeatableCallFailed(call, host);
            }
        }
    }
    auto onManifest(manifest_ptr current) -> void { m_manifest = std::move(current); }
    /// Rejects all further calls. Idempotent.
    auto drain() -> void { m_draining = true; }
    auto drained() const -> bool { return m_calls.empty(); }
    auto calls() const -> std::size_t { return m_calls.size(); }

    auto nextTimer() const -> std::optional<time_us> { return m_timers.next(); }
    auto onTimer() -> void
    {
        while (const auto key = m_timers.popDue(m_clock.now())) {
            const auto found = m_calls.find(key->callId);
            if (found == m_calls.end()) {
                continue;
            }
            if (key->kind == timer_kind::deadline) {
                onDeadline(found->second);
            } else {
                send(found->second);
            }
        }
    }

private:
    enum class timer_kind { resend, deadline };
    struct timer_key
    {
        timer_kind kind;
        std::uint64_t callId;
        friend auto operator<=>(const timer_key &, const timer_key &)
            -> std::strong_ordering = default;
    };
    struct call_state
    {
        std::uint64_t callerId = 0;
        call_frame frame;
        bool repeatable = false;
        bool keyFromCaller = false;
        std::string host;
        bool sent = false;
        /// An earlier send of this call may have run.
        bool mayHaveRun = false;
        std::vector<std::string> failedHosts;
        failure lastReason = failure::no_backend_server;
        run_state lastRan = run_state::not_run;
        time_us deadline;
    };

    auto validate(const open_call &open) const -> failure
    {
        if (!m_manifest) {
            return failure::no_manifest;
        }
        if (m_draining) {
            return failure::draining;
        }
        const auto team = resolveCall(*m_manifest, open);
        if (!team) {
            return static_cast<failure>(team.error().value());
        }
        if (m_calls.size() >= m_options.callLimit) {
            return failure::overloaded;
        }
        const auto *service = m_manifest->findService(open.service);
        if (!service->idempotent && !open.key.empty() && !keyCreatedAtMs(open.key)) {
            return failure::key_malformed;
        }
        return failure::none;
    }
    auto send(call_state &call) -> void
    {
        call.sent = false;
        const auto *service = m_manifest->findService(call.frame.service);
        if (!service) {
            failCall(call, failure::unknown_service, runStateOf(call));
            return;
        }
        call.host = call.repeatable ? chooseHost(*service, call) : ownerFor(*service, call);
        const auto *view = m_directory.find(call.host);
        if (call.host.empty() || !view || !view->connected) {
            scheduleResend(call);
            return;
        }
        call.sent = true;
        const auto remaining = std::max<std::int64_t>(0, call.deadline - m_clock.now());
        call.frame.deadlineMs = static_cast<std::uint32_t>(remaining / US_PER_MS);
        m_directory.recordSent(call.host, 0);
        m_sink.toAgent(call.host, call.frame);
    }
    auto scheduleResend(call_state &call) -> void
    {
        m_timers.set({timer_kind::resend, call.frame.callId},
                     m_clock.now() + m_options.resendDelayUs);
    }
    /// Picks two random usable hosts that haven't failed this call and returns the less loaded one.
    auto chooseHost(const service_entry &service, const call_state &call) -> std::string
    {
        std::vector<const agent_view *> candidates;
        for (const auto &host : service.placements.front()) {
            const auto *view = m_directory.find(host);
            const auto &failed = call.failedHosts;
            if (view && m_directory.usable(*view, m_clock.now())
                && std::find(failed.begin(), failed.end(), host) == failed.end()) {
                candidates.push_back(view);
            }
        }
        if (candidates.empty()) {
            return {};
        }
        const auto *a = candidates[m_random() % candidates.size()];
        const auto *b = candidates[m_random() % candidates.size()];
        const auto load = [](const agent_view *view) {
            return view->report.running + view->report.waitingUrgent + view->sentSinceReport;
        };
        return load(a) <= load(b) ? a->host : b->host;
    }
    /// Returns the first owner of the key that hasn't sealed it.
    static auto ownerFor(const service_entry &service, const call_state &call) -> std::string
    {
        for (const auto &owner : ownersOf(service.placements.front(), call.frame.key)) {
            const auto &sealed = call.frame.sealedBy;
            if (std::find(sealed.begin(), sealed.end(), owner) == sealed.end()) {
                return owner;
            }
        }
        return {};
    }
    auto onRepeatableCallFailed(call_state &call, const std::string &host) -> void
    {
        m_directory.recordFailure(host, m_clock.now());
        call.failedHosts.push_back(host);
        if (!m_retries.tryAcquire()) {
            failCall(call, call.lastReason, call.lastRan);
            return;
        }
        send(call);
    }
    auto onKeyedCallFailed(call_state &call, const std::string &host) -> void
    {
        if (call.lastReason == failure::draining) {
            call.mayHaveRun = call.mayHaveRun || call.lastRan == run_state::unknown;
            call.frame.sealedBy.push_back(host);
            send(call);
            return;
        }
        // The owner and this entry have different manifest versions for the moment.
        const auto transient
            = call.lastReason == failure::wrong_owner || call.lastReason == failure::no_manifest;
        if (transient) {
            call.lastRan = run_state::not_run;
            scheduleResend(call);
            return;
        }
        failCall(call, call.lastReason, call.mayHaveRun ? run_state::unknown : call.lastRan);
    }
    auto resendTo(const std::string &host) -> void
    {
        std::vector<std::uint64_t> waiting;
        for (const auto &[id, call] : m_calls) {
            if (call.host == host && !call.sent) {
                waiting.push_back(id);
            }
        }
        for (const auto id : waiting) {
            send(m_calls.at(id));
        }
    }
    auto onDeadline(call_state &call) -> void
    {
        if (call.sent) {
            failCall(call, failure::deadline_exceeded, run_state::unknown);
            return;
        }
        const auto reason = call.repeatable || call.host.empty() ? failure::no_backend_server
                                                                 : failure::owner_unreachable;
        failCall(call, reason, runStateOf(call));
    }
    /// Run state to report for a call without an answer. With a key supplied by the caller, the
    /// call may also have run through another entry.
    static auto runStateOf(const call_state &call) -> run_state
    {
        const auto unknown = call.mayHaveRun || (!call.repeatable && call.keyFromCaller);
        return unknown ? run_state::unknown : run_state::not_run;
    }
    auto failCall(call_state &call, failure reason, run_state ran) -> void
    {
        const auto callerId = call.callerId;
        close(call);
        fail(callerId, reason, ran);
    }
    auto fail(std::uint64_t callerId, failure reason, run_state ran) -> void
    {
        constexpr std::uint32_t RETRY_AFTER_MS = 1'000;
        m_sink.toCaller(deliver_failure{
            .callerId = callerId, .reason = reason, .ran = ran, .retryAfterMs = RETRY_AFTER_MS});
    }
    auto close(call_state &call) -> void
    {
        const auto id = call.frame.callId;
        m_timers.cancel({timer_kind::resend, id});
        m_timers.cancel({timer_kind::deadline, id});
        m_callIdByCaller.erase(call.callerId);
        m_calls.erase(id);
    }

    call_dispatcher_options m_options;
    Clock m_clock;
    random_source m_random;
    agent_directory &m_directory;
    Sink &m_sink;
    manifest_ptr m_manifest;
    std::unordered_map<std::uint64_t, call_state> m_calls;
    std::unordered_map<std::uint64_t, std::uint64_t> m_callIdByCaller;
    timer_queue<timer_key> m_timers;
    retry_budget m_retries;
    std::uint64_t m_lastCallId = 0;
    bool m_draining = false;
};

} // namespace marjoram
