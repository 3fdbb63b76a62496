#pragma once

#include "framework/global/clock.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>

namespace marjoram {

/// Bounds of the stated time of work, in percent of the usual one.
inline constexpr std::uint32_t USUAL_PERCENT = 100;
inline constexpr std::uint32_t MAX_SLOWDOWN_PERCENT = 10'000;

/// Weight of a figure of the given age, which halves within each `halfLifeUs`. A figure that seems
/// to be from the future counts as new. Precondition: halfLifeUs > 0. Thread safe.
inline auto weightAtAge(std::int64_t ageUs, std::int64_t halfLifeUs) -> double
{
    return std::exp2(-static_cast<double>(std::max<std::int64_t>(0, ageUs))
                     / static_cast<double>(halfLifeUs));
}

/// How fast a plain server works, as one entry has seen it in the server's answers.
/// Not thread safe.
struct work_pace
{
    /// Last stated time of work in percent of the usual one; unset while the server has stated
    /// none.
    std::optional<std::uint32_t> percent;
    time_us percentAt;
    /// Whether the last answer stated a figure out of range.
    bool invalid = false;
    /// Mean time of an answer at the usual speed and without other work there; valid if
    /// `answers` > 0.
    double usualUs = 0.0;
    std::uint32_t answers = 0;
    time_us usualAt;

    /// Takes the figure of an answer: unset if there is none, 0 if it cannot be read. Returns true
    /// if it is out of range and that of the answer before was not.
    auto onStated(std::optional<std::uint32_t> stated, time_us now) -> bool
    {
        const auto outOfRange = stated && (*stated == 0 || *stated > MAX_SLOWDOWN_PERCENT);
        const auto becameInvalid = outOfRange && !invalid;
        invalid = outOfRange;
        if (stated && !outOfRange) {
            percent = stated;
            percentAt = now;
        } else if (percent) {
            percent = USUAL_PERCENT;
            percentAt = now;
        }
        return becameInvalid;
    }
    /// Takes the time of an answer and the work that was there with it, as a share of the slots.
    auto onAnswered(std::int64_t tookUs, double loadShare, time_us now) -> void
    {
        // Longer answers show a pause of a process or a lost connection, not work.
        constexpr std::int64_t MAX_WORK_US = 60 * US_PER_SECOND;
        // Weight of the latest answer in the mean: about 20 answers count.
        constexpr double LATEST_WEIGHT = 0.05;
        if (tookUs <= 0 || tookUs > MAX_WORK_US) {
            return;
        }
        const auto slowdown = static_cast<double>(percent.value_or(USUAL_PERCENT)) / USUAL_PERCENT;
        const auto us = static_cast<double>(tookUs) / (slowdown * (1.0 + loadShare));
        answers = std::min<std::uint32_t>(answers + 1, 1'000);
        // The first answers count alike.
        usualUs += (us - usualUs) * std::max(LATEST_WEIGHT, 1.0 / answers);
        usualAt = now;
    }
    /// Expected time of work as a multiple of the usual one; an old figure counts as usual.
    /// Precondition: halfLifeUs > 0.
    auto slowdown(time_us now, std::int64_t halfLifeUs) const -> double
    {
        if (!percent) {
            return 1.0;
        }
        const auto stated = static_cast<double>(*percent) / USUAL_PERCENT;
        return 1.0 + (stated - 1.0) * weightAtAge(now - percentAt, halfLifeUs);
    }
};

} // namespace marjoram
