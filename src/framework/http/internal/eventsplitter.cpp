#include "framework/http/eventsplitter.h"

#include <charconv>

namespace marjoram {

auto event_splitter::feed(std::string_view bytes, std::vector<stream_event> &out) -> bool
{
    for (const auto byte : bytes) {
        m_event.push_back(byte);
        ++m_bytesWithoutId;
        if (byte == '\n' && endLine()) {
            m_bytesWithoutId = m_id ? 0 : m_bytesWithoutId;
            out.push_back({.id = m_id, .bytes = std::move(m_event)});
            m_event.clear();
            m_lineStart = 0;
            m_id.reset();
        }
        if (m_bytesWithoutId > EVENT_LIMIT_BYTES) {
            return false;
        }
    }
    return true;
}

/// Takes the line that has just ended; whether it was blank.
auto event_splitter::endLine() -> bool
{
    constexpr std::string_view ID = "id:";
    auto line = std::string_view(m_event).substr(m_lineStart);
    line.remove_suffix(1);
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    m_lineStart = m_event.size();
    if (line.starts_with(ID)) {
        line.remove_prefix(ID.size());
        line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
        std::uint64_t value = 0;
        const auto parsed = std::from_chars(line.data(), line.data() + line.size(), value);
        if (parsed.ec == std::errc{}) {
            m_id = value;
        }
    }
    return line.empty();
}

} // namespace marjoram
