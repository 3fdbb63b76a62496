#pragma once

#include "framework/global/clock.h"
#include "innerprotocol/frames.h"

#include <cstdint>
#include <string>

namespace marjoram {

/// State of one agent as known to an entry, as of the agent's last report.
struct agent_view
{
    std::string host;
    std::string dataCentre;
    bool connected = false;
    /// The host list says that the host is not live, or no longer contains it.
    bool listedLeaving = false;
    std::int64_t incarnation = 0;
    time_us lastHeardAt;
    time_us reportedAt;
    load_report_frame report;
    /// Work sent since the last report and so not included in it.
    std::uint32_t sentSinceReport = 0;
    std::uint64_t tokensSinceReport = 0;
    // --- failures
    std::uint32_t consecutiveFailures = 0;
    std::uint32_t ejections = 0;
    time_us ejectedUntil;

    auto leaving() const -> bool { return listedLeaving || report.leaving; }
};

} // namespace marjoram
