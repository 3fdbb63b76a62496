#pragma once

#include "forwarding/evacuationplan.h"
#include "forwarding/placement.h"
#include "forwarding/requeststate.h"
#include "framework/eventlog/eventlog.h"
#include "framework/global/timerqueue.h"
#include "serverviews/serverdirectory.h"

#include <unordered_map>

namespace marjoram {

/// Options of moving generations off a server that leaves.
struct run_mover_options
{
    /// Targets that are tried for one run.
    std::size_t targets = 3;
    /// Pause before a copy is ordered again where one was under way.
    std::int64_t againUs = 40 * US_PER_MS;
    evacuation_options evacuation;
    /// Time for the first report of what runs on a leaving server.
    std::int64_t planUs = 120 * US_PER_MS;
    /// Time for a source to end its stream after its run was stopped.
    std::int64_t sourceEndUs = 30 * US_PER_MS;
};

/// What the mover asks of the decisions around it.
template <typename H>
concept move_host
    = requires(H &host, request_state &request, server_command command, const std::string &id,
               held_copy copy, log_event event, std::vector<log_field> fields)
{
    host.toServer(command);
    host.goOnAt(request, id, copy);
    host.log(event, request, fields);
    host.observeMove(std::int64_t{});
    {
        host.findRequest(std::uint64_t{})
        } -> std::same_as<request_state *>;
    {
        host.roomFor(request, true)
        } -> std::same_as<const server_view *>;
};

/// Moves running generations off a leaving server, one after the other: copies a run's memory while
/// it runs, then stops it, copies the rest, and lets it go on at the target within the same answer.
/// Not thread safe: belongs to one duty.
template <clock_source Clock, typename Host>
class run_mover
{
public:
    /// Precondition: directory and host outlive the mover.
    run_mover(run_mover_options options, Clock clock, server_directory &directory, Host &host)
        : m_options(options)
        , m_clock(clock)
        , m_directory(directory)
        , m_host(host)
    { }

    /// A leaving server has told what runs on it.
    auto onReport(const server_view &source, double usPerToken) -> void
    {
        const auto since = m_clock.now() + -source.report->leavingForMs * US_PER_MS;
        const auto plan
            = m_plans.try_emplace(source.entry.id, m_options.evacuation, usPerToken, since).first;
        plan->second.note(source.report->runs);
    }
    auto onServerGone(const std::string &id) -> void { m_plans.erase(id); }
    /// Moves a run off its leaving server when it is its turn, unless it is being moved or cannot
    /// be.
    auto consider(request_state &request) -> void
    {
        const auto *engine = request.engine();
        if (request.move || !engine || !engine->moves
            || request.phase != request_phase::streaming) {
            return;
        }
        const auto now = m_clock.now();
        const auto plan = m_plans.find(request.run.serverId);
        const auto start = plan == m_plans.end() ? startUnplanned(request)
                                                 : plan->second.startOf(request.request->requestId);
        if (start && *start > now) {
            m_timers.set(request.number, *start);
            return;
        }
        begin(request);
    }
    /// The source of a moving run has ended its stream; false when the run is not being moved or
    /// the move has nothing to go on from.
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
        if (move.handle.empty()) {
            abandon(request);
            return false;
        }
        goOn(request);
        return true;
    }
    auto onCopied(const run_copied &done) -> void
    {
        const auto number = m_requestOf.find(done.copyId);
        if (number == m_requestOf.end()) {
            return;
        }
        auto *request = m_host.findRequest(number->second);
        m_requestOf.erase(number);
        if (!request || !request->move || request->move->copyId != done.copyId) {
            return;
        }
        request->move->stage == move_stage::stopping ? onStopped(*request, done)
                                                     : onBulkCopied(*request, done);
    }
    /// Gives a move up, as when the run has ended by itself; the copy is freed.
    auto abandon(request_state &request) -> void
    {
        if (!request.move) {
            return;
        }
        auto &move = *request.move;
        m_timers.cancel(request.number);
        m_requestOf.erase(move.copyId);
        noteLeft(request);
        m_directory.noteEnded(move.targetId, move.tokens);
        if (!move.handle.empty()) {
            m_host.toServer(drop_copy{{.source = request.run.server, .handle = move.handle}});
        }
        request.move.reset();
    }

    auto nextTimer() const -> std::optional<time_us> { return m_timers.next(); }
    auto onTimer() -> void
    {
        while (const auto number = m_timers.popDue(m_clock.now())) {
            auto *request = m_host.findRequest(*number);
            if (request && request->move) {
                onDue(*request);
            } else if (request) {
                consider(*request);
            }
        }
    }

private:
    auto begin(request_state &request) -> void
    {
        const auto *target = request.fullTargets.size() < m_options.targets
                                 ? m_host.roomFor(request, true)
                                 : nullptr;
        if (!target) {
            if (std::exchange(request.noRoomTold, true)) {
                return;
            }
            m_host.log(
                log_event::request_moving, request,
                {{"outcome", std::string("no_room_elsewhere")}, {"server", request.run.serverId}});
            return;
        }
        run_move move{.targetId = target->entry.id,
                      .target = target->entry.address,
                      .tokens = request.promptTokens() + request.producedTokens(),
                      .startedAt = m_clock.now()};
        m_directory.noteSent(move.targetId, move.tokens);
        request.move = std::move(move);
        m_host.log(log_event::request_moving, request,
                   {{"server", request.run.serverId},
                    {"target", request.move->targetId},
                    {"planned", std::int64_t{m_plans.contains(request.run.serverId)}},
                    {"runs_there", runsAt(request)},
                    {"events", static_cast<std::int64_t>(request.lastEvent)}});
        order(request, false);
    }
    auto runsAt(const request_state &request) const -> std::int64_t
    {
        const auto *view = m_directory.find(request.run.serverId);
        return view && view->report ? static_cast<std::int64_t>(view->report->runs.size()) : -1;
    }
    /// A server that reports is given the time to say what runs on it.
    auto startUnplanned(request_state &request) const -> std::optional<time_us>
    {
        const auto *source = m_directory.find(request.run.serverId);
        if (!source || !source->report) {
            return std::nullopt;
        }
        if (!request.unplannedSince) {
            request.unplannedSince = m_clock.now();
        }
        return *request.unplannedSince + m_options.planUs;
    }
    auto noteLeft(const request_state &request) -> void
    {
        const auto plan = m_plans.find(request.run.serverId);
        if (plan != m_plans.end()) {
            plan->second.left(request.request->requestId);
        }
    }
    auto order(request_state &request, bool stop) -> void
    {
        auto &move = *request.move;
        move.copyId = ++m_lastCopyId;
        move.stage = stop ? move_stage::stopping : move_stage::copying;
        m_requestOf.emplace(move.copyId, request.number);
        m_host.toServer(copy_run{.copyId = move.copyId,
                                 .source = request.run.server,
                                 .target = move.target,
                                 .requestId = request.request->requestId,
                                 .stop = stop});
    }
    auto onDue(request_state &request) -> void
    {
        switch (request.move->stage) {
        case move_stage::copying:
            order(request, false);
            break;
        case move_stage::copied:
            order(request, true);
            break;
        case move_stage::stopping:
            break;
        case move_stage::stopped:
            goOn(request);
            break;
        }
    }
    auto onBulkCopied(request_state &request, const run_copied &done) -> void
    {
        auto &move = *request.move;
        switch (done.outcome) {
        case copy_outcome::copied:
            move.handle = done.handle;
            move.copiedAt = m_clock.now();
            move.stopAt = move.copiedAt;
            order(request, true);
            break;
        case copy_outcome::already_copying:
            m_timers.set(request.number, m_clock.now() + m_options.againUs);
            break;
        case copy_outcome::no_such_run:
            abandon(request);
            break;
        case copy_outcome::no_room:
        case copy_outcome::failed:
            request.fullTargets.push_back(move.targetId);
            abandon(request);
            consider(request);
            break;
        }
    }
    auto onStopped(request_state &request, const run_copied &done) -> void
    {
        auto &move = *request.move;
        if (!done.handle.empty()) {
            move.handle = done.handle;
        }
        switch (done.outcome) {
        case copy_outcome::copied:
            move.stage = move_stage::stopped;
            if (move.sourceEnded) {
                goOn(request);
            } else {
                m_timers.set(request.number, m_clock.now() + m_options.sourceEndUs);
            }
            break;
        case copy_outcome::already_copying:
            move.stage = move_stage::copied;
            m_timers.set(request.number, m_clock.now() + m_options.againUs);
            break;
        case copy_outcome::no_room:
            goOnAtSource(request);
            break;
        case copy_outcome::no_such_run:
        case copy_outcome::failed:
            if (move.sourceEnded) {
                goOn(request);
            } else {
                // Whether the run was stopped is unknown: the end of its stream will tell.
                move.stage = move_stage::copying;
            }
            break;
        }
    }
    /// The run has stopped and there is no room at the target: the source can still go on with it.
    auto goOnAtSource(request_state &request) -> void
    {
        const held_copy copy{.source = request.run.server, .handle = request.move->handle};
        const auto sourceId = request.run.serverId;
        m_directory.noteEnded(request.move->targetId, request.move->tokens);
        request.fullTargets.push_back(request.move->targetId);
        m_timers.cancel(request.number);
        request.move.reset();
        m_host.goOnAt(request, sourceId, copy);
    }
    auto goOn(request_state &request) -> void
    {
        const held_copy copy{.source = request.run.server, .handle = request.move->handle};
        const auto targetId = request.move->targetId;
        const auto took = m_clock.now() - request.move->startedAt;
        m_timers.cancel(request.number);
        m_requestOf.erase(request.move->copyId);
        m_directory.noteEnded(targetId, request.move->tokens);
        m_host.log(log_event::request_moved, request,
                   {{"server", request.run.serverId},
                    {"target", targetId},
                    {"events", static_cast<std::int64_t>(request.lastEvent)},
                    {"bulk_ms", (request.move->copiedAt - request.move->startedAt) / US_PER_MS},
                    {"stopped_ms", (m_clock.now() - request.move->stopAt) / US_PER_MS},
                    {"took_ms", took / US_PER_MS}});
        request.move.reset();
        request.unplannedSince.reset();
        noteLeft(request);
        ++request.moves;
        m_host.observeMove(took);
        m_host.goOnAt(request, targetId, copy);
    }
    run_mover_options m_options;
    Clock m_clock;
    server_directory &m_directory;
    Host &m_host;
    timer_queue<std::uint64_t> m_timers;
    std::unordered_map<std::string, evacuation_plan> m_plans;
    std::unordered_map<std::uint64_t, std::uint64_t> m_requestOf;
    std::uint64_t m_lastCopyId = 0;
};

} // namespace marjoram
