#pragma once

#include "callers/callerevents.h"
#include "framework/http/httptypes.h"

#include <string>

namespace marjoram {

/// The parts of an OpenAI-style request body that matter here.
struct openai_request
{
    generation_request request;
    bool stream = false;
};

/// Reads the body of `POST /v1/completions` or `/v1/chat/completions`. Fields that are not known
/// are left to the engine's defaults. Errors: failure::malformed_request. Thread safe.
auto parseOpenai(std::string_view body, prompt_form form) -> result<openai_request>;

/// One server-sent event with the given text. Thread safe.
auto tokenEvent(prompt_form form, const event_id &id, std::string_view text) -> std::string;
/// Last events of a stream: the finish reason, then `[DONE]`. Thread safe.
auto finishEvents(prompt_form form, const event_id &id, finish_reason reason) -> std::string;
/// Event that tells of a failure in the middle of a stream. Thread safe.
auto failureEvent(const deliver_failure &failed) -> std::string;
/// Whole answer of a request that is not streamed. Thread safe.
auto completeResponse(prompt_form form, const deliver_finish &finish, std::string_view text)
    -> std::string;

/// Response to a request that failed, with its typed reason, whether it ran, and Retry-After.
/// Thread safe.
auto failureResponse(const deliver_failure &failed) -> http_response;
/// HTTP status of a failure. Thread safe.
auto statusOf(failure reason) -> int;

} // namespace marjoram
