#pragma once

#include "framework/global/clock.h"
#include "framework/global/enumnames.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace marjoram {

/// How a generation waits that finds no room: it asks reporters again after random pauses, or it
/// waits in their queues.
enum class waiting_policy { polling, ordered };
inline constexpr std::array waitingPolicyNames{
    enum_name<waiting_policy>{waiting_policy::polling, "polling"},
    enum_name<waiting_policy>{waiting_policy::ordered, "ordered"},
};
constexpr auto namesOf(waiting_policy) -> const auto &
{
    return waitingPolicyNames;
}

/// Options of the wait in the queues of reporters.
struct waiting_options
{
    waiting_policy policy = waiting_policy::polling;
    /// Largest share of the latency target that is kept free for reading the prompt. A short target
    /// leaves no other time to wait.
    double maxPrefillShare = 0.4;
    /// Age up to which an expected wait that a reporter has named is used.
    std::int64_t maxForecastAgeUs = 1 * US_PER_SECOND;
    /// Time without word from a reporter after which it is asked again, counted from the expected
    /// grant or, if that is unknown or further off, from its last reply.
    std::int64_t checkUs = 400 * US_PER_MS;
    /// Engines that are compared by their committed memory.
    std::size_t queueSample = 6;
    /// Share of the pool whose expected waits must be known for a refusal without a question.
    double refusalCoverage = 0.5;
    /// Largest share of the time that a refused caller has left that it is told to wait.
    double maxRetryShareOfTimeLeft = 1.0 / 3.0;
};

} // namespace marjoram
