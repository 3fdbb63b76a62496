// Micro-benchmarks of what runs per token, per request and per decision, and how each grows.

#include "admission/enginecore.h"
#include "dispatching/generationdispatcher.h"
#include "innerprotocol/framecodec.h"

#include <benchmark/benchmark.h>

namespace {

using namespace marjoram;

constexpr auto MODEL = "m";

/// Sink that drops every action.
struct null_sink
{
    auto toEntry(std::uint64_t, const frame &message) -> void
    {
        if (const auto *grant = std::get_if<grant_frame>(&message)) {
            granted.push_back(grant->generation);
        }
    }
    auto startEngineJob(const engine_job &job) -> void { serial = job.serial; }
    auto stopEngineJob(std::uint64_t) -> void { }
    auto pauseEngineJob(std::uint64_t) -> void { }
    auto resumeEngineJob(std::uint64_t) -> void { }
    auto toAgent(const std::string &, const frame &message) -> void
    {
        if (const auto *bid = std::get_if<bid_frame>(&message)) {
            generation = bid->generation;
            host = "host-0";
        }
    }
    auto toCaller(const caller_action &) -> void { }

    std::uint64_t serial = 0;
    generation_id generation;
    std::string host;
    std::vector<generation_id> granted;
};

auto manifestOf(int teams) -> manifest_ptr
{
    auto out = std::make_shared<manifest>();
    out->version = 1;
    out->ranks[0] = {.leastShare = 0.5, .deadlineMs = 1'000'000};
    out->ranks[1] = {.leastShare = 0.2, .deadlineMs = 1'000'000};
    for (int i = 0; i < teams; ++i) {
        out->teams.push_back({.name = "team-" + std::to_string(i),
                              .credentialSha256 = {"credential-" + std::to_string(i)},
                              .highestRank = rank::urgent,
                              .maxWaiting = 100'000});
    }
    out->models.push_back(
        {.name = MODEL, .contextTokens = 1'000'000, .maxOutputTokens = 100'000, .replicas = 1});
    return out;
}

auto fill(agent_directory &directory, int agents) -> void
{
    host_list hosts;
    for (int i = 0; i < agents; ++i) {
        hosts.hosts.push_back({.host = "host-" + std::to_string(i), .dataCentre = "x"});
    }
    directory.onHosts(hosts);
    for (const auto &host : hosts.hosts) {
        directory.onLinkUp(host.host, 1, {});
        directory.onReport(host.host, {.kvCapacityTokens = 10'000, .models = {MODEL}}, {});
    }
}

auto routeAmongAgents(benchmark::State &state) -> void
{
    agent_directory directory({});
    fill(directory, static_cast<int>(state.range(0)));
    random_source random(1);
    const route_request request{.model = MODEL, .prefix = 7, .dataCentre = "x"};
    for (auto turn : state) {
        const auto &usable = directory.usableFor(MODEL, {});
        benchmark::DoNotOptimize(late_binding::choose(request, usable, directory.hints(), random));
    }
}
BENCHMARK(routeAmongAgents)->Arg(20)->Arg(126)->Arg(760);

/// A full engine with `running` sequences and `waiting` bids of as many teams: one bid comes, one
/// sequence ends, one bid is granted and started.
auto admitOne(benchmark::State &state) -> void
{
    virtual_clock_source::state time;
    null_sink sink;
    const auto running = static_cast<int>(state.range(0));
    const auto waiting = static_cast<int>(state.range(1));
    engine_core<forecast_admission, virtual_clock_source, null_sink> core(
        {.admission
         = {.stepLimitUs = 12'000 + 300 * running, .assumedCapacityTokens = 1'000'000'000}},
        virtual_clock_source(&time), sink);
    core.onManifest(manifestOf(std::max(waiting, 1)));
    random_source random(1);
    std::uint64_t number = 0;
    const auto bid = [&] {
        ++number;
        const bid_frame frame{.generation = {.high = 1, .low = number},
                              .attempt = 1,
                              .workRank = rank::urgent,
                              .team = "team-" + std::to_string(number % std::max(waiting, 1)),
                              .model = MODEL,
                              .promptTokens = 100,
                              .maxTokens = 1'000,
                              .deadlineMs = 1'000'000};
        core.onBid(1, frame);
    };
    std::vector<std::uint64_t> serials;
    const auto startGranted = [&] {
        for (const auto &generation : std::exchange(sink.granted, {})) {
            core.onStart(1, {.generation = generation,
                             .attempt = 1,
                             .request = {.workRank = rank::urgent, .team = "team-1"},
                             .credit = 1'000});
            serials.push_back(sink.serial);
        }
    };
    for (int i = 0; i < running + waiting; ++i) {
        bid();
        startGranted();
    }
    std::size_t ended = 0;
    for (auto turn : state) {
        bid();
        core.onEngineFinished(serials.at(ended++), {}, finish_reason::stop);
        state.PauseTiming();
        startGranted();
        state.ResumeTiming();
    }
}
BENCHMARK(admitOne)->Args({32, 10})->Args({256, 10})->Args({256, 100})->Args({256, 1'000});

auto tokenThroughAgent(benchmark::State &state) -> void
{
    virtual_clock_source::state time;
    null_sink sink;
    engine_core<forecast_admission, virtual_clock_source, null_sink> core(
        {}, virtual_clock_source(&time), sink);
    core.onManifest(manifestOf(1));
    const generation_id generation{.high = 1, .low = 1};
    core.onBid(1, {.generation = generation,
                   .attempt = 1,
                   .team = "team-0",
                   .model = MODEL,
                   .maxTokens = 100'000'000,
                   .deadlineMs = 1'000});
    core.onStart(1, {.generation = generation, .attempt = 1, .credit = UINT32_MAX});
    for (auto turn : state) {
        core.onEngineTokens(sink.serial, {" token"});
    }
}
BENCHMARK(tokenThroughAgent);

auto tokenThroughEntry(benchmark::State &state) -> void
{
    virtual_clock_source::state time;
    null_sink sink;
    agent_directory directory({});
    fill(directory, 1);
    generation_dispatcher<late_binding, virtual_clock_source, null_sink> core(
        {}, virtual_clock_source(&time), 1, directory, sink);
    core.onManifest(manifestOf(1));
    open_generation open{.callerId = 1, .credentialSha256 = "credential-0", .stream = true};
    open.request.model = MODEL;
    core.onOpen(std::move(open));
    core.onGrant(sink.host, {.generation = sink.generation, .attempt = 1});
    std::uint64_t position = 0;
    for (auto turn : state) {
        core.onTokens(sink.host, {.generation = sink.generation,
                                  .attempt = 1,
                                  .position = position++,
                                  .tokens = {" token"}});
    }
}
BENCHMARK(tokenThroughEntry);

auto encodeTokens(benchmark::State &state) -> void
{
    const frame message = tokens_frame{.attempt = 1, .position = 70, .tokens = {" token"}};
    std::string bytes;
    for (auto turn : state) {
        bytes.clear();
        encodeFrame(message, bytes);
        benchmark::DoNotOptimize(bytes);
    }
    state.counters["bytes"] = static_cast<double>(bytes.size());
}
BENCHMARK(encodeTokens);

auto decodeTokens(benchmark::State &state) -> void
{
    std::string bytes;
    encodeFrame(tokens_frame{.attempt = 1, .position = 70, .tokens = {" token"}}, bytes);
    const auto body = std::string_view(bytes).substr(FRAME_PREFIX_BYTES);
    for (auto turn : state) {
        benchmark::DoNotOptimize(decodeFrame(body));
    }
}
BENCHMARK(decodeTokens);

auto encodeReport(benchmark::State &state) -> void
{
    const frame message = load_report_frame{.running = 40,
                                            .kvUsedTokens = 100'000,
                                            .kvCapacityTokens = 500'000,
                                            .stepUs = 50'000,
                                            .manifestVersion = 12'345,
                                            .models = {"a-model"}};
    std::string bytes;
    for (auto turn : state) {
        bytes.clear();
        encodeFrame(message, bytes);
        benchmark::DoNotOptimize(bytes);
    }
    state.counters["bytes"] = static_cast<double>(bytes.size());
}
BENCHMARK(encodeReport);

} // namespace

BENCHMARK_MAIN();
