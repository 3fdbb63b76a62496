#include "framework/http/httptypes.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <charconv>

namespace marjoram {

auto findHeader(const std::vector<http_header> &headers, std::string_view name) -> std::string_view
{
    for (const auto &field : headers) {
        if (boost::algorithm::iequals(field.name, name)) {
            return field.value;
        }
    }
    return {};
}

auto isPlainToken(std::string_view text) -> bool
{
    constexpr std::size_t LIMIT_BYTES = 1'024;
    constexpr char FIRST_VISIBLE = '!';
    constexpr char LAST_VISIBLE = '~';
    return !text.empty() && text.size() <= LIMIT_BYTES
           && std::all_of(text.begin(), text.end(),
                          [](char one) { return one >= FIRST_VISIBLE && one <= LAST_VISIBLE; });
}

auto http_request::header(std::string_view name) const -> std::string_view
{
    return findHeader(headers, name);
}

auto http_request::path() const -> std::string_view
{
    const std::string_view whole(target);
    return whole.substr(0, whole.find('?'));
}

auto http_request::query(std::string_view name) const -> std::string_view
{
    std::string_view rest(target);
    const auto mark = rest.find('?');
    rest = mark == std::string_view::npos ? std::string_view{} : rest.substr(mark + 1);
    while (!rest.empty()) {
        const auto one = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), one.size() + 1));
        if (one.size() > name.size() && one.starts_with(name) && one[name.size()] == '=') {
            return one.substr(name.size() + 1);
        }
    }
    return {};
}

auto toText(const endpoint &where) -> std::string
{
    return where.address + ":" + std::to_string(where.port);
}

auto parseEndpoint(std::string_view text) -> result<endpoint>
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return make_error_code(endpoint_error::malformed);
    }
    endpoint out;
    const auto portText = text.substr(colon + 1);
    const auto parsed
        = std::from_chars(portText.data(), portText.data() + portText.size(), out.port);
    boost::system::error_code error;
    // A parsed address ends at a NUL; its canonical text does not keep what follows.
    const auto address
        = boost::asio::ip::make_address_v4(std::string(text.substr(0, colon)), error);
    out.address = address.to_string();
    if (error || parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size()) {
        return make_error_code(endpoint_error::malformed);
    }
    return out;
}

} // namespace marjoram
