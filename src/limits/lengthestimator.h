#pragma once

#include "framework/global/failure.h"

#include <array>
#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace marjoram {

/// Keys of the length statistics that apply to a generation.
struct length_keys
{
    std::uint64_t teamKey = 0;
    /// Statistics of the model and rank over all teams.
    std::uint64_t sharedKey = 0;
};

/// Keys for a team's generations of a model and rank. Thread safe.
auto lengthKeysOf(std::string_view model, std::string_view team, rank workRank) -> length_keys;

/// Survival function of the output length: the probability that a generation reaches a given
/// length. Lengths are grouped in buckets of geometrically increasing width.
class survival_curve
{
public:
    static constexpr std::size_t BUCKET_COUNT = 40;
    using hazards = std::array<float, BUCKET_COUNT>;

    explicit survival_curve(const hazards &perBucket);
    survival_curve();

    /// Probability that a generation which has `produced` tokens produces `ahead` more.
    auto survivalProbability(std::uint32_t produced, std::uint32_t ahead) const -> double;
    /// Number of further tokens that a generation which has `produced` tokens exceeds with the
    /// given probability.
    auto remainingQuantile(std::uint32_t produced, double probability) const -> std::uint32_t;

    /// Bucket of a length.
    static auto bucketOf(std::uint32_t tokens) -> std::size_t;
    /// Smallest length in a bucket.
    static auto bucketStart(std::size_t bucket) -> double;

private:
    auto logSurvival(double tokens) const -> double;

    std::array<float, BUCKET_COUNT + 1> m_logSurvival{};
};

/// Estimates the distribution of output lengths. Each bucket counts how many generations reached it
/// and how many ended in it, so generations that are still running count as well. The counts of a
/// team are smoothed with those of its model and rank, and these with a fixed prior. Memory is
/// bounded.
/// Not thread safe: belongs to one duty.
class length_estimator
{
public:
    /// When there are more, the class with the fewest generations is dropped.
    static constexpr std::size_t MAX_CLASSES = 2048;

    /// Records that a generation has grown from `before` to `after` tokens and continues.
    auto recordGrowth(const length_keys &keys, std::uint32_t before, std::uint32_t after) -> void;
    /// Records that a generation has completed with `tokens` tokens.
    auto recordEnd(const length_keys &keys, std::uint32_t tokens) -> void;
    /// Current estimate; valid until the next call of a non-const function.
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
