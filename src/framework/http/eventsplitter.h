#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marjoram {

/// One whole server-sent event.
struct stream_event
{
    std::optional<std::uint64_t> id;
    /// As received, the closing blank line included.
    std::string bytes;
};

/// Cuts a server-sent event stream into whole events. Not thread safe.
class event_splitter
{
public:
    /// Limit on an event, and on the bytes between two events with an id.
    static constexpr std::size_t EVENT_LIMIT_BYTES = 1024 * 1024;

    /// Appends the events that `bytes` complete to `out`; false when the limit is exceeded, after
    /// which the splitter must not be used.
    auto feed(std::string_view bytes, std::vector<stream_event> &out) -> bool;
    /// Bytes of the event that has begun.
    auto heldBytes() const -> std::size_t { return m_event.size(); }
    /// Whether an event has begun and not ended.
    auto midEvent() const -> bool { return !m_event.empty(); }

private:
    auto endLine() -> bool;

    std::string m_event;
    std::size_t m_lineStart = 0;
    std::size_t m_bytesWithoutId = 0;
    std::optional<std::uint64_t> m_id;
};

} // namespace marjoram
