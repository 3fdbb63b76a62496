#include "operators/adminduty.h"

#include "framework/http/httpserver.h"
#include "framework/ring/duty.h"

namespace marjoram {

namespace {

/// Requests of this listener have no body, and a few scrapers and probes use it. Without these
/// bounds, 24 unfinished bodies of 4 MB took the process over the 88 MB of the smallest host.
constexpr std::uint64_t BODY_LIMIT_BYTES = 4 * 1024;
constexpr std::size_t CONNECTION_LIMIT = 256;

} // namespace

struct admin_duty::impl
{
    using session = http_session<impl>;

    impl(endpoint where, process_state &shared, std::vector<metrics_source> all)
        : address(std::move(where))
        , state(shared)
        , sources(std::move(all))
        , server(worker.context(), *this,
                 {.bodyBytes = BODY_LIMIT_BYTES, .connections = CONNECTION_LIMIT})
    { }

    auto onRequest(const std::shared_ptr<session> &from) -> void
    {
        const auto path = from->request().path();
        if (path == "/healthz") {
            from->respond({.contentType = "text/plain", .body = "up\n"});
        } else if (path == "/readyz") {
            const auto ready = state.ready && !state.draining;
            from->respond({.status = ready ? 200 : 503,
                           .contentType = "text/plain",
                           .body = ready ? "ready\n" : "not ready\n"});
        } else if (path == "/metrics") {
            from->respond({.contentType = "text/plain", .body = render()});
        } else {
            from->respond(refusal(404));
        }
    }
    auto onDrained(session &) -> void { }
    auto onClosed(session &) -> void { }
    auto refusal(int status) -> http_response
    {
        return {.status = status, .contentType = "text/plain"};
    }
    auto render() const -> std::string
    {
        std::string out;
        for (const auto &source : sources) {
            source.render(source.owner, out);
        }
        return out;
    }

    endpoint address;
    process_state &state;
    std::vector<metrics_source> sources;
    duty worker{"admin"};
    http_server<impl> server;
};

admin_duty::admin_duty(endpoint listen, process_state &state, std::vector<metrics_source> sources)
    : m_impl(std::make_unique<impl>(std::move(listen), state, std::move(sources)))
{ }

admin_duty::~admin_duty()
{
    stop();
}

auto admin_duty::listen() -> result<endpoint>
{
    return m_impl->server.listen(m_impl->address);
}

auto admin_duty::start() -> void
{
    m_impl->worker.start();
}

auto admin_duty::requestStop() -> void
{
    m_impl->worker.requestStop();
}

auto admin_duty::stop() -> void
{
    m_impl->worker.stop();
}

} // namespace marjoram
