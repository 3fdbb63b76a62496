#include "standins/internal/enginestandin.h"

#include <algorithm>
#include <cmath>

namespace marjoram {

namespace json = boost::json;

namespace {

constexpr std::string_view LENGTH_MARK = "[len=";
constexpr std::size_t CACHE_EVENTS_KEPT = 256;
constexpr double MEDIAN_LENGTH = 64.0;
constexpr double LENGTH_SPREAD = 1.1;
constexpr std::size_t BYTES_PER_TOKEN = 4;

/// Length that a prompt asks for, or one drawn from a long-tailed distribution by its hash.
auto lengthOf(const std::string &prompt) -> std::uint32_t
{
    const auto mark = prompt.find(LENGTH_MARK);
    if (mark != std::string::npos) {
        return static_cast<std::uint32_t>(
            std::max(1, std::atoi(prompt.c_str() + mark + LENGTH_MARK.size())));
    }
    random_source random(stableHash(prompt));
    std::lognormal_distribution<double> lengths(std::log(MEDIAN_LENGTH), LENGTH_SPREAD);
    return static_cast<std::uint32_t>(1.0 + lengths(random));
}

/// Sample that a token belongs to: the part before its index.
auto saltOf(const std::string &token) -> std::string
{
    return token.substr(0, token.find('.'));
}

auto textOf(const json::object &body, std::string_view key) -> std::string
{
    const auto *value = body.if_contains(key);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

auto numberOf(const json::object &body, std::string_view key) -> std::uint64_t
{
    const auto *value = body.if_contains(key);
    return value && value->is_number() ? value->to_number<std::uint64_t>() : 0;
}

} // namespace

engine_standin::engine_standin(boost::asio::io_context &context, standin_settings settings)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_server(context, *this, {})
    , m_model(m_settings.engine)
    , m_timer(context)
    , m_models(m_settings.models.begin(), m_settings.models.end())
{ }

auto engine_standin::onRequest(const session_ptr &from) -> void
{
    const auto path = from->request().path();
    if (path == "/v1/completions" || path == "/v1/chat/completions") {
        startSequence(from, path != "/v1/completions");
    } else if (path == "/load") {
        from->respond({.body = load()});
    } else if (path == "/cache_events") {
        from->respond({.body = cacheEvents(from->request())});
    } else if (path == "/orders") {
        onOrder(from);
    } else if (path == "/control/counts") {
        from->respond({.body = counts()});
    } else if (path == "/control") {
        onControl(from);
    } else {
        from->respond({.status = 404});
    }
}

auto engine_standin::startSequence(const session_ptr &from, bool chat) -> void
{
    boost::system::error_code error;
    const auto parsed = json::parse(from->request().body, error);
    if (error || !parsed.is_object()) {
        from->respond({.status = 400});
        return;
    }
    const auto &body = parsed.get_object();
    const auto prompt = chat && body.contains("messages") ? json::serialize(body.at("messages"))
                                                          : textOf(body, "prompt");
    sequence_state state{.connection = from, .chat = chat};
    state.salt = "s" + std::to_string(m_random() % 1'000'000'000);
    if (const auto *resume = body.if_contains("resume"); resume && resume->is_array()) {
        const auto &given = resume->get_array();
        state.produced = static_cast<std::uint32_t>(given.size());
        if (!given.empty()) {
            state.salt = saltOf(json::value_to<std::string>(given.front()));
        }
    }
    const auto most = static_cast<std::uint32_t>(numberOf(body, "max_tokens"));
    const auto wanted = lengthOf(prompt);
    state.lengthLimited = most != 0 && most < wanted;
    const auto length = state.lengthLimited ? most : wanted;
    const auto id = ++m_started;
    from->startStream({{"Content-Type", "text/event-stream"}});
    m_model.submit({.id = id,
                    .promptTokens = static_cast<std::uint32_t>(prompt.size() / BYTES_PER_TOKEN + 1),
                    .produced = state.produced,
                    .length = length,
                    .priority = static_cast<std::uint32_t>(numberOf(body, "priority")),
                    .prefix = numberOf(body, "prefix")});
    m_sequences.emplace(id, std::move(state));
    stepLater();
}

auto engine_standin::stepLater() -> void
{
    if (m_stepping || m_stalled || m_model.idle()) {
        return;
    }
    m_stepping = true;
    const auto done = m_model.step();
    const auto duration = done.durationUs * static_cast<std::int64_t>(m_slowFactor);
    m_timer.expires_after(std::chrono::microseconds(duration));
    m_timer.async_wait([this, done](boost::system::error_code error) {
        m_stepping = false;
        if (!error) {
            finishStep(done);
            stepLater();
        }
    });
}

auto engine_standin::finishStep(const engine_step &done) -> void
{
    for (const auto id : done.emitted) {
        emit(id);
    }
    for (const auto id : done.finished) {
        finish(id);
    }
    for (const auto prefix : m_model.takeCached()) {
        m_cacheEvents.push_back({.cached = true, .prefix = prefix});
    }
    for (const auto prefix : m_model.takeEvicted()) {
        m_cacheEvents.push_back({.cached = false, .prefix = prefix});
    }
    while (m_cacheEvents.size() > CACHE_EVENTS_KEPT) {
        m_cacheEvents.pop_front();
        ++m_cacheEventsDropped;
    }
}

auto engine_standin::emit(std::uint64_t id) -> void
{
    const auto found = m_sequences.find(id);
    if (found == m_sequences.end()) {
        return;
    }
    auto &state = found->second;
    const auto text = state.salt + "." + std::to_string(state.produced++) + " ";
    const auto data
        = state.chat ? json::serialize(json::object{
              {"choices", json::array{json::object{{"delta", json::object{{"content", text}}}}}}})
                     : json::serialize(
                         json::object{{"choices", json::array{json::object{{"text", text}}}}});
    state.connection->sendChunk("data: " + data + "\n\n");
}

auto engine_standin::finish(std::uint64_t id) -> void
{
    const auto found = m_sequences.find(id);
    if (found == m_sequences.end()) {
        return;
    }
    const auto &state = found->second;
    ++m_finished;
    const auto *reason = state.lengthLimited ? "length" : "stop";
    const auto end = json::serialize(
        json::object{{"choices", json::array{json::object{{"finish_reason", reason}}}}});
    const auto connection = state.connection;
    m_sequences.erase(found);
    connection->sendChunk("data: " + end + "\n\ndata: [DONE]\n\n");
    connection->finishStream();
}

auto engine_standin::onClosed(session &from) -> void
{
    const auto gone = std::find_if(m_sequences.begin(), m_sequences.end(), [&](const auto &one) {
        return one.second.connection->id() == from.id();
    });
    if (gone != m_sequences.end()) {
        m_model.cancel(gone->first);
        m_sequences.erase(gone);
    }
}

auto engine_standin::load() const -> std::string
{
    return json::serialize(json::object{{"running", m_model.running()},
                                        {"waiting", m_model.waiting()},
                                        {"kv_used_tokens", m_model.usedTokens()},
                                        {"kv_capacity_tokens", m_settings.engine.kvCapacityTokens},
                                        {"step_us", m_model.lastStepUs()},
                                        {"preemptions", m_model.preemptions()},
                                        {"models", json::array(m_models.begin(), m_models.end())}});
}

auto engine_standin::cacheEvents(const http_request &request) -> std::string
{
    const auto after = std::strtoull(std::string(request.query("after")).c_str(), nullptr, 10);
    json::array cached;
    json::array evicted;
    const auto skip = after > m_cacheEventsDropped ? after - m_cacheEventsDropped : 0;
    for (std::size_t i = skip; i < m_cacheEvents.size(); ++i) {
        (m_cacheEvents[i].cached ? cached : evicted).emplace_back(m_cacheEvents[i].prefix);
    }
    return json::serialize(json::object{{"next", m_cacheEventsDropped + m_cacheEvents.size()},
                                        {"cached", std::move(cached)},
                                        {"evicted", std::move(evicted)}});
}

auto engine_standin::onOrder(const session_ptr &from) -> void
{
    boost::system::error_code error;
    const auto parsed = json::parse(from->request().body, error);
    if (error || !parsed.is_object()) {
        from->respond({.status = 400});
        return;
    }
    const auto &order = parsed.get_object();
    const auto fence = numberOf(order, "fence");
    if (m_settings.checksFence && fence < m_newestFence) {
        ++m_ordersFenced;
        from->respond({.status = 409});
        return;
    }
    m_newestFence = std::max(m_newestFence, fence);
    const auto model = textOf(order, "model");
    const auto isLoad = textOf(order, "kind") == "load_model";
    if (isLoad && m_failLoads) {
        from->respond({.status = 429});
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context);
    timer->expires_after(std::chrono::milliseconds(isLoad ? m_settings.modelLoadMs : 0));
    timer->async_wait([this, timer, from, model, isLoad,
                       version = textOf(order, "version")](boost::system::error_code) {
        std::erase_if(m_models, [&model](const std::string &held) {
            return held.substr(0, held.find('@')) == model;
        });
        if (isLoad) {
            m_models.insert(model + "@" + version);
        }
        ++m_ordersDone;
        from->respond({.body = "{}"});
    });
}

auto engine_standin::counts() const -> std::string
{
    return json::serialize(json::object{{"started", m_started},
                                        {"finished", m_finished},
                                        {"preemptions", m_model.preemptions()},
                                        {"orders_done", m_ordersDone},
                                        {"orders_fenced", m_ordersFenced}});
}

auto engine_standin::onControl(const session_ptr &from) -> void
{
    boost::system::error_code error;
    const auto parsed = json::parse(from->request().body, error);
    if (error || !parsed.is_object()) {
        from->respond({.status = 400});
        return;
    }
    const auto &control = parsed.get_object();
    if (const auto *stalled = control.if_contains("stalled")) {
        m_stalled = stalled->as_bool();
    }
    if (const auto *fail = control.if_contains("fail_loads")) {
        m_failLoads = fail->as_bool();
    }
    if (control.contains("slow_factor")) {
        m_slowFactor = std::max<std::uint64_t>(1, numberOf(control, "slow_factor"));
    }
    if (control.contains("break_streams")) {
        std::vector<session_ptr> all;
        for (const auto &[id, state] : m_sequences) {
            all.push_back(state.connection);
        }
        for (const auto &connection : all) {
            connection->close();
        }
    }
    stepLater();
    from->respond({.body = "{}"});
}

} // namespace marjoram
