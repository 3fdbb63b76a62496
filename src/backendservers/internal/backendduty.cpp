#include "backendservers/backendduty.h"

#include "backendservers/enginecodec.h"
#include "framework/http/httpfetch.h"
#include "framework/ring/duty.h"
#include "framework/ring/ringends.h"

#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>
#include <unordered_map>

namespace marjoram {

namespace {

constexpr std::size_t BACKLOG_LIMIT = 1 << 20;
constexpr std::size_t ANSWER_LIMIT_BYTES = 8 * 1024 * 1024;
constexpr int HTTP_OK = 200;
constexpr int HTTP_CONFLICT = 409;
constexpr std::chrono::milliseconds POLL_TIMEOUT{2'000};
constexpr std::chrono::milliseconds ORDER_TIMEOUT{300'000};

} // namespace

struct backend_duty::impl
{
    /// Event stream of a running generation.
    struct engine_stream
    {
        impl &owner;
        std::uint64_t serial;
        trace_context trace;
        std::int64_t startedUnixMs;
        engine_stream_parser parser;
        bool valid = true;
        /// engine_job_finished has been published.
        bool endPublished = false;
        std::shared_ptr<http_fetch<engine_stream>> fetch;

        auto onBody(std::string_view bytes) -> body_verdict
        {
            if (fetch->status() != HTTP_OK) {
                return body_verdict::refuse;
            }
            std::vector<std::string> tokens;
            valid = valid && parser.feed(bytes, tokens);
            // One event for the last tokens and the end, so that a preemption cannot fall between.
            if (valid && parser.finished() && !endPublished) {
                endPublished = true;
                owner.publish(engine_job_finished{
                    .serial = serial, .tokens = std::move(tokens), .reason = *parser.finished()});
            } else if (valid && !tokens.empty()) {
                owner.publish(engine_tokens{.serial = serial, .tokens = std::move(tokens)});
            }
            return valid && !endPublished ? body_verdict::take : body_verdict::refuse;
        }
        auto onDone(const fetch_outcome &outcome) -> void { owner.onStreamDone(*this, outcome); }
    };
    /// Request whose complete response body is passed to `done`.
    template <typename Done>
    struct buffered_request
    {
        impl &owner;
        Done done;
        std::string body;
        std::shared_ptr<http_fetch<buffered_request>> fetch;

        auto onBody(std::string_view bytes) -> body_verdict
        {
            if (body.size() + bytes.size() > ANSWER_LIMIT_BYTES) {
                return body_verdict::refuse;
            }
            body.append(bytes);
            return body_verdict::take;
        }
        auto onDone(const fetch_outcome &outcome) -> void
        {
            const auto keep = std::move(self);
            done(outcome, std::move(body));
        }
        /// Keeps the request alive until it is done.
        std::shared_ptr<buffered_request> self;
    };

    impl(backend_options initialOptions, backend_rings &rings, ring<span> &spanRing,
         backend_duty &outer)
        : options(initialOptions)
        , events(worker.context(), rings.toDecisions, BACKLOG_LIMIT)
        , commands(worker.context(), rings.fromDecisions, outer)
        , spans(spanRing)
        , pollTimer(worker.context())
    { }

    auto publish(backend_event event) -> void
    {
        if (events.push(std::move(event))) {
            LOG(ERROR) << "event dropped: backlog limit of the admission duty exceeded";
        }
    }
    template <typename Done>
    auto sendRequest(http_request request, std::chrono::milliseconds timeout, Done done) -> void
    {
        auto started = std::make_shared<buffered_request<Done>>(
            buffered_request<Done>{*this, std::move(done), {}, {}, {}});
        started->self = started;
        started->fetch = std::make_shared<http_fetch<buffered_request<Done>>>(
            worker.context(), *started,
            fetch_options{.readTimeout = timeout, .totalTimeout = timeout});
        started->fetch->start(options.where, std::move(request));
    }

    // --- generations

    auto start(engine_job job) -> void
    {
        auto stream = std::make_unique<engine_stream>(
            engine_stream{*this, job.serial, job.trace, clock.unixMs(), {}, true, false, {}});
        const auto timeout = std::chrono::milliseconds(options.stallTimeoutMs);
        stream->fetch = std::make_shared<http_fetch<engine_stream>>(
            worker.context(), *stream, fetch_options{.readTimeout = timeout});
        stream->fetch->start(options.where, encodeEngineJob(job));
        streams.emplace(job.serial, std::move(stream));
    }
    auto onStreamDone(engine_stream &stream, const fetch_outcome &outcome) -> void
    {
        const auto serial = stream.serial;
        const auto endPublished = stream.endPublished;
        record(stream, endPublished ? "finished" : "failed");
        streams.erase(serial);
        if (endPublished) {
            return;
        }
        LOG(WARNING) << "engine stream " << serial << " failed while " << nameOf(outcome.phase)
                     << ": " << outcome.error.message() << ", status " << outcome.status;
        publish(engine_job_failed{.serial = serial});
    }
    auto stop(std::uint64_t serial) -> void
    {
        const auto found = streams.find(serial);
        if (found != streams.end()) {
            record(*found->second, "stopped");
            found->second->fetch->cancel();
            streams.erase(found);
        }
    }
    auto record(const engine_stream &stream, std::string outcomeText) -> void
    {
        spans.tryPush({.context = childOf(stream.trace, random),
                       .parentSpanId = stream.trace.spanId,
                       .kind = span_kind::backend_server_call,
                       .startUnixMs = stream.startedUnixMs,
                       .endUnixMs = clock.unixMs(),
                       .detail = std::move(outcomeText)});
    }

    // --- calls and orders

    auto call(service_job job) -> void
    {
        const auto trace = childOf(job.call.trace, random);
        http_request request{.method = job.call.method,
                             .target = job.call.path,
                             .headers = {{"traceparent", toTraceparent(trace)}},
                             .body = std::move(job.call.body)};
        if (!job.call.contentType.empty()) {
            request.headers.push_back({"Content-Type", job.call.contentType});
        }
        if (!job.call.key.empty()) {
            request.headers.push_back({"Idempotency-Key", job.call.key});
        }
        const span started{.context = trace,
                           .parentSpanId = job.call.trace.spanId,
                           .kind = span_kind::backend_server_call,
                           .startUnixMs = clock.unixMs()};
        const auto timeout = std::chrono::milliseconds(std::max(1U, job.call.deadlineMs));
        sendRequest(
            std::move(request), timeout,
            [this, serial = job.serial, started](const fetch_outcome &outcome, std::string body) {
                onCallDone(serial, started, outcome, std::move(body));
            });
    }
    auto onCallDone(std::uint64_t serial, span done, const fetch_outcome &outcome, std::string body)
        -> void
    {
        done.endUnixMs = clock.unixMs();
        done.detail = nameOf(outcome.phase);
        spans.tryPush(std::move(done));
        if (!outcome.error) {
            publish(
                service_answered{.serial = serial,
                                 .answer = {.status = static_cast<std::uint32_t>(outcome.status),
                                            .contentType = "application/json",
                                            .body = std::move(body)}});
            return;
        }
        const auto neverSent = outcome.phase == fetch_phase::connecting;
        publish(service_failed{.serial = serial,
                               .ran = neverSent ? run_state::not_run : run_state::unknown});
    }
    auto order(const send_engine_order &command) -> void
    {
        const auto &engineOrder = command.order;
        if (clock.now() > command.validUntil) {
            publish(order_ended{.order = engineOrder});
            return;
        }
        sendRequest(encodeEngineOrder(engineOrder), ORDER_TIMEOUT,
                    [this, engineOrder](const fetch_outcome &outcome, const std::string &) {
                        order_ended ended{.order = engineOrder};
                        if (!outcome.error && outcome.status == HTTP_OK) {
                            ended.outcome = order_outcome::done;
                        } else if (!outcome.error && outcome.status == HTTP_CONFLICT) {
                            ended.outcome = order_outcome::refused_old_fence;
                        }
                        publish(std::move(ended));
                        poll();
                    });
    }

    // --- load and cache events

    auto poll() -> void
    {
        sendRequest({.target = "/load"}, POLL_TIMEOUT,
                    [this](const fetch_outcome &outcome, const std::string &body) {
                        auto load = outcome.error ? std::nullopt : decodeEngineLoad(body);
                        if (load) {
                            publish(engine_load_reported{.load = std::move(*load)});
                        }
                    });
        sendRequest({.target = "/cache_events?after=" + std::to_string(nextCacheEvent)},
                    POLL_TIMEOUT, [this](const fetch_outcome &outcome, const std::string &body) {
                        auto cacheEvents = outcome.error ? std::nullopt : decodeCacheEvents(body);
                        if (!cacheEvents) {
                            return;
                        }
                        nextCacheEvent = cacheEvents->next;
                        if (!cacheEvents->cached.empty() || !cacheEvents->evicted.empty()) {
                            publish(
                                engine_cache_changed{.cached = std::move(cacheEvents->cached),
                                                     .evicted = std::move(cacheEvents->evicted)});
                        }
                    });
    }
    auto schedulePoll() -> void
    {
        pollTimer.expires_after(std::chrono::milliseconds(options.loadIntervalMs));
        pollTimer.async_wait([this](boost::system::error_code error) {
            if (!error) {
                poll();
                schedulePoll();
            }
        });
    }

    backend_options options;
    duty worker{"backendserver"};
    ring_writer<backend_event> events;
    ring_reader<backend_command, backend_duty> commands;
    ring<span> &spans;
    boost::asio::steady_timer pollTimer;
    system_clock_source clock;
    random_source random{systemSeed()};
    std::unordered_map<std::uint64_t, std::unique_ptr<engine_stream>> streams;
    std::uint64_t nextCacheEvent = 0;
};

backend_duty::backend_duty(backend_options options, backend_rings &rings, ring<span> &spans)
    : m_impl(std::make_unique<impl>(options, rings, spans, *this))
{ }

backend_duty::~backend_duty()
{
    stop();
}

auto backend_duty::start() -> void
{
    m_impl->commands.start();
    if (m_impl->options.kind == backend_server_kind::engine) {
        boost::asio::post(m_impl->worker.context(), [this] {
            m_impl->poll();
            m_impl->schedulePoll();
        });
    }
    m_impl->worker.start();
}

auto backend_duty::stop() -> void
{
    m_impl->worker.stop();
}

auto backend_duty::handle(backend_command &&command) -> void
{
    if (auto *start = std::get_if<start_engine_job>(&command)) {
        m_impl->start(std::move(start->job));
    } else if (const auto *stop = std::get_if<stop_engine_job>(&command)) {
        m_impl->stop(stop->serial);
    } else if (const auto *pause = std::get_if<pause_engine_job>(&command)) {
        const auto found = m_impl->streams.find(pause->serial);
        if (found != m_impl->streams.end()) {
            found->second->fetch->pause();
        }
    } else if (const auto *resume = std::get_if<resume_engine_job>(&command)) {
        const auto found = m_impl->streams.find(resume->serial);
        if (found != m_impl->streams.end()) {
            found->second->fetch->resume();
        }
    } else if (auto *call = std::get_if<call_service>(&command)) {
        m_impl->call(std::move(call->job));
    } else {
        m_impl->order(std::get<send_engine_order>(command));
    }
}

} // namespace marjoram
