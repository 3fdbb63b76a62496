#pragma once

#include "framework/global/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace marjoram {

/// One header field.
struct http_header
{
    std::string name;
    std::string value;
};

/// Value of the first field of a name, compared without case; empty when absent. Thread safe.
auto findHeader(const std::vector<http_header> &headers, std::string_view name) -> std::string_view;

/// Whether a text from outside may stand in a header field or a target: visible ASCII characters
/// only, not empty and not longer than 1,024 bytes. Thread safe.
auto isPlainToken(std::string_view text) -> bool;

/// A request, as received or to be sent.
struct http_request
{
    std::string method = "GET";
    std::string target = "/";
    std::vector<http_header> headers;
    std::string body;

    /// Value of a field, compared without case; empty when absent.
    auto header(std::string_view name) const -> std::string_view;
    /// Target without its query.
    auto path() const -> std::string_view;
    /// Value of a query parameter; empty when absent. Percent-encoding is left as it is.
    auto query(std::string_view name) const -> std::string_view;
};

/// A whole response.
struct http_response
{
    int status = 200;
    std::string contentType = "application/json";
    std::vector<http_header> headers;
    std::string body;
};

/// How far an exchange got; only `connecting` proves that the peer saw nothing of it.
enum class fetch_phase { connecting, writing, reading, finished };
inline constexpr std::array fetchPhaseNames{
    enum_name<fetch_phase>{fetch_phase::connecting, "connecting"},
    enum_name<fetch_phase>{fetch_phase::writing, "writing"},
    enum_name<fetch_phase>{fetch_phase::reading, "reading"},
    enum_name<fetch_phase>{fetch_phase::finished, "finished"},
};
constexpr auto namesOf(fetch_phase) -> const auto &
{
    return fetchPhaseNames;
}

/// What the receiver of a body does with it.
enum class body_verdict { take, refuse };
inline constexpr std::array bodyVerdictNames{
    enum_name<body_verdict>{body_verdict::take, "take"},
    enum_name<body_verdict>{body_verdict::refuse, "refuse"},
};
constexpr auto namesOf(body_verdict) -> const auto &
{
    return bodyVerdictNames;
}

/// Largest number of bytes that a client buffers and cannot parse yet, such as a chunk's header.
inline constexpr std::size_t UNPARSED_LIMIT_BYTES = 64 * 1024;

/// What a status code says of the message that bears it.
enum class status_kind { interim, final, invalid };
inline constexpr std::array statusKindNames{
    enum_name<status_kind>{status_kind::interim, "interim"},
    enum_name<status_kind>{status_kind::final, "final"},
    enum_name<status_kind>{status_kind::invalid, "invalid"},
};
constexpr auto namesOf(status_kind) -> const auto &
{
    return statusKindNames;
}
/// Interim responses precede the final one, which alone answers the request; a client that asks for
/// no other protocol gets no 101. Thread safe.
constexpr auto statusKindOf(unsigned status) -> status_kind
{
    constexpr unsigned FIRST_INTERIM = 100;
    constexpr unsigned SWITCHING_PROTOCOLS = 101;
    constexpr unsigned FIRST_FINAL = 200;
    constexpr unsigned LAST_FINAL = 599;
    if (status >= FIRST_FINAL && status <= LAST_FINAL) {
        return status_kind::final;
    }
    return status >= FIRST_INTERIM && status < FIRST_FINAL && status != SWITCHING_PROTOCOLS
               ? status_kind::interim
               : status_kind::invalid;
}

/// Why a client closed the connection in the middle of a response.
enum class response_error { refused = 1, too_much_skipped, invalid_status };
inline constexpr std::array responseErrorNames{
    enum_name<response_error>{response_error::refused, "response refused by its receiver"},
    enum_name<response_error>{response_error::too_much_skipped,
                              "too many bytes that belong to no request"},
    enum_name<response_error>{response_error::invalid_status, "status that no response has"},
};
constexpr auto namesOf(response_error) -> const auto &
{
    return responseErrorNames;
}
constexpr auto categoryNameOf(response_error) -> const char *
{
    return "response";
}
inline auto make_error_code(response_error e) -> std::error_code
{
    return errorCode(e);
}

/// Address of a TCP listener by IP number.
struct endpoint
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;

    friend auto operator==(const endpoint &, const endpoint &) -> bool = default;
};

/// "address:port". Thread safe.
auto toText(const endpoint &where) -> std::string;

/// Why an address was refused.
enum class endpoint_error { malformed = 1 };
inline constexpr std::array endpointErrorNames{
    enum_name<endpoint_error>{endpoint_error::malformed, "not of the form IP:PORT"}};
constexpr auto namesOf(endpoint_error) -> const auto &
{
    return endpointErrorNames;
}
constexpr auto categoryNameOf(endpoint_error) -> const char *
{
    return "endpoint";
}
inline auto make_error_code(endpoint_error e) -> std::error_code
{
    return errorCode(e);
}

/// Parses "IP:PORT" with an IPv4 number. Thread safe.
auto parseEndpoint(std::string_view text) -> result<endpoint>;

} // namespace marjoram

MARJORAM_ERROR_ENUM(marjoram::endpoint_error)
MARJORAM_ERROR_ENUM(marjoram::response_error)
