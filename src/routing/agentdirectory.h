#pragma once

#include "membership/hostlist.h"
#include "routing/agentview.h"
#include "routing/prefixhints.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marjoram {

/// Options of an agent_directory.
struct agent_directory_options
{
    /// Time without a message after which an agent is considered unhealthy.
    std::int64_t suspectAfterUs = 3 * US_PER_SECOND;
    /// Consecutive failures after which an agent is ejected.
    std::uint32_t failuresToEject = 3;
    /// The duration of an ejection starts at the base and doubles with each further one.
    std::int64_t baseEjectionUs = 2 * US_PER_SECOND;
    std::int64_t maxEjectionUs = 60 * US_PER_SECOND;
    /// Largest share of agents that may be excluded as silent or ejected.
    double maxEjectedShare = 0.34;
};

/// Tracks the agents known to an entry and which of them may get new work. If more than
/// `maxEjectedShare` of them are silent or ejected, both criteria are ignored, so that a network
/// fault at the entry cannot exclude the whole fleet. Not thread safe: belongs to one duty.
class agent_directory
{
public:
    explicit agent_directory(agent_directory_options options)
        : m_options(options)
    { }

    // --- events

    auto onHosts(const host_list &hosts) -> void;
    auto onLinkUp(const std::string &host, std::int64_t incarnation, time_us now) -> void;
    auto onLinkDown(const std::string &host) -> void;
    auto onReport(const std::string &host, const load_report_frame &report, time_us now) -> void;
    /// Records work sent to an agent, which counts as load until its next report.
    auto recordSent(const std::string &host, std::uint64_t tokens) -> void;
    /// Record the outcome of work, on which ejection is based.
    auto recordSuccess(const std::string &host) -> void;
    auto recordFailure(const std::string &host, time_us now) -> void;

    // --- queries

    auto find(std::string_view host) const -> const agent_view *;
    /// Agents that serve a model and may get new work, sorted by host. Valid until the next event.
    auto usableFor(const std::string &model, time_us now)
        -> const std::vector<const agent_view *> &;
    /// Whether an agent is connected, not leaving, not silent and not ejected. Unlike usableFor(),
    /// doesn't consider `maxEjectedShare`.
    auto usable(const agent_view &view, time_us now) const -> bool;
    auto views() const -> const std::unordered_map<std::string, agent_view> & { return m_views; }
    auto hints() -> prefix_hints & { return m_hints; }

private:
    static constexpr std::int64_t INDEX_LIFETIME_US = 20 * US_PER_MS;

    struct model_index
    {
        std::vector<const agent_view *> usable;
        time_us builtAt;
        std::uint64_t version = 0;
    };

    auto reachable(const agent_view &view) const -> bool;
    auto healthy(const agent_view &view, time_us now) const -> bool;
    auto rebuild(model_index &index, const std::string &model, time_us now) const -> void;

    agent_directory_options m_options;
    std::unordered_map<std::string, agent_view> m_views;
    std::unordered_map<std::string, model_index> m_byModel;
    /// Incremented by every event that can change which agents are usable.
    std::uint64_t m_version = 1;
    prefix_hints m_hints;
};

} // namespace marjoram
