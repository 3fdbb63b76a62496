#pragma once

#include "framework/http/messageframing.h"

namespace marjoram {

/// Reads one request from bytes as they arrive, within limits. Not thread safe.
class request_reader
{
public:
    explicit request_reader(const message_limits &limits)
        : m_limits(limits)
        , m_head(limits)
    { }

    /// Takes what has arrived and was not consumed yet; returns the number of bytes consumed. The
    /// head is consumed as a whole, so what is left must be passed again with what arrives next.
    /// Errors: message_fault; the reader must not be used after one.
    auto feed(std::string_view bytes) -> result<std::size_t>;
    /// Whether the head has been read.
    auto inBody() const -> bool { return m_body.has_value(); }
    auto done() const -> bool { return m_body && m_body->done(); }
    /// Bytes of the body: as declared, otherwise as received so far.
    auto bodyBytes() const -> std::uint64_t
    {
        return std::max<std::uint64_t>(m_declaredBytes, m_request.body.size());
    }
    /// Whether the client keeps the connection. Precondition: inBody().
    auto keepAlive() const -> bool { return m_keepAlive; }
    /// The request. Precondition: done(). Call once.
    auto take() -> http_request { return std::move(m_request); }

private:
    auto parseHead(std::string_view head) -> std::error_code;

    message_limits m_limits;
    head_scanner m_head;
    std::optional<body_reader> m_body;
    http_request m_request;
    std::uint64_t m_declaredBytes = 0;
    bool m_keepAlive = false;
};

} // namespace marjoram
