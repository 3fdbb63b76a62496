#pragma once

#include "callers/callerevents.h"
#include "framework/global/clock.h"
#include "generations/tokensequencer.h"
#include "routing/routingpolicies.h"

#include <string>
#include <vector>

namespace marjoram {

/// Where a caller's generation stands, as its entry sees it.
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

/// A caller's generation at its entry. Soft state: the agent holds what must survive the entry.
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
    boost::container::static_vector<std::string, MOST_BIDS> bids;
    /// Times that further agents were bid at for the current attempt.
    std::uint32_t extraBidRounds = 0;
    /// Agents that have refused the current attempt.
    std::vector<std::string> refusedBy;
    failure lastRefusal = failure::no_backend_server;
    std::uint32_t retryAfterMs = 0;
    /// Agent that runs the generation, or to which it is being attached.
    std::string host;
    token_sequencer sequencer;
    /// The whole answer so far, from position 0.
    std::vector<std::string> tokens;
    /// Position up to which a returning caller has the answer already.
    std::uint64_t resumePosition = 0;
    /// Room that the caller has granted and that has not been passed on to an agent's use.
    std::uint64_t credit = 0;
    /// Counted among the waiting requests of its team.
    bool countedAsWaiting = false;
    /// Newest attach; the answer to an older one is not for this.
    std::uint64_t attachId = 0;
    /// Agents already asked for a kept generation.
    std::vector<std::string> attachAttempts;
    std::int64_t waitStartedUnixMs = 0;
    time_us openedAt;
    time_us firstTokenAt;
    /// When a bid must have been granted.
    time_us deadline;
};

} // namespace marjoram
