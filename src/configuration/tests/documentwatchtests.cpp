#include "framework/http/httpserver.h"
#include "publications/documentwatch.h"

#include <doctest/doctest.h>

using namespace marjoram;

namespace {

/// A service that answers each call at once with the same document, or never.
struct document_service
{
    using session = http_session<document_service>;

    auto onRequest(const std::shared_ptr<session> &from) -> void
    {
        ++calls;
        if (!silent) {
            from->respond({.body = "document"});
        }
    }
    auto onDrained(session &) -> void { }
    auto onClosed(session &) -> void { }
    auto refusal(int status) -> http_response { return {.status = status}; }
    int calls = 0;
    bool silent = false;
};

/// A service whose answer takes long to arrive, bit by bit.
struct slow_document_service
{
    using session = http_session<slow_document_service>;
    static constexpr int PARTS = 10;

    explicit slow_document_service(boost::asio::io_context &context)
        : timer(context)
    { }
    auto onRequest(const std::shared_ptr<session> &from) -> void
    {
        from->startStream({});
        send(from, PARTS);
    }
    auto send(const std::shared_ptr<session> &to, int left) -> void
    {
        if (left == 0) {
            to->finishStream();
            return;
        }
        to->sendChunk(std::string(4'096, 'd'));
        timer.expires_after(std::chrono::milliseconds(40));
        timer.async_wait([this, to, left](boost::system::error_code error) {
            if (!error) {
                send(to, left - 1);
            }
        });
    }
    auto onDrained(session &) -> void { }
    auto onClosed(session &) -> void { }
    auto refusal(int status) -> http_response { return {.status = status}; }
    boost::asio::steady_timer timer;
};

/// Refuses every document.
struct refusing_owner
{
    using watch = document_watch<refusing_owner>;

    auto onDocument(watch &, const std::string &) -> void { ++refused; }
    auto onConfirmed(watch &) -> void { }
    auto wantsWatch() const -> bool { return true; }
    auto wantsRead() const -> bool { return true; }
    auto versionOf(watch &) const -> std::uint64_t { return 0; }
    int refused = 0;
};

} // namespace

// The service was asked again at once and gave the same document, without a pause, until a good one
// was published.
TEST_CASE("a document that is refused is read again after a pause")
{
    constexpr int CALL_LIMIT = 30;
    boost::asio::io_context context;
    document_service service;
    http_server<document_service> server(context, service, {});
    const auto where = server.listen({});
    REQUIRE(where.has_value());
    refusing_owner owner;
    document_watch<refusing_owner> watch(context, {.service = *where, .path = "/v1/manifest"}, 1,
                                         owner);
    watch.start();
    context.run_for(std::chrono::milliseconds(300));
    CHECK(owner.refused >= 1);
    CHECK(service.calls < CALL_LIMIT);
}

// A call to a silent service was waited for 3 s longer than it was to last, and up to 1 s of pause
// followed: longer than a document may take to be in force everywhere.
TEST_CASE("a document is read too late after its service was silent")
{
    using std::chrono::milliseconds;
    constexpr int MIN_CALLS = 3;
    boost::asio::io_context context;
    document_service service{.silent = true};
    http_server<document_service> server(context, service, {});
    const auto where = server.listen({});
    REQUIRE(where.has_value());
    refusing_owner owner;
    document_watch<refusing_owner> watch(context,
                                         {.service = *where,
                                          .path = "/v1/manifest",
                                          .watchTimeout = milliseconds(100),
                                          .answerTimeout = milliseconds(100),
                                          .retry = {.maxReturnUs = 250 * US_PER_MS}},
                                         1, owner);
    watch.start();
    context.run_for(milliseconds(2'000));
    CHECK(service.calls >= MIN_CALLS);
}

// The limits of a read add up to less than the time within which a document is in force everywhere.
TEST_CASE("a document's limits leave no time to be in force within the bound")
{
    constexpr std::int64_t BOUND_US = 5 * US_PER_SECOND;
    const document_watch_options options;
    const auto longestUs = std::chrono::microseconds(options.watchTimeout + options.answerTimeout);
    CHECK(longestUs.count() < options.retry.maxReturnUs);
    CHECK(options.retry.maxReturnUs + std::chrono::microseconds(options.answerTimeout).count()
          < BOUND_US);
}

// The time for an answer did not grow with its size, so that a long one was given up again and
// again while it was arriving.
TEST_CASE("a document that takes longer to transfer than the time for an answer is never read")
{
    using std::chrono::milliseconds;
    boost::asio::io_context context;
    slow_document_service service(context);
    http_server<slow_document_service> server(context, service, {});
    const auto where = server.listen({});
    REQUIRE(where.has_value());
    refusing_owner owner;
    document_watch<refusing_owner> watch(context,
                                         {.service = *where,
                                          .path = "/v1/manifest",
                                          .watchTimeout = milliseconds(100),
                                          .answerTimeout = milliseconds(200)},
                                         1, owner);
    watch.start();
    context.run_for(milliseconds(3'000));
    CHECK(owner.refused >= 1);
}
