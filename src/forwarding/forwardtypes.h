#pragma once

#include "framework/global/failure.h"
#include "framework/http/eventsplitter.h"
#include "framework/http/httptypes.h"
#include "innerprotocol/reportframes.h"
#include "manifest/routetable.h"
#include "serverviews/serverentry.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace marjoram {

/// A part of a prompt that requests may share.
struct prompt_part
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// What a caller says of the generation it asks for.
struct generation_params
{
    std::string model;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    /// The caller's own estimate of the output; right in the median only.
    std::optional<std::uint32_t> outputEstimate;
    std::vector<prompt_part> parts;
    /// Last event that the caller has from an earlier answer.
    std::optional<std::uint64_t> resumeAfter;
};

/// A request as a caller sent it. Immutable once it has been read.
struct forward_request
{
    std::uint64_t callerId = 0;
    /// Id that the caller chose; passed on unchanged.
    std::string requestId;
    std::string method;
    /// Path and query.
    std::string target;
    std::string host;
    std::string key;
    /// Fields that are passed on as they are.
    std::vector<http_header> headers;
    std::string body;
    /// Time the caller will wait; nothing when it did not say.
    std::optional<std::int64_t> callerTimeoutMs;
    generation_params generation;

    auto path() const -> std::string_view
    {
        return std::string_view(target).substr(0, target.find('?'));
    }
};
using forward_request_ptr = std::shared_ptr<const forward_request>;

// --- callers to decisions

struct forward_requested
{
    forward_request_ptr request;
};
/// The caller has closed its connection.
struct forward_caller_disconnected
{
    std::uint64_t callerId = 0;
};
using forward_event = std::variant<forward_requested, forward_caller_disconnected>;

// --- decisions to callers

/// The whole answer of a backend server, unchanged.
struct send_response
{
    std::uint64_t callerId = 0;
    int status = 0;
    std::vector<http_header> headers;
    std::string body;
};
/// The beginning of a streamed answer.
struct begin_response_stream
{
    std::uint64_t callerId = 0;
    std::vector<http_header> headers;
};
struct send_response_events
{
    std::uint64_t callerId = 0;
    std::string bytes;
};
/// The streamed answer is complete.
struct end_response_stream
{
    std::uint64_t callerId = 0;
};
/// The streamed answer cannot be completed: the connection is cut, so that it does not look whole.
struct abort_response_stream
{
    std::uint64_t callerId = 0;
};
/// A failure of the system's own.
struct send_failure
{
    std::uint64_t callerId = 0;
    failure reason = failure::none;
    run_state ran = run_state::not_run;
    /// When to come back; only where the request has not run.
    std::optional<std::int64_t> retryAfterMs;
};
/// New bounds on what callers may send.
struct set_caller_bounds
{
    caller_bounds bounds;
};
/// Answers close their connections from now on.
struct close_after_responses
{ };
/// No connection is taken any more, and those without a request are closed.
struct stop_accepting
{ };
using forward_action = std::variant<send_response, begin_response_stream, send_response_events,
                                    end_response_stream, abort_response_stream, send_failure,
                                    set_caller_bounds, close_after_responses, stop_accepting>;

// --- decisions to backend servers

/// A generation's memory that a server holds for a request that goes on.
struct kv_copy
{
    /// Server that was asked for the copy.
    std::string sourceId;
    endpoint source;
    std::string handle;
};

/// Asks the reporter beside a backend server whether a generation may be sent there.
struct request_room
{
    std::uint64_t askId = 0;
    std::string serverId;
    std::string requestId;
    std::uint64_t expectedTokens = 0;
    std::uint64_t outputTokens = 0;
    std::uint32_t promptsAhead = 0;
    /// The run is to be moved there from another server.
    bool landing = false;
};
/// Tells the reporter beside a backend server how far the move of a run has got.
struct notify_move
{
    std::string serverId;
    std::string requestId;
    move_note note = move_note::ended;
};
using reporter_command = std::variant<request_room, notify_move>;

/// Sends a request to a backend server.
struct send_request
{
    std::uint64_t exchangeId = 0;
    std::string serverId;
    endpoint server;
    forward_request_ptr request;
    std::string team;
    std::int64_t deadlineMs = 0;
    bool stream = false;
    /// A connection that lay idle is not used, since it may be closed by the peer unnoticed.
    bool freshConnection = false;
    /// 0 is served first; nothing leaves it to the server.
    std::optional<std::uint32_t> urgency;
    std::optional<std::uint64_t> resumeAfter;
    std::optional<kv_copy> resumeFrom;
};
/// Ends an exchange; nothing more is heard of it.
struct cancel_exchange
{
    std::uint64_t exchangeId = 0;
};
/// Copies a running generation's memory to another server.
struct copy_run
{
    std::uint64_t copyId = 0;
    endpoint source;
    endpoint target;
    std::string requestId;
    /// Stops the run first; it then has to go on at the target, or at the source.
    bool stop = false;
};
/// Frees a copy that is not used.
struct release_kv_copy
{
    kv_copy copy;
};
using server_command = std::variant<send_request, cancel_exchange, copy_run, release_kv_copy>;

// --- backend servers to decisions

/// Status and fields of an answer, decoded.
struct response_head
{
    int status = 0;
    /// Fields that are passed on to the caller.
    std::vector<http_header> headers;
    /// The server says that it did not run the request.
    bool notRun = false;
    /// The server at this address is not the one that was meant.
    bool wrongServer = false;
    std::optional<load_sample> load;
};

struct response_received
{
    std::uint64_t exchangeId = 0;
    response_head head;
    std::string body;
};
struct stream_begun
{
    std::uint64_t exchangeId = 0;
    response_head head;
};
struct stream_advanced
{
    std::uint64_t exchangeId = 0;
    std::vector<stream_event> events;
};
/// The stream has ended as complete.
struct stream_completed
{
    std::uint64_t exchangeId = 0;
};
/// No whole answer will come.
struct exchange_failed
{
    std::uint64_t exchangeId = 0;
    fetch_phase phase = fetch_phase::connecting;
    std::error_code error;
};

/// What became of an order to copy.
enum class copy_outcome { copied, no_such_run, already_copying, no_room, failed };
inline constexpr std::array copyOutcomeNames{
    enum_name<copy_outcome>{copy_outcome::copied, "copied"},
    enum_name<copy_outcome>{copy_outcome::no_such_run, "no_such_run"},
    enum_name<copy_outcome>{copy_outcome::already_copying, "already_copying"},
    enum_name<copy_outcome>{copy_outcome::no_room, "no_room"},
    enum_name<copy_outcome>{copy_outcome::failed, "failed"},
};
constexpr auto namesOf(copy_outcome) -> const auto &
{
    return copyOutcomeNames;
}

struct run_copied
{
    std::uint64_t copyId = 0;
    copy_outcome outcome = copy_outcome::failed;
    /// Names the copy; given also when a stopped run has no room elsewhere.
    std::string handle;
};
using server_event = std::variant<response_received, stream_begun, stream_advanced,
                                  stream_completed, exchange_failed, run_copied>;

} // namespace marjoram
