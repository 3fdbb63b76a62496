#pragma once

#include "membership/hostlist.h"
#include "routing/agentview.h"
#include "routing/prefixhints.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marjoram {

/// Options of an entry's view of the agents.
struct agent_directory_options
{
    /// Silence after which an agent is suspected.
    std::int64_t suspectAfterUs = 3 * US_PER_SECOND;
    /// Failures in a row that eject an agent.
    std::uint32_t failuresToEject = 3;
    std::int64_t baseEjectionUs = 2 * US_PER_SECOND;
    std::int64_t maxEjectionUs = 60 * US_PER_SECOND;
    /// Largest share of agents that suspicion and ejection may take out of use together.
    double maxEjectedShare = 0.34;
};

/// An entry's views of the agents, and which of them may get new work. Suspicion and ejection are
/// bounded: beyond their share they are ignored, so that one slow link at the entry cannot empty
/// the fleet. Not thread safe: belongs to one duty.
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
    /// Work was sent; counted in until the next report.
    auto noteSent(const std::string &host, std::uint64_t tokens) -> void;
    /// Outcome of work, for ejection.
    auto noteSuccess(const std::string &host) -> void;
    auto noteFailure(const std::string &host, time_us now) -> void;

    // --- questions

    auto find(std::string_view host) const -> const agent_view *;
    /// Agents that hold a model and may get new work, sorted by host. Valid until the next event.
    auto usableFor(const std::string &model, time_us now)
        -> const std::vector<const agent_view *> &;
    /// Whether an agent may get new work.
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
    /// Grows with every event that can change who is usable.
    std::uint64_t m_version = 1;
    prefix_hints m_hints;
};

} // namespace marjoram
