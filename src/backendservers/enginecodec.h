#pragma once

#include "admission/enginetypes.h"
#include "framework/http/httptypes.h"
#include "orders/engineorder.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marjoram {

/// HTTP request that starts a generation on an engine. Thread safe.
auto encodeEngineJob(const engine_job &job) -> http_request;
/// HTTP request that gives an order to an engine. Thread safe.
auto encodeEngineOrder(const engine_order &order) -> http_request;
/// Reads an engine's load; nothing when it is nonsense. Thread safe.
auto decodeEngineLoad(std::string_view body) -> std::optional<engine_load>;

/// Cache events since a sequence number.
struct cache_events
{
    std::uint64_t next = 0;
    std::vector<std::uint64_t> cached;
    std::vector<std::uint64_t> evicted;
};
/// Reads an engine's cache events; nothing when they are nonsense. Thread safe.
auto decodeCacheEvents(std::string_view body) -> std::optional<cache_events>;

/// Takes an engine's event stream apart as its bytes arrive. Not thread safe.
class engine_stream_parser
{
public:
    /// Adds bytes; tokens found are appended. False when the stream makes no sense.
    auto feed(std::string_view bytes, std::vector<std::string> &tokens) -> bool;
    /// Set once the engine has said that it is done.
    auto finished() const -> std::optional<finish_reason> { return m_finished; }

private:
    static constexpr std::size_t EVENT_LIMIT_BYTES = 64 * 1024;

    auto parseEvent(std::string_view data, std::vector<std::string> &tokens) -> bool;

    std::string m_buffer;
    std::optional<finish_reason> m_finished;
};

} // namespace marjoram
