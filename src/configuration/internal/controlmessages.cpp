#include "configuration/controlmessages.h"

#include "framework/settings/objectreader.h"

#include <boost/json.hpp>
#include <charconv>

namespace marjoram {

namespace json = boost::json;

namespace {

constexpr int HEX = 16;

auto toHex(std::uint64_t value) -> std::string
{
    std::array<char, HEX> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, HEX).ptr;
    return {digits.data(), end};
}

auto fromHex(std::string_view text) -> std::uint64_t
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value, HEX);
    return value;
}

auto versionsOf(const std::array<std::uint64_t, DOCUMENT_COUNT> &versions) -> json::object
{
    json::object out;
    for (const auto &row : namesOf(document_kind{})) {
        out[row.name] = versions[static_cast<std::size_t>(row.value)];
    }
    return out;
}

auto readVersions(object_reader &from, std::array<std::uint64_t, DOCUMENT_COUNT> &out) -> void
{
    auto versions = from.object("versions");
    if (!versions) {
        return;
    }
    for (const auto &row : namesOf(document_kind{})) {
        out[static_cast<std::size_t>(row.value)]
            = static_cast<std::uint64_t>(versions->integer(row.name, {}));
    }
}

/// Parses a text and lets `read` fill in a message. Any fault makes the whole message invalid.
template <typename Message, typename Read>
auto parseMessage(std::string_view text, Read &&read) -> result<Message>
{
    document_faults faults;
    const json_document document(text, faults);
    if (!document.valid()) {
        return make_error_code(section_error::not_json);
    }
    auto root = document.root(faults);
    Message message;
    read(root, message);
    if (!faults.empty()) {
        return make_error_code(section_error::not_json);
    }
    return message;
}

} // namespace

auto toJson(const announce_message &message) -> std::string
{
    return json::serialize(json::object{{"versions", versionsOf(message.versions)},
                                        {"confirmed_ago_ms", message.confirmedAgoMs}});
}

auto toJson(const fetch_request &message) -> std::string
{
    json::array known;
    for (const auto hash : message.known) {
        known.emplace_back(toHex(hash));
    }
    return json::serialize(
        json::object{{"kind", nameOf(message.kind)}, {"known", std::move(known)}});
}

auto toJson(const fetch_reply &message) -> std::string
{
    json::array sections;
    for (const auto &section : message.document.sections) {
        sections.push_back(json::object{
            {"name", section.name}, {"hash", toHex(section.hash)}, {"text", section.text}});
    }
    return json::serialize(json::object{{"kind", nameOf(message.kind)},
                                        {"version", message.document.version},
                                        {"sections", std::move(sections)}});
}

auto toJson(const status_message &message) -> std::string
{
    json::array numbers;
    for (const auto &number : message.numbers) {
        numbers.push_back(json::object{{"name", number.name}, {"value", number.value}});
    }
    return json::serialize(json::object{{"host", message.host},
                                        {"role", message.role},
                                        {"versions", versionsOf(message.versions)},
                                        {"ready", message.ready},
                                        {"leaving", message.leaving},
                                        {"numbers", std::move(numbers)}});
}

auto parseAnnounce(std::string_view text) -> result<announce_message>
{
    return parseMessage<announce_message>(text, [](object_reader &root, announce_message &out) {
        readVersions(root, out.versions);
        out.confirmedAgoMs = root.integer("confirmed_ago_ms", {});
    });
}

auto parseFetchRequest(std::string_view text) -> result<fetch_request>
{
    return parseMessage<fetch_request>(text, [](object_reader &root, fetch_request &out) {
        out.kind = root.name<document_kind>("kind");
        for (const auto &hash : root.texts("known")) {
            out.known.push_back(fromHex(hash));
        }
    });
}

auto parseFetchReply(std::string_view text) -> result<fetch_reply>
{
    return parseMessage<fetch_reply>(text, [](object_reader &root, fetch_reply &out) {
        out.kind = root.name<document_kind>("kind");
        out.document.version = static_cast<std::uint64_t>(root.integer("version", {}));
        for (auto &section : root.objects("sections")) {
            out.document.sections.push_back({.name = section.text("name"),
                                             .hash = fromHex(section.text("hash")),
                                             .text = section.text("text")});
        }
    });
}

auto parseStatus(std::string_view text) -> result<status_message>
{
    return parseMessage<status_message>(text, [](object_reader &root, status_message &out) {
        out.host = root.text("host");
        out.role = root.text("role");
        readVersions(root, out.versions);
        out.ready = root.boolean("ready");
        out.leaving = root.boolean("leaving");
        for (auto &number : root.objects("numbers")) {
            out.numbers.push_back({.name = number.text("name"),
                                   .value = number.integer("value", {.least = INT64_MIN})});
        }
    });
}

} // namespace marjoram
