#pragma once

#include "framework/global/failure.h"
#include "framework/tracing/span.h"
#include "generations/eventid.h"
#include "generations/generationrequest.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace marjoram {

// --- events from the callers duty

/// A caller requests a generation. Team, model and limits are not checked yet.
struct open_generation
{
    std::uint64_t callerId = 0;
    /// SHA-256 of the caller's credential.
    std::string credentialSha256;
    /// Rank requested by the caller; rank::standard when absent.
    std::optional<rank> requestedRank;
    generation_request request;
    /// Whether the answer is streamed. A streamed answer can be resumed after a disconnect.
    bool stream = false;
    /// Last event received by a caller that reconnects.
    std::optional<event_id> resumeAfter;
    trace_context trace;
};

/// A caller requests a call to a plain service.
struct open_call
{
    std::uint64_t callerId = 0;
    std::string credentialSha256;
    std::string service;
    std::string method;
    std::string path;
    std::string contentType;
    /// Idempotency key; empty when the caller sent none.
    std::string key;
    std::string body;
    trace_context trace;
};

/// A caller has disconnected before its answer was complete.
struct caller_left
{
    std::uint64_t callerId = 0;
};

/// Tokens were written to a caller, which can take as many more.
struct caller_credit
{
    std::uint64_t callerId = 0;
    std::uint32_t tokens = 0;
};

using caller_event = std::variant<open_generation, open_call, caller_left, caller_credit>;

// --- actions for the callers duty

/// The next tokens of an answer.
struct deliver_tokens
{
    std::uint64_t callerId = 0;
    generation_id generation;
    std::string host;
    /// Position of the first token.
    std::uint64_t position = 0;
    std::vector<std::string> tokens;
};

/// The end of a complete answer.
struct deliver_finish
{
    std::uint64_t callerId = 0;
    generation_id generation;
    std::string host;
    std::uint64_t length = 0;
    std::uint32_t promptTokens = 0;
    finish_reason reason = finish_reason::stop;
};

/// The failure of a request.
struct deliver_failure
{
    std::uint64_t callerId = 0;
    failure reason = failure::none;
    run_state ran = run_state::not_run;
    std::uint32_t retryAfterMs = 0;
};

/// The answer of a plain service.
struct deliver_answer
{
    std::uint64_t callerId = 0;
    std::uint32_t status = 0;
    std::string contentType;
    std::string body;
    std::string key;
};

using caller_action = std::variant<deliver_tokens, deliver_finish, deliver_failure, deliver_answer>;

} // namespace marjoram
