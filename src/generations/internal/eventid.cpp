#include "generations/eventid.h"

#include <charconv>

namespace marjoram {

namespace {

constexpr std::size_t GENERATION_DIGITS = 32;

} // namespace

auto toText(const event_id &id) -> std::string
{
    return toText(id.generation) + "-" + std::to_string(id.position) + "-" + id.host;
}

auto parseEventId(std::string_view text) -> result<event_id>
{
    event_id out;
    const auto generation = parseGenerationId(text.substr(0, GENERATION_DIGITS));
    if (!generation || text.size() < GENERATION_DIGITS + 1 || text[GENERATION_DIGITS] != '-') {
        return make_error_code(identifier_error::malformed);
    }
    text.remove_prefix(GENERATION_DIGITS + 1);
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), out.position);
    const auto used = static_cast<std::size_t>(parsed.ptr - text.data());
    if (parsed.ec != std::errc{} || used + 1 >= text.size() || text[used] != '-') {
        return make_error_code(identifier_error::malformed);
    }
    out.generation = *generation;
    out.host = std::string(text.substr(used + 1));
    return out;
}

} // namespace marjoram
