#pragma once

#include "framework/global/clock.h"
#include "reporting/memoryrule.h"
#include "serverviews/serverentry.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marjoram {

/// Options of room_forecast.
struct room_forecast_options
{
    /// Time constant with which ended runs and read prompts lose their weight.
    std::int64_t memoryUs = 10 * US_PER_SECOND;
    /// Longest wait that is predicted.
    std::int64_t maxWaitUs = 60 * US_PER_SECOND;
    /// Runs that are tracked; engines have a few dozen slots.
    std::size_t runLimit = 256;
    /// Time after which a granted run that the engine never listed is forgotten.
    std::int64_t grantTimeoutUs = 1 * US_PER_SECOND;
    /// Reports further apart say nothing about the time that prompts take.
    std::int64_t maxGapUs = 500 * US_PER_MS;
    /// Remaining time of a run that exceeds its expected duration, as a share of its age.
    double overdueShare = 0.1;
};

/// Limits on when generations may start, besides memory.
struct start_limits
{
    /// Prompts that are still to be read on the engine.
    std::uint32_t prompts = 0;
    /// Time until the rate limit admits the next request, and between two; 0 without a limit.
    std::int64_t limitedForUs = 0;
    std::int64_t usPerRequest = 0;
};

/// When a generation is expected to get room.
struct room_plan
{
    /// nullopt if unknown.
    std::optional<std::int64_t> waitUs;
    /// Memory in use just before it starts; valid only if the wait is known.
    memory_load atStart;
};

/// Predicts when a generation will get room on an engine, for any load. The waiting generations are
/// placed in their order, each at the earliest time at which the running ones that have not ended
/// by then and those placed before leave enough memory until it ends. A later one may so start
/// before an earlier one, which is what the queue allows; placed strictly one after another, short
/// generations behind long ones were predicted to wait 20 s too long. The duration of a run follows
/// from those that ended lately. Where the expected ends don't free enough, the rate at which
/// memory was freed lately is used. Each poll and each grant costs a few map operations. Not thread
/// safe: belongs to one duty.
class room_forecast
{
public:
    room_forecast(room_forecast_options options, memory_rule rule)
        : m_options(options)
        , m_rule(rule)
    { }

    /// Tracks a run that has been granted room and will be listed by the engine.
    auto onGranted(const std::string &requestId, const room_need &need, time_us now) -> void;
    /// Forgets a granted run that will not be sent.
    auto onReleased(const std::string &requestId) -> void;
    /// Takes the runs of a report. Precondition: `now` never decreases.
    auto onReport(const server_report &seen, time_us now) -> void;
    /// Forgets everything: another process runs at the address.
    auto clear() -> void;

    /// Expected duration of a run; nullopt if none has ended lately.
    auto durationUs(std::uint64_t outputTokens) const -> std::optional<std::int64_t>;
    /// Expected wait of the last of the given generations, which are in the order of the queue. The
    /// age of the latest report is added to it. Precondition: `waiting` is not empty.
    auto plan(const memory_load &load, const std::vector<waiting_need> &waiting,
              const start_limits &limits, time_us now) const -> room_plan;

private:
    struct tracked_run
    {
        double memoryTokens = 0.0;
        /// 0 if unknown: the run was not granted room here.
        std::uint64_t outputTokens = 0;
        time_us startedAt;
        bool listed = false;
        bool begun = false;
        /// Number of the latest report that listed it.
        std::uint64_t reportNumber = 0;
    };
    /// Sum and weight of a mean whose samples lose their weight.
    struct decaying_ratio
    {
        double sum = 0.0;
        double weight = 0.0;

        auto decay(double kept) -> void
        {
            sum *= kept;
            weight *= kept;
        }
        auto add(double value, double valueWeight) -> void
        {
            sum += value;
            weight += valueWeight;
        }
        auto mean() const -> std::optional<double>
        {
            constexpr double MIN_WEIGHT = 1e-6;
            return weight > MIN_WEIGHT ? std::optional(sum / weight) : std::nullopt;
        }
    };
    /// Memory in use from a time on, until the next step.
    struct memory_step
    {
        std::int64_t fromUs = 0;
        memory_load load;
    };
    /// Steps in the order of their times; the last one has no end.
    using memory_steps = std::vector<memory_step>;
    /// Place of a generation within the steps.
    struct placement_time
    {
        /// When there is memory for it.
        std::int64_t fitsUs = 0;
        std::int64_t startUs = 0;
        std::int64_t endUs = 0;
        memory_load atStart;
    };

    auto removeEnded(time_us now) -> void;
    auto updateRates(const server_report &seen, std::size_t begun, time_us now) -> void;
    auto remainingUs(const tracked_run &run, time_us now) const -> std::optional<std::int64_t>;
    auto expectedSteps(const memory_load &load, time_us now) const -> memory_steps;
    /// Earliest start that prompts and rate limit allow from the given time on. Generations ahead
    /// for which there is memory by then start first: these limits block all behind them.
    auto earliestStartUs(std::int64_t fitsUs, const std::vector<placement_time> &ahead,
                         const room_need &need, const start_limits &limits) const -> std::int64_t;
    /// Earliest time from which the generation fits until its end; nullopt if unknown.
    auto findPlace(const memory_steps &steps, const std::vector<placement_time> &ahead,
                   const room_need &need, const start_limits &limits) const
        -> std::optional<placement_time>;
    /// Adds a generation to the steps between its start and its end.
    static auto place(memory_steps &steps, const placement_time &at, double tokens) -> void;
    static auto splitAt(memory_steps &steps, std::int64_t us) -> std::size_t;

    room_forecast_options m_options;
    memory_rule m_rule;
    std::map<std::string, tracked_run> m_runs;
    decaying_ratio m_usPerOutputToken;
    decaying_ratio m_usPerRun;
    decaying_ratio m_usPerPrompt;
    /// Tokens freed per microsecond of the weighted time that has been observed.
    decaying_ratio m_freedRate;
    bool m_readingPrompts = false;
    std::optional<time_us> m_reportedAt;
    std::uint64_t m_reportNumber = 0;
};

} // namespace marjoram
