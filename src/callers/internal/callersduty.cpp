#include "callers/callersduty.h"

#include "callers/openaicodec.h"
#include "framework/http/httpserver.h"
#include "framework/ring/ringends.h"

#include <atomic>
#include <boost/asio/post.hpp>
#include <glog/logging.h>
#include <unordered_map>

namespace marjoram {

namespace {

/// New requests are refused while the ring is congested, so only events of open requests queue
/// here.
constexpr std::size_t BACKLOG_LIMIT = 1 << 20;
constexpr std::string_view COMPLETIONS_PATH = "/v1/completions";
constexpr std::string_view CHAT_PATH = "/v1/chat/completions";
constexpr std::string_view SERVICES_PREFIX = "/v1/services/";
constexpr std::string_view BEARER_PREFIX = "Bearer ";
constexpr int HTTP_NOT_FOUND = 404;
constexpr int HTTP_TOO_LARGE = 413;
constexpr int HTTP_HEADERS_TOO_LARGE = 431;
constexpr int HTTP_UNAVAILABLE = 503;

auto plainText(int status, std::string body) -> http_response
{
    return {.status = status, .contentType = "text/plain", .body = std::move(body)};
}

} // namespace

struct callers_duty::impl
{
    using session = http_session<impl>;
    using session_ptr = std::shared_ptr<session>;

    struct caller_state
    {
        session_ptr connection;
        prompt_form form = prompt_form::completion;
        bool stream = false;
        bool streamBegun = false;
        /// Text of an answer that is not streamed.
        std::string text;
        /// Tokens sent to the connection for which no credit was returned yet.
        std::uint32_t unacknowledged = 0;
        trace_context trace;
        std::uint64_t parentSpan = 0;
        std::int64_t startedUnixMs = 0;
    };

    impl(callers_options initialOptions, caller_rings &rings, ring<span> &spanRing,
         process_state &sharedState, metric_set<caller_metric> &metricValues, callers_duty &outer)
        : options(std::move(initialOptions))
        , state(sharedState)
        , metrics(metricValues)
        , server(worker.context(), *this,
                 {.bodyBytes = options.bodyBytes,
                  .bodyBudget = {.totalBytes = options.bodyBudgetBytes},
                  .requestTimeout = std::chrono::milliseconds(options.requestTimeoutMs),
                  .connections = options.connections})
        , events(worker.context(), rings.toDecisions, BACKLOG_LIMIT)
        , actions(worker.context(), rings.fromDecisions, outer)
        , spans(spanRing)
    { }

    // --- application of the HTTP server

    auto onRequest(const session_ptr &from) -> void
    {
        const auto &request = from->request();
        const auto path = request.path();
        if (path == "/healthz") {
            from->respond(plainText(200, "up\n"));
        } else if (path == "/readyz") {
            const auto ready = state.ready && !state.draining;
            from->respond(plainText(ready ? 200 : 503, ready ? "ready\n" : "not ready\n"));
        } else if (path == "/metrics") {
            from->respond(plainText(200, renderMetrics()));
        } else if (request.method == "POST" && path == COMPLETIONS_PATH) {
            openGeneration(from, prompt_form::completion);
        } else if (request.method == "POST" && path == CHAT_PATH) {
            openGeneration(from, prompt_form::chat);
        } else if (path.starts_with(SERVICES_PREFIX)) {
            openCall(from);
        } else {
            auto refused = failureResponse({.reason = failure::malformed_request});
            refused.status = HTTP_NOT_FOUND;
            from->respond(std::move(refused));
        }
    }
    auto onDrained(session &from) -> void
    {
        const auto caller = callers.find(from.id());
        if (caller != callers.end()) {
            returnCredit(from.id(), caller->second);
        }
    }
    auto onClosed(session &from) -> void
    {
        const auto caller = callers.find(from.id());
        if (caller == callers.end()) {
            return;
        }
        metrics.add(caller_metric::callers_left);
        finish(caller, "left");
        events.push(caller_left{.callerId = from.id()});
    }
    auto refusal(int status) -> http_response
    {
        const auto large = status == HTTP_TOO_LARGE || status == HTTP_HEADERS_TOO_LARGE;
        const auto refused = large ? failure::too_large : failure::malformed_request;
        auto out
            = failureResponse({.reason = status == HTTP_UNAVAILABLE ? failure::draining : refused});
        out.status = status;
        return out;
    }

    // --- requests

    auto openGeneration(const session_ptr &from, prompt_form form) -> void
    {
        const auto &request = from->request();
        auto parsed = parseOpenai(request.body, form);
        if (!parsed) {
            rejectRequest(from, failure::malformed_request);
            return;
        }
        open_generation open{.callerId = from->id(),
                             .credentialSha256 = credentialOf(request),
                             .request = std::move(parsed->request),
                             .stream = parsed->stream};
        const auto rankName = request.header("X-Marjoram-Rank");
        open.requestedRank = parseName<rank>(rankName);
        if (!rankName.empty() && !open.requestedRank) {
            rejectRequest(from, failure::malformed_request);
            return;
        }
        const auto lastEvent = request.header("Last-Event-ID");
        if (!lastEvent.empty()) {
            const auto id = parseEventId(lastEvent);
            if (!id) {
                rejectRequest(from, failure::malformed_request);
                return;
            }
            open.resumeAfter = *id;
        }
        auto &caller = registerCaller(from);
        caller.form = form;
        caller.stream = open.stream;
        open.trace = caller.trace;
        submit(from, std::move(open));
    }
    auto openCall(const session_ptr &from) -> void
    {
        const auto &request = from->request();
        const auto rest = std::string_view(request.target).substr(SERVICES_PREFIX.size());
        const auto slash = rest.find('/');
        auto &caller = registerCaller(from);
        submit(from,
               open_call{.callerId = from->id(),
                         .credentialSha256 = credentialOf(request),
                         .service = std::string(rest.substr(0, slash)),
                         .method = request.method,
                         .path
                         = slash == std::string_view::npos ? "/" : std::string(rest.substr(slash)),
                         .contentType = std::string(request.header("Content-Type")),
                         .key = std::string(request.header("Idempotency-Key")),
                         .body = request.body,
                         .trace = caller.trace});
    }
    auto registerCaller(const session_ptr &from) -> caller_state &
    {
        metrics.add(caller_metric::requests);
        metrics.add(caller_metric::requests_open);
        caller_state caller{.connection = from, .startedUnixMs = clock.unixMs()};
        const auto parent = traceFrom(from->request().header("traceparent"), random);
        caller.parentSpan = parent.spanId;
        caller.trace = childOf(parent, random);
        return callers.insert_or_assign(from->id(), std::move(caller)).first->second;
    }
    auto submit(const session_ptr &from, caller_event event) -> void
    {
        if (events.congested() || events.push(std::move(event))) {
            onFailure({.callerId = from->id(), .reason = failure::overloaded});
        }
    }
    auto rejectRequest(const session_ptr &from, failure reason) -> void
    {
        metrics.add(caller_metric::requests);
        metrics.add(caller_metric::failures);
        from->respond(failureResponse({.reason = reason}));
    }
    static auto credentialOf(const http_request &request) -> std::string
    {
        const auto header = request.header("Authorization");
        return header.starts_with(BEARER_PREFIX) ? sha256Hex(header.substr(BEARER_PREFIX.size()))
                                                 : "";
    }

    // --- answers

    auto onTokens(const deliver_tokens &delivered) -> void
    {
        const auto caller = callers.find(delivered.callerId);
        if (caller == callers.end()) {
            return;
        }
        auto &to = caller->second;
        const auto count = static_cast<std::uint32_t>(delivered.tokens.size());
        metrics.add(caller_metric::tokens_delivered, count);
        std::string text;
        for (const auto &token : delivered.tokens) {
            text += token;
        }
        to.unacknowledged += count;
        if (!to.stream) {
            to.text += text;
            returnCredit(delivered.callerId, to);
            return;
        }
        beginStream(to);
        to.connection->sendChunk(tokenEvent(to.form,
                                            {.generation = delivered.generation,
                                             .host = delivered.host,
                                             .position = delivered.position + count},
                                            text));
    }
    auto onFinish(const deliver_finish &finished) -> void
    {
        const auto caller = callers.find(finished.callerId);
        if (caller == callers.end()) {
            return;
        }
        auto &to = caller->second;
        metrics.add(caller_metric::answers);
        const auto connection = to.connection;
        if (to.stream) {
            beginStream(to);
            connection->sendChunk(finishEvents(to.form,
                                               {.generation = finished.generation,
                                                .host = finished.host,
                                                .position = finished.length},
                                               finished.reason));
            finish(caller, "finished");
            connection->finishStream();
            return;
        }
        auto body = completeResponse(to.form, finished, to.text);
        finish(caller, "finished");
        connection->respond({.body = std::move(body)});
    }
    auto onFailure(const deliver_failure &failed) -> void
    {
        const auto caller = callers.find(failed.callerId);
        if (caller == callers.end()) {
            return;
        }
        metrics.add(caller_metric::failures);
        const auto begun = caller->second.streamBegun;
        const auto connection = caller->second.connection;
        LOG(INFO) << "trace=" << traceIdText(caller->second.trace)
                  << " request failed: " << nameOf(failed.reason) << ", " << nameOf(failed.ran);
        finish(caller, nameOf(failed.reason));
        if (!begun) {
            connection->respond(failureResponse(failed));
            return;
        }
        connection->sendChunk(failureEvent(failed));
        connection->finishStream();
    }
    auto onAnswer(deliver_answer answer) -> void
    {
        const auto caller = callers.find(answer.callerId);
        if (caller == callers.end()) {
            return;
        }
        metrics.add(caller_metric::answers);
        const auto connection = caller->second.connection;
        finish(caller, "answered");
        http_response response{.status = static_cast<int>(answer.status),
                               .contentType = std::move(answer.contentType),
                               .body = std::move(answer.body)};
        if (!answer.key.empty()) {
            response.headers.push_back({"Idempotency-Key", std::move(answer.key)});
        }
        connection->respond(std::move(response));
    }
    static auto beginStream(caller_state &to) -> void
    {
        if (!std::exchange(to.streamBegun, true)) {
            to.connection->startStream(
                {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-store"}});
        }
    }
    auto returnCredit(std::uint64_t callerId, caller_state &caller) -> void
    {
        const auto taken = std::exchange(caller.unacknowledged, 0);
        if (taken > 0) {
            events.push(caller_credit{.callerId = callerId, .tokens = taken});
        }
    }
    auto finish(std::unordered_map<std::uint64_t, caller_state>::iterator caller,
                std::string_view outcomeText) -> void
    {
        metrics.add(caller_metric::requests_open, -1);
        const auto &done = caller->second;
        spans.tryPush({.context = done.trace,
                       .parentSpanId = done.parentSpan,
                       .kind = span_kind::caller_request,
                       .startUnixMs = done.startedUnixMs,
                       .endUnixMs = clock.unixMs(),
                       .detail = std::string(outcomeText)});
        callers.erase(caller);
    }
    auto renderMetrics() const -> std::string
    {
        std::string out;
        metrics.render(out);
        for (const auto &source : sources) {
            source.render(source.owner, out);
        }
        return out;
    }

    callers_options options;
    process_state &state;
    metric_set<caller_metric> &metrics;
    duty worker{"callers"};
    http_server<impl> server;
    ring_writer<caller_event> events;
    ring_reader<caller_action, callers_duty> actions;
    ring<span> &spans;
    std::atomic<bool> accepting{true};
    system_clock_source clock;
    random_source random{systemSeed()};
    std::unordered_map<std::uint64_t, caller_state> callers;
    std::vector<metrics_source> sources;
};

callers_duty::callers_duty(callers_options options, caller_rings &rings, ring<span> &spans,
                           process_state &state)
    : m_impl(std::make_unique<impl>(std::move(options), rings, spans, state, m_metrics, *this))
{ }

callers_duty::~callers_duty()
{
    stop();
}

auto callers_duty::listen() -> result<endpoint>
{
    return m_impl->server.listen(m_impl->options.listen);
}

auto callers_duty::start() -> void
{
    m_impl->actions.start();
    m_impl->worker.start();
}

auto callers_duty::stop() -> void
{
    m_impl->worker.stop();
}

auto callers_duty::closeAfterAnswers() -> void
{
    boost::asio::post(m_impl->worker.context(), [this] { m_impl->server.closeAfterAnswers(); });
}

auto callers_duty::stopAccepting() -> void
{
    boost::asio::post(m_impl->worker.context(), [this] {
        m_impl->server.stopListening();
        m_impl->server.closeIdle();
        m_impl->accepting = false;
    });
}

auto callers_duty::allAnswered() const -> bool
{
    return !m_impl->accepting && m_impl->server.busy() == 0;
}

auto callers_duty::addMetrics(metrics_source source) -> void
{
    m_impl->sources.push_back(source);
}

auto callers_duty::handle(caller_action &&action) -> void
{
    if (auto *tokens = std::get_if<deliver_tokens>(&action)) {
        m_impl->onTokens(*tokens);
    } else if (auto *finished = std::get_if<deliver_finish>(&action)) {
        m_impl->onFinish(*finished);
    } else if (auto *failed = std::get_if<deliver_failure>(&action)) {
        m_impl->onFailure(*failed);
    } else {
        m_impl->onAnswer(std::move(std::get<deliver_answer>(action)));
    }
}

} // namespace marjoram
