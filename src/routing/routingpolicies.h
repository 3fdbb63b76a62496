#pragma once

#include "framework/global/identifiers.h"
#include "routing/agentdirectory.h"

#include <algorithm>
#include <boost/container/static_vector.hpp>
#include <random>

namespace marjoram {

/// Properties of a generation on which routing is based.
struct route_request
{
    std::string model;
    rank workRank = rank::standard;
    std::uint64_t prefix = 0;
    std::uint32_t expectedTokens = 0;
    /// Data centre of the entry.
    std::string dataCentre;
};

/// Maximum number of open bids of one generation.
inline constexpr std::size_t MAX_BIDS = 8;
/// Agents to which a generation sends bids, best first.
using bid_targets = boost::container::static_vector<const agent_view *, MAX_BIDS>;

/// Chooses the agents to which a generation sends bids. `usable` is sorted by host.
template <typename P>
concept routing_policy
    = requires(const route_request &request, const std::vector<const agent_view *> &usable,
               prefix_hints &hints, random_source &random)
{
    {
        P::choose(request, usable, hints, random)
        } -> std::same_as<bid_targets>;
};

/// KV cache utilization of an agent, including work sent since its last report; 1 is full.
inline auto kvUtilization(const agent_view &view) -> double
{
    const auto capacity = std::max<double>(1.0, static_cast<double>(view.report.kvCapacityTokens));
    const auto used = static_cast<double>(view.report.kvUsedTokens + view.tokensSinceReport);
    return used / capacity;
}

/// Number of bids waiting at an agent ahead of a new one of a rank.
inline auto waitingAhead(const agent_view &view, rank r) -> std::uint32_t
{
    return view.report.waitingUrgent + (r == rank::standard ? view.report.waitingStandard : 0);
}

/// Late binding: bids at one agent if the best candidate seems to have room, otherwise at several,
/// of which the first to grant its bid gets the generation. Candidates are the agents that probably
/// have the prompt prefix cached and a random sample. Sampling keeps entries with the same outdated
/// state from all choosing the same agent.
struct late_binding
{
    static auto choose(const route_request &request, const std::vector<const agent_view *> &usable,
                       prefix_hints &hints, random_source &random) -> bid_targets
    {
        boost::container::static_vector<scored_agent, SAMPLE_SIZE + prefix_hints::HOSTS_PER_PREFIX>
            candidates;
        for (const auto &host : hints.hostsOf(request.prefix)) {
            const auto *view = findIn(usable, host);
            if (view) {
                candidates.push_back({.view = view, .score = score(*view, request) - PREFIX_BONUS});
            }
        }
        for (std::size_t i = 0; i < SAMPLE_SIZE && !usable.empty(); ++i) {
            const auto *view = usable[random() % usable.size()];
            const auto isKnown
                = std::any_of(candidates.begin(), candidates.end(),
                              [view](const scored_agent &one) { return one.view == view; });
            if (!isKnown) {
                candidates.push_back({.view = view, .score = score(*view, request)});
            }
        }
        std::sort(candidates.begin(), candidates.end(),
                  [](const scored_agent &a, const scored_agent &b) { return a.score < b.score; });
        bid_targets out;
        for (const auto &one : candidates) {
            if (out.size() == BIDS_WITHOUT_ROOM) {
                break;
            }
            out.push_back(one.view);
            if (out.size() == 1 && hasRoom(*one.view, request.workRank)) {
                break;
            }
        }
        return out;
    }

private:
    static constexpr std::size_t SAMPLE_SIZE = 5;
    static constexpr std::size_t BIDS_WITHOUT_ROOM = 3;
    static constexpr double PREFIX_BONUS = 0.35;
    static constexpr double REMOTE_PENALTY = 0.10;
    static constexpr double WAITING_PENALTY = 0.05;
    static constexpr double MAX_UTILIZATION_WITH_ROOM = 0.7;
    static constexpr double STEP_TARGET_US = 66'000.0;
    static constexpr double SLOW_STEP_WEIGHT = 0.5;

    struct scored_agent
    {
        const agent_view *view = nullptr;
        double score = 0.0;
    };

    /// Precondition: `usable` is sorted by host.
    static auto findIn(const std::vector<const agent_view *> &usable, const std::string &host)
        -> const agent_view *
    {
        const auto at = std::lower_bound(
            usable.begin(), usable.end(), host,
            [](const agent_view *view, const std::string &name) { return view->host < name; });
        return at != usable.end() && (*at)->host == host ? *at : nullptr;
    }
    static auto hasRoom(const agent_view &view, rank r) -> bool
    {
        return kvUtilization(view) < MAX_UTILIZATION_WITH_ROOM && waitingAhead(view, r) == 0;
    }
    /// KV cache utilization plus penalties; the agent with the lowest score is best.
    static auto score(const agent_view &view, const route_request &request) -> double
    {
        const auto waiting = waitingAhead(view, request.workRank) + view.sentSinceReport;
        const auto remotePenalty = view.dataCentre != request.dataCentre ? REMOTE_PENALTY : 0.0;
        const auto slowStepPenalty = SLOW_STEP_WEIGHT * view.report.stepUs / STEP_TARGET_US;
        return kvUtilization(view) + WAITING_PENALTY * waiting + remotePenalty + slowStepPenalty;
    }
};

/// Like late_binding, but bids only at the best candidate.
struct early_binding
{
    static auto choose(const route_request &request, const std::vector<const agent_view *> &usable,
                       prefix_hints &hints, random_source &random) -> bid_targets
    {
        auto out = late_binding::choose(request, usable, hints, random);
        out.resize(std::min<std::size_t>(out.size(), 1));
        return out;
    }
};

/// Baseline: the agent with the fewest generations, running and waiting, in its last report.
struct least_loaded
{
    static auto choose(const route_request &, const std::vector<const agent_view *> &usable,
                       prefix_hints &, random_source &) -> bid_targets
    {
        const auto least = std::min_element(
            usable.begin(), usable.end(),
            [](const agent_view *a, const agent_view *b) { return load(*a) < load(*b); });
        return least == usable.end() ? bid_targets{} : bid_targets{*least};
    }
    static auto load(const agent_view &view) -> std::uint32_t
    {
        return view.report.running + view.report.waitingUrgent + view.report.waitingStandard;
    }
};

/// Baseline: the less loaded of two randomly chosen agents.
struct two_choices
{
    static auto choose(const route_request &, const std::vector<const agent_view *> &usable,
                       prefix_hints &, random_source &random) -> bid_targets
    {
        if (usable.empty()) {
            return {};
        }
        const auto *a = usable[random() % usable.size()];
        const auto *b = usable[random() % usable.size()];
        return {least_loaded::load(*a) <= least_loaded::load(*b) ? a : b};
    }
};

} // namespace marjoram
