#pragma once

#include "admission/enginetypes.h"

namespace marjoram {

/// Phase of a generation after its start.
enum class run_phase { running, preempted, finished };
inline constexpr std::array runPhaseNames{
    enum_name<run_phase>{run_phase::running, "running"},
    enum_name<run_phase>{run_phase::preempted, "preempted"},
    enum_name<run_phase>{run_phase::finished, "finished"},
};
constexpr auto namesOf(run_phase) -> const auto &
{
    return runPhaseNames;
}

/// Generation that has been started on this engine, with all tokens of its answer.
struct generation_run
{
    generation_id generation;
    std::uint32_t attempt = 0;
    generation_request request;
    trace_context trace;
    run_phase phase = run_phase::running;
    finish_reason reason = finish_reason::stop;
    /// All tokens of the answer, including those of earlier attempts.
    std::vector<std::string> tokens;
    /// Serial of the reservation and the engine_job; 0 while preempted or finished.
    std::uint64_t serial = 0;
    /// Link of the attached entry; 0 if there is none.
    std::uint64_t linkId = 0;
    std::uint64_t sent = 0;
    std::uint64_t credit = 0;
    bool finishSent = false;
    bool paused = false;
    bool reattachable = true;
    /// Has been preempted in favour of other work, which happens only once.
    bool preemptedForOther = false;
    /// Engine failures that it has met here.
    std::uint32_t engineFailures = 0;
    /// Tokens charged to the team so far, including those expected but not yet produced.
    double chargedTokens = 0.0;
    /// Tokens produced by earlier attempts, which are not charged again.
    std::uint32_t givenTokens = 0;
    generation_footprint footprint;
    time_us startedAt;
};

} // namespace marjoram
