#pragma once

#include "dispatching/resolver.h"
#include "dispatching/streamstate.h"
#include "framework/global/timerqueue.h"
#include "limits/retrybudget.h"
#include "quarantine/crashevidence.h"
#include "routing/agentdirectory.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace marjoram {

/// Options of generation_dispatcher.
struct generation_dispatcher_options
{
    std::string dataCentre;
    /// Initial credit of a stream: tokens that may be in flight to a caller.
    std::uint32_t windowTokens = 256;
    /// Time to wait for a lost link to an agent before its generations continue on other agents.
    std::int64_t reconnectTimeoutUs = 1 * US_PER_SECOND;
    /// Time without a grant before further agents are bid at; doubles each round.
    std::int64_t extraBidDelayUs = 30 * US_PER_MS;
    /// Delay before bidding again when no agent could take a generation.
    std::int64_t rebidDelayUs = 100 * US_PER_MS;
    std::size_t streamLimit = 20'000;
    retry_budget_options retries;
    crash_evidence_options evidence;
    /// Tokens after which an attempt has survived its start. One that is lost later is not blamed
    /// for the loss of its engine.
    std::uint64_t tokensToSurvive = 16;
};

/// Receives the actions of the dispatchers.
template <typename S>
concept dispatcher_sink
    = requires(S &sink, const std::string &host, frame message, caller_action action)
{
    sink.toAgent(host, std::move(message));
    sink.toCaller(std::move(action));
};

/// Counters for metrics.
struct generation_dispatcher_counts
{
    std::uint64_t opened = 0;
    std::uint64_t finished = 0;
    std::uint64_t failed = 0;
    std::uint64_t continued = 0;
    std::uint64_t superseded = 0;
    std::uint64_t staleTokens = 0;
    std::uint64_t bids = 0;
    std::uint64_t quarantined = 0;
};

/// Routes an entry's generations: checks requests, bids at agents, filters the tokens that enter a
/// caller's stream, and continues an answer on another agent when its engine is lost. Takes events
/// and passes actions to its sink. Not thread safe: belongs to one duty.
template <routing_policy Policy, clock_source Clock, typename Sink>
class generation_dispatcher
{
public:
    /// Precondition: directory and sink outlive the dispatcher.
    generation_dispatcher(generation_dispatcher_options options, Clock clock, std::uint64_t seed,
                          agent_directory &directory, Sink &sink)
        : m_options(std::move(options))
        , m_clock(clock)
        , m_random(seed)
        , m_directory(directory)
        , m_sink(sink)
        , m_retries(m_options.retries)
        , m_evidence(m_options.evidence)
    {
        static_assert(dispatcher_sink<Sink>);
    }

    // --- callers

    auto onOpen(open_generation open) -> void
    {
        ++m_counts.opened;
        if (!m_manifest || m_draining) {
            reject(open.callerId, m_manifest ? failure::draining : failure::no_manifest);
            return;
        }
        auto resolved = resolveGeneration(*m_manifest, open);
        if (!resolved) {
            reject(open.callerId, static_cast<failure>(resolved.error().value()));
            return;
        }
        const auto *team = m_manifest->findTeam(resolved->team);
        const auto waiting = m_waitingByTeam.find(resolved->team);
        const auto teamWaiting = waiting == m_waitingByTeam.end() ? 0 : waiting->second;
        if (m_streams.size() >= m_options.streamLimit || teamWaiting >= team->maxWaiting) {
            reject(open.callerId, failure::overloaded);
            return;
        }
        const auto until = open.resumeAfter ? std::nullopt : quarantinedUntil(traitsOf(*resolved));
        if (until) {
            ++m_counts.quarantined;
            reject(open.callerId, failure::quarantined, msUntil(*until));
            return;
        }
        m_retries.recordFirstAttempt();
        auto &stream = openStream(open, std::move(*resolved));
        countAsWaiting(stream);
        if (open.resumeAfter) {
            beginAttach(stream, open.resumeAfter->host);
            return;
        }
        placeBids(stream);
    }
    auto onCallerLeft(std::uint64_t callerId) -> void
    {
        const auto caller = m_generationByCaller.find(callerId);
        if (caller == m_generationByCaller.end()) {
            return;
        }
        auto &stream = m_streams.at(caller->second);
        withdrawAll(stream);
        if (stream.phase == stream_phase::running || stream.phase == stream_phase::attaching) {
            m_sink.toAgent(stream.host, cancel_frame{.generation = stream.generation,
                                                     .attempt = stream.sequencer.attempt(),
                                                     .keep = stream.reattachable});
        }
        close(stream);
    }
    auto onCredit(const caller_credit &credit) -> void
    {
        const auto caller = m_generationByCaller.find(credit.callerId);
        if (caller == m_generationByCaller.end()) {
            return;
        }
        auto &stream = m_streams.at(caller->second);
        stream.credit += credit.tokens;
        if (stream.phase == stream_phase::running) {
            m_sink.toAgent(stream.host,
                           credit_frame{.generation = stream.generation, .tokens = credit.tokens});
        }
    }

    // --- agents

    auto onGrant(const std::string &host, const grant_frame &grant) -> void
    {
        auto *stream = find(grant.generation);
        if (stream && stream->host == host) {
            onAttached(*stream, grant);
            return;
        }
        if (!stream || stream->phase != stream_phase::bidding
            || grant.attempt != stream->sequencer.attempt() || !removeBid(*stream, host)) {
            // The grant came too late, or it answers an attach whose caller has disconnected.
            m_sink.toAgent(
                host, withdraw_frame{.generation = grant.generation, .attempt = grant.attempt});
            m_sink.toAgent(host, cancel_frame{.generation = grant.generation,
                                              .attempt = grant.attempt,
                                              .keep = true});
            return;
        }
        start(*stream, host);
    }
    auto onRefusal(const std::string &host, const refusal_frame &refusal) -> void
    {
        auto *stream = find(refusal.generation);
        if (!stream) {
            return;
        }
        if (stream->phase == stream_phase::attaching && stream->host == host
            && refusal.attempt == 0) {
            attachNext(*stream);
            return;
        }
        if (refusal.attempt != stream->sequencer.attempt()) {
            return;
        }
        if (stream->phase == stream_phase::bidding && removeBid(*stream, host)) {
            onBidRefused(*stream, host, refusal);
            return;
        }
        if (stream->phase != stream_phase::running || stream->host != host) {
            return;
        }
        if (refusal.reason == failure::superseded) {
            ++m_counts.superseded;
            fail(*stream, failure::superseded, run_state::unknown, 0);
            return;
        }
        if (refusal.reason == failure::backend_server_lost) {
            m_directory.recordFailure(host, m_clock.now());
            recordLostRun(*stream, host);
        }
        startNewAttempt(*stream);
    }
    auto onTokens(const std::string &host, tokens_frame batch) -> void
    {
        auto *stream = find(batch.generation);
        if (!stream || stream->phase != stream_phase::running || stream->host != host) {
            ++m_counts.staleTokens;
            return;
        }
        const auto outcome = stream->sequencer.accept(batch.attempt, batch.position, batch.tokens);
        if (outcome == sequence_outcome::gap) {
            reattach(*stream);
            return;
        }
        if (outcome != sequence_outcome::delivered) {
            ++m_counts.staleTokens;
            return;
        }
        stream->attemptTokens += batch.tokens.size();
        if (stream->attemptTokens >= m_options.tokensToSurvive) {
            recordSurvivor(*stream, host);
        }
        deliver(*stream, std::move(batch.tokens));
    }
    auto onFinished(const std::string &host, const finished_frame &finished) -> void
    {
        auto *stream = find(finished.generation);
        if (!stream || stream->phase != stream_phase::running || stream->host != host
            || finished.attempt != stream->sequencer.attempt()) {
            return;
        }
        if (finished.length != stream->sequencer.nextPosition()) {
            reattach(*stream);
            return;
        }
        ++m_counts.finished;
        m_directory.recordSuccess(host);
        recordSurvivor(*stream, host);
        m_sink.toCaller(deliver_finish{.callerId = stream->callerId,
                                       .generation = stream->generation,
                                       .host = host,
                                       .length = finished.length,
                                       .promptTokens = stream->promptTokens,
                                       .reason = finished.reason});
        close(*stream);
    }
    /// Takes what other entries have seen of their runs, passed on by an agent.
    auto onObservations(const std::vector<run_observation> &observations) -> void
    {
        for (const auto &seen : observations) {
            m_evidence.add(seen, m_clock.now());
        }
        failQuarantinedBids();
    }
    /// Reattaches the generations that were running on the host.
    auto onLinkUp(const std::string &host) -> void
    {
        for (const auto &orphan : std::exchange(m_orphans[host], {})) {
            m_sink.toAgent(host, orphan);
        }
        std::vector<generation_id> lost;
        for (const auto &[generation, stream] : m_streams) {
            if (stream.phase == stream_phase::lost && stream.host == host) {
                lost.push_back(generation);
            }
        }
        for (const auto &generation : lost) {
            reattach(m_streams.at(generation));
        }
    }
    auto onLinkDown(const std::string &host) -> void
    {
        std::vector<generation_id> withoutBid;
        for (auto &[generation, stream] : m_streams) {
            if (removeBid(stream, host)) {
                withoutBid.push_back(generation);
            } else if (stream.host == host
                       && (stream.phase == stream_phase::running
                           || stream.phase == stream_phase::attaching)) {
                stream.phase = stream_phase::lost;
                m_timers.set({timer_kind::reconnect, generation},
                             m_clock.now() + m_options.reconnectTimeoutUs);
            }
        }
        for (const auto &generation : withoutBid) {
            auto *stream = find(generation);
            if (stream && stream->bids.empty()) {
                placeBids(*stream);
            }
        }
    }

    // --- configuration, draining and timers

    auto onManifest(manifest_ptr current) -> void { m_manifest = std::move(current); }
    /// Rejects all further generations. Idempotent.
    auto drain() -> void { m_draining = true; }
    auto drained() const -> bool { return m_streams.empty(); }

    auto nextTimer() const -> std::optional<time_us> { return m_timers.next(); }
    auto onTimer() -> void
    {
        while (const auto key = m_timers.popDue(m_clock.now())) {
            auto *stream = find(key->generation);
            if (stream) {
                onTimeout(key->kind, *stream);
            }
        }
    }
    auto counts() const -> const generation_dispatcher_counts & { return m_counts; }
    auto streams() const -> std::size_t { return m_streams.size(); }
    /// Number of quarantines in force.
    auto quarantines() const -> std::size_t { return m_evidence.activeCount(m_clock.now()); }
    /// Returns the caller of an open generation.
    auto callerOf(const generation_id &generation) const -> std::optional<std::uint64_t>
    {
        const auto found = m_streams.find(generation);
        return found == m_streams.end() ? std::nullopt : std::optional(found->second.callerId);
    }

private:
    static constexpr std::uint32_t MIN_RETRY_AFTER_MS = 1'000;
    /// Attempts to cancel on reconnect, kept per agent whose link is down.
    static constexpr std::size_t ORPHAN_LIMIT = 1'024;
    /// Agents that pass an observation on to all entries; several, since agents fail too.
    static constexpr std::size_t OBSERVATION_RELAY_COUNT = 3;

    enum class timer_kind { extra_bid, rebid, deadline, reconnect };
    struct timer_key
    {
        timer_kind kind;
        generation_id generation;
        friend auto operator<=>(const timer_key &, const timer_key &)
            -> std::strong_ordering = default;
    };

    // --- opening and closing

    auto openStream(const open_generation &open, generation_request request) -> stream_state &
    {
        const auto now = m_clock.now();
        const auto id
            = open.resumeAfter ? open.resumeAfter->generation : makeGenerationId(m_random);
        if (auto *previous = find(id)) {
            ++m_counts.superseded;
            fail(*previous, failure::superseded, run_state::unknown, 0);
        }
        stream_state stream{.callerId = open.callerId,
                            .generation = id,
                            .trace = open.trace,
                            .reattachable = open.stream,
                            .promptTokens = estimatePromptTokens(request),
                            .prefix = prefixHash(request),
                            .resumePosition = open.resumeAfter ? open.resumeAfter->position : 0,
                            .credit = m_options.windowTokens,
                            .waitStartedUnixMs = m_clock.unixMs(),
                            .openedAt = now};
        const auto waitMs = m_manifest->rankOf(request.workRank).deadlineMs;
        stream.deadline = now + waitMs * US_PER_MS;
        stream.traits = traitsOf(request);
        stream.request = std::move(request);
        stream.sequencer.beginAttempt(1);
        m_timers.set({timer_kind::deadline, id}, stream.deadline);
        m_generationByCaller.insert_or_assign(open.callerId, id);
        return m_streams.insert_or_assign(id, std::move(stream)).first->second;
    }
    auto countAsWaiting(stream_state &stream) -> void
    {
        stream.countedAsWaiting = true;
        ++m_waitingByTeam[stream.request.team];
    }
    auto stopCountingAsWaiting(stream_state &stream) -> void
    {
        if (!std::exchange(stream.countedAsWaiting, false)) {
            return;
        }
        const auto waiting = m_waitingByTeam.find(stream.request.team);
        if (--waiting->second == 0) {
            m_waitingByTeam.erase(waiting);
        }
    }
    auto close(stream_state &stream) -> void
    {
        stopCountingAsWaiting(stream);
        for (const auto kind : {timer_kind::extra_bid, timer_kind::rebid, timer_kind::deadline,
                                timer_kind::reconnect}) {
            m_timers.cancel({kind, stream.generation});
        }
        m_generationByCaller.erase(stream.callerId);
        m_streams.erase(generation_id{stream.generation});
    }
    auto reject(std::uint64_t callerId, failure reason,
                std::uint32_t retryAfterMs = MIN_RETRY_AFTER_MS) -> void
    {
        ++m_counts.failed;
        m_sink.toCaller(deliver_failure{.callerId = callerId,
                                        .reason = reason,
                                        .ran = run_state::not_run,
                                        .retryAfterMs = retryAfterMs});
    }
    auto fail(stream_state &stream, failure reason, run_state ran, std::uint32_t retryAfterMs)
        -> void
    {
        ++m_counts.failed;
        withdrawAll(stream);
        m_sink.toCaller(
            deliver_failure{.callerId = stream.callerId,
                            .reason = reason,
                            .ran = ran,
                            .retryAfterMs = std::max(retryAfterMs, MIN_RETRY_AFTER_MS)});
        close(stream);
    }

    // --- requests that crash engines

    auto quarantinedUntil(const std::vector<std::uint64_t> &traits) const -> std::optional<time_us>
    {
        return m_evidence.quarantinedUntil(traits, m_clock.now());
    }
    auto msUntil(time_us when) const -> std::uint32_t
    {
        return static_cast<std::uint32_t>((when - m_clock.now()) / US_PER_MS);
    }
    auto recordLostRun(const stream_state &stream, const std::string &host) -> void
    {
        // An agent that leaves hands its generations back although its engine has not crashed.
        const auto *view = m_directory.find(host);
        if (stream.attemptTokens < m_options.tokensToSurvive && view && !view->leaving()) {
            share(stream, run_fate::lost_in_crash, host, stream.traits);
        }
    }
    auto recordSurvivor(stream_state &stream, const std::string &host) -> void
    {
        if (std::exchange(stream.survivedStart, true)) {
            return;
        }
        auto suspects = m_evidence.suspectsAmong(stream.traits);
        if (!suspects.empty()) {
            share(stream, run_fate::survived, host, std::move(suspects));
        }
    }
    auto share(const stream_state &stream, run_fate fate, const std::string &host,
               std::vector<std::uint64_t> traits) -> void
    {
        const run_observation seen{.fate = fate,
                                   .serverId = host,
                                   .requestId = toText(stream.generation),
                                   .attempt = stream.sequencer.attempt(),
                                   .traits = std::move(traits)};
        m_evidence.add(seen, m_clock.now());
        std::vector<std::string> connected;
        for (const auto &[name, view] : m_directory.views()) {
            if (view.connected) {
                connected.push_back(name);
            }
        }
        std::vector<std::string> relays;
        std::sample(connected.begin(), connected.end(), std::back_inserter(relays),
                    OBSERVATION_RELAY_COUNT, m_random);
        for (const auto &relay : relays) {
            m_sink.toAgent(relay, run_observations_frame{.observations = {seen}});
        }
    }
    auto failQuarantined(stream_state &stream, run_state ran, time_us until) -> void
    {
        ++m_counts.quarantined;
        fail(stream, failure::quarantined, ran, msUntil(until));
    }
    auto failQuarantinedBids() -> void
    {
        std::vector<generation_id> affected;
        for (const auto &[generation, stream] : m_streams) {
            if (stream.phase == stream_phase::bidding && quarantinedUntil(stream.traits)) {
                affected.push_back(generation);
            }
        }
        for (const auto &generation : affected) {
            auto &stream = m_streams.at(generation);
            const auto ran
                = stream.sequencer.attempt() > 1 ? run_state::unknown : run_state::not_run;
            failQuarantined(stream, ran, *quarantinedUntil(stream.traits));
        }
    }

    // --- bidding

    /// Bids for the current attempt at agents that haven't refused it.
    auto placeBids(stream_state &stream) -> void
    {
        stream.phase = stream_phase::bidding;
        stream.host.clear();
        const auto &usable = m_directory.usableFor(stream.request.model, m_clock.now());
        const auto chosen
            = Policy::choose(makeRouteRequest(stream), usable, m_directory.hints(), m_random);
        for (const auto *view : chosen) {
            sendBid(stream, view->host);
        }
        if (stream.bids.empty()) {
            bidAtRemaining(stream, usable, 1);
        }
        if (stream.bids.empty()) {
            failOrRebidLater(stream);
            return;
        }
        stream.extraBidRounds = 0;
        scheduleExtraBid(stream);
    }
    /// Bids at any usable agent until `bids` bids are open. Used when the policy's choices have all
    /// refused or been tried.
    auto bidAtRemaining(stream_state &stream, const std::vector<const agent_view *> &usable,
                        std::size_t bids) -> void
    {
        const auto offset = usable.empty() ? 0 : m_random() % usable.size();
        for (std::size_t i = 0; i < usable.size() && stream.bids.size() < bids; ++i) {
            sendBid(stream, usable[(offset + i) % usable.size()]->host);
        }
    }
    auto sendBid(stream_state &stream, const std::string &host) -> void
    {
        const auto known = [&host](const std::string &other) { return other == host; };
        if (std::any_of(stream.bids.begin(), stream.bids.end(), known)
            || std::any_of(stream.refusedBy.begin(), stream.refusedBy.end(), known)
            || stream.bids.size() == MAX_BIDS) {
            return;
        }
        stream.bids.push_back(host);
        ++m_counts.bids;
        m_directory.recordSent(host, stream.promptTokens);
        const auto remaining = std::max<std::int64_t>(0, stream.deadline - m_clock.now());
        m_sink.toAgent(host,
                       bid_frame{.generation = stream.generation,
                                 .attempt = stream.sequencer.attempt(),
                                 .workRank = stream.request.workRank,
                                 .team = stream.request.team,
                                 .model = stream.request.model,
                                 .promptTokens = stream.promptTokens,
                                 .givenTokens = static_cast<std::uint32_t>(stream.tokens.size()),
                                 .maxTokens = stream.request.maxTokens,
                                 .prefix = stream.prefix,
                                 .deadlineMs = static_cast<std::uint32_t>(remaining / US_PER_MS)});
    }
    auto makeRouteRequest(const stream_state &stream) const -> route_request
    {
        return {.model = stream.request.model,
                .workRank = stream.request.workRank,
                .prefix = stream.prefix,
                .dataCentre = m_options.dataCentre};
    }
    auto onBidRefused(stream_state &stream, const std::string &host, const refusal_frame &refusal)
        -> void
    {
        stream.refusedBy.push_back(host);
        stream.lastRefusal = refusal.reason;
        stream.retryAfterMs = stream.retryAfterMs == 0
                                  ? refusal.retryAfterMs
                                  : std::min(stream.retryAfterMs, refusal.retryAfterMs);
        if (!stream.bids.empty()) {
            return;
        }
        // Nothing ran, but every further bid is load, so it counts against the retry budget.
        const auto draining = refusal.reason == failure::draining;
        if (draining || m_retries.tryAcquire()) {
            placeBids(stream);
            return;
        }
        failOrRebidLater(stream);
    }
    /// Fails a generation that has no tokens yet and was refused; otherwise bids again later.
    auto failOrRebidLater(stream_state &stream) -> void
    {
        if (stream.tokens.empty() && !stream.refusedBy.empty()) {
            fail(stream, stream.lastRefusal, run_state::not_run, stream.retryAfterMs);
            return;
        }
        stream.refusedBy.clear();
        m_timers.set({timer_kind::rebid, stream.generation},
                     m_clock.now() + m_options.rebidDelayUs);
    }
    auto removeBid(stream_state &stream, const std::string &host) -> bool
    {
        const auto at = std::find(stream.bids.begin(), stream.bids.end(), host);
        if (at == stream.bids.end()) {
            return false;
        }
        stream.bids.erase(at);
        return true;
    }
    auto withdrawAll(stream_state &stream) -> void
    {
        for (const auto &host : stream.bids) {
            m_sink.toAgent(host, withdraw_frame{.generation = stream.generation,
                                                .attempt = stream.sequencer.attempt()});
        }
        stream.bids.clear();
    }

    // --- running

    /// Handles a grant from the stream's own agent. Only the answer to the latest attach counts.
    static auto onAttached(stream_state &stream, const grant_frame &grant) -> void
    {
        if (stream.phase == stream_phase::attaching && grant.attachId == stream.attachId) {
            stream.phase = stream_phase::running;
            stream.sequencer.beginAttempt(grant.attempt);
        }
    }
    auto start(stream_state &stream, const std::string &host) -> void
    {
        withdrawAll(stream);
        stopCountingAsWaiting(stream);
        m_timers.cancel({timer_kind::extra_bid, stream.generation});
        m_timers.cancel({timer_kind::deadline, stream.generation});
        stream.phase = stream_phase::running;
        stream.host = host;
        stream.attemptTokens = 0;
        stream.survivedStart = false;
        stream.refusedBy.clear();
        m_directory.hints().add(stream.prefix, host);
        m_sink.toAgent(host, start_frame{.generation = stream.generation,
                                         .attempt = stream.sequencer.attempt(),
                                         .request = stream.request,
                                         .given = stream.tokens,
                                         .credit = static_cast<std::uint32_t>(stream.credit),
                                         .reattachable = stream.reattachable,
                                         .trace = stream.trace});
    }
    auto deliver(stream_state &stream, std::vector<std::string> tokens) -> void
    {
        if (stream.tokens.empty()) {
            stream.firstTokenAt = m_clock.now();
        }
        auto position = stream.tokens.size();
        stream.tokens.insert(stream.tokens.end(), tokens.begin(), tokens.end());
        stream.credit -= std::min<std::uint64_t>(stream.credit, tokens.size());
        if (position < stream.resumePosition) {
            const auto known = std::min(stream.resumePosition - position, tokens.size());
            tokens.erase(tokens.begin(), tokens.begin() + static_cast<std::ptrdiff_t>(known));
            position += known;
            // The caller grants no credit for tokens it isn't sent.
            onCredit({.callerId = stream.callerId, .tokens = static_cast<std::uint32_t>(known)});
        }
        if (tokens.empty()) {
            return;
        }
        m_sink.toCaller(deliver_tokens{.callerId = stream.callerId,
                                       .generation = stream.generation,
                                       .host = stream.host,
                                       .position = position,
                                       .tokens = std::move(tokens)});
    }
    /// Replaces a lost attempt: the next engine continues from the tokens generated so far.
    /// Messages of the old attempt are rejected by its number.
    auto startNewAttempt(stream_state &stream) -> void
    {
        // Without all tokens the caller has, a new attempt would generate a different answer.
        if (stream.tokens.size() < stream.resumePosition) {
            fail(stream, failure::generation_lost, run_state::unknown, 0);
            return;
        }
        if (const auto until = quarantinedUntil(stream.traits)) {
            failQuarantined(stream, run_state::unknown, *until);
            return;
        }
        ++m_counts.continued;
        if (stream.phase == stream_phase::lost) {
            rememberOrphan(stream);
        }
        stream.sequencer.beginAttempt(stream.sequencer.attempt() + 1);
        stream.refusedBy.clear();
        stream.phase = stream_phase::bidding;
        stream.deadline
            = m_clock.now() + m_manifest->rankOf(stream.request.workRank).deadlineMs * US_PER_MS;
        m_timers.cancel({timer_kind::reconnect, stream.generation});
        m_timers.set({timer_kind::deadline, stream.generation}, stream.deadline);
        if (m_retries.tryAcquire()) {
            placeBids(stream);
        } else {
            failOrRebidLater(stream);
        }
    }

    /// Remembers an attempt that may still run on a disconnected agent, to cancel it on reconnect.
    auto rememberOrphan(const stream_state &stream) -> void
    {
        auto &orphans = m_orphans[stream.host];
        if (orphans.size() < ORPHAN_LIMIT) {
            orphans.push_back({.generation = stream.generation,
                               .attempt = stream.sequencer.attempt(),
                               .keep = false});
        }
    }

    // --- attaching

    auto beginAttach(stream_state &stream, const std::string &host) -> void
    {
        stream.phase = stream_phase::attaching;
        stream.host = host;
        stream.attachAttempts.push_back(host);
        stream.attachId = ++m_lastAttachId;
        const auto *view = m_directory.find(host);
        if (!view || !view->connected) {
            attachNext(stream);
            return;
        }
        m_sink.toAgent(host, attach_frame{.generation = stream.generation,
                                          .fromPosition = stream.sequencer.nextPosition(),
                                          .credit = static_cast<std::uint32_t>(stream.credit),
                                          .attachId = stream.attachId,
                                          .trace = stream.trace});
    }
    /// Tries to attach at the next connected agent. When all have been tried, starts a new attempt,
    /// which fails unless all tokens that the caller has are known here.
    auto attachNext(stream_state &stream) -> void
    {
        for (const auto &[host, view] : m_directory.views()) {
            const auto &attempted = stream.attachAttempts;
            if (view.connected
                && std::find(attempted.begin(), attempted.end(), host) == attempted.end()) {
                beginAttach(stream, std::string(host));
                return;
            }
        }
        startNewAttempt(stream);
    }
    /// Asks the agent that runs the generation for the missing tokens.
    auto reattach(stream_state &stream) -> void
    {
        m_timers.cancel({timer_kind::reconnect, stream.generation});
        stream.attachAttempts.clear();
        for (const auto &[host, view] : m_directory.views()) {
            stream.attachAttempts.push_back(host);
        }
        beginAttach(stream, std::string(stream.host));
    }

    // --- timeouts

    auto onTimeout(timer_kind kind, stream_state &stream) -> void
    {
        switch (kind) {
        case timer_kind::extra_bid:
            sendExtraBid(stream);
            return;
        case timer_kind::rebid:
            if (stream.phase == stream_phase::bidding && stream.bids.empty()) {
                placeBids(stream);
            }
            return;
        case timer_kind::deadline:
            onWaitDeadline(stream);
            return;
        case timer_kind::reconnect:
            if (stream.phase == stream_phase::lost) {
                m_directory.recordFailure(stream.host, m_clock.now());
                onReconnectTimeout(stream);
            }
            return;
        }
    }
    auto onWaitDeadline(stream_state &stream) -> void
    {
        if (stream.phase != stream_phase::bidding) {
            return;
        }
        if (stream.sequencer.attempt() > 1) {
            fail(stream, failure::backend_server_lost, run_state::unknown, stream.retryAfterMs);
            return;
        }
        const auto reason
            = stream.refusedBy.empty() ? failure::deadline_exceeded : stream.lastRefusal;
        fail(stream, reason, run_state::not_run, stream.retryAfterMs);
    }
    auto onReconnectTimeout(stream_state &stream) -> void
    {
        if (stream.tokens.size() < stream.resumePosition) {
            stream.attachAttempts = {stream.host};
            attachNext(stream);
            return;
        }
        startNewAttempt(stream);
    }
    auto sendExtraBid(stream_state &stream) -> void
    {
        if (stream.phase != stream_phase::bidding || stream.bids.empty()) {
            return;
        }
        const auto before = stream.bids.size();
        const auto &usable = m_directory.usableFor(stream.request.model, m_clock.now());
        const auto chosen
            = Policy::choose(makeRouteRequest(stream), usable, m_directory.hints(), m_random);
        for (const auto *view : chosen) {
            sendBid(stream, view->host);
        }
        bidAtRemaining(stream, usable, before + 1);
        ++stream.extraBidRounds;
        scheduleExtraBid(stream);
    }
    /// Doubles the delay with every round.
    auto scheduleExtraBid(stream_state &stream) -> void
    {
        if (stream.bids.size() < MAX_BIDS) {
            m_timers.set({timer_kind::extra_bid, stream.generation},
                         m_clock.now() + (m_options.extraBidDelayUs << stream.extraBidRounds));
        }
    }
    auto find(const generation_id &generation) -> stream_state *
    {
        const auto found = m_streams.find(generation);
        return found == m_streams.end() ? nullptr : &found->second;
    }

    generation_dispatcher_options m_options;
    Clock m_clock;
    random_source m_random;
    agent_directory &m_directory;
    Sink &m_sink;
    manifest_ptr m_manifest;
    std::unordered_map<generation_id, stream_state> m_streams;
    std::unordered_map<std::uint64_t, generation_id> m_generationByCaller;
    std::unordered_map<std::string, std::uint32_t> m_waitingByTeam;
    std::unordered_map<std::string, std::vector<cancel_frame>> m_orphans;
    timer_queue<timer_key> m_timers;
    retry_budget m_retries;
    crash_evidence m_evidence;
    generation_dispatcher_counts m_counts;
    std::uint64_t m_lastAttachId = 0;
    bool m_draining = false;
};

} // namespace marjoram
