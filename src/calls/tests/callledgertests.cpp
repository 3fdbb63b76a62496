#include "calls/callledger.h"
#include "calls/callowner.h"
#include "calls/idempotencykey.h"

#include <doctest/doctest.h>

using namespace marjoram;

namespace {

constexpr std::int64_t START = 1'800'000'000'000;
constexpr call_ledger_options OPTIONS{.retentionMs = 60'000, .clockSkewMs = 1'000};

struct ledger_fixture
{
    random_source random{11};
    call_ledger ledger{OPTIONS, START};
    auto keyAt(std::int64_t unixMs) -> std::string { return generateKey(unixMs, random); }
};

} // namespace

TEST_CASE("a generated key carries its creation time and other texts are malformed")
{
    random_source random(5);
    CHECK(keyCreatedAtMs(generateKey(START + 7, random)).value() == START + 7);
    for (const auto *bad : {"", "abc", "6ba7b810-9dad-11d1-80b4-00c04fd430c8",
                            "zzzzzzzz-zzzz-7zzz-8zzz-zzzzzzzzzzzz"}) {
        CHECK(keyCreatedAtMs(bad).error() == failure::key_malformed);
    }
}

TEST_CASE_FIXTURE(ledger_fixture, "a key runs once and its answer is replayed afterwards")
{
    const auto key = keyAt(START + 5'000);
    CHECK(ledger.begin(key, 1, START + 5'000).action == call_action::run);
    CHECK(ledger.begin(key, 1, START + 5'001).reason == failure::key_in_flight);
    ledger.complete(key, {.status = 200, .body = "first"});
    const auto again = ledger.begin(key, 1, START + 9'000);
    REQUIRE(again.action == call_action::replay);
    CHECK(again.answer->body == "first");
    CHECK(ledger.begin(key, 2, START + 9'000).reason == failure::key_body_mismatch);
}

TEST_CASE_FIXTURE(ledger_fixture, "a new process refuses keys that an earlier one may have run")
{
    const auto decision = ledger.begin(keyAt(START + 500), 1, START + 5'000);
    CHECK(decision.reason == failure::owner_amnesia);
    CHECK(decision.ran == run_state::unknown);
}

TEST_CASE_FIXTURE(ledger_fixture, "expired keys and keys from the future are refused")
{
    CHECK(ledger.begin(keyAt(START + 5'000), 1, START + 90'000).reason == failure::key_expired);
    const auto future = ledger.begin(keyAt(START + 9'000), 1, START + 5'000);
    CHECK(future.reason == failure::key_from_future);
    CHECK(future.ran == run_state::not_run);
}

TEST_CASE_FIXTURE(ledger_fixture, "a failed call may run again only if it did not run")
{
    const auto first = keyAt(START + 5'000);
    ledger.begin(first, 1, START + 5'000);
    ledger.fail(first, run_state::not_run);
    CHECK(ledger.begin(first, 1, START + 5'100).action == call_action::run);
    ledger.fail(first, run_state::unknown);
    const auto again = ledger.begin(first, 1, START + 5'200);
    CHECK(again.action == call_action::refuse);
    CHECK(again.ran == run_state::unknown);
}

TEST_CASE_FIXTURE(ledger_fixture, "a claimed key that never ran is sealed permanently")
{
    const auto key = keyAt(START + 5'000);
    CHECK(ledger.claim(key, 1, START + 5'000) == claim_outcome::never_ran);
    const auto sealed = ledger.begin(key, 1, START + 5'001);
    CHECK(sealed.reason == failure::wrong_owner);
    CHECK(sealed.ran == run_state::unknown);
    CHECK(ledger.claim(key, 1, START + 5'002) == claim_outcome::never_ran);
    CHECK(ledger.claim(keyAt(START), 1, START + 5'000) == claim_outcome::unknown);
}

TEST_CASE_FIXTURE(ledger_fixture, "the ledger is bounded by the retention time and the entry limit")
{
    for (int i = 0; i < 1'000; ++i) {
        const auto now = START + 5'000 + i * 1'000;
        const auto key = keyAt(now);
        ledger.begin(key, 1, now);
        ledger.complete(key, {.body = "x"});
    }
    CHECK(ledger.size() <= 65);
    call_ledger small({.entryLimit = 1}, START);
    CHECK(small.begin(keyAt(START + 9'000), 1, START + 9'000).action == call_action::run);
    CHECK(small.begin(keyAt(START + 9'000), 1, START + 9'000).reason == failure::overloaded);
}

TEST_CASE("owners don't depend on the order of the placement and former owners have no duplicates")
{
    const std::vector<std::string> placement{"a", "b", "c"};
    const auto owners = ownersOf(placement, "key");
    CHECK(owners == ownersOf({"c", "a", "b"}, "key"));
    const service_entry service{.placements = {placement, {"x"}, {"x"}, {owners.front()}}};
    CHECK(formerOwnersOf(service, "key", owners.front()) == std::vector<std::string>{"x"});
}
