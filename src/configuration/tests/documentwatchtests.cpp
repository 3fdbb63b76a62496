#include "framework/http/httpserver.h"
#include "publications/documentwatch.h"

#include <doctest/doctest.h>

using namespace marjoram;

namespace {

/// A service that answers each call at once with the same document.
struct document_service
{
    using session = http_session<document_service>;

    auto onRequest(const std::shared_ptr<session> &from) -> void
    {
        ++calls;
        from->respond({.body = "document"});
    }
    auto onDrained(session &) -> void { }
    auto onClosed(session &) -> void { }
    auto refusal(int status) -> http_response { return {.status = status}; }
    int calls = 0;
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
