#include "dispatching/generationdispatcher.h"

#include <doctest/doctest.h>
#include <memory>

using namespace marjoram;

namespace {

constexpr int AGENTS = 8;

/// An entry among agents whose engines crash on each generation that ends with a word.
struct entry_fixture
{
    explicit entry_fixture(virtual_clock_source::state &sharedTime)
        : time(sharedTime)
        , core({}, virtual_clock_source(&sharedTime), 1, directory, *this)
    {
        auto built = std::make_shared<manifest>();
        built->version = 1;
        built->ranks[0] = {.leastShare = 0.5, .deadlineMs = 5'000};
        built->ranks[1] = {.leastShare = 0.2, .deadlineMs = 5'000};
        built->teams.push_back(
            {.name = "t", .credentialSha256 = {"c"}, .highestRank = rank::urgent, .maxWaiting = 9});
        built->models.push_back({.name = "m", .contextTokens = 9'999, .maxOutputTokens = 999});
        core.onManifest(built);
        for (int i = 0; i < AGENTS; ++i) {
            const auto host = "host-" + std::to_string(i);
            directory.onLinkUp(host, 1, time.now);
            core.onLinkUp(host);
            directory.onReport(host, {.models = {"m"}}, time.now);
        }
    }

    // --- called by the dispatcher

    auto toAgent(const std::string &host, const frame &message) -> void
    {
        if (const auto *bid = std::get_if<bid_frame>(&message)) {
            pending.emplace_back(
                host, grant_frame{.generation = bid->generation, .attempt = bid->attempt});
        } else if (const auto *start = std::get_if<start_frame>(&message)) {
            ++starts;
            pending.emplace_back(host, endOf(*start));
        } else if (const auto *seen = std::get_if<run_observations_frame>(&message)) {
            shared.insert(shared.end(), seen->observations.begin(), seen->observations.end());
        }
    }
    static auto endOf(const start_frame &start) -> frame
    {
        if (start.request.prompt.ends_with("crash")) {
            return refusal_frame{.generation = start.generation,
                                 .attempt = start.attempt,
                                 .reason = failure::backend_server_lost,
                                 .ran = run_state::unknown};
        }
        return finished_frame{.generation = start.generation, .attempt = start.attempt};
    }
    auto toCaller(const caller_action &action) -> void
    {
        if (const auto *failed = std::get_if<deliver_failure>(&action)) {
            reason = failed->reason;
        } else if (std::holds_alternative<deliver_finish>(action)) {
            ++finished;
        }
    }

    auto request(const std::string &prompt) -> void
    {
        open_generation open{.callerId = ++lastCaller,
                             .credentialSha256 = "c",
                             .requestedRank = rank::urgent,
                             .stream = true};
        open.request.model = "m";
        open.request.prompt = prompt;
        core.onOpen(std::move(open));
        for (int turn = 0; turn < 1'000 && !(pending.empty() && core.drained()); ++turn) {
            for (auto &[host, message] : std::exchange(pending, {})) {
                if (const auto *granted = std::get_if<grant_frame>(&message)) {
                    core.onGrant(host, *granted);
                } else if (const auto *refused = std::get_if<refusal_frame>(&message)) {
                    core.onRefusal(host, *refused);
                } else {
                    core.onFinished(host, std::get<finished_frame>(message));
                }
            }
            time.now = time.now + 20 * US_PER_MS;
            core.onTimer();
        }
    }

    virtual_clock_source::state &time;
    agent_directory directory{{}};
    std::vector<std::pair<std::string, frame>> pending;
    std::vector<run_observation> shared;
    int starts = 0;
    int finished = 0;
    failure reason = failure::none;
    std::uint64_t lastCaller = 0;
    generation_dispatcher<late_binding, virtual_clock_source, entry_fixture> core;
};

const std::string COMMON(400, 'x');

} // namespace

// Each loss of its engine continued the generation on the next one.
TEST_CASE("a generation that crashes engines is not continued on one after the other")
{
    virtual_clock_source::state time;
    entry_fixture entry(time);
    entry.request(COMMON + " crash");
    CHECK(entry.starts == 3);
    CHECK(entry.reason == failure::quarantined);
}

TEST_CASE("other entries refuse a generation that has crashed engines, and serve similar ones")
{
    virtual_clock_source::state time;
    entry_fixture entry(time);
    entry_fixture other(time);
    entry.request(COMMON + " crash");
    other.core.onObservations(entry.shared);
    other.request(COMMON + " crash");
    CHECK(other.starts == 0);
    CHECK(other.reason == failure::quarantined);
    other.request(COMMON + " sound");
    CHECK(other.finished == 1);
}
