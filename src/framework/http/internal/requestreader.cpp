#include "framework/http/requestreader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>

namespace marjoram {

auto request_reader::feed(std::string_view bytes) -> result<std::size_t>
{
    std::size_t used = 0;
    if (!m_body) {
        const auto head = m_head.scan(bytes);
        if (!head) {
            return head.error();
        }
        if (head->size == 0) {
            return std::size_t{0};
        }
        if (const auto error = parseHead(bytes.substr(head->begin, head->size))) {
            return error;
        }
        used = head->begin + head->size;
    }
    const auto content = m_body->feed(bytes.substr(used), m_request.body);
    if (!content) {
        return content.error();
    }
    return used + *content;
}

auto request_reader::parseHead(std::string_view head) -> std::error_code
{
    namespace http = boost::beast::http;
    http::request_parser<http::empty_body> parser;
    // The size has been checked. A declared length is checked by the body reader.
    parser.header_limit(static_cast<std::uint32_t>(head.size() + 1));
    parser.body_limit(boost::none);
    boost::beast::error_code error;
    parser.put(boost::asio::buffer(head.data(), head.size()), error);
    if (error || !parser.is_header_done()) {
        return make_error_code(message_fault::malformed);
    }
    const auto &message = parser.get();
    m_request.method = std::string(message.method_string());
    m_request.target = std::string(message.target());
    for (const auto &field : message) {
        m_request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    m_keepAlive = message.keep_alive();
    const auto framing = framingOf(m_request.headers);
    if (!framing) {
        return framing.error();
    }
    m_body.emplace(*framing, m_limits, head.size());
    if (framing->length <= m_limits.bodyBytes) {
        m_declaredBytes = framing->length;
        m_request.body.reserve(m_declaredBytes);
    }
    return {};
}

} // namespace marjoram
