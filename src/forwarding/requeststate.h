#pragma once

#include "forwarding/forwardtypes.h"
#include "forwarding/waitingroom.h"
#include "framework/global/clock.h"
#include "innerprotocol/reportframes.h"
#include "locality/spillovertypes.h"
#include "serverviews/softwarehistory.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace marjoram {

/// Progress of a request.
enum class request_phase {
    waiting,
    asking,
    sent,
    streaming,
    /// The stream has ended; whether it is complete is not known yet.
    ending
};
inline constexpr std::array requestPhaseNames{
    enum_name<request_phase>{request_phase::waiting, "waiting"},
    enum_name<request_phase>{request_phase::asking, "asking"},
    enum_name<request_phase>{request_phase::sent, "sent"},
    enum_name<request_phase>{request_phase::streaming, "streaming"},
    enum_name<request_phase>{request_phase::ending, "ending"},
};
constexpr auto namesOf(request_phase) -> const auto &
{
    return requestPhaseNames;
}

/// Progress of moving a running generation to another engine.
enum class move_stage { asking, copying, copied, stopping, stopped, refused };
inline constexpr std::array moveStageNames{
    enum_name<move_stage>{move_stage::asking, "asking"},
    enum_name<move_stage>{move_stage::copying, "copying"},
    enum_name<move_stage>{move_stage::copied, "copied"},
    enum_name<move_stage>{move_stage::stopping, "stopping"},
    enum_name<move_stage>{move_stage::stopped, "stopped"},
    enum_name<move_stage>{move_stage::refused, "refused"},
};
constexpr auto namesOf(move_stage) -> const auto &
{
    return moveStageNames;
}

/// State of moving a running generation.
struct run_move
{
    move_stage stage = move_stage::asking;
    /// Id of the room request to the target's reporter.
    std::uint64_t askId = 0;
    std::uint64_t copyId = 0;
    std::string targetId;
    endpoint target;
    /// KV cache memory of the run, in tokens; counted at the target from the first copy on.
    std::uint64_t tokens = 0;
    /// Handle of the copy at the target, once it exists.
    std::string handle;
    /// Whether the source has ended its stream.
    bool sourceEnded = false;
    time_us startedAt;
    time_us copiedAt;
    /// When the run was stopped and the final copy ordered.
    time_us stopOrderedAt;
};

/// One send of a request to a backend server.
struct request_run
{
    std::uint64_t exchangeId = 0;
    std::string serverId;
    /// Start time of the server's process, as far as it was known; 0 if it states none.
    std::int64_t bornUnixMs = 0;
    endpoint server;
    time_us sentAt;
    /// Why it was sent to another data centre; counted only if the data centres are balanced.
    std::optional<spill_reason> spilled;
    /// KV cache memory counted at the server, in tokens.
    std::uint64_t tokens = 0;
    /// Copy from which an earlier run resumes; unset for a new run.
    std::optional<kv_copy> copy;
    /// Whether the response of this server has begun.
    bool begun = false;
    /// The server was ordered to stop this run, or one before it and the order may come late.
    bool stopOrdered = false;
    /// Events with an id received, from servers before a move too, and whether they are so many
    /// that the run does not crash servers.
    std::uint64_t events = 0;
    bool survivedStart = false;
    /// Events of this run that were forwarded.
    std::uint64_t forwardedEvents = 0;
    /// The process that runs it is known to be the one that it was sent to.
    bool processConfirmed = false;

    auto process() const -> server_process { return {.address = server, .bornUnixMs = bornUnixMs}; }
};

/// State of asking reporters for room.
struct room_request
{
    std::uint64_t askId = 0;
    time_us askedAt;
    std::string serverId;
    endpoint server;
    /// Room requests sent since the request last waited.
    std::uint32_t count = 0;
    std::uint32_t unanswered = 0;
    /// Servers that had no room, and the latest verdict.
    std::vector<std::string> serversWithoutRoom;
    room_verdict lastVerdict = room_verdict::granted;
};

/// State of a request from its arrival until its response is complete.
struct request_state
{
    std::uint64_t number = 0;
    /// 0 once the caller has disconnected.
    std::uint64_t callerId = 0;
    forward_request_ptr request;
    /// Keeps `route` and `pool` alive.
    route_table_ptr table;
    const route_entry *route = nullptr;
    const pool_entry *pool = nullptr;
    std::string team;
    std::uint32_t urgency = 0;
    time_us openedAt;
    time_us deadline;
    /// End of the wait for room, once it has begun.
    std::optional<time_us> waitUntil;
    room_request roomRequest;
    waiting_room waiting;
    request_phase phase = request_phase::waiting;
    request_run run;
    std::optional<run_move> move;
    /// Since when the request has waited for its leaving server to report whose turn it is.
    std::optional<time_us> awaitingTurnSince;
    /// Sends after which the request may have run.
    std::uint32_t attempts = 0;
    std::uint32_t sends = 0;
    /// Servers that failed or refused this request.
    std::vector<std::string> excludedServers;
    /// Servers whose answer to the order to stop a run of this request is not known. The order may
    /// still reach them, and stop a later run there.
    std::vector<std::string> unansweredStops;
    /// Move targets that had no room for a copy.
    std::vector<std::string> refusedTargets;
    /// Move targets whose reporters refused in this turn.
    std::vector<std::string> busyTargets;
    /// Verdict of the last reporter that refused a move.
    room_verdict lastMoveRefusal = room_verdict::granted;
    bool noRoomLogged = false;
    /// It has already let others move first because it may finish before its server shuts down.
    bool deferredOnce = false;
    bool streamStarted = false;
    /// What began the stream; set once an event has been forwarded, in this response or in an
    /// earlier one that the caller resumes.
    std::optional<run_origin> origin;
    /// What the present run has sent, held until its process is confirmed.
    std::vector<server_event> heldEvents;
    std::uint64_t lastEvent = 0;
    /// The last one of the events that came first.
    std::uint64_t firstBatchEvent = 0;
    /// It has shown the pace of its pool.
    bool paceSeen = false;
    std::uint64_t eventsDelivered = 0;
    std::uint64_t bytesDelivered = 0;
    /// Largest distance between the ids of two successive events of a run.
    std::uint64_t longestIdStep = 0;
    std::uint32_t moves = 0;
    time_us lastEventAt;
    /// When the stream ended; set while that is all that is known of its end.
    time_us endedAt;
    /// Longest time between two events, and time from opening to the first.
    std::int64_t longestPauseUs = 0;
    std::int64_t firstEventUs = 0;

    /// Whether an order to stop an earlier run may still stop a new one at that server.
    auto mayBeStopped(const std::string &serverId) const -> bool
    {
        return std::find(unansweredStops.begin(), unansweredStops.end(), serverId)
               != unansweredStops.end();
    }
    auto isGeneration() const -> bool { return route->kind == work_kind::generation; }
    /// Whether the current run continues the stream of an earlier one and has not added to it yet.
    auto awaitsContinuation() const -> bool
    {
        return eventsDelivered > 0 && run.forwardedEvents == 0;
    }
    auto engine() const -> const engine_traits *
    {
        return pool && pool->engine ? &*pool->engine : nullptr;
    }
    auto tokensPerEvent() const -> std::uint32_t { return engine() ? engine()->tokensPerEvent : 1; }
    /// Tokens produced so far, estimated from the number of events. A server may number its events
    /// as it likes.
    auto producedTokens() const -> std::uint32_t
    {
        constexpr std::uint64_t MAX_TOKENS = UINT32_MAX;
        const auto events = std::min(lastEvent, MAX_TOKENS);
        return static_cast<std::uint32_t>(std::min(events * tokensPerEvent(), MAX_TOKENS));
    }
    auto promptTokens() const -> std::uint32_t { return request->generation.promptTokens; }
};

} // namespace marjoram
