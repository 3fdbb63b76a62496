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
    /// Runs with fewer events go last: most of them end by themselves before their turn.
    std::uint64_t newRunEvents = 12;
    /// Time for the entry that carries a run to take up its turn; the news of it may get lost.
    std::int64_t startTimeoutUs = 80 * US_PER_MS;
    /// Longest time that one move holds up the others: a large copy to another data centre.
    std::int64_t moveTimeoutUs = 1'000 * US_PER_MS;
    /// The same once the run has disappeared from the server, when only its rest is copied.
    std::int64_t finalCopyTimeoutUs = 100 * US_PER_MS;
    /// Pause before a run that was put off has its turn again.
    std::int64_t retryDelayUs = 100 * US_PER_MS;
};

/// Decides which run may leave a server next. One run at a time: copies wait for each other on the
/// server's link, and the rest of a stopped run must not wait behind the bulk of another. Not
/// thread safe.
class evacuation_scheduler
{
public:
    explicit evacuation_scheduler(evacuation_options options)
        : m_options(options)
    { }

    /// Takes what runs on the server now.
    auto update(const std::vector<server_run> &runs, time_us now) -> void;
    /// Takes what an entry says of the move of a run.
    auto onMove(const std::string &requestId, move_note note, time_us now) -> void;
    /// Id of the run that may leave now; empty when none may.
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
    /// When runs that were put off may have their turn again.
    std::map<std::string, time_us> m_retryAt;
    std::string m_current;
    time_us m_currentSince;
    bool m_moveStarted = false;
    /// When the run whose turn it is disappeared from the server.
    std::optional<time_us> m_disappearedAt;
};

} // namespace marjoram
