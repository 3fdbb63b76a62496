#pragma once

#include "framework/global/clock.h"
#include "quarantine/runobservation.h"

#include <deque>
#include <optional>

namespace marjoram {

/// Options of an observation_log.
struct observation_log_options
{
    std::size_t limit = 128;
    std::int64_t retentionUs = 3'600 * US_PER_SECOND;
};

/// Observations that a reporter keeps for entries that missed them or have just started. Bounded in
/// number and age. Not thread safe: belongs to one duty.
class observation_log
{
public:
    explicit observation_log(observation_log_options options)
        : m_options(options)
    { }

    /// Adds an observation; false if it is known already.
    auto add(const run_observation &seen, time_us now) -> bool;
    /// Returns the observations that were added at `since` or later, oldest first, with their
    /// present age.
    auto collect(time_us since, time_us now) const -> std::vector<run_observation>;
    auto collectAll(time_us now) const -> std::vector<run_observation>;

private:
    struct entry_record
    {
        run_observation seen;
        /// When the run was lost or survived, and when this log heard of it.
        time_us seenAt;
        time_us addedAt;
    };

    observation_log_options m_options;
    std::deque<entry_record> m_records;
};

} // namespace marjoram
