#include "callers/openaicodec.h"

#include <boost/json.hpp>

namespace marjoram {

namespace json = boost::json;

namespace {

constexpr std::int64_t MAX_REQUESTED_TOKENS = 10'000'000;
constexpr std::uint32_t MS_PER_S = 1'000;

struct failure_status
{
    failure reason;
    int status;
};
constexpr std::array FAILURE_STATUSES{
    failure_status{failure::malformed_request, 400},
    failure_status{failure::key_malformed, 400},
    failure_status{failure::key_from_future, 400},
    failure_status{failure::unauthenticated, 401},
    failure_status{failure::rank_not_allowed, 403},
    failure_status{failure::unknown_model, 404},
    failure_status{failure::unknown_service, 404},
    failure_status{failure::unknown_team, 404},
    failure_status{failure::key_in_flight, 409},
    failure_status{failure::superseded, 409},
    failure_status{failure::generation_lost, 410},
    failure_status{failure::too_large, 413},
    failure_status{failure::key_body_mismatch, 422},
    failure_status{failure::overloaded, 429},
    failure_status{failure::would_miss_deadline, 429},
    failure_status{failure::deadline_exceeded, 504},
    failure_status{failure::backend_server_failed, 502},
    failure_status{failure::backend_server_lost, 502},
};
constexpr int HTTP_UNAVAILABLE = 503;

auto malformedRequest() -> std::error_code
{
    return make_error_code(failure::malformed_request);
}

auto objectName(prompt_form form, bool chunk) -> std::string_view
{
    if (form == prompt_form::completion) {
        return "text_completion";
    }
    return chunk ? "chat.completion.chunk" : "chat.completion";
}

auto chunkChoice(prompt_form form, std::string_view text, const json::value &finish) -> json::object
{
    json::object choice{{"index", 0}, {"finish_reason", finish}};
    if (form == prompt_form::completion) {
        choice["text"] = text;
    } else if (finish.is_null()) {
        choice["delta"] = json::object{{"content", text}};
    } else {
        choice["delta"] = json::object{};
    }
    return choice;
}

auto makeEvent(prompt_form form, const event_id &id, std::string_view text,
               const json::value &finish) -> std::string
{
    const json::object data{{"id", "gen-" + toText(id.generation)},
                            {"object", objectName(form, true)},
                            {"choices", json::array{chunkChoice(form, text, finish)}}};
    return "id: " + toText(id) + "\ndata: " + json::serialize(data) + "\n\n";
}

auto failureBody(const deliver_failure &failed) -> json::object
{
    return {
        {"error", json::object{{"type", nameOf(failed.reason)},
                               {"message", "request failed: " + std::string(nameOf(failed.reason))},
                               {"ran", nameOf(failed.ran)},
                               {"retry_after_ms", failed.retryAfterMs}}}};
}

auto readPrompt(const json::object &body, prompt_form form, generation_request &out) -> bool
{
    const auto *prompt = body.if_contains(form == prompt_form::chat ? "messages" : "prompt");
    if (!prompt) {
        return false;
    }
    if (form == prompt_form::completion) {
        if (!prompt->is_string()) {
            return false;
        }
        out.prompt = prompt->get_string();
        return true;
    }
    if (!prompt->is_array() || prompt->get_array().empty()) {
        return false;
    }
    for (const auto &message : prompt->get_array()) {
        const auto *object = message.if_object();
        if (!object || !object->contains("role") || !object->contains("content")) {
            return false;
        }
    }
    out.prompt = json::serialize(*prompt);
    return true;
}

auto readMaxTokens(const json::object &body, generation_request &out) -> bool
{
    const auto *maxTokens = body.if_contains("max_tokens");
    if (!maxTokens || maxTokens->is_null()) {
        return true;
    }
    if (!maxTokens->is_int64() || maxTokens->get_int64() <= 0
        || maxTokens->get_int64() > MAX_REQUESTED_TOKENS) {
        return false;
    }
    out.maxTokens = static_cast<std::uint32_t>(maxTokens->get_int64());
    return true;
}

} // namespace

auto parseOpenai(std::string_view body, prompt_form form) -> result<openai_request>
{
    boost::system::error_code error;
    const auto parsed = json::parse(body, error);
    if (error || !parsed.is_object()) {
        return malformedRequest();
    }
    const auto &object = parsed.get_object();
    openai_request out;
    out.request.form = form;
    const auto *model = object.if_contains("model");
    if (!model || !model->is_string() || !readPrompt(object, form, out.request)
        || !readMaxTokens(object, out.request)) {
        return malformedRequest();
    }
    out.request.model = model->get_string();
    if (const auto *stream = object.if_contains("stream")) {
        if (!stream->is_bool()) {
            return malformedRequest();
        }
        out.stream = stream->get_bool();
    }
    const auto *choices = object.if_contains("n");
    if (choices && *choices != 1) {
        return malformedRequest();
    }
    return out;
}

auto tokenEvent(prompt_form form, const event_id &id, std::string_view text) -> std::string
{
    return makeEvent(form, id, text, nullptr);
}

auto finishEvents(prompt_form form, const event_id &id, finish_reason reason) -> std::string
{
    return makeEvent(form, id, "", json::value(nameOf(reason))) + "data: [DONE]\n\n";
}

auto failureEvent(const deliver_failure &failed) -> std::string
{
    return "event: error\ndata: " + json::serialize(failureBody(failed)) + "\n\n";
}

auto completeResponse(prompt_form form, const deliver_finish &finish, std::string_view text)
    -> std::string
{
    json::object choice{{"index", 0}, {"finish_reason", nameOf(finish.reason)}};
    if (form == prompt_form::completion) {
        choice["text"] = text;
    } else {
        choice["message"] = json::object{{"role", "assistant"}, {"content", text}};
    }
    return json::serialize(json::object{
        {"id", "gen-" + toText(finish.generation)},
        {"object", objectName(form, false)},
        {"choices", json::array{std::move(choice)}},
        {"usage", json::object{{"prompt_tokens", finish.promptTokens},
                               {"completion_tokens", finish.length},
                               {"total_tokens", finish.promptTokens + finish.length}}}});
}

auto statusOf(failure reason) -> int
{
    for (const auto &row : FAILURE_STATUSES) {
        if (row.reason == reason) {
            return row.status;
        }
    }
    return HTTP_UNAVAILABLE;
}

auto failureResponse(const deliver_failure &failed) -> http_response
{
    http_response out{.status = statusOf(failed.reason),
                      .body = json::serialize(failureBody(failed))};
    if (failed.retryAfterMs > 0) {
        const auto seconds = (failed.retryAfterMs + MS_PER_S - 1) / MS_PER_S;
        out.headers.push_back({"Retry-After", std::to_string(seconds)});
    }
    return out;
}

} // namespace marjoram
