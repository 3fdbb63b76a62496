#pragma once

#include "framework/global/clock.h"
#include "serverviews/serverentry.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace marjoram {

/// Options of pace_estimator.
struct pace_estimator_options
{
    /// Time constant with which progress loses its weight.
    std::int64_t memoryUs = 2 * US_PER_SECOND;
    /// Events from which the estimate is relied on.
    double minEvents = 8.0;
    /// Reports further apart are not compared: one of the processes may have been paused.
    std::int64_t maxGapUs = 500 * US_PER_MS;
};

/// Estimates how long a run on an engine takes for one event, from the progress of its runs between
/// reports. It includes what the prompts and the other runs there cost. Not thread safe.
class pace_estimator
{
public:
    explicit pace_estimator(pace_estimator_options options)
        : m_options(options)
    { }

    /// Takes the runs of a report. Precondition: `now` never decreases.
    auto onRuns(const std::vector<server_run> &runs, time_us now) -> void
    {
        const auto us = now - m_at;
        if (us > 0 && us <= m_options.maxGapUs) {
            addProgress(runs, us);
        }
        m_events.clear();
        for (const auto &run : runs) {
            m_events.insert_or_assign(run.requestId, run.events);
        }
        m_at = now;
    }
    /// 0 while too little progress has been seen. An idle engine keeps its last estimate.
    auto usPerEvent() const -> std::uint32_t
    {
        if (m_weightedEvents < m_options.minEvents) {
            return m_lastUsPerEvent;
        }
        return static_cast<std::uint32_t>(m_weightedUs / m_weightedEvents);
    }

private:
    auto addProgress(const std::vector<server_run> &runs, std::int64_t us) -> void
    {
        double runUs = 0.0;
        double events = 0.0;
        for (const auto &run : runs) {
            const auto before = m_events.find(run.requestId);
            // The first event comes after the prompt, whose length says nothing about the pace.
            if (before != m_events.end() && before->second > 0 && run.events >= before->second) {
                runUs += static_cast<double>(us);
                events += static_cast<double>(run.events - before->second);
            }
        }
        if (runUs == 0.0) {
            return;
        }
        m_lastUsPerEvent = usPerEvent();
        const auto memoryUs = static_cast<double>(m_options.memoryUs);
        const auto kept = memoryUs / (memoryUs + static_cast<double>(us));
        m_weightedUs = m_weightedUs * kept + runUs;
        m_weightedEvents = m_weightedEvents * kept + events;
    }

    pace_estimator_options m_options;
    time_us m_at{INT64_MIN / 2};
    std::map<std::string, std::uint64_t> m_events;
    double m_weightedUs = 0.0;
    double m_weightedEvents = 0.0;
    std::uint32_t m_lastUsPerEvent = 0;
};

} // namespace marjoram
