#include "routing/prefixhints.h"

#include <algorithm>

namespace marjoram {

auto prefix_hints::add(std::uint64_t prefix, const std::string &host) -> void
{
    auto found = m_holders.find(prefix);
    if (found == m_holders.end()) {
        if (m_holders.size() >= PREFIX_LIMIT) {
            m_holders.erase(m_byRecency.back());
            m_byRecency.pop_back();
        }
        m_byRecency.push_front(prefix);
        found = m_holders.emplace(prefix, prefix_holders{.recency = m_byRecency.begin()}).first;
    }
    m_byRecency.splice(m_byRecency.begin(), m_byRecency, found->second.recency);
    auto &hosts = found->second.hosts;
    std::erase(hosts, host);
    hosts.insert(hosts.begin(), host);
    hosts.resize(std::min(hosts.size(), HOSTS_PER_PREFIX));
}

auto prefix_hints::remove(std::uint64_t prefix, const std::string &host) -> void
{
    const auto found = m_holders.find(prefix);
    if (found == m_holders.end()) {
        return;
    }
    std::erase(found->second.hosts, host);
    if (found->second.hosts.empty()) {
        m_byRecency.erase(found->second.recency);
        m_holders.erase(found);
    }
}

auto prefix_hints::hostsOf(std::uint64_t prefix) const -> const std::vector<std::string> &
{
    static const std::vector<std::string> none;
    const auto found = m_holders.find(prefix);
    return found == m_holders.end() ? none : found->second.hosts;
}

} // namespace marjoram
