#pragma once

#include "framework/global/clock.h"
#include "framework/global/enumnames.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace marjoram {

/// How requests are placed on servers of other data centres: at a fixed additional cost, or by the
/// load of the data centres.
enum class locality_mode { fixed, balanced };
inline constexpr std::array localityModeNames{
    enum_name<locality_mode>{locality_mode::fixed, "fixed"},
    enum_name<locality_mode>{locality_mode::balanced, "balanced"},
};
constexpr auto namesOf(locality_mode) -> const auto &
{
    return localityModeNames;
}

/// Why a request goes to another data centre.
enum class spill_reason { local_full, slower_here, no_server_here };
inline constexpr std::array spillReasonNames{
    enum_name<spill_reason>{spill_reason::local_full, "local_full"},
    enum_name<spill_reason>{spill_reason::slower_here, "slower_here"},
    enum_name<spill_reason>{spill_reason::no_server_here, "no_server_here"},
};
constexpr auto namesOf(spill_reason) -> const auto &
{
    return spillReasonNames;
}

struct spillover_options
{
    /// Time that a caller may lose before a request goes to another data centre, and the same for
    /// each MB (1,000,000 bytes) of its response.
    std::int64_t remoteCostUs = 100 * US_PER_MS;
    std::int64_t remoteCostUsPerMb = 0;
    /// Pause between two changes of the shares.
    std::int64_t updateIntervalUs = 250 * US_PER_MS;
    /// Largest change of a share at once. Running work shows the effect of a change only after
    /// seconds; larger steps overshoot. Requests that find no room here do not depend on it.
    double maxStep = 0.04;
    /// Change of a share at a gain of one latency target.
    double stepPerTarget = 0.4;
    /// Gain above which a share begins to grow, in latency targets; it shrinks below 0.
    double startGain = 0.02;
    /// Time for which a share does not change its direction: that of a typical generation, after
    /// which the effect of a change shows.
    std::int64_t minDirectionUs = 4 * US_PER_SECOND;
    /// Figures that are older count as no room.
    std::int64_t maxAgeUs = 1 * US_PER_SECOND;
    /// Share of a data centre's capacity that others may fill; the rest is for its own demand.
    double fillLimit = 0.85;
    /// Time after which what was sent shows in the figures: the age of a report and its way.
    std::int64_t settleUs = 600 * US_PER_MS;
    /// Pause between requests that find out about a data centre without recent figures.
    std::int64_t probeIntervalUs = 500 * US_PER_MS;
};

/// Servers of a pool in one data centre that accept new work and have stated their load.
struct data_centre_load
{
    std::string name;
    std::uint32_t servers = 0;
    /// Requests that they run at once.
    double slots = 0.0;
    /// In tokens of KV cache memory, or in slots.
    double capacity = 0.0;
    double used = 0.0;
    /// Time that a typical request takes there at present; 0 if unknown.
    double workUs = 0.0;
    /// Age of the oldest of these figures.
    std::int64_t ageUs = 0;
};

struct spillover_input
{
    /// Data centre in which the requests arrive.
    std::string here;
    std::vector<data_centre_load> loads;
    /// Number of entries that place requests by the same figures.
    std::uint32_t entries = 1;
    double latencyTargetUs = 1.0 * US_PER_SECOND;
    double bytesPerResponse = 0.0;
};

/// Another data centre and what may go there.
struct spill_target
{
    std::string dataCentre;
    /// Share of the requests that are sent there although there may be room here.
    double share = 0.0;
    /// Time added by going there, with its price.
    double addedUs = 0.0;
    /// Capacity there that this entry may fill until the figures show it.
    double allowance = 0.0;
    /// Expected time that a caller wins by going there, after `addedUs`.
    double gainUs = 0.0;
};

/// Whether the figures are numbers that make sense. Thread safe.
auto isSensible(const data_centre_load &load) -> bool;
/// Share of the capacity in use, up to 1; 1 without servers. Thread safe.
auto useOf(const data_centre_load &load) -> double;
/// Expected time until a typical request is complete there, with the time lost if it is refused.
/// Thread safe.
auto completionCostUs(const data_centre_load &load, double workUs, double latencyTargetUs)
    -> double;

} // namespace marjoram
