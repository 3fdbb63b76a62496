#include "limits/ratelimiter.h"

#include <doctest/doctest.h>

using namespace marjoram;

TEST_CASE("a rate limiter grants its rate over time, and its burst after a pause")
{
    rate_limiter limiter({.burst = 2.0});
    limiter.restart(0.5, 0.0, {});
    CHECK_FALSE(limiter.tryAcquire({}));
    CHECK(limiter.nextAt({}) == time_us{2 * US_PER_SECOND});
    CHECK(limiter.tryAcquire({2 * US_PER_SECOND}));
    CHECK_FALSE(limiter.tryAcquire({3 * US_PER_SECOND}));
    const time_us later{100 * US_PER_SECOND};
    CHECK(limiter.tryAcquire(later));
    CHECK(limiter.tryAcquire(later));
    CHECK_FALSE(limiter.tryAcquire(later));
}

TEST_CASE("urgent requests exceed a rate limit by a bounded number, at the cost of later ones")
{
    rate_limiter limiter({.burst = 2.0, .maxDebt = 2.0});
    limiter.restart(1.0, 0.0, {});
    CHECK(limiter.tryAcquire({}, true));
    CHECK(limiter.tryAcquire({}, true));
    CHECK_FALSE(limiter.tryAcquire({}, true));
    CHECK(limiter.nextAt({}) == time_us{3 * US_PER_SECOND});
}

TEST_CASE("a new rate keeps what is available")
{
    rate_limiter limiter({});
    limiter.restart(1.0, 0.0, {});
    limiter.setRate(4.0, {500 * US_PER_MS});
    CHECK(limiter.nextAt({500 * US_PER_MS}) == time_us{625 * US_PER_MS});
}
