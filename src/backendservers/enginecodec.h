#pragma once

#include "admission/enginetypes.h"
#include "framework/http/httptypes.h"
#include "orders/engineorder.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marjoram {

/// Builds the HTTP request that starts a generation on an engine. Thread safe.
auto encodeEngineJob(const engine_job &job) -> http_request;
/// Builds the HTTP request that sends an order to an engine. Thread safe.
auto encodeEngineOrder(const engine_order &order) -> http_request;
/// Parses an engine's load; std::nullopt when it is invalid. Thread safe.
auto decodeEngineLoad(std::string_view body) -> std::optional<engine_load>;

/// Cache events after a sequence number; `next` is the number to ask from next time.
struct cache_events
{
    std::uint64_t next = 0;
    std::vector<std::uint64_t> cached;
    std::vector<std::uint64_t> evicted;
};
/// Parses an engine's cache events; std::nullopt when they are invalid. Thread safe.
auto decodeCacheEvents(std::string_view body) -> std::optional<cache_events>;

/// Incremental parser of an engine's event stream. Not thread safe.
class engine_stream_parser
{
public:
    /// Parses further bytes and appends their tokens. Returns false when the stream is invalid.
    auto feed(std::string_view bytes, std::vector<std::string> &tokens) -> bool;
    /// Set once the engine has sent its finish reason.
    auto finished() const -> std::optional<finish_reason> { return m_finished; }

private:
    /// Limit on an event, and on the bytes between two tokens.
    static constexpr std::size_t EVENT_LIMIT_BYTES = 64 * 1024;

    auto parseEvent(std::string_view data, std::vector<std::string> &tokens) -> bool;

    std::string m_buffer;
    std::size_t m_bytesWithoutToken = 0;
    std::optional<finish_reason> m_finished;
};

} // namespace marjoram
