#pragma once

#include "innerprotocol/frames.h"

#include <string>
#include <string_view>

namespace marjoram {

/// Why bytes from a link were refused.
enum class codec_error { truncated = 1, malformed, unknown_kind, bad_field, too_large };
inline constexpr std::array codecErrorNames{
    enum_name<codec_error>{codec_error::truncated, "truncated"},
    enum_name<codec_error>{codec_error::malformed, "not MessagePack"},
    enum_name<codec_error>{codec_error::unknown_kind, "unknown frame kind"},
    enum_name<codec_error>{codec_error::bad_field, "field of a wrong type or value"},
    enum_name<codec_error>{codec_error::too_large, "frame too large"},
};
constexpr auto namesOf(codec_error) -> const auto &
{
    return codecErrorNames;
}
constexpr auto categoryNameOf(codec_error) -> const char *
{
    return "inner protocol";
}
inline auto make_error_code(codec_error e) -> std::error_code
{
    return errorCode(e);
}

/// Bytes of the length prefix before each frame on a link.
inline constexpr std::size_t FRAME_PREFIX_BYTES = 4;
/// Longest frame a link takes.
inline constexpr std::size_t FRAME_LIMIT_BYTES = 8 * 1024 * 1024;
/// Memory for the elements of all arrays of a frame. An empty string takes 1 byte in the frame and
/// 32 here. Holds the tokens of the longest generation that a manifest allows, 1,000,000.
inline constexpr std::size_t ELEMENTS_LIMIT_BYTES = 32 * 1024 * 1024;

/// Appends the frame with its length prefix. Thread safe. Precondition: frame <= FRAME_LIMIT_BYTES.
auto encodeFrame(const frame &message, std::string &out) -> void;
/// Length named by a prefix; codec_error::too_large beyond `limit`. Precondition: 4 bytes.
auto decodePrefix(std::string_view prefix, std::size_t limit) -> result<std::size_t>;
/// Decodes one frame without its prefix. Takes any bytes; allocates no more than their number and
/// ELEMENTS_LIMIT_BYTES warrant; codec_error::bad_field beyond that. Thread safe.
auto decodeFrame(std::string_view bytes) -> result<frame>;

} // namespace marjoram

MARJORAM_ERROR_ENUM(marjoram::codec_error)
