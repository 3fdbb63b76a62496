#pragma once

#include "framework/global/result.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace marjoram {

/// Bounds on the parts of a request that a client can make long or keep sending. See the table in
/// docs/OPERATORS.md.
struct message_limits
{
    /// Request line, header fields and trailers together. Bounds each of them, and their number: a
    /// field has at least four bytes.
    std::size_t headBytes = 16 * 1024;
    std::uint64_t bodyBytes = 4 * 1024 * 1024;
    /// Extensions of all chunks of a body together. The header of a chunk without extensions has a
    /// bound of its own, MAX_SIZE_DIGITS.
    std::size_t extensionBytes = 16 * 1024;
    /// Empty lines before a request.
    std::size_t blankLines = 4;
};

/// Digits of a chunk size, leading zeros included: as many as 64 bits need.
inline constexpr std::size_t MAX_SIZE_DIGITS = 16;

/// Why a request was refused while it was read.
enum class message_fault {
    malformed = 1,
    head_too_large,
    body_too_large,
    unsupported_coding,
    unavailable,
    over_budget
};
inline constexpr std::array messageFaultNames{
    enum_name<message_fault>{message_fault::malformed, "malformed_message"},
    enum_name<message_fault>{message_fault::head_too_large, "head_too_large"},
    enum_name<message_fault>{message_fault::body_too_large, "body_too_large"},
    enum_name<message_fault>{message_fault::unsupported_coding, "unsupported_coding"},
    enum_name<message_fault>{message_fault::unavailable, "unavailable"},
    enum_name<message_fault>{message_fault::over_budget, "over_budget"},
};
constexpr auto namesOf(message_fault) -> const auto &
{
    return messageFaultNames;
}
constexpr auto categoryNameOf(message_fault) -> const char *
{
    return "message";
}
inline auto make_error_code(message_fault e) -> std::error_code
{
    return errorCode(e);
}

/// Status with which a fault is answered. Thread safe.
constexpr auto statusOf(message_fault fault) -> int
{
    switch (fault) {
    case message_fault::head_too_large:
        return 431;
    case message_fault::body_too_large:
        return 413;
    case message_fault::unsupported_coding:
        return 501;
    case message_fault::unavailable:
    case message_fault::over_budget:
        return 503;
    case message_fault::malformed:
        break;
    }
    return 400;
}

} // namespace marjoram

MARJORAM_ERROR_ENUM(marjoram::message_fault)
