#pragma once

#include "framework/global/clock.h"
#include "serverviews/serverentry.h"

#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace marjoram {

/// Options of an evacuation_plan.
struct evacuation_options
{
    /// Time of one move beyond its bytes: the orders, the rest, the start at the target.
    std::int64_t overheadUs = 40 * US_PER_MS;
    /// A move that is this late does not hold up those behind it any longer.
    std::int64_t patienceUs = 200 * US_PER_MS;
    /// Runs with fewer events go last: most of them end by themselves before their turn.
    std::uint64_t youngEvents = 12;
};

/// Order in which runs leave one server. All entries hear the same reports of the server and so
/// make the same plan without a word between them; one move at a time keeps the rest of a stopped
/// run from waiting behind the bulk of others. Not thread safe.
class evacuation_plan
{
public:
    /// `usPerToken` is the time a token's memory takes on the server's link.
    evacuation_plan(evacuation_options options, double usPerToken, time_us since)
        : m_options(options)
        , m_usPerToken(usPerToken)
        , m_slot(since)
    { }

    /// Takes what runs on the server now. Runs not seen before are planned behind the others.
    auto note(const std::vector<server_run> &runs) -> void;
    /// Takes note that a run has left the server.
    auto left(std::string_view requestId) -> void { m_present.erase(std::string(requestId)); }
    /// When a run may begin to move; nothing for a run that is not planned.
    auto startOf(std::string_view requestId) const -> std::optional<time_us>;

private:
    struct planned_run
    {
        std::string requestId;
        time_us slot;
    };

    evacuation_options m_options;
    double m_usPerToken;
    /// Slot of the next run to be planned.
    time_us m_slot;
    std::vector<planned_run> m_runs;
    std::unordered_set<std::string> m_known;
    std::unordered_set<std::string> m_present;
};

} // namespace marjoram
