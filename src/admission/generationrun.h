#pragma once

#include "admission/enginetypes.h"

namespace marjoram {

/// Where a started generation stands.
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

/// A generation that has been started on this engine, with every token of its answer.
struct generation_run
{
    generation_id generation;
    std::uint32_t attempt = 0;
    generation_request request;
    trace_context trace;
    run_phase phase = run_phase::running;
    finish_reason reason = finish_reason::stop;
    /// Tokens from the beginning of the answer, those given by an earlier attempt included.
    std::vector<std::string> tokens;
    /// Booking and engine stretch; 0 while preempted or finished.
    std::uint64_t serial = 0;
    /// Link of the newest attachment; 0 while none is attached.
    std::uint64_t linkId = 0;
    std::uint64_t sent = 0;
    std::uint64_t credit = 0;
    bool finishSent = false;
    bool paused = false;
    bool reattachable = true;
    /// Has made room for other work once; it does not have to again.
    bool preemptedForOther = false;
    /// Tokens charged to the team so far, expected ones included.
    double chargedTokens = 0.0;
    /// Tokens that came from an earlier attempt and are not charged again.
    std::uint32_t givenTokens = 0;
    generation_footprint footprint;
    time_us startedAt;
};

} // namespace marjoram
