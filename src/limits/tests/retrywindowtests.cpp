#include "limits/retrywindow.h"

#include <doctest/doctest.h>

using namespace marjoram;

TEST_CASE("repeats stay within their share of the window's fresh requests and the slack")
{
    retry_window window({.ratio = 0.5, .windowUs = 1'000, .slack = 1.0});
    CHECK(window.tryTake({0}));
    CHECK_FALSE(window.tryTake({0}));
    for (int i = 0; i < 4; ++i) {
        window.noteFresh({10});
    }
    CHECK(window.tryTake({20}));
    CHECK(window.tryTake({20}));
    CHECK_FALSE(window.tryTake({20}));
    CHECK(window.tryTake({2'000}));
    CHECK_FALSE(window.tryTake({2'000}));
}
