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

/// The generations started on one engine: those in its batch, those preempted and those finished
/// and kept. Not thread safe: belongs to one duty. Pointers are valid until their run is erased.
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
    /// Run of a stretch on the engine, or null when that stretch is over.
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
    /// Identities of all runs, so that runs can be erased while they are walked.
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
    /// Teams in the batch, `joining` counted among them.
    auto batchTeamsWith(const std::string &added) const -> std::size_t
    {
        std::unordered_set<std::string_view> teams{added};
        for (const auto &[serial, generation] : m_bySerial) {
            teams.insert(m_runs.at(generation).request.team);
        }
        return teams.size();
    }
    /// Run in the batch for which `mayGo` holds and that would compute the fewest tokens again;
    /// never one without a token, whose caller would wait for the first one twice.
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
    /// Takes the oldest finished run beyond a number of them.
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
