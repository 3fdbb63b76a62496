#include "reporting/roomforecast.h"

#include <algorithm>
#include <utility>

namespace marjoram {

auto room_forecast::onGranted(const std::string &requestId, const room_need &need, time_us now)
    -> void
{
    if (m_runs.size() >= m_options.runLimit && !m_runs.contains(requestId)) {
        return;
    }
    m_runs.insert_or_assign(requestId,
                            tracked_run{.memoryTokens = static_cast<double>(need.expectedTokens),
                                        .outputTokens = need.outputTokens,
                                        .startedAt = now});
}

auto room_forecast::onReleased(const std::string &requestId) -> void
{
    const auto found = m_runs.find(requestId);
    if (found != m_runs.end() && !found->second.listed) {
        m_runs.erase(found);
    }
}

auto room_forecast::clear() -> void
{
    *this = room_forecast(m_options, m_rule);
}

auto room_forecast::onReport(const server_report &seen, time_us now) -> void
{
    ++m_reportNumber;
    std::size_t begun = 0;
    for (const auto &listed : seen.runs) {
        if (m_runs.size() >= m_options.runLimit && !m_runs.contains(listed.requestId)) {
            continue;
        }
        auto &run
            = m_runs.try_emplace(listed.requestId, tracked_run{.startedAt = now}).first->second;
        run.listed = true;
        run.reportNumber = m_reportNumber;
        run.memoryTokens = static_cast<double>(listed.memoryTokens);
        begun += !run.begun && listed.events > 0 ? 1 : 0;
        run.begun = run.begun || listed.events > 0;
    }
    updateRates(seen, begun, now);
    removeEnded(now);
    m_reportedAt = now;
}

auto room_forecast::durationUs(std::uint64_t outputTokens) const -> std::optional<std::int64_t>
{
    const auto perToken = m_usPerOutputToken.mean();
    if (!perToken) {
        return std::nullopt;
    }
    const auto us = *perToken * static_cast<double>(outputTokens);
    return static_cast<std::int64_t>(std::min(us, static_cast<double>(m_options.maxWaitUs)));
}

auto room_forecast::plan(const memory_load &load, const std::vector<waiting_need> &waiting,
                         const start_limits &limits, time_us now) const -> room_plan
{
    auto steps = expectedSteps(load, now);
    std::vector<placement_time> ahead;
    ahead.reserve(waiting.size());
    for (std::size_t i = 0; i + 1 < waiting.size(); ++i) {
        const auto &one = waiting[i];
        const auto at = findPlace(steps, ahead, one.need, limits);
        if (at && at->startUs < one.expiresInUs) {
            place(steps, *at, static_cast<double>(one.need.expectedTokens));
            ahead.push_back(*at);
        }
    }
    const auto at = findPlace(steps, ahead, waiting.back().need, limits);
    if (!at) {
        return {};
    }
    const auto ageUs = m_reportedAt ? now - *m_reportedAt : m_options.maxWaitUs;
    return {.waitUs = std::clamp<std::int64_t>(at->startUs + ageUs, 0, m_options.maxWaitUs),
            .atStart = at->atStart};
}

auto room_forecast::removeEnded(time_us now) -> void
{
    for (auto at = m_runs.begin(); at != m_runs.end();) {
        const auto &run = at->second;
        const auto lifetimeUs = now - run.startedAt;
        const auto ended = run.listed && run.reportNumber != m_reportNumber;
        if (ended) {
            m_freedRate.sum += run.memoryTokens;
            m_usPerRun.add(static_cast<double>(lifetimeUs), 1.0);
        }
        if (ended && run.outputTokens > 0) {
            m_usPerOutputToken.add(static_cast<double>(lifetimeUs),
                                   static_cast<double>(run.outputTokens));
        }
        const auto lost = !run.listed && lifetimeUs > m_options.grantTimeoutUs;
        at = ended || lost ? m_runs.erase(at) : std::next(at);
    }
}

auto room_forecast::updateRates(const server_report &seen, std::size_t begun, time_us now) -> void
{
    const auto us = m_reportedAt ? static_cast<double>(now - *m_reportedAt) : 0.0;
    const auto memoryUs = static_cast<double>(m_options.memoryUs);
    const auto kept = memoryUs / (memoryUs + us);
    for (auto *rate : {&m_usPerOutputToken, &m_usPerRun, &m_usPerPrompt, &m_freedRate}) {
        rate->decay(kept);
    }
    m_freedRate.weight += us;
    const auto gap = us > static_cast<double>(m_options.maxGapUs);
    if (std::exchange(m_readingPrompts, seen.starting > 0) && !gap) {
        m_usPerPrompt.add(us, static_cast<double>(begun));
    }
}

auto room_forecast::remainingUs(const tracked_run &run, time_us now) const
    -> std::optional<std::int64_t>
{
    const auto perRun = m_usPerRun.mean();
    auto total = run.outputTokens > 0 ? durationUs(run.outputTokens) : std::nullopt;
    if (!total && perRun) {
        total = static_cast<std::int64_t>(*perRun);
    }
    if (!total) {
        return std::nullopt;
    }
    const auto age = now - run.startedAt;
    const auto overdue = m_options.overdueShare * static_cast<double>(age);
    return std::max(*total - age, static_cast<std::int64_t>(overdue));
}

auto room_forecast::expectedSteps(const memory_load &load, time_us now) const -> memory_steps
{
    std::vector<std::pair<std::int64_t, double>> ends;
    ends.reserve(m_runs.size());
    for (const auto &[id, run] : m_runs) {
        if (const auto us = remainingUs(run, now)) {
            ends.emplace_back(*us, run.memoryTokens);
        }
    }
    std::sort(ends.begin(), ends.end());
    memory_steps steps{{.fromUs = 0, .load = load}};
    steps.reserve(ends.size() + 1);
    for (const auto &[endUs, tokens] : ends) {
        auto next = steps.back();
        next.fromUs = std::max(next.fromUs, endUs);
        next.load.usedTokens -= tokens;
        next.load.running -= 1.0;
        steps.push_back(next);
    }
    return steps;
}

auto room_forecast::earliestStartUs(std::int64_t fitsUs, const std::vector<placement_time> &ahead,
                                    const room_need &need, const start_limits &limits) const
    -> std::int64_t
{
    std::int64_t before = 0;
    auto startUs = fitsUs;
    for (const auto &one : ahead) {
        if (one.fitsUs <= fitsUs) {
            ++before;
            startUs = std::max(startUs, one.startUs);
        }
    }
    startUs = std::max(startUs, limits.limitedForUs + before * limits.usPerRequest);
    const auto perPrompt = m_usPerPrompt.mean();
    const auto prompts = static_cast<double>(limits.prompts) + static_cast<double>(before)
                         - static_cast<double>(need.promptsAhead);
    if (!perPrompt || prompts <= 0.0) {
        return startUs;
    }
    const auto readUs = std::min(prompts * *perPrompt, static_cast<double>(m_options.maxWaitUs));
    return std::max(startUs, static_cast<std::int64_t>(readUs));
}

auto room_forecast::findPlace(const memory_steps &steps, const std::vector<placement_time> &ahead,
                              const room_need &need, const start_limits &limits) const
    -> std::optional<placement_time>
{
    const auto durationUs = this->durationUs(need.outputTokens).value_or(m_options.maxWaitUs);
    std::optional<std::size_t> first;
    for (std::size_t i = 0; i < steps.size(); ++i) {
        if (m_rule.missingTokens(steps[i].load, need) > 0.0) {
            first.reset();
            continue;
        }
        first = first.value_or(i);
        const auto &start = steps[*first];
        const auto last = i + 1 == steps.size();
        if (last || steps[i + 1].fromUs - start.fromUs >= durationUs) {
            const auto us = earliestStartUs(start.fromUs, ahead, need, limits);
            return placement_time{start.fromUs, us, us + durationUs, start.load};
        }
    }
    const auto perUs = m_freedRate.mean();
    if (!perUs || *perUs <= 0.0) {
        return std::nullopt;
    }
    auto load = steps.back().load;
    const auto missing = m_rule.missingTokens(load, need);
    load.usedTokens -= missing;
    const auto freedUs = std::min(missing / *perUs, static_cast<double>(m_options.maxWaitUs));
    const auto us = steps.back().fromUs + static_cast<std::int64_t>(freedUs);
    return placement_time{us, us, us + durationUs, load};
}

auto room_forecast::place(memory_steps &steps, const placement_time &at, double tokens) -> void
{
    const auto first = splitAt(steps, at.startUs);
    const auto end = splitAt(steps, at.endUs);
    for (auto i = first; i < end; ++i) {
        steps[i].load.usedTokens += tokens;
        steps[i].load.running += 1.0;
    }
}

auto room_forecast::splitAt(memory_steps &steps, std::int64_t us) -> std::size_t
{
    const auto next = std::upper_bound(
        steps.begin(), steps.end(), us,
        [](std::int64_t at, const memory_step &step) { return at < step.fromUs; });
    const auto index = static_cast<std::size_t>(next - steps.begin());
    if (index > 0 && steps[index - 1].fromUs == us) {
        return index - 1;
    }
    auto split = steps[index - 1];
    split.fromUs = us;
    steps.insert(next, split);
    return index;
}

} // namespace marjoram
