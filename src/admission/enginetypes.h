#pragma once

#include "framework/global/clock.h"
#include "framework/tracing/span.h"
#include "generations/generationrequest.h"
#include "limits/admissiongate.h"

#include <string>
#include <vector>

namespace marjoram {

/// Options of an engine_core.
struct engine_core_options
{
    admission_options admission;
    /// Time within which a granted bid must be started before its reservation is released.
    std::int64_t grantTimeoutUs = 500 * US_PER_MS;
    /// Time for which a finished generation, or one without an attached entry, is kept.
    std::int64_t keepUs = 15 * US_PER_SECOND;
    /// Maximum number of waiting bids.
    std::size_t waitingLimit = 4'096;
    /// Maximum number of finished generations kept for reattachment.
    std::size_t finishedLimit = 512;
    /// Number of unsent tokens of a generation above which the engine's stream is paused.
    std::size_t unsentLimit = 512;
    /// Time without new work for the engine after it has failed.
    std::int64_t engineBackoffUs = 500 * US_PER_MS;
    /// Engine failures after which a generation without an entry is dropped.
    std::uint32_t maxEngineFailures = 2;
    /// Wait after which an urgent bid may preempt running standard work.
    std::int64_t urgentPatienceUs = 100 * US_PER_MS;
    /// Wait after which an underserved team may preempt a team that has more than its even share of
    /// the batch.
    std::int64_t teamPatienceUs = 50 * US_PER_MS;
};

/// Work submitted to the engine. A generation is submitted again after each preemption.
struct engine_job
{
    /// Identifies this submission; tokens that arrive for an unknown serial are ignored.
    std::uint64_t serial = 0;
    generation_id generation;
    generation_request request;
    /// Tokens produced so far, from which the engine continues.
    std::vector<std::string> given;
    trace_context trace;
};

/// Load reported by an engine.
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

/// Bid waiting for admission, or interrupted run waiting to be resumed.
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
    /// True for an interrupted run, false for a bid.
    bool resumed = false;
};

} // namespace marjoram
