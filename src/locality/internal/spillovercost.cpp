#include "locality/spillovertypes.h"

#include <algorithm>
#include <cmath>

namespace marjoram {

auto isSensible(const data_centre_load &load) -> bool
{
    constexpr double MAX_FIGURE = 1e15;
    const auto inRange = [](double figure) {
        return std::isfinite(figure) && figure >= 0.0 && figure < MAX_FIGURE;
    };
    return inRange(load.slots) && inRange(load.capacity) && inRange(load.used)
           && inRange(load.workUs) && load.ageUs >= 0;
}

auto useOf(const data_centre_load &load) -> double
{
    return load.servers > 0 && load.capacity > 0.0 ? std::min(1.0, load.used / load.capacity) : 1.0;
}

auto completionCostUs(const data_centre_load &load, double workUs, double latencyTargetUs) -> double
{
    // Closer to full load the formula exceeds every wait that callers accept.
    constexpr double MAX_USE = 0.98;
    // From this use on requests begin to be refused, since the load of servers differs.
    constexpr double REFUSING_USE = 0.85;
    const auto use = std::min(useOf(load), MAX_USE);
    const auto slots = std::max(1.0, load.slots);
    // Sakasegawa's approximation of the wait in a queue with several servers. What else runs on a
    // server shows in the time of work.
    const auto waits = std::pow(use, std::sqrt(2.0 * (slots + 1.0)) - 1.0) / (slots * (1.0 - use));
    const auto refused = std::clamp((useOf(load) - REFUSING_USE) / (1.0 - REFUSING_USE), 0.0, 1.0);
    return workUs * (1.0 + waits) + refused * refused * latencyTargetUs;
}

} // namespace marjoram
