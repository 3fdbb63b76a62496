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

// --- from callers to decisions

/// A caller asks for a generation. Team, model and bounds are not checked yet.
struct open_generation
{
    std::uint64_t callerId = 0;
    /// SHA-256 of the caller's credential.
    std::string credentialSha256;
    /// Rank asked for; the team's default is standard.
    std::optional<rank> requestedRank;
    generation_request request;
    /// Whether the answer is streamed, so that a broken caller can come back for the rest.
    bool stream = false;
    /// Last event that a returning caller has seen.
    std::optional<event_id> resumeAfter;
    trace_context trace;
};

/// A caller asks for a call to a plain service.
struct open_call
{
    std::uint64_t callerId = 0;
    std::string credentialSha256;
    std::string service;
    std::string method;
    std::string path;
    std::string contentType;
    /// Empty when the caller gave none.
    std::string key;
    std::string body;
    trace_context trace;
};

/// A caller has gone away.
struct caller_left
{
    std::uint64_t callerId = 0;
};

/// A caller has taken tokens and has room for as many more.
struct caller_credit
{
    std::uint64_t callerId = 0;
    std::uint32_t tokens = 0;
};

using caller_event = std::variant<open_generation, open_call, caller_left, caller_credit>;

// --- from decisions to callers

/// Next tokens of a caller's answer.
struct deliver_tokens
{
    std::uint64_t callerId = 0;
    generation_id generation;
    std::string host;
    /// Position of the first token.
    std::uint64_t position = 0;
    std::vector<std::string> tokens;
};

/// A caller's answer is whole.
struct deliver_finish
{
    std::uint64_t callerId = 0;
    generation_id generation;
    std::string host;
    std::uint64_t length = 0;
    std::uint32_t promptTokens = 0;
    finish_reason reason = finish_reason::stop;
};

/// A request ended without its answer.
struct deliver_failure
{
    std::uint64_t callerId = 0;
    failure reason = failure::none;
    run_state ran = run_state::not_run;
    std::uint32_t retryAfterMs = 0;
};

/// Answer of a plain service.
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
