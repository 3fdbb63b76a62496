#include "origins/originkeeper.h"
#include "origins/originlookup.h"

#include <doctest/doctest.h>

using namespace marjoram;

namespace {

const server_software OLDER{.pool = "p", .version = "v1"};
const server_software NEWER{.pool = "p", .version = "v2"};

auto runOf(std::string id, std::uint64_t events) -> server_run
{
    return {.requestId = std::move(id), .events = events};
}

} // namespace

TEST_CASE("a run that made no event is taken for the origin of its request's stream")
{
    origin_keeper keeper({});
    keeper.onServerSoftware(1, OLDER, {});
    keeper.onRuns(1, {runOf("a", 0), runOf("b", 3)}, {});
    CHECK(keeper.find("a").evidence == origin_evidence::none);
    CHECK(keeper.find("b") == stream_origin{origin_evidence::ran, OLDER});
}

TEST_CASE("runs that were seen before the software of their process was told are forgotten")
{
    origin_keeper keeper({});
    keeper.onRuns(1, {runOf("a", 3)}, {});
    CHECK(keeper.find("a").evidence == origin_evidence::none);
    keeper.onServerSoftware(1, OLDER, {});
    CHECK(keeper.find("a") == stream_origin{origin_evidence::ran, OLDER});
}

TEST_CASE("a new process of the server is taken for the one that ran a request")
{
    origin_keeper keeper({});
    keeper.onServerSoftware(1, OLDER, {});
    keeper.onRuns(1, {runOf("a", 3)}, {});
    keeper.onServerSoftware(2, NEWER, {});
    keeper.onRuns(2, {runOf("b", 3)}, {});
    CHECK(keeper.find("a").software == OLDER);
    CHECK(keeper.find("b").software == NEWER);
    keeper.onRuns(2, {runOf("a", 3)}, {});
    CHECK(keeper.find("a").evidence == origin_evidence::ambiguous);
    keeper.onDelivered("a", OLDER, {});
    CHECK(keeper.find("a") == stream_origin{origin_evidence::delivered, OLDER});
}

TEST_CASE("a server without a start time is credited with the runs of others")
{
    origin_keeper keeper({});
    keeper.onServerSoftware(0, OLDER, {});
    keeper.onRuns(0, {runOf("a", 3)}, {});
    CHECK(keeper.find("a").evidence == origin_evidence::none);
}

TEST_CASE("origins are kept without limit")
{
    origin_log log({.retentionUs = 100, .limit = 3});
    for (std::int64_t i = 0; i < 9; ++i) {
        log.record(std::to_string(i), {origin_evidence::ran, OLDER}, time_us{i});
    }
    CHECK(log.size() == 3);
    CHECK(log.find("8").evidence == origin_evidence::ran);
    CHECK(log.find("5").evidence == origin_evidence::none);
    log.record("later", {origin_evidence::ran, OLDER}, time_us{200});
    CHECK(log.size() == 1);
}

TEST_CASE("runs at different software are taken for an origin")
{
    origin_lookup lookup;
    lookup.onAsked(2);
    lookup.onReply("a", {origin_evidence::ran, OLDER});
    lookup.onReply("a", {origin_evidence::ran, NEWER});
    CHECK_FALSE(lookup.isDecided());
    CHECK(lookup.origin().evidence == origin_evidence::ran);
    lookup.onReply("b", {origin_evidence::ran, NEWER});
    CHECK(lookup.isDecided());
    CHECK(lookup.origin().evidence == origin_evidence::ambiguous);
    CHECK_FALSE(lookup.isIncomplete());
}

TEST_CASE("a delivered event does not decide, or waits for other replies")
{
    origin_lookup lookup;
    lookup.onAsked(9);
    lookup.onReply("a", {origin_evidence::ran, NEWER});
    CHECK_FALSE(lookup.isDecided());
    lookup.onReply("b", {origin_evidence::delivered, OLDER});
    CHECK(lookup.isDecided());
    CHECK(lookup.origin().software == OLDER);
    CHECK(lookup.isIncomplete());
}
