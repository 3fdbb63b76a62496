#include "limits/lengthestimator.h"

#include "framework/global/identifiers.h"

#include <algorithm>
#include <cmath>

namespace marjoram {

namespace {

/// Each bucket is 2^(1 / BUCKETS_PER_DOUBLING) times as wide as the one before.
constexpr double BUCKETS_PER_DOUBLING = 2.5;
/// Prior probability of ending within a bucket that has been reached.
constexpr float PRIOR_HAZARD = 0.20F;
constexpr float PRIOR_PSEUDO_COUNT = 2.0F;
constexpr float SHARED_PSEUDO_COUNT = 8.0F;
constexpr float MAX_HAZARD = 0.999F;
/// Updates after which the counts are halved, so that old data loses weight.
constexpr std::uint32_t UPDATES_PER_HALVING = 4'000;
/// Once a class has this many generations, its cached curve is recomputed only every so many
/// updates.
constexpr std::uint32_t UPDATES_PER_REFRESH = 16;

} // namespace

auto lengthKeysOf(std::string_view model, std::string_view team, rank workRank) -> length_keys
{
    const auto shared = stableHash(model, indexOf(workRank) + 1);
    return {.teamKey = stableHash(team, shared), .sharedKey = shared};
}

survival_curve::survival_curve()
{
    hazards prior;
    prior.fill(PRIOR_HAZARD);
    *this = survival_curve(prior);
}

survival_curve::survival_curve(const hazards &perBucket)
{
    for (std::size_t i = 0; i < BUCKET_COUNT; ++i) {
        m_logSurvival[i + 1] = m_logSurvival[i] + std::log1p(-std::min(perBucket[i], MAX_HAZARD));
    }
}

auto survival_curve::bucketOf(std::uint32_t tokens) -> std::size_t
{
    const auto position = std::log2(static_cast<double>(tokens) + 1.0) * BUCKETS_PER_DOUBLING;
    return std::min(static_cast<std::size_t>(position), BUCKET_COUNT - 1);
}

auto survival_curve::bucketStart(std::size_t bucket) -> double
{
    return std::exp2(static_cast<double>(bucket) / BUCKETS_PER_DOUBLING) - 1.0;
}

auto survival_curve::logSurvival(double tokens) const -> double
{
    const auto position = std::log2(tokens + 1.0) * BUCKETS_PER_DOUBLING;
    const auto bucket = std::min(static_cast<std::size_t>(position), BUCKET_COUNT - 1);
    const auto fraction = std::min(1.0, position - static_cast<double>(bucket));
    return m_logSurvival[bucket] + fraction * (m_logSurvival[bucket + 1] - m_logSurvival[bucket]);
}

auto survival_curve::survivalProbability(std::uint32_t produced, std::uint32_t ahead) const
    -> double
{
    const auto now = static_cast<double>(produced);
    return std::exp(logSurvival(now + ahead) - logSurvival(now));
}

auto survival_curve::remainingQuantile(std::uint32_t produced, double probability) const
    -> std::uint32_t
{
    const auto target = logSurvival(produced) + std::log(probability);
    for (auto bucket = bucketOf(produced) + 1; bucket < BUCKET_COUNT; ++bucket) {
        if (m_logSurvival[bucket] <= target) {
            const auto length = bucketStart(bucket);
            return static_cast<std::uint32_t>(std::max(1.0, length - produced));
        }
    }
    return static_cast<std::uint32_t>(bucketStart(BUCKET_COUNT));
}

auto length_estimator::findOrCreate(std::uint64_t key) -> class_statistics &
{
    const auto found = m_classes.find(key);
    if (found != m_classes.end()) {
        return found->second;
    }
    if (m_classes.size() >= MAX_CLASSES) {
        const auto least = std::min_element(
            m_classes.begin(), m_classes.end(),
            [](const auto &a, const auto &b) { return a.second.reached[0] < b.second.reached[0]; });
        m_classes.erase(least);
    }
    return m_classes[key];
}

auto length_estimator::halveCounts(class_statistics &statistics) -> void
{
    constexpr float HALF = 0.5F;
    for (std::size_t i = 0; i < survival_curve::BUCKET_COUNT; ++i) {
        statistics.reached[i] *= HALF;
        statistics.ended[i] *= HALF;
    }
    statistics.updates = 0;
}

auto length_estimator::record(std::uint64_t key, std::size_t firstBucket, std::size_t lastBucket,
                              bool endsInLast) -> void
{
    auto &statistics = findOrCreate(key);
    for (auto bucket = firstBucket; bucket < lastBucket; ++bucket) {
        statistics.reached[bucket] += 1.0F;
    }
    if (endsInLast) {
        statistics.reached[lastBucket] += 1.0F;
        statistics.ended[lastBucket] += 1.0F;
    }
    if (++statistics.updates % UPDATES_PER_REFRESH == 0
        || statistics.reached[0] < UPDATES_PER_REFRESH) {
        statistics.stale = true;
    }
    if (statistics.updates >= UPDATES_PER_HALVING) {
        halveCounts(statistics);
    }
}

auto length_estimator::recordGrowth(const length_keys &keys, std::uint32_t before,
                                    std::uint32_t after) -> void
{
    const auto firstBucket = survival_curve::bucketOf(before);
    const auto lastBucket = survival_curve::bucketOf(after);
    if (firstBucket == lastBucket) {
        return;
    }
    record(keys.teamKey, firstBucket, lastBucket, false);
    record(keys.sharedKey, firstBucket, lastBucket, false);
}

auto length_estimator::recordEnd(const length_keys &keys, std::uint32_t tokens) -> void
{
    const auto bucket = survival_curve::bucketOf(tokens);
    record(keys.teamKey, bucket, bucket, true);
    record(keys.sharedKey, bucket, bucket, true);
}

auto length_estimator::curve(const length_keys &keys) -> const survival_curve &
{
    // Create both entries before taking references: creating one may evict another.
    findOrCreate(keys.sharedKey);
    auto &team = findOrCreate(keys.teamKey);
    const auto sharedFound = m_classes.find(keys.sharedKey);
    if (!team.stale || sharedFound == m_classes.end()) {
        return team.cachedCurve;
    }
    const auto &shared = sharedFound->second;
    survival_curve::hazards blended{};
    for (std::size_t i = 0; i < survival_curve::BUCKET_COUNT; ++i) {
        const auto sharedHazard = (shared.ended[i] + PRIOR_PSEUDO_COUNT * PRIOR_HAZARD)
                                  / (shared.reached[i] + PRIOR_PSEUDO_COUNT);
        blended[i] = (team.ended[i] + SHARED_PSEUDO_COUNT * sharedHazard)
                     / (team.reached[i] + SHARED_PSEUDO_COUNT);
    }
    team.cachedCurve = survival_curve(blended);
    team.stale = false;
    return team.cachedCurve;
}

} // namespace marjoram
