#pragma once

#include "framework/global/clock.h"
#include "framework/global/enumnames.h"
#include "innerprotocol/reportframes.h"

#include <algorithm>
#include <array>
#include <compare>
#include <cstdint>
#include <optional>

namespace marjoram {

/// What a report says beside those that an entry has taken before.
enum class report_standing {
    /// It was made later than all of them.
    latest,
    /// Nothing shows when it was made: it states no request of this process of the entry.
    undated,
    /// A later one has been taken, or the same one.
    outdated,
    /// It is about another process of the server.
    other_process
};
inline constexpr std::array reportStandingNames{
    enum_name<report_standing>{report_standing::latest, "latest"},
    enum_name<report_standing>{report_standing::undated, "undated"},
    enum_name<report_standing>{report_standing::outdated, "outdated"},
    enum_name<report_standing>{report_standing::other_process, "other_process"},
};
constexpr auto namesOf(report_standing) -> const auto &
{
    return reportStandingNames;
}

/// Returns when this process of the entry sent the request that a report states; nullopt if it
/// states none, or one of an earlier process. Thread safe.
inline auto requestTimeOf(const server_report_frame &report, time_us startedAt, time_us now)
    -> std::optional<time_us>
{
    const time_us requestedAt{report.requestSentAtUs};
    return requestedAt < startedAt || requestedAt > now ? std::nullopt : std::optional(requestedAt);
}

/// Returns the longest time that a report may have been on its way; nullopt if nothing shows it.
/// Thread safe.
inline auto delayMsOf(const server_report_frame &report, time_us startedAt, time_us now)
    -> std::optional<std::int64_t>
{
    const auto requestedAt = requestTimeOf(report, startedAt, now);
    if (!requestedAt) {
        return std::nullopt;
    }
    const auto madeAt = *requestedAt + toUs(std::max<std::int64_t>(0, report.requestAgoMs));
    const auto delayUs = std::max<std::int64_t>(0, now - madeAt);
    return (delayUs + US_PER_MS - 1) / US_PER_MS;
}

/// Tells which of the reports on one process of a server is the latest. A reporter numbers its
/// reports from 1 again after a restart, and clocks of hosts may be wrong or set back, so neither
/// can order the reports of two processes of a reporter. The entry's request that a report states
/// can: the entry sends each to one process of the reporter, and later ones to later processes.
/// Within one request the number decides. Not thread safe: belongs to one duty.
class report_order
{
public:
    /// Classifies a report on the server process that started at `bornUnixMs`, 0 if unknown, and
    /// remembers it if it is the latest. Precondition: `startedAt` is when this process of the
    /// entry started, the same in all calls.
    auto classify(const server_report_frame &report, std::int64_t bornUnixMs, time_us startedAt,
                  time_us now) -> report_standing
    {
        const auto bothKnown = report.bornUnixMs != 0 && bornUnixMs != 0;
        if (bothKnown && report.bornUnixMs != bornUnixMs) {
            return report_standing::other_process;
        }
        const auto requestedAt = requestTimeOf(report, startedAt, now);
        if (!requestedAt) {
            return report_standing::undated;
        }
        const report_position position{.requestedAt = *requestedAt, .number = report.sequence};
        if (m_latest && position <= *m_latest) {
            return report_standing::outdated;
        }
        m_reporterRestarted = m_latest && position.number <= m_latest->number;
        m_latest = position;
        return report_standing::latest;
    }
    /// Whether the latest report came from another process of the reporter than the one before.
    auto reporterRestarted() const -> bool { return m_reporterRestarted; }

private:
    struct report_position
    {
        time_us requestedAt;
        std::uint64_t number = 0;

        friend auto operator<=>(const report_position &, const report_position &)
            -> std::strong_ordering = default;
    };

    std::optional<report_position> m_latest;
    bool m_reporterRestarted = false;
};

} // namespace marjoram
