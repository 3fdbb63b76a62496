#pragma once

#include "framework/global/clock.h"
#include "framework/tracing/span.h"
#include "generations/generationrequest.h"
#include "limits/admissiongate.h"

#include <string>
#include <vector>

namespace marjoram {

/// Options of the decisions beside one engine.
struct engine_core_options
{
    admission_options admission;
    /// Time a granted bid keeps its room until its start must have come.
    std::int64_t grantTimeoutUs = 500 * US_PER_MS;
    /// Time a generation without an attached entry is kept.
    std::int64_t keepUs = 15 * US_PER_SECOND;
    /// Bids that may wait.
    std::size_t waitingLimit = 4'096;
    /// Finished generations kept for reattachment.
    std::size_t finishedLimit = 512;
    /// Unsent tokens of one generation beyond which the engine's stream is paused.
    std::size_t unsentLimit = 512;
    /// Pause after the engine has failed before it gets new work.
    std::int64_t engineBackoffUs = 500 * US_PER_MS;
    /// Wait after which an urgent bid may displace running standard work.
    std::int64_t urgentPatienceUs = 100 * US_PER_MS;
    /// Wait after which a team with nothing running may displace a team that has much.
    std::int64_t teamPatienceUs = 50 * US_PER_MS;
};

/// One stretch of a generation on the engine.
struct engine_job
{
    /// Identity of the stretch; tokens of any other are not believed.
    std::uint64_t serial = 0;
    generation_id generation;
    generation_request request;
    /// Tokens already produced, on which the engine conditions what follows.
    std::vector<std::string> given;
    trace_context trace;
};

/// What an engine says of its load.
struct engine_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t kvUsedTokens = 0;
    std::uint64_t kvCapacityTokens = 0;
    std::int64_t stepUs = 0;
    std::uint64_t preemptions = 0;
    std::vector<std::string> models;
};

/// Bid that waits for room, or preempted work that waits to go on.
struct waiting_generation
{
    rank workRank = rank::standard;
    std::string team;
    std::uint32_t weight = 1;
    std::uint64_t linkId = 0;
    generation_id generation;
    std::uint32_t attempt = 0;
    generation_footprint footprint;
    time_us waitingSince;
    time_us deadline;
    /// Preempted here before, rather than a bid.
    bool resumed = false;
};

} // namespace marjoram
