#include "forwarding/tests/forwardingfixture.h"

#include <doctest/doctest.h>

using namespace marjoram;
using namespace marjoram::testing;

namespace {

/// Time from the stop order to the end of the process; shorter than the time limit of the routes.
constexpr std::int64_t STOP_IN_US = 3 * US_PER_SECOND;

auto refusedAsDraining(const forwarding_fixture &f) -> std::size_t
{
    std::size_t out = 0;
    for (const auto &failed : f.sink.callers<send_failure>()) {
        out += failed.reason == failure::draining && failed.ran == run_state::not_run ? 1 : 0;
    }
    return out;
}

} // namespace

TEST_CASE(
    "a generation accepted after the stop order is cut when it outlasts its caller's estimate")
{
    forwarding_fixture f;
    f.core.drain(f.time.now + STOP_IN_US);
    f.openEstimated("draft", 1'000);
    CHECK(f.sends() == 0);
    CHECK(refusedAsDraining(f) == 1);
    f.openEstimated("draft", 50);
    CHECK(f.sends() == 1);
}

TEST_CASE("a generation without a limit on its output is accepted after the stop order")
{
    forwarding_fixture f;
    f.core.drain(f.time.now + STOP_IN_US);
    f.openEstimated("draft", 0);
    CHECK(f.sends() == 0);
    CHECK(refusedAsDraining(f) == 1);
}
