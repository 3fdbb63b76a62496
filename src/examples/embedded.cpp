// Embeds the decisions beside an engine: two generations bid for room and are started.

#include "admission/enginecore.h"

#include <iostream>

namespace {

using namespace marjoram;

/// Takes the core's actions; a real embedder talks to its engine and its callers here.
struct printing_sink
{
    auto toEntry(std::uint64_t linkId, const frame &message) -> void
    {
        if (const auto *grant = std::get_if<grant_frame>(&message)) {
            std::cout << "link " << linkId << ": granted " << toText(grant->generation) << "\n";
            ++granted;
        }
    }
    auto startEngineJob(const engine_job &job) -> void
    {
        std::cout << "engine: start " << toText(job.generation) << "\n";
        ++started;
    }
    auto stopEngineJob(std::uint64_t) -> void { }
    auto pauseEngineJob(std::uint64_t) -> void { }
    auto resumeEngineJob(std::uint64_t) -> void { }

    int granted = 0;
    int started = 0;
};

} // namespace

auto main() -> int
{
    printing_sink sink;
    engine_core<forecast_admission, system_clock_source, printing_sink> core({}, {}, sink);
    for (std::uint64_t i = 1; i <= 2; ++i) {
        const generation_id generation{.high = 0, .low = i};
        core.onBid(1, {.generation = generation,
                       .attempt = 1,
                       .team = "clinic",
                       .model = "briefing",
                       .promptTokens = 50,
                       .maxTokens = 200,
                       .deadlineMs = 1'000});
        core.onStart(1, {.generation = generation, .attempt = 1, .credit = 64});
    }
    return sink.granted == 2 && sink.started == 2 ? 0 : 1;
}
