#pragma once

#include "framework/tracing/span.h"
#include "generations/generationrequest.h"
#include "innerprotocol/originframes.h"
#include "innerprotocol/reportframes.h"

#include <string>
#include <variant>
#include <vector>

namespace marjoram {

/// Version of the inner protocol; processes of different versions refuse each other's links.
inline constexpr std::uint32_t INNER_PROTOCOL_VERSION = 1;

/// What a process of the system is.
enum class process_role { entry, agent, operator_tool };
inline constexpr std::array processRoleNames{
    enum_name<process_role>{process_role::entry, "entry"},
    enum_name<process_role>{process_role::agent, "agent"},
    enum_name<process_role>{process_role::operator_tool, "operator_tool"},
};
constexpr auto namesOf(process_role) -> const auto &
{
    return processRoleNames;
}

/// First frame on a link, in both directions.
struct hello_frame
{
    std::uint32_t protocol = INNER_PROTOCOL_VERSION;
    process_role role = process_role::entry;
    std::string host;
    /// Start of the process, Unix milliseconds: tells a reborn process from its predecessor.
    std::int64_t incarnation = 0;

    template <typename Self, typename Visitor>
    static auto visitFields(Self &self, Visitor &&visit) -> void
    {
        visit(self.protocol);
        visit(self.role);
        visit(self.host);
        visit(self.incarnation);
    }
};

/// Entry to agent: a generation waits and could run here.
struct bid_frame
{
    generation_id generation;
    std::uint32_t attempt = 0;
    rank workRank = rank::standard;
    std::string team;
    std::string model;
    std::uint32_t promptTokens = 0;
    /// Tokens the caller already has from an attempt that was lost.
    std::uint32_t givenTokens = 0;
    std::uint32_t maxTokens = 0;
    std::uint64_t prefix = 0;
    std::uint32_t deadlineMs = 0;

    template <typename Self, typename Visitor>
    static auto visitFields(Self &self, Visitor &&visit) -> void
    {
        visit(self.generation);
        visit(self.attempt);
        visit(self.workRank);
        visit(self.team);
        visit(self.model);
        visit(self.promptTokens);
        visit(self.givenTokens);
        visit(self.maxTokens);
        visit(self.prefix);
        visit(self.deadlineMs);
    }
};

/// Entry to agent: the bid has been granted elsewhere or its caller has left.
struct withdraw_frame
{
    generation_id generation;
    std::uint32_t attempt = 0;

    template <typename Self, typename Visitor>
    static auto visitFields(Self &self, Visitor &&visit) -> void
    {
        visit(self.generation);
        visit(self.attempt);
    }
};

/// Agent to entry: room has been set aside for the bid, or an attachment is made.
struct grant_frame
{
    generation_id generation;
    std::uint32_t attempt = 0;
    /// The attach that this answers; 0 when it answers a bid.
    std::uint64_t attachId = 0;

    template <typename Self, typename Visitor>
    static auto visitFields(Self &self, Visitor &&visit) -> void
    {
        visit(self.generation);
        visit(self.attempt);
        visit(self.attachId);
    }
};

/// Entry to agent: run the granted generation now.
struct start_frame
{
    generation_id generation;
    std::uint32_t attempt = 0;
    generation_request request;
    std::vector<std::string> given;
    /// Tokens the entry is ready to take.
    std::uint32_t credit = 0;
    /// Whether the agent keeps the generation for a while when the entry goes away.
    bool reattachable = true;
    trace_context trace;

    template <typename Self, typename Visitor>
    static auto visitFields(Self &self, Visitor &&visit) -> void
    {
        visit(self.generation);
        visit(self.attempt);
        visit(self.request);
        visit(self.given);
        visit(self.credit);
        visit(self.reattachable);
        visit(self.trace);
    }
};

/// Entry to agent: send a kept generation from a position on; displaces earlier attachments.
struct attach_frame
{
    generation_id generation;
    std::uint64_t fromPosition = 0;
    std::uint32_t credit = 0;
    /// Chosen by the entry and given back in the grant.
    std::uint64_t attachId = 0;
    trace_context trace;

    template <typename Self, typename Visitor>
    static auto visitFields(Self &self, Visitor &&visit) -> void
    {
        visit(self.generation);
        visit(self.fromPosition);
        visit(self.credit);
        visit(self.attachId);
        visit(self.trace);
    }
};

/// Entry to agent: room for more tokens.
struct credit_frame
{
    generation_id generation;
    std::uint32_t tokens = 0;

    template <typename Self, typename Visitor>
    static auto visitFields(Self &self, Visitor &&visit) -> void
    {
        visit(self.generation);
        visit(self.tokens);
    }
};

/// Entry to agent: the caller has left.
struct cancel_frame
{
    generation_id generation;
    std::uint32_t attempt = 0;
    /// Keep the generation for its reattachment period instead of ending it at once.
    bool keep = false;

    template <typename Self, typename Visitor>
    static auto visitFields(Self &self, Visitor &&visit) -> void
    {
        visit(self.generation);
        visit(self.attempt);
        visit(self.keep);
    }
};

/// Agent to entry: a bid, start or attach is not taken, or has been displaced.
struct refusal_frame
{
    generation_id generation;
    std::uint32_t attempt = 0;
    failure reason = failure::none;
    run_state ran = run_state::not_run;
    std::uint32_t retryAfterMs = 0;

    template <typename Self, typename Visitor>
    static auto visitFields(Self &self, Visitor &&visit) -> void
    {
        visit(self.generation);
        visit(self.attempt);
        visit(self.reason);
        visit(self.ran);
        visit(self.retryAfterMs);
    }
};

/// Agent to entry: the next tokens of an attempt.
struct tokens_frame
{
    generation_id generation;
    std::uint32_t attempt = 0;
    /// Position of the first token in the whole answer.
    std::uint64_t position = 0;
    std::vector<std::string> tokens;

    template <typename Self, typename Visitor>
    static auto visitFields(Self &self, Visitor &&visit) -> void
    {
        visit(self.generation);
        visit(self.attempt);
        visit(self.position);
        visit(self.tokens);
    }
};

/// Agent to entry: the answer is whole and has `length` tokens.
struct finished_frame
{
    generation_id generation;
    std::uint32_t attempt = 0;
    std::uint64_t length = 0;
    finish_reason reason = finish_reason::stop;

    template <typename Self, typename Visitor>
    static auto visitFields(Self &self, Visitor &&visit) -> void
    {
        visit(self.generation);
        visit(self.attempt);
        visit(self.length);
        visit(self.reason);
    }
};

/// Entry to agent: a call to the plain service beside the agent.
struct call_frame
{
    std::uint64_t callId = 0;
    std::string service;
    std::string team;
    std::string method;
    std::string path;
    std::string contentType;
    /// Idempotency key; empty for calls that may be repeated.
    std::string key;
    std::string body;
    std::uint32_t deadlineMs = 0;
    /// Owners of the key that have promised never to run it.
    std::vector<std::string> sealedBy;
    trace_context trace;

    template <typename Self, typename Visitor>
    static auto visitFields(Self &self, Visitor &&visit) -> void
    {
        visit(self.callId);
        visit(self.service);
        visit(self.team);
        visit(self.method);
        visit(self.path);
        visit(self.contentType);
        visit(self.key);
        visit(self.body);
        visit(self.deadlineMs);
        visit(self.sealedBy);
        visit(self.trace);
    }
};

/// Agent to entry: how a call ended.
struct call_result_frame
{
    std::uint64_t callId = 0;
    failure reason = failure::none;
    run_state ran = run_state::unknown;
    std::uint32_t status = 0;
    std::string contentType;
    std::string body;

    template <typename Self, typename Visitor>
    static auto visitFields(Self &self, Visitor &&visit) -> void
    {
        visit(self.callId);
        visit(self.reason);
        visit(self.ran);
        visit(self.status);
        visit(self.contentType);
        visit(self.body);
    }
};

/// Agent to agent: a new owner of a key asks an earlier one what became of it.
struct claim_frame
{
    std::uint64_t claimId = 0;
    std::string key;
    std::uint64_t bodyHash = 0;

    template <typename Self, typename Visitor>
    static auto visitFields(Self &self, Visitor &&visit) -> void
    {
        visit(self.claimId);
        visit(self.key);
        visit(self.bodyHash);
    }
};

/// What an earlier owner says of a key. A key that never ran is sealed there by the answer.
enum class claim_outcome { never_ran, completed, other_body, unknown };
inline constexpr std::array claimOutcomeNames{
    enum_name<claim_outcome>{claim_outcome::never_ran, "never_ran"},
    enum_name<claim_outcome>{claim_outcome::completed, "completed"},
    enum_name<claim_outcome>{claim_outcome::other_body, "other_body"},
    enum_name<claim_outcome>{claim_outcome::unknown, "unknown"},
};
constexpr auto namesOf(claim_outcome) -> const auto &
{
    return claimOutcomeNames;
}

/// Agent to agent: answer to a claim.
struct claim_reply_frame
{
    std::uint64_t claimId = 0;
    claim_outcome outcome = claim_outcome::unknown;
    std::uint32_t status = 0;
    std::string contentType;
    std::string body;

    template <typename Self, typename Visitor>
    static auto visitFields(Self &self, Visitor &&visit) -> void
    {
        visit(self.claimId);
        visit(self.outcome);
        visit(self.status);
        visit(self.contentType);
        visit(self.body);
    }
};

/// Agent to entry: heartbeat and load.
struct load_report_frame
{
    bool leaving = false;
    std::uint32_t running = 0;
    std::uint32_t waitingUrgent = 0;
    std::uint32_t waitingStandard = 0;
    /// Wait that a new bid of each rank should expect.
    std::uint32_t expectedWaitUrgentMs = 0;
    std::uint32_t expectedWaitStandardMs = 0;
    std::uint64_t kvUsedTokens = 0;
    std::uint64_t kvCapacityTokens = 0;
    std::uint32_t stepUs = 0;
    std::uint64_t manifestVersion = 0;
    std::vector<std::string> models;
    /// Prompt prefixes that entered and left the engine's cache, as far as is known.
    std::vector<std::uint64_t> prefixesCached;
    std::vector<std::uint64_t> prefixesEvicted;

    template <typename Self, typename Visitor>
    static auto visitFields(Self &self, Visitor &&visit) -> void
    {
        visit(self.leaving);
        visit(self.running);
        visit(self.waitingUrgent);
        visit(self.waitingStandard);
        visit(self.expectedWaitUrgentMs);
        visit(self.expectedWaitStandardMs);
        visit(self.kvUsedTokens);
        visit(self.kvCapacityTokens);
        visit(self.stepUs);
        visit(self.manifestVersion);
        visit(self.models);
        visit(self.prefixesCached);
        visit(self.prefixesEvicted);
    }
};

/// Either way: a JSON-RPC request or its reply.
struct control_frame
{
    std::uint64_t exchangeId = 0;
    bool reply = false;
    std::string text;

    template <typename Self, typename Visitor>
    static auto visitFields(Self &self, Visitor &&visit) -> void
    {
        visit(self.exchangeId);
        visit(self.reply);
        visit(self.text);
    }
};

using frame
    = std::variant<hello_frame, bid_frame, withdraw_frame, grant_frame, start_frame, attach_frame,
                   credit_frame, cancel_frame, refusal_frame, tokens_frame, finished_frame,
                   call_frame, call_result_frame, load_report_frame, control_frame, claim_frame,
                   claim_reply_frame, report_request_frame, server_report_frame, room_request_frame,
                   room_reply_frame, server_news_frame, move_note_frame, run_observations_frame,
                   observations_request_frame, rate_limit_frame, room_withdrawal_frame,
                   stream_origin_frame, origin_request_frame, origin_reply_frame>;

} // namespace marjoram
