#pragma once

#include "framework/global/failure.h"
#include "framework/http/eventsplitter.h"
#include "framework/http/httptypes.h"
#include "framework/ring/bytebudget.h"
#include "innerprotocol/reportframes.h"
#include "manifest/routetable.h"
#include "quarantine/runobservation.h"
#include "serverviews/serverentry.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace marjoram {

/// A section of a prompt that several requests may share.
struct prompt_part
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// Parameters of a generation request.
struct generation_params
{
    std::string model;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    /// The caller's estimate of the output length; accurate only in the median.
    std::optional<std::uint32_t> outputEstimate;
    std::vector<prompt_part> parts;
    /// Id of the last event received in an earlier response.
    std::optional<std::uint64_t> resumeAfter;
    /// Id of the request whose response brought the first event; empty if the caller names none.
    std::string resumedRequestId;
};

/// A request as received from a caller. Immutable once parsed.
struct forward_request
{
    std::uint64_t callerId = 0;
    /// Id chosen by the caller; forwarded unchanged.
    std::string requestId;
    std::string method;
    /// Path and query.
    std::string target;
    std::string host;
    std::string key;
    /// Headers that are forwarded unchanged.
    std::vector<http_header> headers;
    std::string body;
    /// How long the caller will wait, if it said so.
    std::optional<std::int64_t> callerTimeoutMs;
    generation_params generation;

    auto path() const -> std::string_view
    {
        return std::string_view(target).substr(0, target.find('?'));
    }
};
using forward_request_ptr = std::shared_ptr<const forward_request>;

/// What a request may share with others that crash servers: the parts of its prompt, or hashes of
/// target and body if it has none. At most MAX_TRAITS. Thread safe.
auto traitsOf(const forward_request &request) -> std::vector<std::uint64_t>;
inline constexpr std::size_t MAX_TRAITS = 16;
/// Traits in hexadecimal, separated by commas. Thread safe.
auto hexText(const std::vector<std::uint64_t> &traits) -> std::string;

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

/// The complete response of a backend server, unchanged.
struct send_response
{
    std::uint64_t callerId = 0;
    int status = 0;
    std::vector<http_header> headers;
    std::string body;
};
/// Starts a streamed response.
struct begin_response_stream
{
    std::uint64_t callerId = 0;
    std::vector<http_header> headers;
};
struct send_response_events
{
    std::uint64_t callerId = 0;
    std::string bytes;
    /// See stream_advanced.
    byte_lease held;
};
/// The streamed response is complete.
struct end_response_stream
{
    std::uint64_t callerId = 0;
};
/// The streamed response cannot be completed. The connection is closed early, so that the response
/// does not look complete.
struct abort_response_stream
{
    std::uint64_t callerId = 0;
};
/// An error response of the load balancer itself.
struct send_failure
{
    std::uint64_t callerId = 0;
    failure reason = failure::none;
    run_state ran = run_state::not_run;
    /// Retry delay; set only if the request has not run.
    std::optional<std::int64_t> retryAfterMs;
};
/// New limits on what callers may send.
struct set_caller_bounds
{
    caller_bounds bounds;
};
/// From now on connections are closed after their response.
struct close_after_responses
{ };
/// Accepts no further connections and closes idle ones.
struct stop_accepting
{ };
using forward_action = std::variant<send_response, begin_response_stream, send_response_events,
                                    end_response_stream, abort_response_stream, send_failure,
                                    set_caller_bounds, close_after_responses, stop_accepting>;

// --- decisions to backend servers

/// A copy of a generation's KV cache, from which another server can resume it.
struct kv_copy
{
    /// Server that was asked to make the copy.
    std::string sourceId;
    endpoint source;
    std::string handle;
};

/// Asks the reporter of a backend server whether a generation may be sent there.
struct request_room
{
    std::uint64_t askId = 0;
    std::string serverId;
    std::string requestId;
    std::uint64_t expectedTokens = 0;
    std::uint64_t outputTokens = 0;
    std::uint32_t promptsAhead = 0;
    /// The run is being moved there from another server.
    bool landing = false;
    /// Order and limits of the wait at the reporter, see room_request_frame.
    std::uint32_t urgency = 0;
    std::string team;
    std::int64_t waitMs = 0;
    std::int64_t startWithinMs = 0;
    /// The limit of the server while it is cold, see room_request_frame.
    std::uint64_t coldMilliPerSecond = 0;
    std::int64_t coldForMs = 0;
};
/// Tells a reporter that a room request is no longer wanted.
struct withdraw_room_request
{
    std::uint64_t askId = 0;
    std::string serverId;
    std::string requestId;
};
/// Tells the reporter of a backend server about the progress of a move.
struct notify_move
{
    std::string serverId;
    std::string requestId;
    move_note note = move_note::ended;
};
/// Passes observations on to the other entries.
struct share_observations
{
    std::vector<run_observation> observations;
};
/// Tells the server's reporter of the rate limit that an answer has just stated.
struct share_rate_limit
{
    std::string serverId;
    std::uint64_t milliPerSecond = 0;
};
/// Tells reporters which software began the stream of a request.
struct share_origin
{
    /// Server that made the first event.
    std::string serverId;
    std::string requestId;
    server_software software;
};
/// Asks reporters which software began the stream of a request.
struct find_origin
{
    std::uint64_t lookupId = 0;
    std::string requestId;
};
/// Asks for the published list as it is at a moment or later. It takes the way of the other
/// commands since the reporters that the list names are asked next.
struct request_list
{
    time_us since;
};
using reporter_command
    = std::variant<request_room, notify_move, share_observations, share_rate_limit,
                   withdraw_room_request, share_origin, find_origin, request_list>;

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
    /// Opens a new connection, since the peer may have closed an idle one unnoticed.
    bool freshConnection = false;
    /// 0 is most urgent; unset leaves the order to the server.
    std::optional<std::uint32_t> urgency;
    std::optional<std::uint64_t> resumeAfter;
    std::optional<kv_copy> resumeFrom;
};
/// Ends an exchange; no more events follow for it.
struct cancel_exchange
{
    std::uint64_t exchangeId = 0;
};
/// Copies the KV cache of a running generation to another server.
struct copy_run
{
    std::uint64_t copyId = 0;
    endpoint source;
    endpoint target;
    std::string requestId;
    /// Stops the run first. It must then resume on the target, or on the source.
    bool stop = false;
};
/// Releases a copy that is not needed.
struct release_kv_copy
{
    kv_copy copy;
};
/// Asks a backend server which process it runs.
struct query_process
{
    std::uint64_t queryId = 0;
    endpoint server;
};
using server_command
    = std::variant<send_request, cancel_exchange, copy_run, release_kv_copy, query_process>;

// --- backend servers to decisions

/// Decoded status and headers of a response.
struct response_head
{
    int status = 0;
    /// Headers that are forwarded to the caller.
    std::vector<http_header> headers;
    /// The server reports that it did not run the request.
    bool notRun = false;
    /// A different server answered at this address.
    bool wrongServer = false;
    /// The server states that it is about to shut down.
    bool leaving = false;
    /// Time for which the server wants no requests from this entry, if it states one.
    std::optional<std::int64_t> retryAfterMs;
    std::optional<load_sample> load;
    /// Requests per 1,000 seconds that the server accepts from all entries together; 0 if it states
    /// no limit.
    std::uint64_t milliRateLimit = 0;
};

/// What told that a response is complete.
enum class response_end {
    /// Its length, its last chunk, or the lack of a body.
    framing,
    /// Nothing but the end of the connection, which a server also closes when it gives up a
    /// response.
    connection_close
};
inline constexpr std::array responseEndNames{
    enum_name<response_end>{response_end::framing, "framing"},
    enum_name<response_end>{response_end::connection_close, "connection_close"},
};
constexpr auto namesOf(response_end) -> const auto &
{
    return responseEndNames;
}

struct response_received
{
    std::uint64_t exchangeId = 0;
    response_head head;
    std::string body;
    response_end end = response_end::framing;
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
    /// Their memory, until the caller's connection has them.
    byte_lease held;
};
/// The stream ended without an error.
struct stream_completed
{
    std::uint64_t exchangeId = 0;
    response_end end = response_end::framing;
};
/// The exchange ended without a complete response.
struct exchange_failed
{
    std::uint64_t exchangeId = 0;
    fetch_phase phase = fetch_phase::connecting;
    std::error_code error;
};

/// Result of a copy command.
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
    /// Handle of the copy; also set when a stopped run finds no room on the target.
    std::string handle;
};

/// How a backend server has answered a query for its process.
enum class query_outcome {
    answered,
    /// Nothing listens at its address.
    refused,
    /// No answer, or one that can't be read. Shows nothing.
    failed
};
inline constexpr std::array queryOutcomeNames{
    enum_name<query_outcome>{query_outcome::answered, "answered"},
    enum_name<query_outcome>{query_outcome::refused, "refused"},
    enum_name<query_outcome>{query_outcome::failed, "failed"},
};
constexpr auto namesOf(query_outcome) -> const auto &
{
    return queryOutcomeNames;
}

struct process_queried
{
    std::uint64_t queryId = 0;
    query_outcome outcome = query_outcome::failed;
    /// Start of the process that answered; 0 if it states none.
    std::int64_t bornUnixMs = 0;
};
using server_event = std::variant<response_received, stream_begun, stream_advanced,
                                  stream_completed, exchange_failed, run_copied, process_queried>;

} // namespace marjoram
