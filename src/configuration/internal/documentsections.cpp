#include "configuration/documentsections.h"

#include "framework/global/identifiers.h"

#include <algorithm>
#include <boost/json.hpp>
#include <unordered_map>

namespace marjoram {

namespace json = boost::json;

namespace {

constexpr std::string_view VERSION_KEY = "version";
constexpr char BUCKET_SEPARATOR = '#';
/// Arrays longer than this are split into buckets by the hash of their elements' ids.
constexpr std::size_t BUCKET_THRESHOLD = 16;
constexpr std::size_t BUCKET_COUNT = 32;

auto elementId(const json::value &element) -> std::string
{
    if (const auto *object = element.if_object()) {
        for (const auto *key : {"name", "host"}) {
            if (const auto *name = object->if_contains(key)) {
                return json::serialize(*name);
            }
        }
    }
    return json::serialize(element);
}

auto addSection(sectioned_document &out, std::string name, const json::value &value) -> void
{
    auto text = json::serialize(value);
    const auto hash = stableHash(text, stableHash(name));
    out.sections.push_back({.name = std::move(name), .hash = hash, .text = std::move(text)});
}

auto addBuckets(sectioned_document &out, const std::string &name, const json::array &elements)
    -> void
{
    std::vector<json::array> buckets(BUCKET_COUNT);
    for (const auto &element : elements) {
        buckets[stableHash(elementId(element)) % BUCKET_COUNT].push_back(element);
    }
    for (std::size_t i = 0; i < BUCKET_COUNT; ++i) {
        if (!buckets[i].empty()) {
            addSection(out, name + BUCKET_SEPARATOR + std::to_string(i), std::move(buckets[i]));
        }
    }
}

} // namespace

auto splitDocument(std::string_view text) -> result<sectioned_document>
{
    boost::system::error_code error;
    const auto value = json::parse(text, error);
    if (error || !value.is_object()) {
        return make_error_code(section_error::not_json);
    }
    sectioned_document out;
    const auto &root = value.get_object();
    const auto *version = root.if_contains(VERSION_KEY);
    if (!version || !version->is_int64() || version->get_int64() <= 0) {
        return make_error_code(section_error::no_version);
    }
    out.version = static_cast<std::uint64_t>(version->get_int64());
    for (const auto &member : root) {
        const std::string name(member.key());
        const auto *array = member.value().if_array();
        if (array && array->size() > BUCKET_THRESHOLD) {
            addBuckets(out, name, *array);
        } else {
            addSection(out, name, member.value());
        }
    }
    const auto byName
        = [](const document_section &a, const document_section &b) { return a.name < b.name; };
    std::sort(out.sections.begin(), out.sections.end(), byName);
    return out;
}

auto composeDocument(const sectioned_document &document) -> result<std::string>
{
    json::object root;
    for (const auto &section : document.sections) {
        if (stableHash(section.text, stableHash(section.name)) != section.hash) {
            return make_error_code(section_error::hash_mismatch);
        }
        boost::system::error_code error;
        auto value = json::parse(section.text, error);
        if (error) {
            return make_error_code(section_error::not_json);
        }
        const auto separator = section.name.find(BUCKET_SEPARATOR);
        if (separator == std::string::npos) {
            root[section.name] = std::move(value);
            continue;
        }
        auto &array = root[section.name.substr(0, separator)];
        if (!array.is_array()) {
            array = json::array{};
        }
        for (auto &element : value.as_array()) {
            array.get_array().push_back(std::move(element));
        }
    }
    return json::serialize(root);
}

auto changedSections(const sectioned_document &whole, const std::vector<std::uint64_t> &known)
    -> sectioned_document
{
    auto out = whole;
    for (auto &section : out.sections) {
        if (std::find(known.begin(), known.end(), section.hash) != known.end()) {
            section.text.clear();
        }
    }
    return out;
}

auto mergeSections(const sectioned_document &base, sectioned_document changed)
    -> result<sectioned_document>
{
    std::unordered_map<std::uint64_t, const document_section *> known;
    for (const auto &section : base.sections) {
        known.emplace(section.hash, &section);
    }
    for (auto &section : changed.sections) {
        if (!section.text.empty()) {
            continue;
        }
        const auto found = known.find(section.hash);
        if (found == known.end()) {
            return make_error_code(section_error::missing_section);
        }
        section.text = found->second->text;
    }
    return changed;
}

} // namespace marjoram
