#include "backendservers/enginecodec.h"

#include <boost/json.hpp>

namespace marjoram {

namespace json = boost::json;

namespace {

constexpr std::string_view DATA_PREFIX = "data: ";
constexpr std::string_view END_OF_STREAM = "[DONE]";

auto readNumber(const json::object &from, std::string_view key) -> std::optional<std::int64_t>
{
    const auto *value = from.if_contains(key);
    if (!value || !value->is_int64() || value->get_int64() < 0) {
        return std::nullopt;
    }
    return value->get_int64();
}

auto parseObject(std::string_view body) -> std::optional<json::object>
{
    boost::system::error_code error;
    auto value = json::parse(body, error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    return std::move(value.get_object());
}

auto readHashes(const json::object &from, std::string_view key) -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> out;
    const auto *list = from.if_contains(key);
    if (!list || !list->is_array()) {
        return out;
    }
    for (const auto &hash : list->get_array()) {
        if (hash.is_uint64() || hash.is_int64()) {
            out.push_back(hash.to_number<std::uint64_t>());
        }
    }
    return out;
}

} // namespace

auto encodeEngineJob(const engine_job &job) -> http_request
{
    const auto &request = job.request;
    json::object body{{"model", request.model},
                      {"adapter", request.adapter},
                      {"max_tokens", request.maxTokens},
                      {"priority", indexOf(request.workRank)},
                      {"stream", true},
                      {"request_id", toText(job.generation)},
                      {"prefix", prefixHash(request)}};
    const auto chat = request.form == prompt_form::chat;
    body[chat ? "messages" : "prompt"]
        = chat ? json::parse(request.prompt) : json::value(request.prompt);
    if (!job.given.empty()) {
        body["resume"] = json::array(job.given.begin(), job.given.end());
    }
    return {.method = "POST",
            .target = chat ? "/v1/chat/completions" : "/v1/completions",
            .headers
            = {{"Content-Type", "application/json"}, {"traceparent", toTraceparent(job.trace)}},
            .body = json::serialize(body)};
}

auto encodeEngineOrder(const engine_order &order) -> http_request
{
    return {.method = "POST",
            .target = "/orders",
            .headers = {{"Content-Type", "application/json"}},
            .body = json::serialize(json::object{{"kind", nameOf(order.kind)},
                                                 {"model", order.model},
                                                 {"version", order.version},
                                                 {"fence", order.fence}})};
}

auto decodeEngineLoad(std::string_view body) -> std::optional<engine_load>
{
    const auto object = parseObject(body);
    if (!object) {
        return std::nullopt;
    }
    const auto running = readNumber(*object, "running");
    const auto waiting = readNumber(*object, "waiting");
    const auto used = readNumber(*object, "kv_used_tokens");
    const auto capacity = readNumber(*object, "kv_capacity_tokens");
    const auto step = readNumber(*object, "step_us");
    const auto preemptions = readNumber(*object, "preemptions");
    if (!running || !waiting || !used || !capacity || !step || !preemptions) {
        return std::nullopt;
    }
    engine_load out{.running = static_cast<std::uint32_t>(*running),
                    .waiting = static_cast<std::uint32_t>(*waiting),
                    .kvUsedTokens = static_cast<std::uint64_t>(*used),
                    .kvCapacityTokens = static_cast<std::uint64_t>(*capacity),
                    .stepUs = *step,
                    .preemptions = static_cast<std::uint64_t>(*preemptions)};
    const auto *models = object->if_contains("models");
    if (models && models->is_array()) {
        for (const auto &model : models->get_array()) {
            if (model.is_string()) {
                out.models.emplace_back(model.get_string());
            }
        }
    }
    return out;
}

auto decodeCacheEvents(std::string_view body) -> std::optional<cache_events>
{
    const auto object = parseObject(body);
    const auto next = object ? readNumber(*object, "next") : std::nullopt;
    if (!next) {
        return std::nullopt;
    }
    return cache_events{.next = static_cast<std::uint64_t>(*next),
                        .cached = readHashes(*object, "cached"),
                        .evicted = readHashes(*object, "evicted")};
}

auto engine_stream_parser::feed(std::string_view bytes, std::vector<std::string> &tokens) -> bool
{
    m_buffer.append(bytes);
    const auto tokensBefore = tokens.size();
    std::size_t consumed = 0;
    for (auto end = m_buffer.find('\n'); end != std::string::npos;
         end = m_buffer.find('\n', consumed)) {
        const auto line = std::string_view(m_buffer).substr(consumed, end - consumed);
        consumed = end + 1;
        if (line.starts_with(DATA_PREFIX) && !parseEvent(line.substr(DATA_PREFIX.size()), tokens)) {
            return false;
        }
    }
    m_buffer.erase(0, consumed);
    m_bytesWithoutToken = tokens.size() > tokensBefore ? 0 : m_bytesWithoutToken + bytes.size();
    return m_bytesWithoutToken <= EVENT_LIMIT_BYTES;
}

auto engine_stream_parser::parseEvent(std::string_view data, std::vector<std::string> &tokens)
    -> bool
{
    if (data == END_OF_STREAM) {
        return m_finished.has_value();
    }
    const auto object = parseObject(data);
    const auto *choices = object ? object->if_contains("choices") : nullptr;
    if (!choices || !choices->is_array() || choices->get_array().empty()
        || !choices->get_array().front().is_object()) {
        return false;
    }
    const auto &choice = choices->get_array().front().get_object();
    const auto *text = choice.if_contains("text");
    if (const auto *delta = choice.if_contains("delta"); delta && delta->is_object()) {
        text = delta->get_object().if_contains("content");
    }
    if (text && text->is_string() && !text->get_string().empty()) {
        tokens.emplace_back(text->get_string());
    }
    const auto *reason = choice.if_contains("finish_reason");
    if (reason && reason->is_string()) {
        m_finished = parseName<finish_reason>(std::string_view(reason->get_string()));
        return m_finished.has_value();
    }
    return true;
}

} // namespace marjoram
