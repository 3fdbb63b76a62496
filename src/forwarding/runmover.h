#pragma once

#include "forwarding/continuationfilter.h"
#include "forwarding/forwardrings.h"
#include "forwarding/placement.h"
#include "forwarding/requeststate.h"
#include "framework/eventlog/eventlog.h"
#include "framework/global/timerqueue.h"
#include "serverviews/serverdirectory.h"

#include <unordered_map>

namespace marjoram {

/// Options for moving generations off a leaving server.
struct run_mover_options
{
    /// Number of targets that may refuse a copy before the run stays where it is.
    std::size_t maxTargets = 3;
    /// Number of targets whose reporters are asked in one turn.
    std::size_t maxRoomRequests = 6;
    /// Time a reporter has to answer; without an answer the copy is ordered anyway.
    std::int64_t roomTimeoutUs = 25 * US_PER_MS;
    /// A server whose last report is older counts as having no reporter.
    std::int64_t reportMaxAgeUs = 250 * US_PER_MS;
    /// Pause before a copy is ordered again while another is in progress.
    std::int64_t copyRetryUs = 40 * US_PER_MS;
    /// Time to wait for the first report of a leaving server, which says whose turn it is.
    std::int64_t firstReportTimeoutUs = 120 * US_PER_MS;
    /// Time a source has to end its stream after its run was stopped.
    std::int64_t sourceEndTimeoutUs = 30 * US_PER_MS;
    /// Least time per output token on a shared engine, and a safety margin, to predict whether a
    /// run finishes before its server shuts down.
    std::int64_t minUsPerToken = 10 * US_PER_MS;
    std::int64_t finishMarginUs = 300 * US_PER_MS;
};

/// Functions that the mover needs from its host.
template <typename H>
concept move_host
    = requires(H &host, request_state &request, server_command command, reporter_command asked,
               const std::string &id, kv_copy copy, log_event event, std::vector<log_field> fields)
{
    host.toServer(command);
    host.toReporter(asked);
    host.resumeAt(request, id, copy);
    host.log(event, request, fields);
    host.observeMove(std::int64_t{});
    {
        host.nextAskId()
        } -> std::same_as<std::uint64_t>;
    {
        host.findRequest(std::uint64_t{})
        } -> std::same_as<request_state *>;
    {
        host.chooseServer(request, true)
        } -> std::same_as<const server_view *>;
    {
        host.slowestUsPerToken(request)
        } -> std::same_as<std::int64_t>;
};

/// Moves running generations off a leaving server. Copies the KV cache while the run continues,
/// then stops the run, copies the rest and resumes on the target within the same response. The
/// source's reporter says whose turn it is; the target's reporter says whether its link is free, so
/// that the final copy of a stopped run does not queue behind other copies.
/// Not thread safe: belongs to one duty.
template <clock_source Clock, typename Host>
class run_mover
{
public:
    /// Precondition: `directory` and `host` outlive the mover.
    run_mover(run_mover_options options, Clock clock, server_directory &directory, Host &host)
        : m_options(options)
        , m_clock(clock)
        , m_directory(directory)
        , m_host(host)
    { }

    /// Starts moving a run off its leaving server if it is the run's turn and it can be moved.
    auto moveIfDue(request_state &request) -> void
    {
        const auto *engine = request.engine();
        if (request.move || !engine || !engine->moves
            || request.phase != request_phase::streaming) {
            return;
        }
        const auto now = m_clock.now();
        const auto *source = m_directory.find(request.run.serverId);
        if (source && hasFreshReport(*source) && reportsTurns(*source)) {
            if (source->report->turn != request.request->requestId) {
                // The next report triggers another attempt; the timer covers a reporter that falls
                // silent.
                m_timers.set(request.number, source->reportAt + m_options.reportMaxAgeUs);
                return;
            }
            if (finishesInTime(request, *source)) {
                notifySource(request, move_note::put_off);
                return;
            }
        } else if (const auto start = startWithoutReport(request); start > now) {
            m_timers.set(request.number, start);
            return;
        }
        beginMove(request);
    }
    /// Handles the end of the source's stream. Returns false if the run is not being moved or there
    /// is no copy to resume from.
    auto onSourceEnded(request_state &request) -> bool
    {
        if (!request.move) {
            return false;
        }
        auto &move = *request.move;
        move.sourceEnded = true;
        if (move.stage == move_stage::stopping) {
            return true;
        }
        if (move.stage == move_stage::refused) {
            resumeAtSource(request);
            return true;
        }
        if (move.handle.empty()) {
            abandon(request);
            return false;
        }
        resumeAtTarget(request);
        return true;
    }
    /// Handles the reply to a room request of this mover; ignores other replies.
    auto onRoomReply(const room_replied &replied) -> void
    {
        auto *request = takePendingMove(m_requestByAskId, replied.askId);
        if (!request || request->move->askId != replied.askId
            || request->move->stage != move_stage::asking) {
            return;
        }
        m_timers.cancel(request->number);
        if (replied.verdict == room_verdict::granted && !isTargetClosed(*request)) {
            orderBulkCopy(*request);
            return;
        }
        request->busyTargets.push_back(request->move->targetId);
        request->lastMoveRefusal = replied.verdict;
        request->move.reset();
        beginMove(*request);
    }
    auto onCopied(const run_copied &done) -> void
    {
        auto *request = takePendingMove(m_requestByCopyId, done.copyId);
        if (!request || request->move->copyId != done.copyId) {
            return;
        }
        request->move->stage == move_stage::stopping ? onFinalCopied(*request, done)
                                                     : onBulkCopied(*request, done);
    }
    /// Cancels a move, for example because the run has finished, and releases the copy.
    auto abandon(request_state &request) -> void
    {
        if (!request.move) {
            return;
        }
        const auto handle = request.move->handle;
        endMove(request);
        if (!handle.empty()) {
            m_host.toServer(release_kv_copy{kvCopyOf(request, handle)});
        }
    }

    auto nextTimer() const -> std::optional<time_us> { return m_timers.next(); }
    auto onTimer() -> void
    {
        while (const auto number = m_timers.popDue(m_clock.now())) {
            auto *request = m_host.findRequest(*number);
            if (request && request->move) {
                onTimerDue(*request);
            } else if (request) {
                moveIfDue(*request);
            }
        }
    }

private:
    // --- turns

    auto hasFreshReport(const server_view &view) const -> bool
    {
        return view.report && m_clock.now() - view.reportAt < m_options.reportMaxAgeUs;
    }
    /// Whether the reports of a server say whose turn it is. They do not while they show a server
    /// as ready that has stated in an answer that it is leaving.
    static auto reportsTurns(const server_view &view) -> bool
    {
        return view.reportedLeaving || !view.statedLeavingBornUnixMs;
    }
    /// Returns when a run may move although no fresh report says whose turn it is. A server that
    /// has reported before gets some time to report again.
    auto startWithoutReport(request_state &request) const -> time_us
    {
        const auto *source = m_directory.find(request.run.serverId);
        if (!source || !source->report) {
            return {};
        }
        if (!request.awaitingTurnSince) {
            request.awaitingTurnSince = m_clock.now();
        }
        return *request.awaitingTurnSince + m_options.firstReportTimeoutUs;
    }
    /// Whether the run will finish before its server shuts down. Relies on the output limit, or
    /// once per move on the caller's estimate, which lets other runs move first.
    auto finishesInTime(request_state &request, const server_view &source) const -> bool
    {
        if (!source.shutdownAt) {
            return false;
        }
        const auto &params = request.request->generation;
        const auto produced = request.producedTokens();
        const auto remainingUs = *source.shutdownAt - m_clock.now() - m_options.finishMarginUs;
        const auto usPerToken
            = std::max(m_options.minUsPerToken, m_host.slowestUsPerToken(request));
        const auto endsBy = [&](std::uint32_t output) {
            return output > produced
                   && static_cast<std::int64_t>(output - produced) * usPerToken < remainingUs;
        };
        if (endsBy(params.maxOutputTokens)) {
            return true;
        }
        const auto estimated = params.outputEstimate && endsBy(*params.outputEstimate);
        return estimated && !std::exchange(request.deferredOnce, true);
    }
    auto notifySource(const request_state &request, move_note note) -> void
    {
        m_host.toReporter(notify_move{.serverId = request.run.serverId,
                                      .requestId = request.request->requestId,
                                      .note = note});
    }
    auto notifyTarget(const request_state &request, const std::string &targetId) -> void
    {
        m_host.toReporter(notify_move{.serverId = targetId,
                                      .requestId = request.request->requestId,
                                      .note = move_note::ended});
    }

    // --- steps of a move

    auto beginMove(request_state &request) -> void
    {
        const auto exhausted = request.refusedTargets.size() >= m_options.maxTargets
                               || request.busyTargets.size() >= m_options.maxRoomRequests;
        const auto *target = exhausted ? nullptr : m_host.chooseServer(request, true);
        if (!target) {
            request.busyTargets.clear();
            notifySource(request, move_note::put_off);
            if (!std::exchange(request.noRoomLogged, true)) {
                m_host.log(log_event::request_moving, request,
                           {{"outcome", std::string("no_room_elsewhere")},
                            {"server", request.run.serverId},
                            {"room", std::string(nameOf(request.lastMoveRefusal))}});
            }
            return;
        }
        request.move = run_move{.targetId = target->entry.id,
                                .target = target->entry.address,
                                .tokens = request.promptTokens() + request.producedTokens(),
                                .startedAt = m_clock.now()};
        notifySource(request, move_note::begun);
        hasFreshReport(*target) ? requestRoom(request) : orderBulkCopy(request);
    }
    auto requestRoom(request_state &request) -> void
    {
        auto &move = *request.move;
        move.askId = m_host.nextAskId();
        m_requestByAskId.emplace(move.askId, request.number);
        m_timers.set(request.number, m_clock.now() + m_options.roomTimeoutUs);
        m_host.toReporter(request_room{.askId = move.askId,
                                       .serverId = move.targetId,
                                       .requestId = request.request->requestId,
                                       .expectedTokens = move.tokens,
                                       .landing = true});
    }
    auto orderBulkCopy(request_state &request) -> void
    {
        const auto &move = *request.move;
        m_directory.recordSent(move.targetId, move.tokens);
        const auto *source = m_directory.find(request.run.serverId);
        m_host.log(log_event::request_moving, request,
                   {{"server", request.run.serverId},
                    {"target", move.targetId},
                    {"asked", std::int64_t{move.askId != 0}},
                    {"runs_there", source && source->report
                                       ? static_cast<std::int64_t>(source->report->runs.size())
                                       : std::int64_t{-1}},
                    {"events", static_cast<std::int64_t>(request.lastEvent)}});
        orderCopy(request, false);
    }
    auto orderCopy(request_state &request, bool stop) -> void
    {
        auto &move = *request.move;
        move.copyId = ++m_lastCopyId;
        move.stage = stop ? move_stage::stopping : move_stage::copying;
        request.run.stopOrdered = request.run.stopOrdered || stop;
        m_requestByCopyId.emplace(move.copyId, request.number);
        m_host.toServer(copy_run{.copyId = move.copyId,
                                 .source = request.run.server,
                                 .target = move.target,
                                 .requestId = request.request->requestId,
                                 .stop = stop});
    }
    auto onTimerDue(request_state &request) -> void
    {
        const auto stage = request.move->stage;
        const auto runsAtSource = stage == move_stage::asking || stage == move_stage::copying
                                  || stage == move_stage::copied;
        if (runsAtSource && isTargetClosed(request)) {
            leaveTarget(request, request.move->handle);
            return;
        }
        switch (request.move->stage) {
        case move_stage::asking:
            orderBulkCopy(request);
            break;
        case move_stage::copying:
            orderCopy(request, false);
            break;
        case move_stage::copied:
            orderCopy(request, true);
            break;
        case move_stage::stopping:
            break;
        case move_stage::stopped:
            resumeAtTarget(request);
            break;
        case move_stage::refused:
            keepRunning(request);
            break;
        }
    }
    auto onBulkCopied(request_state &request, const run_copied &done) -> void
    {
        auto &move = *request.move;
        switch (done.outcome) {
        case copy_outcome::copied:
            if (isPaused(move.targetId) || isTargetClosed(request)) {
                // The run still has its source. Once it is stopped it resumes at a paused target.
                leaveTarget(request, done.handle);
                break;
            }
            move.handle = done.handle;
            move.copiedAt = m_clock.now();
            move.stopOrderedAt = move.copiedAt;
            orderCopy(request, true);
            break;
        case copy_outcome::already_copying:
            m_timers.set(request.number, m_clock.now() + m_options.copyRetryUs);
            break;
        case copy_outcome::no_such_run:
            abandon(request);
            break;
        case copy_outcome::no_room:
        case copy_outcome::failed:
            tryNextTarget(request);
            break;
        }
    }
    /// Whether the run must not go on at its target, which may have changed since it was chosen.
    auto isTargetClosed(const request_state &request) const -> bool
    {
        const auto &id = request.move->targetId;
        const continuation_filter filter(m_directory, request, continued_part::memory,
                                         m_clock.now());
        return m_directory.isEvacuated(id) || !filter.allows(id);
    }
    auto isPaused(const std::string &id) const -> bool
    {
        const auto *view = m_directory.find(id);
        return view && view->pausedUntil > m_clock.now();
    }
    /// Gives up a target, and its copy if there is one, while the run goes on at its source.
    auto leaveTarget(request_state &request, const std::string &handle) -> void
    {
        if (!handle.empty()) {
            m_host.toServer(release_kv_copy{kvCopyOf(request, handle)});
        }
        tryNextTarget(request);
    }
    auto tryNextTarget(request_state &request) -> void
    {
        request.refusedTargets.push_back(request.move->targetId);
        releaseTarget(request);
        request.move.reset();
        beginMove(request);
    }
    auto onFinalCopied(request_state &request, const run_copied &done) -> void
    {
        auto &move = *request.move;
        if (!done.handle.empty()) {
            move.handle = done.handle;
        }
        if (done.outcome != copy_outcome::copied) {
            m_host.log(log_event::request_moving, request,
                       {{"outcome", std::string("final_copy_failed")},
                        {"server", request.run.serverId},
                        {"target", move.targetId},
                        {"copy", std::string(nameOf(done.outcome))},
                        {"source_ended", std::int64_t{move.sourceEnded}}});
        }
        switch (done.outcome) {
        case copy_outcome::copied:
            move.stage = move_stage::stopped;
            if (move.sourceEnded) {
                resumeAtTarget(request);
            } else {
                m_timers.set(request.number, m_clock.now() + m_options.sourceEndTimeoutUs);
            }
            break;
        case copy_outcome::already_copying:
            move.stage = move_stage::copied;
            m_timers.set(request.number, m_clock.now() + m_options.copyRetryUs);
            break;
        case copy_outcome::no_room:
            move.stage = move_stage::refused;
            if (move.sourceEnded) {
                resumeAtSource(request);
            } else {
                m_timers.set(request.number, m_clock.now() + m_options.sourceEndTimeoutUs);
            }
            break;
        case copy_outcome::failed:
            request.unansweredStops.push_back(request.run.serverId);
            [[fallthrough]];
        case copy_outcome::no_such_run:
            if (move.sourceEnded) {
                resumeAtTarget(request);
            } else {
                // It is unknown whether the run was stopped; the end of its stream will tell.
                move.stage = move_stage::copying;
            }
            break;
        }
    }
    /// The target refused the final copy before the run was stopped, for example because the target
    /// is leaving too.
    auto keepRunning(request_state &request) -> void
    {
        request.refusedTargets.push_back(request.move->targetId);
        abandon(request);
        moveIfDue(request);
    }
    /// The run was stopped but the target has no room, so the source resumes it.
    auto resumeAtSource(request_state &request) -> void
    {
        const auto copy = kvCopyOf(request, request.move->handle);
        request.refusedTargets.push_back(request.move->targetId);
        endMove(request);
        m_host.resumeAt(request, copy.sourceId, copy);
    }
    auto resumeAtTarget(request_state &request) -> void
    {
        if (isTargetClosed(request)) {
            resumeAtSource(request);
            return;
        }
        const auto move = *request.move;
        const auto copy = kvCopyOf(request, move.handle);
        const auto now = m_clock.now();
        m_host.log(log_event::request_moved, request,
                   {{"server", request.run.serverId},
                    {"target", move.targetId},
                    {"events", static_cast<std::int64_t>(request.lastEvent)},
                    {"bulk_ms", (move.copiedAt - move.startedAt) / US_PER_MS},
                    {"stopped_ms", (now - move.stopOrderedAt) / US_PER_MS},
                    {"took_ms", (now - move.startedAt) / US_PER_MS}});
        endMove(request);
        request.awaitingTurnSince.reset();
        request.deferredOnce = false;
        ++request.moves;
        m_host.observeMove(now - move.startedAt);
        m_host.resumeAt(request, move.targetId, copy);
    }
    static auto kvCopyOf(const request_state &request, std::string handle) -> kv_copy
    {
        return {.sourceId = request.run.serverId,
                .source = request.run.server,
                .handle = std::move(handle)};
    }
    /// Frees the links and stops counting the run at the target.
    auto releaseTarget(request_state &request) -> void
    {
        const auto &move = *request.move;
        m_timers.cancel(request.number);
        m_requestByAskId.erase(move.askId);
        m_requestByCopyId.erase(move.copyId);
        if (move.stage != move_stage::asking) {
            m_directory.recordEnded(move.targetId, move.tokens);
        }
        notifyTarget(request, move.targetId);
    }
    auto endMove(request_state &request) -> void
    {
        releaseTarget(request);
        notifySource(request, move_note::ended);
        request.busyTargets.clear();
        request.move.reset();
    }
    /// Removes and returns the request whose move waits for this reply; null if it is no longer
    /// being moved.
    auto takePendingMove(std::unordered_map<std::uint64_t, std::uint64_t> &waiting,
                         std::uint64_t id) -> request_state *
    {
        const auto found = waiting.find(id);
        if (found == waiting.end()) {
            return nullptr;
        }
        auto *request = m_host.findRequest(found->second);
        waiting.erase(found);
        return request && request->move ? request : nullptr;
    }

    run_mover_options m_options;
    Clock m_clock;
    server_directory &m_directory;
    Host &m_host;
    timer_queue<std::uint64_t> m_timers;
    std::unordered_map<std::uint64_t, std::uint64_t> m_requestByAskId;
    std::unordered_map<std::uint64_t, std::uint64_t> m_requestByCopyId;
    std::uint64_t m_lastCopyId = 0;
};

} // namespace marjoram
