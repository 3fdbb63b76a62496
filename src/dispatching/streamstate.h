#pragma once

#include "callers/callerevents.h"
#include "framework/global/clock.h"
#include "generations/tokensequencer.h"
#include "routing/routingpolicies.h"

#include <string>
#include <vector>

namespace marjoram {

/// State of a generation at its entry. In `lost`, the link to its agent is down.
enum class stream_phase { bidding, attaching, running, lost };
inline constexpr std::array streamPhaseNames{
    enum_name<stream_phase>{stream_phase::bidding, "bidding"},
    enum_name<stream_phase>{stream_phase::attaching, "attaching"},
    enum_name<stream_phase>{stream_phase::running, "running"},
    enum_name<stream_phase>{stream_phase::lost, "lost"},
};
constexpr auto namesOf(stream_phase) -> const auto &
{
    return streamPhaseNames;
}

/// A caller's generation at its entry. The agent keeps what must survive the loss of the entry.
struct stream_state
{
    std::uint64_t callerId = 0;
    generation_id generation;
    generation_request request;
    trace_context trace;
    bool reattachable = false;
    stream_phase phase = stream_phase::bidding;
    std::uint32_t promptTokens = 0;
    std::uint64_t prefix = 0;
    /// Agents with an open bid.
    boost::container::static_vector<std::string, MAX_BIDS> bids;
    /// Rounds of additional bids since bidding last began; each doubles the delay to the next.
    std::uint32_t extraBidRounds = 0;
    /// Agents that have refused the current attempt.
    std::vector<std::string> refusedBy;
    failure lastRefusal = failure::no_backend_server;
    std::uint32_t retryAfterMs = 0;
    /// Agent that runs the generation or that was asked to attach.
    std::string host;
    token_sequencer sequencer;
    /// Hashes that the request shares with others that may crash engines.
    std::vector<std::uint64_t> traits;
    /// Tokens of the current attempt, and whether it counts as having survived its start.
    std::uint64_t attemptTokens = 0;
    bool survivedStart = false;
    /// The whole answer so far, from position 0.
    std::vector<std::string> tokens;
    /// Number of tokens that a reconnecting caller already has.
    std::uint64_t resumePosition = 0;
    /// Tokens the caller can still take; passed to the agent with start and attach.
    std::uint64_t credit = 0;
    /// Included in the number of waiting requests of its team.
    bool countedAsWaiting = false;
    /// Id of the latest attach; answers to earlier ones are ignored.
    std::uint64_t attachId = 0;
    /// Agents that have already been asked to attach.
    std::vector<std::string> attachAttempts;
    std::int64_t waitStartedUnixMs = 0;
    time_us openedAt;
    time_us firstTokenAt;
    /// Time by which a bid must be granted.
    time_us deadline;
};

} // namespace marjoram
