#pragma once

#include <algorithm>
#include <cstdint>

namespace marjoram {

/// Room that a generation needs on an engine.
struct room_need
{
    /// Memory it is expected to take in the end; the output is part of it.
    std::uint64_t expectedTokens = 0;
    std::uint64_t outputTokens = 0;
    /// Prompts that may be read before its own.
    std::uint32_t promptsAhead = 0;
};

/// Room that a waiting generation needs.
struct waiting_need
{
    room_need need;
    /// Time after which it no longer waits.
    std::int64_t expiresInUs = INT64_MAX;
};

/// Memory in use on an engine.
struct memory_load
{
    /// Tokens held by runs and by grants; fractions come from a forecast.
    double usedTokens = 0.0;
    double running = 0.0;
    double capacityTokens = 0.0;
};

/// How much of an engine's memory new generations may fill. Thread safe: it holds only options.
struct memory_rule
{
    /// Output up to which a generation counts as short.
    std::uint64_t shortOutputTokens = 64;
    /// Shares of the memory that new short and long generations may fill.
    double shortShare = 1.0;
    double longShare = 0.82;
    /// Memory by which each run is expected to grow before others finish.
    std::uint64_t growthPerRunTokens = 300;

    /// Tokens that must be freed before the generation fits; at most 0 if it fits now. In floating
    /// point, since requests with absurd figures made the sum of the integers wrap around.
    auto missingTokens(const memory_load &load, const room_need &need) const -> double
    {
        const auto limit = shareOf(need) * load.capacityTokens;
        const auto expected = static_cast<double>(need.expectedTokens);
        return load.usedTokens + load.running * growthOf(need) + expected - limit;
    }
    /// Tokens by which missingTokens() drops when a run that holds the given memory ends.
    auto freedBy(double memoryTokens, const room_need &need) const -> double
    {
        return memoryTokens + growthOf(need);
    }
    /// Whether the generation would not fit even on an idle engine.
    auto neverFits(double capacityTokens, const room_need &need) const -> bool
    {
        return missingTokens({.capacityTokens = capacityTokens}, need) > 0.0;
    }

private:
    auto shareOf(const room_need &need) const -> double
    {
        // A short generation finishes before the others have grown much.
        return need.outputTokens <= shortOutputTokens ? shortShare : longShare;
    }
    auto growthOf(const room_need &need) const -> double
    {
        return static_cast<double>(std::min(growthPerRunTokens, need.outputTokens));
    }
};

} // namespace marjoram
