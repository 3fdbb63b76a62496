#include "serverviews/softwarehistory.h"

#include <algorithm>

namespace marjoram {

auto software_history::record(const server_process &process, const server_software &software,
                              time_us now) -> void
{
    if (process.bornUnixMs == 0) {
        return;
    }
    if (m_records.size() >= m_options.limit) {
        dropOld(now);
    }
    m_records.insert_or_assign({toText(process.address), process.bornUnixMs},
                               software_record{.software = software, .at = now});
}

auto software_history::find(const server_process &process) const -> std::optional<server_software>
{
    const auto found = m_records.find({toText(process.address), process.bornUnixMs});
    return found == m_records.end() ? std::nullopt : std::optional(found->second.software);
}

auto software_history::dropOld(time_us now) -> void
{
    std::erase_if(m_records,
                  [&](const auto &named) { return now - named.second.at > m_options.retentionUs; });
    if (m_records.size() >= m_options.limit) {
        m_records.erase(
            std::min_element(m_records.begin(), m_records.end(), [](const auto &a, const auto &b) {
                return a.second.at < b.second.at;
            }));
    }
}

} // namespace marjoram
