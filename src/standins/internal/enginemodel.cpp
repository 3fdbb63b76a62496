#include "standins/enginemodel.h"

#include <algorithm>

namespace marjoram {

auto engine_model::cancel(std::uint64_t id) -> void
{
    const auto matches = [id](const engine_sequence &sequence) { return sequence.id == id; };
    const auto running = std::find_if(m_running.begin(), m_running.end(), matches);
    if (running != m_running.end()) {
        m_used -= held(*running);
        m_running.erase(running);
        return;
    }
    m_waiting.remove_if(matches);
}

auto engine_model::touchPrefix(std::uint64_t prefix) -> bool
{
    const auto known = std::find(m_prefixes.begin(), m_prefixes.end(), prefix);
    if (known != m_prefixes.end()) {
        ++m_prefixHits;
        m_prefixes.splice(m_prefixes.begin(), m_prefixes, known);
        return true;
    }
    ++m_prefixMisses;
    m_prefixes.push_front(prefix);
    m_cachedNews.push_back(prefix);
    if (m_prefixes.size() > m_options.prefixesCached) {
        m_evictedNews.push_back(m_prefixes.back());
        m_prefixes.pop_back();
    }
    return false;
}

auto engine_model::prefillUs(const engine_sequence &sequence) -> std::int64_t
{
    const auto saved = touchPrefix(sequence.prefix) ? m_options.prefixShare : 0.0;
    const auto tokens = sequence.promptTokens * (1.0 - saved) + sequence.produced;
    return static_cast<std::int64_t>(tokens * static_cast<double>(m_options.prefillPerTokenUs));
}

auto engine_model::admit() -> std::int64_t
{
    std::int64_t prefill = 0;
    while (!m_waiting.empty() && m_running.size() < m_options.mostRunning) {
        const auto next = std::min_element(
            m_waiting.begin(), m_waiting.end(),
            [](const auto &a, const auto &b) { return a.priority < b.priority; });
        if (m_used + held(*next) + 1 > m_options.kvCapacityTokens && !m_running.empty()) {
            break;
        }
        prefill += prefillUs(*next);
        m_used += held(*next);
        m_running.splice(m_running.end(), m_waiting, next);
    }
    return prefill;
}

auto engine_model::preemptOne() -> void
{
    auto victim = m_running.begin();
    for (auto it = m_running.begin(); it != m_running.end(); ++it) {
        if (it->priority >= victim->priority) {
            victim = it;
        }
    }
    m_used -= held(*victim);
    ++m_preemptions;
    m_waiting.splice(m_waiting.begin(), m_running, victim);
}

auto engine_model::step() -> engine_step
{
    engine_step out;
    const auto prefill = admit();
    if (m_running.empty()) {
        return out;
    }
    while (m_running.size() > 1 && m_used + m_running.size() > m_options.kvCapacityTokens) {
        preemptOne();
    }
    const auto batch = static_cast<std::int64_t>(m_running.size());
    m_lastStepUs = m_options.stepBaseUs + m_options.stepPerSequenceUs * batch;
    out.durationUs = m_lastStepUs + prefill;
    for (auto it = m_running.begin(); it != m_running.end();) {
        const auto current = it++;
        // A sequence resumed at its very end has nothing more to say.
        if (current->produced < current->length) {
            ++current->produced;
            ++m_used;
            out.emitted.push_back(current->id);
        }
        if (current->produced >= current->length) {
            out.finished.push_back(current->id);
            m_used -= held(*current);
            m_running.erase(current);
        }
    }
    return out;
}

} // namespace marjoram
