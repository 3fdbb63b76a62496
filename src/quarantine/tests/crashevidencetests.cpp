#include "quarantine/crashevidence.h"

#include <doctest/doctest.h>

using namespace marjoram;

namespace {

constexpr std::uint64_t CULPRIT = 66;

struct fixture
{
    crash_evidence evidence{{}};
    time_us now{1'000 * US_PER_SECOND};
    std::uint64_t lastRequest = 0;
    std::uint64_t lastServer = 0;

    /// A server crashes and loses a run with each of the given sets of traits, of the given request
    /// or of new ones.
    auto crash(std::vector<std::vector<std::uint64_t>> runs, const std::string &requestId = {})
        -> void
    {
        const auto server = "s" + std::to_string(++lastServer);
        for (auto &traits : runs) {
            evidence.add(
                {.fate = run_fate::lost_in_crash,
                 .serverId = server,
                 .requestId = requestId.empty() ? "r" + std::to_string(++lastRequest) : requestId,
                 .traits = std::move(traits)},
                now);
        }
        now = now + US_PER_SECOND;
    }
    /// Several servers crash at the same time; each loses a run with the given traits.
    auto outage(const std::vector<std::vector<std::uint64_t>> &servers) -> void
    {
        for (const auto &traits : servers) {
            crash({traits});
            now = now + -US_PER_SECOND;
        }
        now = now + US_PER_SECOND;
    }
    auto survive(std::vector<std::uint64_t> traits) -> void
    {
        evidence.add({.fate = run_fate::survived,
                      .serverId = "s",
                      .requestId = "r" + std::to_string(++lastRequest),
                      .traits = std::move(traits)},
                     now);
        now = now + US_PER_SECOND;
    }
    auto quarantined(const std::vector<std::uint64_t> &traits) const -> bool
    {
        return evidence.quarantinedUntil(traits, now).has_value();
    }
};

} // namespace

TEST_CASE("a trait is quarantined after three crashes, its companions are not")
{
    fixture f;
    f.crash({{1, 2, CULPRIT, 101}});
    f.crash({{1, 2, CULPRIT, 102}});
    CHECK_FALSE(f.quarantined({1, 2, CULPRIT, 103}));
    f.crash({{1, 2, CULPRIT, 103}});
    CHECK(f.quarantined({1, 2, CULPRIT, 104}));
    CHECK_FALSE(f.quarantined({1, 2, 105}));
}

TEST_CASE("a companion that others survive with does not narrow the quarantine")
{
    fixture f;
    for (std::uint64_t own = 101; own <= 103; ++own) {
        f.crash({{1, CULPRIT, own}});
    }
    CHECK_FALSE(f.quarantined({2, CULPRIT}));
    f.survive({1});
    CHECK(f.quarantined({2, CULPRIT}));
    CHECK_FALSE(f.quarantined({1, 104}));
}

TEST_CASE("runs lost beside the culprit are not blamed, even if they share a part with it")
{
    fixture f;
    f.crash({{1, CULPRIT, 101}, {1, 102}, {5, 103}});
    f.crash({{1, CULPRIT, 104}, {5, 105}});
    f.crash({{1, CULPRIT, 106}, {5, 107}, {1, 108}});
    CHECK(f.quarantined({1, CULPRIT, 109}));
    CHECK_FALSE(f.quarantined({1, 110}));
}

TEST_CASE("a culprit with changing companions is found")
{
    fixture f;
    f.crash({{1, CULPRIT, 101}});
    f.crash({{2, CULPRIT, 102}});
    f.crash({{3, CULPRIT, 103}});
    CHECK(f.quarantined({4, CULPRIT, 104}));
    CHECK(f.evidence.signatures().front().traits == std::vector<std::uint64_t>{CULPRIT});
}

TEST_CASE("a culprit that changes its companions later is found after five crashes")
{
    fixture f;
    for (std::uint64_t own = 101; own <= 103; ++own) {
        f.crash({{1, CULPRIT, own}});
    }
    f.crash({{2, CULPRIT, 104}});
    f.crash({{3, CULPRIT, 105}});
    CHECK(f.quarantined({4, CULPRIT, 106}));
    CHECK_FALSE(f.quarantined({1, 107}));
}

TEST_CASE("a popular trait is not blamed for crashes that have other causes")
{
    fixture f;
    for (std::uint64_t own = 101; own <= 120; ++own) {
        f.crash({{1, own}});
        f.survive({1});
    }
    CHECK_FALSE(f.quarantined({1, 121}));
}

TEST_CASE("a request that is repeated unchanged is quarantined alone")
{
    fixture f;
    for (int i = 0; i < 3; ++i) {
        f.crash({{1, 2, 101}});
    }
    CHECK(f.quarantined({1, 2, 101}));
    CHECK_FALSE(f.quarantined({1, 2, 102}));
}

TEST_CASE("several runs lost in one crash count as one")
{
    fixture f;
    f.crash({{CULPRIT, 101}, {CULPRIT, 102}, {CULPRIT, 103}});
    f.crash({{CULPRIT, 104}});
    CHECK_FALSE(f.quarantined({CULPRIT, 105}));
}

TEST_CASE("a quarantine ends, and one more crash renews it for longer")
{
    fixture f;
    for (std::uint64_t own = 101; own <= 103; ++own) {
        f.crash({{CULPRIT, own}});
    }
    f.now = f.now + 120 * US_PER_SECOND;
    CHECK_FALSE(f.quarantined({CULPRIT}));
    f.crash({{CULPRIT, 104}});
    f.now = f.now + 200 * US_PER_SECOND;
    CHECK(f.quarantined({CULPRIT}));
}

TEST_CASE("a survivor ends a quarantine")
{
    fixture f;
    for (std::uint64_t own = 101; own <= 103; ++own) {
        f.crash({{CULPRIT, own}});
    }
    f.survive({CULPRIT});
    CHECK_FALSE(f.quarantined({CULPRIT}));
    CHECK(f.evidence.suspectsAmong({CULPRIT}).empty());
}

TEST_CASE("the result does not depend on the order of the observations")
{
    crash_evidence forwards({});
    crash_evidence backwards({});
    std::vector<run_observation> seen;
    for (std::int64_t i = 0; i < 3; ++i) {
        seen.push_back({.serverId = "s" + std::to_string(i),
                        .requestId = "r" + std::to_string(i),
                        .traits = {1, CULPRIT},
                        .ageMs = 9'000 - 1'000 * i});
    }
    seen.push_back({.fate = run_fate::survived, .requestId = "x", .traits = {1}, .ageMs = 6'500});
    const time_us now{1'000 * US_PER_SECOND};
    for (std::size_t i = 0; i < seen.size(); ++i) {
        forwards.add(seen[i], now);
        backwards.add(seen[seen.size() - 1 - i], now);
    }
    CHECK(forwards.signatures() == backwards.signatures());
    CHECK(forwards.quarantinedUntil({2, CULPRIT}, now));
}

TEST_CASE("the evidence is bounded, and unrelated crashes do not displace that of a quarantine")
{
    fixture f;
    f.crash({{7, 99}});
    for (std::uint64_t own = 101; own <= 103; ++own) {
        f.crash({{CULPRIT, own}});
    }
    for (std::uint64_t other = 10'000; other < 10'300; ++other) {
        f.evidence.add({.serverId = "t" + std::to_string(other),
                        .requestId = "t" + std::to_string(other),
                        .traits = {other}},
                       f.now);
    }
    CHECK(f.quarantined({CULPRIT}));
    CHECK(f.evidence.suspectsAmong({7}).empty());
}

// Two sends of one request and one of another in its session were taken for a cause of their own.
TEST_CASE("repeats of a request do not narrow a quarantine to what its session shares")
{
    fixture f;
    constexpr std::uint64_t SESSION = 9;
    f.crash({{1, CULPRIT, SESSION}}, "repeated");
    f.crash({{1, CULPRIT, SESSION}}, "repeated");
    f.crash({{1, CULPRIT, SESSION}});
    CHECK(f.quarantined({1, CULPRIT, SESSION}));
    f.crash({{1, CULPRIT, 101}});
    CHECK(f.quarantined({1, CULPRIT, 102}));
}

TEST_CASE("a trait is suspected after two crashes, until a run survives with it")
{
    fixture f;
    f.crash({{1, CULPRIT, 101}});
    CHECK_FALSE(f.evidence.isSuspected({2, CULPRIT, 102}));
    f.crash({{1, CULPRIT, 102}});
    CHECK(f.evidence.isSuspected({2, CULPRIT, 103}));
    CHECK(f.evidence.isSuspected({1, 104}));
    f.survive({1});
    CHECK_FALSE(f.evidence.isSuspected({1, 104}));
    CHECK(f.evidence.isSuspected({2, CULPRIT, 103}));
}

// A part that one request in each outage had was taken for its cause.
TEST_CASE("a trait that few of the servers in an outage lost is not blamed for it")
{
    fixture f;
    std::uint64_t own = 100;
    for (std::size_t i = 0; i < 5; ++i) {
        f.outage({{1, ++own}, {2, ++own}, {3, ++own}});
    }
    CHECK_FALSE(f.quarantined({1, ++own}));
}

TEST_CASE("a culprit that crashes several servers at the same time is quarantined")
{
    fixture f;
    std::uint64_t own = 100;
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK_FALSE(f.quarantined({CULPRIT, ++own}));
        f.outage({{CULPRIT, ++own}, {CULPRIT, ++own}, {3, ++own}});
    }
    CHECK(f.quarantined({CULPRIT, ++own}));
    CHECK_FALSE(f.quarantined({3, ++own}));
}
