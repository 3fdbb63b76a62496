#pragma once

#include "forwarding/forwardtypes.h"
#include "framework/global/clock.h"
#include "innerprotocol/reportframes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace marjoram {

/// How far a request has got.
enum class request_phase { waiting, asking, sent, streaming };
inline constexpr std::array requestPhaseNames{
    enum_name<request_phase>{request_phase::waiting, "waiting"},
    enum_name<request_phase>{request_phase::asking, "asking"},
    enum_name<request_phase>{request_phase::sent, "sent"},
    enum_name<request_phase>{request_phase::streaming, "streaming"},
};
constexpr auto namesOf(request_phase) -> const auto &
{
    return requestPhaseNames;
}

/// How far the move of a running generation to another engine has got.
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

/// Move of a running generation.
struct run_move
{
    move_stage stage = move_stage::asking;
    /// Question to the target's reporter.
    std::uint64_t askId = 0;
    std::uint64_t copyId = 0;
    std::string targetId;
    endpoint target;
    /// Memory of the run, in tokens; counted in at the target from the first copy on.
    std::uint64_t tokens = 0;
    /// Names the copy at the target, once there is one.
    std::string handle;
    /// The source has ended its stream.
    bool sourceEnded = false;
    time_us startedAt;
    time_us copiedAt;
    /// When the run was stopped and the rest ordered.
    time_us stopOrderedAt;
};

/// One sending of a request to a backend server.
struct request_run
{
    std::uint64_t exchangeId = 0;
    std::string serverId;
    endpoint server;
    /// Memory counted in at the server, in tokens.
    std::uint64_t tokens = 0;
    /// It goes on from a copy of an earlier run's memory, so that it is the same run.
    std::optional<kv_copy> copy;
};

/// Question to a reporter whether there is room for a request.
struct room_request
{
    std::uint64_t askId = 0;
    time_us askedAt;
    std::string serverId;
    endpoint server;
    /// Questions since the request last waited.
    std::uint32_t count = 0;
    std::uint32_t unanswered = 0;
    /// Servers that had no room, and what the last one said.
    std::vector<std::string> serversWithoutRoom;
    room_verdict lastVerdict = room_verdict::granted;
};

/// A request from when it is read until its answer is complete.
struct request_state
{
    std::uint64_t number = 0;
    /// 0 once the caller has left.
    std::uint64_t callerId = 0;
    forward_request_ptr request;
    /// Keeps `route` alive.
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
    request_phase phase = request_phase::waiting;
    request_run run;
    std::optional<run_move> move;
    /// Since when it waits for its leaving server to say whose turn it is.
    std::optional<time_us> awaitingTurnSince;
    /// Sends that may have begun to run.
    std::uint32_t attempts = 0;
    std::uint32_t sends = 0;
    /// Servers that have failed or refused this request.
    std::vector<std::string> excludedServers;
    /// Targets that had no room for a copy.
    std::vector<std::string> refusedTargets;
    /// Targets whose reporters gave no room of late.
    std::vector<std::string> busyTargets;
    /// What the last of them said.
    room_verdict lastMoveRefusal = room_verdict::granted;
    bool noRoomLogged = false;
    /// It has let others go first, since it may end before its server does.
    bool deferredOnce = false;
    bool streamStarted = false;
    std::uint64_t lastEvent = 0;
    std::uint64_t eventsDelivered = 0;
    std::uint32_t moves = 0;
    time_us lastEventAt;
    /// Longest time between two events, and from opening to the first.
    std::int64_t longestPauseUs = 0;
    std::int64_t firstEventUs = 0;

    auto isGeneration() const -> bool { return route->kind == work_kind::generation; }
    auto engine() const -> const engine_traits *
    {
        return pool && pool->engine ? &*pool->engine : nullptr;
    }
    /// Tokens made so far, as far as the events tell.
    auto producedTokens() const -> std::uint32_t
    {
        const auto perEvent = engine() ? engine()->tokensPerEvent : 1;
        return static_cast<std::uint32_t>(lastEvent * perEvent);
    }
    auto promptTokens() const -> std::uint32_t { return request->generation.promptTokens; }
};

} // namespace marjoram
