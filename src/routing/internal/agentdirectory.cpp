#include "routing/agentdirectory.h"

#include <algorithm>

namespace marjoram {

auto agent_directory::onHosts(const host_list &hosts) -> void
{
    std::unordered_map<std::string, agent_view> kept;
    for (const auto &entry : hosts.hosts) {
        if (entry.role != process_role::agent) {
            continue;
        }
        auto node = m_views.extract(entry.host);
        auto view = node.empty() ? agent_view{.host = entry.host} : std::move(node.mapped());
        view.dataCentre = entry.dataCentre;
        view.listedLeaving = entry.state != host_state::live;
        kept.emplace(entry.host, std::move(view));
    }
    // An agent that is no longer listed is kept while it is connected, since the list may be out of
    // date.
    for (auto &[host, view] : m_views) {
        if (view.connected) {
            view.listedLeaving = true;
            kept.emplace(host, std::move(view));
        }
    }
    m_views = std::move(kept);
    m_byModel.clear();
    ++m_version;
}

auto agent_directory::onLinkUp(const std::string &host, std::int64_t incarnation, time_us now)
    -> void
{
    auto &view = m_views[host];
    view.host = host;
    if (view.incarnation != incarnation) {
        view.report = {};
        view.consecutiveFailures = 0;
    }
    view.connected = true;
    view.incarnation = incarnation;
    view.lastHeardAt = now;
    m_byModel.clear();
    ++m_version;
}

auto agent_directory::onLinkDown(const std::string &host) -> void
{
    const auto found = m_views.find(host);
    if (found != m_views.end()) {
        found->second.connected = false;
        ++m_version;
    }
}

auto agent_directory::onReport(const std::string &host, const load_report_frame &report,
                               time_us now) -> void
{
    const auto found = m_views.find(host);
    if (found == m_views.end()) {
        return;
    }
    auto &view = found->second;
    const auto changed
        = view.report.models != report.models || view.report.leaving != report.leaving;
    view.report = report;
    view.lastHeardAt = now;
    view.reportedAt = now;
    view.sentSinceReport = 0;
    view.tokensSinceReport = 0;
    for (const auto prefix : report.prefixesCached) {
        m_hints.add(prefix, host);
    }
    for (const auto prefix : report.prefixesEvicted) {
        m_hints.remove(prefix, host);
    }
    m_version += changed ? 1 : 0;
}

auto agent_directory::recordSent(const std::string &host, std::uint64_t tokens) -> void
{
    const auto found = m_views.find(host);
    if (found != m_views.end()) {
        ++found->second.sentSinceReport;
        found->second.tokensSinceReport += tokens;
    }
}

auto agent_directory::recordSuccess(const std::string &host) -> void
{
    const auto found = m_views.find(host);
    if (found == m_views.end() || found->second.consecutiveFailures == 0) {
        return;
    }
    found->second.consecutiveFailures = 0;
    found->second.ejections = 0;
}

auto agent_directory::recordFailure(const std::string &host, time_us now) -> void
{
    const auto found = m_views.find(host);
    if (found == m_views.end()) {
        return;
    }
    auto &view = found->second;
    if (++view.consecutiveFailures < m_options.failuresToEject) {
        return;
    }
    const auto doubled = m_options.baseEjectionUs << std::min<std::uint32_t>(view.ejections, 8);
    view.ejectedUntil = now + std::min(doubled, m_options.maxEjectionUs);
    view.consecutiveFailures = 0;
    ++view.ejections;
    ++m_version;
}

auto agent_directory::find(std::string_view host) const -> const agent_view *
{
    const auto found = m_views.find(std::string(host));
    return found == m_views.end() ? nullptr : &found->second;
}

auto agent_directory::reachable(const agent_view &view) const -> bool
{
    return view.connected && !view.leaving();
}

auto agent_directory::healthy(const agent_view &view, time_us now) const -> bool
{
    return view.ejectedUntil <= now && now - view.lastHeardAt <= m_options.suspectAfterUs;
}

auto agent_directory::usable(const agent_view &view, time_us now) const -> bool
{
    return reachable(view) && healthy(view, now);
}

auto agent_directory::rebuild(model_index &index, const std::string &model, time_us now) const
    -> void
{
    std::vector<const agent_view *> candidates;
    index.usable.clear();
    for (const auto &[host, view] : m_views) {
        const auto &models = view.report.models;
        if (!reachable(view) || std::find(models.begin(), models.end(), model) == models.end()) {
            continue;
        }
        candidates.push_back(&view);
        if (healthy(view, now)) {
            index.usable.push_back(&view);
        }
    }
    const auto excluded = static_cast<double>(candidates.size() - index.usable.size());
    if (excluded > m_options.maxEjectedShare * static_cast<double>(candidates.size())) {
        index.usable = std::move(candidates);
    }
    const auto byHost = [](const agent_view *a, const agent_view *b) { return a->host < b->host; };
    std::sort(index.usable.begin(), index.usable.end(), byHost);
    index.builtAt = now;
    index.version = m_version;
}

auto agent_directory::usableFor(const std::string &model, time_us now)
    -> const std::vector<const agent_view *> &
{
    auto &index = m_byModel[model];
    if (index.version != m_version || now - index.builtAt > INDEX_LIFETIME_US) {
        rebuild(index, model, now);
    }
    return index.usable;
}

} // namespace marjoram
