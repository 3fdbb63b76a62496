#pragma once

#include "upstream/upstreamduty.h"

namespace marjoram::testing {

/// Reads and writes the few fields that the tests need.
struct plain_codec
{
    static auto encode(const send_request &send) -> http_request
    {
        return {.method = send.request->method,
                .target = send.request->target,
                .body = send.request->body};
    }
    static auto encode(const copy_run &) -> http_request { return {}; }
    static auto encode(const release_kv_copy &) -> http_request { return {}; }
    static auto encode(const query_process &) -> http_request { return {}; }
    static auto identify(const channel_head &head, const std::string &requestId) -> answer_identity
    {
        const auto named = head.header("Id");
        if (named.empty()) {
            return answer_identity::unnamed;
        }
        return named == requestId ? answer_identity::expected : answer_identity::of_another_request;
    }
    static auto decode(const channel_head &head) -> response_head
    {
        return {.status = head.status};
    }
    static auto isEventStream(const channel_head &head) -> bool
    {
        return head.header("Content-Type") == "text/event-stream";
    }
    static auto idleTimeoutMs(const channel_head &) -> std::optional<std::int64_t>
    {
        return std::nullopt;
    }
    static auto decodeCopied(std::uint64_t copyId, int, std::string_view) -> run_copied
    {
        return {.copyId = copyId};
    }
    static auto decodeQueried(std::uint64_t queryId, int, std::string_view) -> process_queried
    {
        return {.queryId = queryId};
    }
};

} // namespace marjoram::testing
