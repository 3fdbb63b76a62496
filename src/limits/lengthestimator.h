#pragma once

#include "framework/global/failure.h"

#include <array>
#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace marjoram {

/// Class of generations whose lengths are learnt together.
struct length_keys
{
    std::uint64_t teamKey = 0;
    /// Model and rank, shared by all teams.
    std::uint64_t sharedKey = 0;
};

/// Class of a team's generations on a model and rank. Thread safe.
auto lengthKeysOf(std::string_view model, std::string_view team, rank workRank) -> length_keys;

/// Chances of a generation being alive at given lengths; geometric buckets of tokens.
class survival_curve
{
public:
    static constexpr std::size_t BUCKET_COUNT = 40;
    using hazards = std::array<float, BUCKET_COUNT>;

    explicit survival_curve(const hazards &perBucket);
    survival_curve();

    /// Chance that a generation exceeds `ahead` more tokens, given that it has `produced`.
    auto survivalProbability(std::uint32_t produced, std::uint32_t ahead) const -> double;
    /// Length exceeded with the given chance by a generation that has `produced` tokens.
    auto remainingQuantile(std::uint32_t produced, double probability) const -> std::uint32_t;

    /// Bucket in which a length falls.
    static auto bucketOf(std::uint32_t tokens) -> std::size_t;
    /// Smallest length of a bucket.
    static auto bucketStart(std::size_t bucket) -> double;

private:
    auto logSurvival(double tokens) const -> double;

    std::array<float, BUCKET_COUNT + 1> m_logSurvival{};
};

/// Learns output lengths while they appear: each bucket counts how many generations reached it and
/// how many ended in it, so generations still running inform it too. A team's counts are blended
/// with those of its model and rank, and these with a prior. Memory is bounded.
/// Not thread safe: belongs to one duty.
class length_estimator
{
public:
    /// Classes kept; the least used is dropped beyond it.
    static constexpr std::size_t MAX_CLASSES = 2048;

    /// Notes that a generation has grown from `before` to `after` tokens and goes on.
    auto recordGrowth(const length_keys &keys, std::uint32_t before, std::uint32_t after) -> void;
    /// Notes that a generation has ended by itself with `tokens` tokens.
    auto recordEnd(const length_keys &keys, std::uint32_t tokens) -> void;
    /// Curve of a class as learnt so far; valid until the next call of a non-const function.
    auto curve(const length_keys &keys) -> const survival_curve &;
    auto classCount() const -> std::size_t { return m_classes.size(); }

private:
    struct class_statistics
    {
        std::array<float, survival_curve::BUCKET_COUNT> reached{};
        std::array<float, survival_curve::BUCKET_COUNT> ended{};
        survival_curve cachedCurve;
        std::uint32_t updates = 0;
        bool stale = true;
    };

    auto findOrCreate(std::uint64_t key) -> class_statistics &;
    auto record(std::uint64_t key, std::size_t firstBucket, std::size_t lastBucket, bool endsInLast)
        -> void;
    static auto halveCounts(class_statistics &statistics) -> void;

    std::unordered_map<std::uint64_t, class_statistics> m_classes;
};

} // namespace marjoram
