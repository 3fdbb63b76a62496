#include "forwarding/tests/forwardingfixture.h"

#include <doctest/doctest.h>

using namespace marjoram;
using namespace marjoram::testing;

namespace {

/// A stream of a resumable route that broke off after some events and was sent to another server.
struct resumed_fixture : forwarding_fixture
{
    explicit resumed_fixture(std::vector<std::uint64_t> ids)
    {
        openRequest("label");
        beginStream();
        send(std::move(ids));
        failExchange(fetch_phase::reading);
        REQUIRE(sends() == 2);
    }
    auto send(std::vector<std::uint64_t> ids) -> void
    {
        stream_advanced advanced{.exchangeId = lastSend().exchangeId};
        for (const auto id : ids) {
            advanced.events.push_back({.id = id, .bytes = std::to_string(id) + ";"});
        }
        core.onEvent(std::move(advanced));
    }
    auto sendWithoutId(std::string bytes) -> void
    {
        core.onEvent(stream_advanced{.exchangeId = lastSend().exchangeId,
                                     .events = {{.bytes = std::move(bytes)}}});
    }
    auto complete() -> void { core.onEvent(stream_completed{lastSend().exchangeId}); }
    auto answer(response_head head) -> void
    {
        core.onEvent(response_received{
            .exchangeId = lastSend().exchangeId, .head = std::move(head), .body = "error"});
    }
    /// The stream was aborted, with nothing but these events in it.
    auto checkAborted(const std::string &delivered) const -> void
    {
        CHECK(deliveredBytes() == delivered);
        CHECK(sink.callers<abort_response_stream>().size() == 1);
        CHECK(sink.callers<begin_response_stream>().size() == 1);
        CHECK(sink.callers<end_response_stream>().empty());
        CHECK(sink.callers<send_response>().empty());
        CHECK(sink.callers<send_failure>().empty());
        CHECK(core.drained());
    }
};

} // namespace

TEST_CASE("an error of the server that resumes a stream does not get into the stream")
{
    const std::vector<response_head> answers{{.status = 200},
                                             {.status = 204},
                                             {.status = 302},
                                             {.status = 404},
                                             {.status = 429},
                                             {.status = 500},
                                             {.status = 503},
                                             {.status = 503, .notRun = true},
                                             {.status = 421, .wrongServer = true},
                                             {.status = 400, .notRun = true}};
    for (const auto &head : answers) {
        resumed_fixture f({1, 2});
        f.answer(head);
        f.checkAborted("1;2;");
    }
}

TEST_CASE("a moved run that its target answers with an error is aborted")
{
    for (const auto status : {200, 404, 500}) {
        forwarding_fixture f;
        f.openRequest("draft");
        f.beginStream();
        f.streamEvents(1, 3);
        f.reportLeaving();
        f.completeCopy(copy_outcome::copied, "h1");
        f.failExchange(fetch_phase::reading);
        f.completeCopy(copy_outcome::copied, "h2");
        REQUIRE(f.sends() == 2);
        f.core.onEvent(response_received{
            .exchangeId = f.lastSend().exchangeId, .head = {.status = status}, .body = "error"});
        CHECK(f.deliveredBytes() == "1;2;3;");
        CHECK(f.sink.callers<abort_response_stream>().size() == 1);
        CHECK(f.sink.callers<send_response>().empty());
    }
}

// The caller found events 4 and 5 missing in the middle of its stream.
TEST_CASE("a resumed stream that skips events is aborted before the first of them")
{
    resumed_fixture f({1, 2, 3});
    f.beginStream();
    f.send({2, 3});
    f.send({6, 7});
    f.checkAborted("1;2;3;");
    CHECK(f.sink.servers<cancel_exchange>().size() == 1);
}

// The move of the unusable run would have gone on beside the run that replaces it.
TEST_CASE("a resumed stream that skips events is no longer moved")
{
    resumed_fixture f({1, 2, 3});
    f.beginStream();
    f.reportLeaving();
    REQUIRE(f.copyCommands() == 1);
    f.send({6});
    f.completeCopy(copy_outcome::copied, "h1");
    CHECK(f.copyCommands() == 1);
    f.checkAborted("1;2;3;");
}

TEST_CASE("ids that grow by more than one are not taken for a gap")
{
    resumed_fixture f({4, 8, 12});
    f.beginStream();
    f.send({8, 12, 16, 20});
    f.complete();
    CHECK(f.deliveredBytes() == "4;8;12;16;20;");
    CHECK(f.sink.callers<end_response_stream>().size() == 1);
}

// The stream ended as if it were complete.
TEST_CASE("a resumed stream that ends without a further event is aborted")
{
    resumed_fixture empty({1, 2});
    empty.beginStream();
    empty.complete();
    empty.checkAborted("1;2;");
    resumed_fixture older({1, 2});
    older.beginStream();
    older.send({1, 2});
    older.complete();
    older.checkAborted("1;2;");
}

// A server that repeats the events of a stream may put others before the first new one.
TEST_CASE("events without an id are not forwarded until a resumed stream has continued")
{
    resumed_fixture f({1, 2});
    f.beginStream();
    f.sendWithoutId("error;");
    f.send({1, 2});
    f.sendWithoutId("error;");
    f.send({3});
    f.sendWithoutId("note;");
    f.complete();
    CHECK(f.deliveredBytes() == "1;2;3;note;");
    CHECK(f.sink.callers<end_response_stream>().size() == 1);
}

// Without an id nothing tells which events were delivered: they came twice.
TEST_CASE("a stream whose events have no ids is not resumed")
{
    forwarding_fixture f;
    f.openRequest("label");
    f.beginStream();
    f.core.onEvent(
        stream_advanced{.exchangeId = f.lastSend().exchangeId, .events = {{.bytes = "a;"}}});
    f.failExchange(fetch_phase::reading);
    CHECK(f.sends() == 1);
    CHECK(f.sink.callers<abort_response_stream>().size() == 1);
}
