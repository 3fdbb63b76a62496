#pragma once

#include "admission/generationrun.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace marjoram {

/// Generations started on one engine: running ones (the batch), preempted ones, and finished ones
/// that are kept for a while. Pointers are valid until their run is erased. Not thread safe:
/// belongs to one duty.
class run_table
{
public:
    auto find(const generation_id &generation) -> generation_run *
    {
        const auto found = m_runs.find(generation);
        return found == m_runs.end() ? nullptr : &found->second;
    }
    auto find(const generation_id &generation) const -> const generation_run *
    {
        const auto found = m_runs.find(generation);
        return found == m_runs.end() ? nullptr : &found->second;
    }
    /// Run with this serial, or null if it is no longer in the batch.
    auto findBySerial(std::uint64_t serial) -> generation_run *
    {
        const auto found = m_bySerial.find(serial);
        return found == m_bySerial.end() ? nullptr : &m_runs.at(found->second);
    }
    auto insert(generation_run run) -> generation_run &
    {
        const auto generation = run.generation;
        return m_runs.insert_or_assign(generation, std::move(run)).first->second;
    }
    /// Precondition: the run is not in the batch.
    auto erase(const generation_id &generation) -> void { m_runs.erase(generation); }
    auto size() const -> std::size_t { return m_runs.size(); }
    /// Copy of the ids of all runs, so that runs can be erased during iteration.
    auto generations() const -> std::vector<generation_id>
    {
        std::vector<generation_id> out;
        out.reserve(m_runs.size());
        for (const auto &[generation, run] : m_runs) {
            out.push_back(generation);
        }
        return out;
    }

    // --- the batch

    auto addToBatch(generation_run &run, std::uint64_t serial) -> void
    {
        run.serial = serial;
        run.phase = run_phase::running;
        m_bySerial.emplace(serial, run.generation);
    }
    auto removeFromBatch(generation_run &run) -> void
    {
        m_bySerial.erase(run.serial);
        run.serial = 0;
        run.paused = false;
    }
    auto batchSize() const -> std::size_t { return m_bySerial.size(); }
    auto batchSizeOf(const std::string &team) const -> std::int64_t
    {
        return countInBatch([&team](const auto &run) { return run.request.team == team; });
    }
    auto batchSizeOf(rank r) const -> std::int64_t
    {
        return countInBatch([r](const auto &run) { return run.request.workRank == r; });
    }
    /// Number of teams in the batch, including `added`.
    auto batchTeamsWith(const std::string &added) const -> std::size_t
    {
        std::unordered_set<std::string_view> teams{added};
        for (const auto &[serial, generation] : m_bySerial) {
            teams.insert(m_runs.at(generation).request.team);
        }
        return teams.size();
    }
    /// Candidate in the batch with the fewest tokens to recompute after preemption, or null. Runs
    /// without a token are never chosen: their callers would wait for the first token twice.
    auto chooseVictim(auto &&isCandidate) -> generation_run *
    {
        generation_run *cheapest = nullptr;
        for (const auto &[serial, generation] : m_bySerial) {
            auto &run = m_runs.at(generation);
            if (!run.tokens.empty() && isCandidate(run)
                && (!cheapest || kvTokens(run) < kvTokens(*cheapest))) {
                cheapest = &run;
            }
        }
        return cheapest;
    }

    // --- finished runs

    auto addFinished(const generation_id &generation) -> void { m_finished.push_back(generation); }
    /// Removes and returns the oldest finished run if there are more than `limit`.
    auto popFinishedBeyond(std::size_t limit) -> std::optional<generation_id>
    {
        if (m_finished.size() <= limit) {
            return std::nullopt;
        }
        const auto oldest = m_finished.front();
        m_finished.pop_front();
        return oldest;
    }

private:
    static auto kvTokens(const generation_run &run) -> std::uint64_t
    {
        return std::uint64_t{run.footprint.promptTokens} + run.footprint.produced;
    }
    auto countInBatch(auto &&matches) const -> std::int64_t
    {
        return std::count_if(m_bySerial.begin(), m_bySerial.end(),
                             [&](const auto &one) { return matches(m_runs.at(one.second)); });
    }

    std::unordered_map<generation_id, generation_run> m_runs;
    std::unordered_map<std::uint64_t, generation_id> m_bySerial;
    std::deque<generation_id> m_finished;
};

} // namespace marjoram
