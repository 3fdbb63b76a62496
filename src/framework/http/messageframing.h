#pragma once

#include "framework/http/httptypes.h"
#include "framework/http/messagelimits.h"

namespace marjoram {

/// How the end of a body is found.
enum class body_kind { none, length, chunked };
inline constexpr std::array bodyKindNames{
    enum_name<body_kind>{body_kind::none, "none"},
    enum_name<body_kind>{body_kind::length, "length"},
    enum_name<body_kind>{body_kind::chunked, "chunked"},
};
constexpr auto namesOf(body_kind) -> const auto &
{
    return bodyKindNames;
}

struct body_framing
{
    body_kind kind = body_kind::none;
    /// Only for `length`.
    std::uint64_t length = 0;
};

/// Framing that the header fields of a request state: one length, or `chunked` alone. Anything else
/// could be framed differently by the backend server, so that part of a body is taken for a
/// request. Errors: malformed, unsupported_coding. Thread safe.
auto framingOf(const std::vector<http_header> &headers) -> result<body_framing>;

/// Finds the end of a request's head in bytes as they arrive, and refuses line endings and folded
/// fields that other programs interpret differently. Not thread safe.
class head_scanner
{
public:
    struct extent
    {
        /// Bytes of the empty lines before the head.
        std::size_t begin = 0;
        /// Bytes of the head, the closing empty line included; 0 while it is incomplete.
        std::size_t size = 0;
    };

    explicit head_scanner(const message_limits &limits)
        : m_limits(limits)
    { }

    /// `bytes`: everything received of the message so far, at least as much as at the last call.
    /// Errors: malformed, head_too_large; the scanner must not be used after one.
    auto scan(std::string_view bytes) -> result<extent>;

private:
    auto acceptsByte(char byte) -> bool;
    auto endLine() -> bool;

    message_limits m_limits;
    std::size_t m_scanned = 0;
    std::size_t m_lineBytes = 0;
    std::size_t m_blankLines = 0;
    std::size_t m_begin = 0;
    bool m_afterReturn = false;
    bool m_complete = false;
};

/// Decodes a body, counts what it consists of beside its content, and discards trailers. Keeps
/// nothing but the content. Not thread safe.
class body_reader
{
public:
    /// `headBytes`: size of the message's head, which counts against the same limit as trailers.
    body_reader(body_framing framing, const message_limits &limits, std::size_t headBytes);

    /// Appends content to `body`, which must be the same string at each call; returns the number of
    /// bytes consumed, which is less than given only when the body ends. Errors: malformed,
    /// body_too_large, head_too_large; the reader must not be used after one.
    auto feed(std::string_view bytes, std::string &body) -> result<std::size_t>;
    auto done() const -> bool { return m_state == state::done; }

private:
    enum class state {
        content,
        size,
        extension,
        size_end,
        chunk,
        chunk_return,
        chunk_end,
        trailer,
        trailer_end,
        done
    };

    auto takeContent(std::string_view bytes, std::string &body) -> std::size_t;
    auto onByte(char byte, std::size_t received) -> std::error_code;
    auto onSizeByte(char byte) -> std::error_code;
    auto onExtensionByte(char byte) -> std::error_code;
    auto onSizeEnd(std::size_t received) -> std::error_code;
    auto onTrailerByte(char byte) -> std::error_code;
    auto onTrailerEnd() -> void;

    state m_state;
    std::uint64_t m_bodyLimit;
    std::size_t m_extensionBytesLeft;
    std::size_t m_trailerBytesLeft;
    /// Bytes of the body or the chunk that are still to come.
    std::uint64_t m_left = 0;
    std::size_t m_sizeDigits = 0;
    std::size_t m_lineBytes = 0;
    bool m_extensionBegun = false;
    bool m_colonSeen = false;
    char m_lastByte = 0;
};

} // namespace marjoram
