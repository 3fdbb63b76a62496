#include "forwarding/evacuationplan.h"

#include <algorithm>
#include <tuple>

namespace marjoram {

auto evacuation_plan::note(const std::vector<server_run> &runs) -> void
{
    m_present.clear();
    std::vector<const server_run *> fresh;
    for (const auto &run : runs) {
        m_present.insert(run.requestId);
        if (m_known.insert(run.requestId).second) {
            fresh.push_back(&run);
        }
    }
    // The smallest first: so most runs get away in the time there is.
    std::sort(fresh.begin(), fresh.end(), [this](const server_run *a, const server_run *b) {
        const auto key = [this](const server_run &run) {
            return std::make_tuple(run.events < m_options.youngEvents, run.memoryTokens,
                                   std::string_view(run.requestId));
        };
        return key(*a) < key(*b);
    });
    for (const auto *run : fresh) {
        m_runs.push_back({.requestId = run->requestId, .slot = m_slot});
        const auto us = m_usPerToken * static_cast<double>(run->memoryTokens);
        m_slot = m_slot + static_cast<std::int64_t>(us) + m_options.overheadUs;
    }
}

auto evacuation_plan::startOf(std::string_view requestId) const -> std::optional<time_us>
{
    auto clear = true;
    for (const auto &run : m_runs) {
        if (run.requestId == requestId) {
            return clear ? time_us{} : run.slot + m_options.patienceUs;
        }
        clear = clear && !m_present.contains(run.requestId);
    }
    return std::nullopt;
}

} // namespace marjoram
