#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace marjoram {

/// Options of an engine model.
struct engine_model_options
{
    std::uint64_t kvCapacityTokens = 16'384;
    std::uint32_t mostRunning = 256;
    std::int64_t stepBaseUs = 12'000;
    std::int64_t stepPerSequenceUs = 300;
    std::int64_t prefillPerTokenUs = 40;
    std::uint32_t prefixesCached = 64;
    /// Part of a prompt that a cached prefix saves.
    double prefixShare = 0.6;
};

/// One sequence to be decoded.
struct engine_sequence
{
    std::uint64_t id = 0;
    std::uint32_t promptTokens = 0;
    /// Output tokens that already exist.
    std::uint32_t produced = 0;
    /// Output tokens at which the sequence ends.
    std::uint32_t length = 0;
    std::uint32_t priority = 0;
    std::uint64_t prefix = 0;
};

/// What one decode step did.
struct engine_step
{
    std::int64_t durationUs = 0;
    /// Sequences that produced a token.
    std::vector<std::uint64_t> emitted;
    /// Those of them that ended with it.
    std::vector<std::uint64_t> finished;
};

/// Model of an engine with continuous batching, memory that fills up in the middle of decoding,
/// preemption by recomputation, priorities and a prefix cache. Used in virtual time by the bench
/// and in real time by the stand-in process. Not thread safe.
class engine_model
{
public:
    explicit engine_model(engine_model_options options)
        : m_options(options)
    { }

    auto submit(const engine_sequence &sequence) -> void { m_waiting.push_back(sequence); }
    auto cancel(std::uint64_t id) -> void;
    /// Runs one step; a duration of 0 means that there is nothing to do.
    auto step() -> engine_step;

    auto idle() const -> bool { return m_running.empty() && m_waiting.empty(); }
    auto running() const -> std::uint32_t { return static_cast<std::uint32_t>(m_running.size()); }
    auto waiting() const -> std::uint32_t { return static_cast<std::uint32_t>(m_waiting.size()); }
    auto usedTokens() const -> std::uint64_t { return m_used; }
    auto preemptions() const -> std::uint64_t { return m_preemptions; }
    auto prefixHits() const -> std::uint64_t { return m_prefixHits; }
    auto prefixMisses() const -> std::uint64_t { return m_prefixMisses; }
    auto lastStepUs() const -> std::int64_t { return m_lastStepUs; }
    auto options() -> engine_model_options & { return m_options; }
    /// Prefixes that entered and left the cache since the last call.
    auto takeCached() -> std::vector<std::uint64_t> { return std::exchange(m_cachedNews, {}); }
    auto takeEvicted() -> std::vector<std::uint64_t> { return std::exchange(m_evictedNews, {}); }

private:
    static auto held(const engine_sequence &sequence) -> std::uint64_t
    {
        return std::uint64_t{sequence.promptTokens} + sequence.produced;
    }
    auto admit() -> std::int64_t;
    auto prefillUs(const engine_sequence &sequence) -> std::int64_t;
    auto touchPrefix(std::uint64_t prefix) -> bool;
    auto preemptOne() -> void;

    engine_model_options m_options;
    std::list<engine_sequence> m_waiting;
    std::list<engine_sequence> m_running;
    std::list<std::uint64_t> m_prefixes;
    std::vector<std::uint64_t> m_cachedNews;
    std::vector<std::uint64_t> m_evictedNews;
    std::uint64_t m_used = 0;
    std::uint64_t m_preemptions = 0;
    std::uint64_t m_prefixHits = 0;
    std::uint64_t m_prefixMisses = 0;
    std::int64_t m_lastStepUs = 0;
};

} // namespace marjoram
