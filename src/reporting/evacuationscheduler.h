#pragma once

#include "framework/global/clock.h"
#include "innerprotocol/reportframes.h"
#include "serverviews/serverentry.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace marjoram {

/// Options of evacuation_scheduler.
struct evacuation_options
{
    /// Runs with fewer events are moved last: most of them finish before their turn.
    std::uint64_t newRunEvents = 12;
    /// Time for the entry that owns a run to start the move; the report that asks it to may be
    /// lost.
    std::int64_t startTimeoutUs = 80 * US_PER_MS;
    /// Longest time that one move blocks the others: a large copy to another data centre.
    std::int64_t moveTimeoutUs = 1'000 * US_PER_MS;
    /// The same once the run has disappeared from the server: only the final copy is left then.
    std::int64_t finalCopyTimeoutUs = 100 * US_PER_MS;
    /// Pause before a postponed run is tried again.
    std::int64_t retryDelayUs = 100 * US_PER_MS;
};

/// Decides which run is moved off a leaving server next. One run at a time: copies share the
/// server's link, and the final copy of a stopped run must not queue behind the bulk copy of
/// another. Not thread safe.
class evacuation_scheduler
{
public:
    explicit evacuation_scheduler(evacuation_options options)
        : m_options(options)
    { }

    /// Updates the list of runs on the server.
    auto update(const std::vector<server_run> &runs, time_us now) -> void;
    /// Handles the progress that an entry reports for the move of a run.
    auto onMove(const std::string &requestId, move_note note, time_us now) -> void;
    /// Id of the run that may be moved now; empty if none.
    auto current() const -> const std::string & { return m_current; }
    auto clear() -> void;

private:
    auto isOverdue(time_us now) const -> bool;
    auto startNext(time_us now) -> void;
    auto endCurrent(time_us now) -> void;

    evacuation_options m_options;
    std::deque<std::string> m_waiting;
    std::unordered_set<std::string> m_seen;
    std::unordered_set<std::string> m_running;
    /// Earliest next turn of each postponed run.
    std::map<std::string, time_us> m_retryAt;
    std::string m_current;
    time_us m_currentSince;
    bool m_moveStarted = false;
    /// When the current run disappeared from the server.
    std::optional<time_us> m_disappearedAt;
};

} // namespace marjoram
