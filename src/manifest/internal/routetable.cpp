#include "manifest/routetable.h"

#include <algorithm>

namespace marjoram {

route_table::route_table(route_table_content content)
    : m_content(std::move(content))
{
    for (std::size_t i = 0; i < m_content.routes.size(); ++i) {
        m_routesByHost[m_content.routes[i].host].push_back(i);
    }
    for (auto &[host, indexes] : m_routesByHost) {
        std::stable_sort(indexes.begin(), indexes.end(), [this](std::size_t a, std::size_t b) {
            return m_content.routes[a].pathPrefix.size() > m_content.routes[b].pathPrefix.size();
        });
    }
    for (std::size_t i = 0; i < m_content.teams.size(); ++i) {
        for (const auto &key : m_content.teams[i].keys) {
            m_teamByKey.emplace(key, i);
        }
    }
}

auto route_table::findRoute(std::string_view host, std::string_view path) const
    -> const route_entry *
{
    const auto found = m_routesByHost.find(std::string(host));
    if (found == m_routesByHost.end()) {
        return nullptr;
    }
    for (const auto index : found->second) {
        if (path.starts_with(m_content.routes[index].pathPrefix)) {
            return &m_content.routes[index];
        }
    }
    return nullptr;
}

auto route_table::findTeam(std::string_view key) const -> const team_keys *
{
    const auto found = m_teamByKey.find(std::string(key));
    return found == m_teamByKey.end() ? nullptr : &m_content.teams[found->second];
}

auto route_table::findPool(std::string_view name) const -> const pool_entry *
{
    const auto found = std::find_if(m_content.pools.begin(), m_content.pools.end(),
                                    [name](const pool_entry &pool) { return pool.name == name; });
    return found == m_content.pools.end() ? nullptr : &*found;
}

auto route_table::findPoolOf(const std::vector<std::string> &models) const -> const pool_entry *
{
    const pool_entry *out = nullptr;
    for (const auto &pool : m_content.pools) {
        const auto serves = [&pool](const std::string &model) {
            const auto &known = pool.engine->models;
            return std::find(known.begin(), known.end(), model) != known.end();
        };
        if (!pool.engine || models.empty() || !std::all_of(models.begin(), models.end(), serves)) {
            continue;
        }
        if (out) {
            return nullptr;
        }
        out = &pool;
    }
    return out;
}

} // namespace marjoram
