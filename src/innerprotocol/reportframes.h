#pragma once

#include "quarantine/runobservation.h"
#include "serverviews/serverentry.h"

#include <cstdint>
#include <string>
#include <vector>

namespace marjoram {

/// Entry to reporter: reports are wanted for a while.
struct report_request_frame
{
    std::string host;
    /// Software of the backend server's process that started then, as the published list states it;
    /// 0 if the entry doesn't know it.
    std::int64_t bornUnixMs = 0;
    server_software software;
    /// Time of the entry's clock; the reports that follow state it.
    std::int64_t sentAtUs = 0;

    template <typename Self, typename Visitor>
    static auto visitFields(Self &self, Visitor &&visit) -> void
    {
        visit(self.host);
        visit(self.bornUnixMs);
        visit(self.software);
        visit(self.sentAtUs);
    }
};

/// Reporter to entry: what a backend server says of itself.
struct server_report_frame
{
    /// IP:PORT of the backend server.
    std::string server;
    std::uint64_t sequence = 0;
    /// The backend server answers the reporter.
    bool answering = false;
    bool leaving = false;
    bool leavesKnown = false;
    /// Time until it is gone; only with `leavesKnown`.
    std::int64_t leavesMs = 0;
    std::int64_t bornUnixMs = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Of those running, the ones that have made nothing yet.
    std::uint32_t starting = 0;
    std::uint64_t usedTokens = 0;
    std::uint64_t capacityTokens = 0;
    std::uint64_t nextTokens = 0;
    /// Only while it is leaving: time since that was first seen, and what runs.
    std::int64_t leavingForMs = 0;
    std::vector<server_run> runs;
    /// Id of the run that may be moved away now; empty when none may.
    std::string turn;
    /// Entries that have asked for reports of late.
    std::uint32_t listeners = 0;
    /// Whether any entry has told of a limit; the limit; time until a request is granted within it.
    bool rateLimitKnown = false;
    server_rate_limit rateLimit;
    std::int64_t limitedForMs = 0;
    /// Time that each run takes for one event at present; 0 if unknown.
    std::uint32_t usPerEvent = 0;
    /// Time that work takes on the engine's host at this moment, in percent of the usual one; 0 if
    /// unknown.
    std::uint32_t slowdownPercent = 0;
    /// Requests per 1,000 seconds that the reporter grants while the server is cold, 0 if it knows
    /// no such limit, and for how long the server is cold.
    std::uint64_t coldMilliPerSecond = 0;
    std::int64_t coldForMs = 0;
    /// Time since the backend server last answered the reporter, counted from the question.
    std::int64_t answeredAgoMs = 0;
    /// The latest request for reports that the reporter has got from this entry: its `sentAtUs`, 0
    /// if there is none, and the time since it came. An entry can't tell by the arrival of a report
    /// when it was made: it may have waited on the way, or in the entry's socket.
    std::int64_t requestSentAtUs = 0;
    std::int64_t requestAgoMs = 0;

    template <typename Self, typename Visitor>
    static auto visitFields(Self &self, Visitor &&visit) -> void
    {
        visit(self.server);
        visit(self.sequence);
        visit(self.answering);
        visit(self.leaving);
        visit(self.leavesKnown);
        visit(self.leavesMs);
        visit(self.bornUnixMs);
        visit(self.running);
        visit(self.waiting);
        visit(self.starting);
        visit(self.usedTokens);
        visit(self.capacityTokens);
        visit(self.nextTokens);
        visit(self.leavingForMs);
        visit(self.runs);
        visit(self.turn);
        visit(self.listeners);
        visit(self.rateLimitKnown);
        visit(self.rateLimit);
        visit(self.limitedForMs);
        visit(self.usPerEvent);
        visit(self.slowdownPercent);
        visit(self.coldMilliPerSecond);
        visit(self.coldForMs);
        visit(self.answeredAgoMs);
        visit(self.requestSentAtUs);
        visit(self.requestAgoMs);
    }
};

/// Entry to reporter: the rate limit that an answer of the backend server stated, or none.
struct rate_limit_frame
{
    server_rate_limit rateLimit;

    template <typename Self, typename Visitor>
    static auto visitFields(Self &self, Visitor &&visit) -> void
    {
        visit(self.rateLimit);
    }
};

/// Reporter to entry, then from entry to entry by way of other reporters: a backend server has
/// started, which the published list may not show yet. Only the list tells the server's pool for
/// certain: an address may have been given to a server of another one.
struct server_news_frame
{
    /// Path of an announcement: reporter, entry, another reporter, all its entries.
    static constexpr std::uint32_t MAX_RELAYS = 2;

    std::string id;
    /// IP:PORT of the backend server.
    std::string server;
    std::int64_t bornUnixMs = 0;
    /// Times it has been passed on.
    std::uint32_t relays = 0;
    /// Models that the backend server itself reports.
    std::vector<std::string> models;

    template <typename Self, typename Visitor>
    static auto visitFields(Self &self, Visitor &&visit) -> void
    {
        visit(self.id);
        visit(self.server);
        visit(self.bornUnixMs);
        visit(self.relays);
        visit(self.models);
    }
};

/// Entry to reporter: asks for all observations that it keeps.
struct observations_request_frame
{
    std::string host;

    template <typename Self, typename Visitor>
    static auto visitFields(Self &self, Visitor &&visit) -> void
    {
        visit(self.host);
    }
};
/// Entry to a few reporters, and reporter to its entries: what became of runs.
struct run_observations_frame
{
    std::vector<run_observation> observations;

    template <typename Self, typename Visitor>
    static auto visitFields(Self &self, Visitor &&visit) -> void
    {
        visit(self.observations);
    }
};
/// Spreads observations over frames that each fit into a datagram. Thread safe.
inline auto framesOf(const std::vector<run_observation> &observations)
    -> std::vector<run_observations_frame>
{
    constexpr std::size_t OBSERVATIONS_PER_FRAME = 6;
    std::vector<run_observations_frame> out;
    for (const auto &seen : observations) {
        if (out.empty() || out.back().observations.size() >= OBSERVATIONS_PER_FRAME) {
            out.emplace_back();
        }
        out.back().observations.push_back(seen);
    }
    return out;
}

/// Entry to reporter: whether a generation may be sent to the backend server now.
struct room_request_frame
{
    std::uint64_t askId = 0;
    /// Id under which the backend server will list the run.
    std::string requestId;
    /// Memory it is expected to take in the end, in tokens.
    std::uint64_t expectedTokens = 0;
    /// Prompts that may be read before its own.
    std::uint32_t promptsAhead = 0;
    /// Output it is expected to make, in tokens; part of the above.
    std::uint64_t outputTokens = 0;
    /// The run is to be moved here from another server.
    bool landing = false;
    /// Order among requests that wait for room: 0 is the most urgent.
    std::uint32_t urgency = 0;
    std::string team;
    /// How long the request may wait at the reporter for room; 0 asks for a verdict at once.
    std::int64_t waitMs = 0;
    /// Time left until the request must start to meet its latency target; negative once it is late.
    std::int64_t startWithinMs = 0;
    /// Requests per 1,000 seconds that the server sustains while it is cold, 0 if that is not
    /// limited, and for how long it is cold as far as the entry knows.
    std::uint64_t coldMilliPerSecond = 0;
    std::int64_t coldForMs = 0;

    template <typename Self, typename Visitor>
    static auto visitFields(Self &self, Visitor &&visit) -> void
    {
        visit(self.askId);
        visit(self.requestId);
        visit(self.expectedTokens);
        visit(self.promptsAhead);
        visit(self.outputTokens);
        visit(self.landing);
        visit(self.urgency);
        visit(self.team);
        visit(self.waitMs);
        visit(self.startWithinMs);
        visit(self.coldMilliPerSecond);
        visit(self.coldForMs);
    }
};

/// Entry to reporter: a room request is no longer wanted, whether it waits or was granted.
struct room_withdrawal_frame
{
    std::uint64_t askId = 0;
    std::string requestId;

    template <typename Self, typename Visitor>
    static auto visitFields(Self &self, Visitor &&visit) -> void
    {
        visit(self.askId);
        visit(self.requestId);
    }
};

/// What an entry says of the move of a run.
enum class move_note { begun, ended, put_off };
inline constexpr std::array moveNoteNames{
    enum_name<move_note>{move_note::begun, "begun"},
    enum_name<move_note>{move_note::ended, "ended"},
    enum_name<move_note>{move_note::put_off, "put_off"},
};
constexpr auto namesOf(move_note) -> const auto &
{
    return moveNoteNames;
}

/// Entry to the reporters of a move's source and target. Once it has ended, the links are free.
struct move_note_frame
{
    std::string requestId;
    move_note note = move_note::ended;

    template <typename Self, typename Visitor>
    static auto visitFields(Self &self, Visitor &&visit) -> void
    {
        visit(self.requestId);
        visit(self.note);
    }
};

/// What a reporter says of room at its backend server.
enum class room_verdict {
    granted,
    not_answering,
    leaving,
    memory_taken,
    prompts_ahead,
    link_busy,
    rate_limited,
    /// The request waits at the reporter; its verdict follows.
    queued
};
inline constexpr std::array roomVerdictNames{
    enum_name<room_verdict>{room_verdict::granted, "granted"},
    enum_name<room_verdict>{room_verdict::not_answering, "not_answering"},
    enum_name<room_verdict>{room_verdict::leaving, "leaving"},
    enum_name<room_verdict>{room_verdict::memory_taken, "memory_taken"},
    enum_name<room_verdict>{room_verdict::prompts_ahead, "prompts_ahead"},
    enum_name<room_verdict>{room_verdict::link_busy, "link_busy"},
    enum_name<room_verdict>{room_verdict::rate_limited, "rate_limited"},
    enum_name<room_verdict>{room_verdict::queued, "queued"},
};
constexpr auto namesOf(room_verdict) -> const auto &
{
    return roomVerdictNames;
}

/// Reporter to entry: the answer, with the state that decided it.
struct room_reply_frame
{
    std::uint64_t askId = 0;
    room_verdict verdict = room_verdict::not_answering;
    server_report_frame report;
    /// Time until a request of this size is expected to get room here; -1 if unknown.
    std::int64_t expectedWaitMs = -1;

    template <typename Self, typename Visitor>
    static auto visitFields(Self &self, Visitor &&visit) -> void
    {
        visit(self.askId);
        visit(self.verdict);
        visit(self.report);
        visit(self.expectedWaitMs);
    }
};

} // namespace marjoram
