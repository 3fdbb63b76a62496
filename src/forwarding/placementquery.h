#pragma once

#include "framework/global/clock.h"
#include "manifest/routetable.h"
#include "serverviews/serverview.h"

#include <algorithm>
#include <string>
#include <vector>

namespace marjoram {

/// Options for placing plain requests on servers that state their present time of work.
struct plain_placement_options
{
    /// Time within which half of a stated slowdown is forgotten: of the order of the time between
    /// its changes. A longer one keeps avoiding servers that have recovered.
    std::int64_t slowdownHalfLifeUs = 200 * US_PER_MS;
    /// The same for the usual time of work, so that a server that seemed slow is tried again.
    std::int64_t usualHalfLifeUs = 10 * US_PER_SECOND;
    /// What a caller may lose in time before a request goes to another data centre.
    std::int64_t remoteCostUs = 1 * US_PER_MS;
};

/// Properties of the request that a placement policy uses.
struct placement_query
{
    std::string dataCentre;
    const pool_entry *pool = nullptr;
    const std::vector<std::string> *excludedServers = nullptr;
    /// Whether the request is a generation, which needs KV cache memory.
    bool generation = false;
    /// Whether a running generation is being moved. A copy between data centres takes twice as
    /// long.
    bool moving = false;
    /// Expected KV cache memory, in tokens.
    std::uint64_t expectedTokens = 0;
    /// Of these, prompt to be read and output still to be produced.
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    /// Time within which its first token is wanted.
    std::int64_t latencyTargetUs = US_PER_SECOND;
    /// Data centres of the servers on which this plain request has failed, one for each; null for
    /// its first try.
    const std::vector<std::string> *failedDataCentres = nullptr;
    plain_placement_options plain;
    /// Number of entries that place requests by the same reports.
    std::uint32_t entries = 1;
    time_us now;
};

/// KV cache memory of an engine that is used or reserved, in tokens.
inline auto committedTokens(const server_view &view) -> std::uint64_t
{
    if (!view.report) {
        return view.forecastTokens;
    }
    const auto reported
        = view.report->usedTokens + view.report->nextTokens + view.tokensSinceReport;
    return std::max(reported, view.forecastTokens);
}

/// Requests at a server, including those sent since its last report.
inline auto occupancy(const server_view &view) -> std::uint32_t
{
    auto known = view.inFlight;
    if (view.report) {
        known = std::max(known, view.report->running + view.report->waiting + view.sentSinceReport);
    } else if (view.load) {
        known = std::max(known, view.load->running + view.load->waiting);
    }
    return known;
}

/// Prompts that a server must read before that of a new request.
inline auto promptsAhead(const server_view &view) -> std::uint32_t
{
    const auto known = view.report ? view.report->starting + view.report->waiting : 0;
    return known + view.sentSinceReport;
}

} // namespace marjoram
