#include "forwarding/tests/forwardingfixture.h"

#include <doctest/doctest.h>

using namespace marjoram;
using namespace marjoram::testing;

namespace {

constexpr std::uint64_t CRASHING_PART = 66;
constexpr std::size_t CRASHES_TO_QUARANTINE = 3;

/// A fixture with as many engines as the moves and crashes of a test use up.
struct crashing_fixture : forwarding_fixture
{
    std::vector<server_entry> engines;

    crashing_fixture()
    {
        for (const std::string id : {"i-c", "i-d", "i-e", "i-f", "i-g", "i-h", "i-j", "i-k"}) {
            engines.push_back(serverOf(id, "engines"));
        }
        core.onServerList(engines);
    }
    /// Opens a request with the crashing part and one of its own.
    auto openCrashing() -> void { openRequest("draft", {CRASHING_PART, 1'000 + lastCaller}); }
    /// Copies the last run off its server, which shuts down, up to the end of the source's stream.
    auto moveRun() -> void
    {
        beginStream();
        reportLeaving();
        completeCopy(copy_outcome::copied, "h1");
        failExchange(fetch_phase::reading);
        completeCopy(copy_outcome::copied, "h2");
    }
    /// The server of the last send loses its runs, no longer answers its reporter, and is removed.
    auto crashServer() -> void
    {
        const auto id = lastSend().serverId;
        failExchange(fetch_phase::reading);
        core.onReport(id, {.answering = false});
        std::erase_if(engines, [&id](const server_entry &entry) { return entry.id == id; });
        core.onServerList(engines);
        advance(1'000);
    }
    /// Other entries have seen requests with the part crash servers.
    auto hearOfCrashes() -> void
    {
        for (std::size_t i = 0; i < CRASHES_TO_QUARANTINE; ++i) {
            core.onObservations({{.fate = run_fate::lost_in_crash,
                                  .serverId = "other-" + std::to_string(i),
                                  .requestId = "other-" + std::to_string(i),
                                  .traits = {CRASHING_PART, i},
                                  .ageMs = static_cast<std::int64_t>(i) * 1'000}});
        }
    }
    auto quarantined() const -> std::size_t
    {
        const auto failures = sink.callers<send_failure>();
        return static_cast<std::size_t>(
            std::count_if(failures.begin(), failures.end(), [](const send_failure &failed) {
                return failed.reason == failure::quarantined;
            }));
    }
};

} // namespace

// A moved run counted as one that had survived its start, though it had not produced anything.
TEST_CASE("runs that crash the targets of their moves lead to a quarantine")
{
    crashing_fixture f;
    for (std::size_t i = 0; i < CRASHES_TO_QUARANTINE; ++i) {
        f.openCrashing();
        f.moveRun();
        REQUIRE(f.sends() == 2 * (i + 1));
        f.crashServer();
    }
    f.openCrashing();
    CHECK(f.quarantined() == 1);
    CHECK(f.sends() == 2 * CRASHES_TO_QUARANTINE);
}

// The check on quarantined requests passed over moved runs.
TEST_CASE("a quarantined run that has produced nothing is not resumed, and its copy is released")
{
    crashing_fixture f;
    f.openCrashing();
    f.beginStream();
    f.reportLeaving();
    f.completeCopy(copy_outcome::copied, "h1");
    f.hearOfCrashes();
    f.failExchange(fetch_phase::reading);
    f.completeCopy(copy_outcome::copied, "h2");
    CHECK(f.sends() == 1);
    CHECK(f.sink.callers<abort_response_stream>().size() == 1);
    REQUIRE(f.sink.servers<release_kv_copy>().size() == 1);
    CHECK(f.sink.servers<release_kv_copy>().back().copy.handle == "h2");
}

TEST_CASE("a run that has survived its start is resumed in spite of a quarantine")
{
    crashing_fixture f;
    f.openCrashing();
    f.beginStream();
    f.streamEvents(1, 20);
    f.hearOfCrashes();
    f.reportLeaving();
    f.completeCopy(copy_outcome::copied, "h1");
    f.failExchange(fetch_phase::reading);
    f.completeCopy(copy_outcome::copied, "h2");
    CHECK(f.sends() == 2);
}

TEST_CASE("bytes that are no event do not show that a run has survived its start")
{
    crashing_fixture f;
    for (std::size_t i = 0; i < CRASHES_TO_QUARANTINE; ++i) {
        f.openCrashing();
        f.beginStream();
        f.core.onEvent(
            stream_advanced{.exchangeId = f.lastSend().exchangeId,
                            .events = std::vector<stream_event>(20, {.bytes = ": ping\n\n"})});
        f.crashServer();
    }
    f.openCrashing();
    CHECK(f.quarantined() == 1);
}

// Each such answer cleared the part, so that as many crashes as before were needed again.
TEST_CASE("an error or an empty stream does not show that a run has survived its start")
{
    crashing_fixture f;
    const auto crash = [&f] {
        f.openCrashing();
        f.beginStream();
        f.crashServer();
    };
    crash();
    f.openCrashing();
    f.core.onEvent(
        response_received{.exchangeId = f.lastSend().exchangeId, .head = {.status = 500}});
    crash();
    f.openCrashing();
    f.beginStream();
    f.core.onEvent(stream_completed{f.lastSend().exchangeId});
    crash();
    f.openCrashing();
    CHECK(f.quarantined() == 1);
}
