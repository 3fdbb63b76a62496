#include "limits/retrywindow.h"

#include <doctest/doctest.h>

using namespace marjoram;

TEST_CASE("retries stay within the ratio of first attempts in the window plus the slack")
{
    retry_window window({.ratio = 0.5, .windowUs = 1'000, .slack = 1.0});
    CHECK(window.tryAcquire({0}, 1));
    CHECK_FALSE(window.tryAcquire({0}, 1));
    for (int i = 0; i < 4; ++i) {
        window.recordFirstAttempt({10});
    }
    CHECK(window.tryAcquire({20}, 1));
    CHECK(window.tryAcquire({20}, 1));
    CHECK_FALSE(window.tryAcquire({20}, 1));
    CHECK(window.tryAcquire({2'000}, 1));
    CHECK_FALSE(window.tryAcquire({2'000}, 1));
}

TEST_CASE("all processes together stay within the slack")
{
    constexpr std::uint32_t PROCESSES = 25;
    int taken = 0;
    for (std::uint32_t i = 0; i < PROCESSES; ++i) {
        retry_window window({.ratio = 0.2, .windowUs = 1'000, .slack = 90.0});
        while (window.tryAcquire({0}, PROCESSES)) {
            ++taken;
        }
    }
    CHECK(taken <= 90);
}
