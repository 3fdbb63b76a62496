#pragma once

#include "framework/global/clock.h"
#include "innerprotocol/frames.h"

#include <cstdint>
#include <string>

namespace marjoram {

/// What an entry knows of one agent; old by the lag of its last report.
struct agent_view
{
    std::string host;
    std::string dataCentre;
    bool connected = false;
    /// The platform's list or the agent itself says that the host is leaving.
    bool listedLeaving = false;
    std::int64_t incarnation = 0;
    time_us lastHeardAt;
    time_us reportedAt;
    load_report_frame report;
    /// Work sent since the last report, which the report cannot know.
    std::uint32_t sentSinceReport = 0;
    std::uint64_t tokensSinceReport = 0;
    // --- failures
    std::uint32_t consecutiveFailures = 0;
    std::uint32_t ejections = 0;
    time_us ejectedUntil;

    auto leaving() const -> bool { return listedLeaving || report.leaving; }
};

} // namespace marjoram
