#pragma once

#include "configuration/documentsections.h"

#include <string>
#include <vector>

namespace marjoram {

/// Methods that processes call on each other over JSON-RPC.
enum class control_method { announce, fetch, status };
inline constexpr std::array controlMethodNames{
    enum_name<control_method>{control_method::announce, "announce"},
    enum_name<control_method>{control_method::fetch, "fetch"},
    enum_name<control_method>{control_method::status, "status"},
};
constexpr auto namesOf(control_method) -> const auto &
{
    return controlMethodNames;
}

/// Request and result of `announce`: the document versions in force at a process.
struct announce_message
{
    std::array<std::uint64_t, DOCUMENT_COUNT> versions{};
    /// Time since the configuration service was last read successfully by any process, as far as
    /// the sender knows.
    std::int64_t confirmedAgoMs = 0;
};

/// Request of `fetch`: the hashes of the sections that the requester has.
struct fetch_request
{
    document_kind kind = document_kind::manifest;
    std::vector<std::uint64_t> known;
};

/// Result of `fetch`: all sections, but with the text only of those that the requester lacks.
struct fetch_reply
{
    document_kind kind = document_kind::manifest;
    sectioned_document document;
};

/// Named number in a `status` reply.
struct status_number
{
    std::string name;
    std::int64_t value = 0;
};

/// Result of `status`.
struct status_message
{
    std::string host;
    std::string role;
    std::array<std::uint64_t, DOCUMENT_COUNT> versions{};
    bool ready = false;
    bool leaving = false;
    std::vector<status_number> numbers;
};

/// Serialises a message. Thread safe.
auto toJson(const announce_message &message) -> std::string;
auto toJson(const fetch_request &message) -> std::string;
auto toJson(const fetch_reply &message) -> std::string;
auto toJson(const status_message &message) -> std::string;

/// Parses a message. Errors: section_error::not_json. Thread safe.
auto parseAnnounce(std::string_view text) -> result<announce_message>;
auto parseFetchRequest(std::string_view text) -> result<fetch_request>;
auto parseFetchReply(std::string_view text) -> result<fetch_reply>;
auto parseStatus(std::string_view text) -> result<status_message>;

} // namespace marjoram
