#include "framework/http/messageframing.h"

#include <boost/algorithm/string/predicate.hpp>
#include <charconv>

namespace marjoram {

namespace {

constexpr int HEX_DIGITS = 16;
constexpr std::size_t LINE_END_BYTES = 2;

auto isControl(char byte) -> bool
{
    constexpr unsigned char FIRST_PRINTABLE = 0x20;
    constexpr unsigned char DELETE = 0x7f;
    const auto value = static_cast<unsigned char>(byte);
    return (value < FIRST_PRINTABLE && byte != '\t') || value == DELETE;
}

auto isBlank(char byte) -> bool
{
    return byte == ' ' || byte == '\t';
}

auto hexValue(char byte) -> int
{
    if (byte >= '0' && byte <= '9') {
        return byte - '0';
    }
    const auto lower = static_cast<char>(byte | 0x20);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

} // namespace

auto framingOf(const std::vector<http_header> &headers) -> result<body_framing>
{
    const http_header *coding = nullptr;
    const http_header *length = nullptr;
    for (const auto &field : headers) {
        const auto isCoding = boost::algorithm::iequals(field.name, "Transfer-Encoding");
        const auto isLength = boost::algorithm::iequals(field.name, "Content-Length");
        if ((isCoding && coding) || (isLength && length)) {
            return make_error_code(message_fault::malformed);
        }
        coding = isCoding ? &field : coding;
        length = isLength ? &field : length;
    }
    if (coding && length) {
        return make_error_code(message_fault::malformed);
    }
    if (coding) {
        if (!boost::algorithm::iequals(coding->value, "chunked")) {
            return make_error_code(message_fault::unsupported_coding);
        }
        return body_framing{.kind = body_kind::chunked};
    }
    if (!length) {
        return body_framing{};
    }
    body_framing out{.kind = body_kind::length};
    const auto *begin = length->value.data();
    const auto *end = begin + length->value.size();
    const auto [rest, error] = std::from_chars(begin, end, out.length);
    if (error != std::errc{} || rest != end) {
        return make_error_code(message_fault::malformed);
    }
    return out;
}

auto head_scanner::scan(std::string_view bytes) -> result<extent>
{
    while (m_scanned < bytes.size() && !m_complete) {
        if (!acceptsByte(bytes[m_scanned])) {
            return make_error_code(message_fault::malformed);
        }
        ++m_scanned;
        if (m_scanned - m_begin > m_limits.headBytes) {
            return make_error_code(message_fault::head_too_large);
        }
    }
    return extent{.begin = m_begin, .size = m_complete ? m_scanned - m_begin : 0};
}

auto head_scanner::acceptsByte(char byte) -> bool
{
    if (m_afterReturn) {
        m_afterReturn = false;
        return byte == '\n' && endLine();
    }
    if (byte == '\r') {
        m_afterReturn = true;
        return true;
    }
    // The first line begins with a method, each further one with the name of a field.
    const auto folded = m_lineBytes == 0 && isBlank(byte);
    ++m_lineBytes;
    return !folded && !isControl(byte);
}

auto head_scanner::endLine() -> bool
{
    if (std::exchange(m_lineBytes, 0) > 0) {
        return true;
    }
    if (m_scanned + 1 - m_begin > 2) {
        m_complete = true;
        return true;
    }
    m_begin = m_scanned + 1;
    return ++m_blankLines <= m_limits.blankLines;
}

body_reader::body_reader(body_framing framing, const message_limits &limits, std::size_t headBytes)
    : m_state(framing.kind == body_kind::chunked ? state::size
              : framing.length > 0               ? state::content
                                                 : state::done)
    , m_bodyLimit(limits.bodyBytes)
    , m_extensionBytesLeft(limits.extensionBytes)
    , m_trailerBytesLeft(limits.headBytes - std::min(limits.headBytes, headBytes))
    , m_left(framing.length)
{ }

auto body_reader::feed(std::string_view bytes, std::string &body) -> result<std::size_t>
{
    std::size_t used = 0;
    if (m_state == state::content && m_left > m_bodyLimit) {
        return make_error_code(message_fault::body_too_large);
    }
    while (used < bytes.size() && !done()) {
        if (m_state == state::content || m_state == state::chunk) {
            used += takeContent(bytes.substr(used), body);
            continue;
        }
        if (const auto error = onByte(bytes[used], body.size())) {
            return error;
        }
        ++used;
    }
    return used;
}

auto body_reader::takeContent(std::string_view bytes, std::string &body) -> std::size_t
{
    const auto count = static_cast<std::size_t>(std::min<std::uint64_t>(m_left, bytes.size()));
    body.append(bytes.substr(0, count));
    m_left -= count;
    if (m_left == 0) {
        m_state = m_state == state::content ? state::done : state::chunk_return;
    }
    return count;
}

auto body_reader::onByte(char byte, std::size_t received) -> std::error_code
{
    const auto accept = [this](bool expected, state next) {
        m_state = next;
        return expected ? std::error_code{} : make_error_code(message_fault::malformed);
    };
    switch (m_state) {
    case state::size:
        return onSizeByte(byte);
    case state::extension:
        return onExtensionByte(byte);
    case state::size_end:
        return byte == '\n' ? onSizeEnd(received) : make_error_code(message_fault::malformed);
    case state::chunk_return:
        return accept(byte == '\r', state::chunk_end);
    case state::chunk_end:
        return accept(byte == '\n', state::size);
    case state::trailer:
        return onTrailerByte(byte);
    case state::trailer_end:
        if (byte != '\n') {
            return make_error_code(message_fault::malformed);
        }
        onTrailerEnd();
        return {};
    case state::content:
    case state::chunk:
    case state::done:
        break;
    }
    return make_error_code(message_fault::malformed);
}

auto body_reader::onSizeByte(char byte) -> std::error_code
{
    const auto digit = hexValue(byte);
    if (digit >= 0) {
        m_left = m_left * HEX_DIGITS + static_cast<std::uint64_t>(digit);
        return ++m_sizeDigits <= MAX_SIZE_DIGITS ? std::error_code{}
                                                 : make_error_code(message_fault::malformed);
    }
    if (m_sizeDigits == 0) {
        return make_error_code(message_fault::malformed);
    }
    m_extensionBegun = false;
    m_state = state::extension;
    return onExtensionByte(byte);
}

auto body_reader::onExtensionByte(char byte) -> std::error_code
{
    if (byte == '\r') {
        m_state = state::size_end;
        return {};
    }
    m_extensionBegun = m_extensionBegun || byte == ';';
    if (isControl(byte) || (!m_extensionBegun && !isBlank(byte))) {
        return make_error_code(message_fault::malformed);
    }
    if (m_extensionBytesLeft == 0) {
        return make_error_code(message_fault::head_too_large);
    }
    --m_extensionBytesLeft;
    return {};
}

auto body_reader::onSizeEnd(std::size_t received) -> std::error_code
{
    m_sizeDigits = 0;
    m_state = m_left > 0 ? state::chunk : state::trailer;
    return received > m_bodyLimit || m_left > m_bodyLimit - received
               ? make_error_code(message_fault::body_too_large)
               : std::error_code{};
}

auto body_reader::onTrailerByte(char byte) -> std::error_code
{
    const auto last = std::exchange(m_lastByte, byte);
    const auto first = m_lineBytes == 0;
    if (byte == '\r') {
        m_state = state::trailer_end;
        if (first) {
            return {};
        }
        const auto fits = m_trailerBytesLeft >= LINE_END_BYTES;
        m_trailerBytesLeft -= fits ? LINE_END_BYTES : 0;
        return !m_colonSeen ? make_error_code(message_fault::malformed)
               : fits       ? std::error_code{}
                            : make_error_code(message_fault::head_too_large);
    }
    const auto ends = byte == ':' && !m_colonSeen;
    if (isControl(byte) || (first && (isBlank(byte) || ends)) || (ends && isBlank(last))) {
        return make_error_code(message_fault::malformed);
    }
    m_colonSeen = m_colonSeen || ends;
    ++m_lineBytes;
    if (m_trailerBytesLeft == 0) {
        return make_error_code(message_fault::head_too_large);
    }
    --m_trailerBytesLeft;
    return {};
}

auto body_reader::onTrailerEnd() -> void
{
    m_state = m_lineBytes == 0 ? state::done : state::trailer;
    m_lineBytes = 0;
    m_colonSeen = false;
}

} // namespace marjoram
