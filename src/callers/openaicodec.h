#pragma once

#include "callers/callerevents.h"
#include "framework/http/httptypes.h"

#include <string>

namespace marjoram {

/// The fields used from an OpenAI-style request body.
struct openai_request
{
    generation_request request;
    bool stream = false;
};

/// Parses the body of `POST /v1/completions` or `/v1/chat/completions`. Unknown fields are ignored;
/// the engine uses its defaults. Errors: failure::malformed_request. Thread safe.
auto parseOpenai(std::string_view body, prompt_form form) -> result<openai_request>;

/// Server-sent event with the given text. Thread safe.
auto tokenEvent(prompt_form form, const event_id &id, std::string_view text) -> std::string;
/// The last events of a stream: the finish reason, then `[DONE]`. Thread safe.
auto finishEvents(prompt_form form, const event_id &id, finish_reason reason) -> std::string;
/// Event that reports a failure of a stream that has started. Thread safe.
auto failureEvent(const deliver_failure &failed) -> std::string;
/// Response body of a request that is not streamed. Thread safe.
auto completeResponse(prompt_form form, const deliver_finish &finish, std::string_view text)
    -> std::string;

/// Response to a failed request: the failure's reason, whether it ran, and Retry-After.
/// Thread safe.
auto failureResponse(const deliver_failure &failed) -> http_response;
/// HTTP status of a failure. Thread safe.
auto statusOf(failure reason) -> int;

} // namespace marjoram
