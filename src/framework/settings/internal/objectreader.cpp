#include "framework/settings/objectreader.h"

#include <boost/json.hpp>
#include <fstream>
#include <iterator>

namespace marjoram {

namespace json = boost::json;

auto toText(const document_fault &fault) -> std::string
{
    auto out = fault.path + ": " + std::string(nameOf(fault.error));
    if (!fault.detail.empty()) {
        out += " (" + fault.detail + ")";
    }
    return out;
}

object_reader::object_reader(const json::value &value, std::string path, document_faults &faults)
    : m_object(value.if_object())
    , m_path(std::move(path))
    , m_faults(&faults)
{
    if (!m_object) {
        m_faults->push_back({m_path, document_error::wrong_type, "an object is expected"});
    }
}

auto object_reader::has(std::string_view key) const -> bool
{
    return m_object && m_object->contains(key);
}

auto object_reader::childPath(std::string_view key) const -> std::string
{
    return m_path + "." + std::string(key);
}

auto object_reader::find(std::string_view key, bool required) -> const json::value *
{
    m_known.insert(std::string(key));
    const auto *value = m_object ? m_object->if_contains(key) : nullptr;
    if (!value && required && m_object) {
        fault(key, document_error::missing_key);
    }
    return value;
}

auto object_reader::fault(std::string_view key, document_error error, std::string detail) -> void
{
    m_faults->push_back({childPath(key), error, std::move(detail)});
}

auto object_reader::text(std::string_view key, std::optional<std::string> fallback) -> std::string
{
    const auto *value = find(key, !fallback);
    if (!value) {
        return fallback.value_or("");
    }
    if (!value->is_string()) {
        fault(key, document_error::wrong_type, "a string is expected");
        return "";
    }
    return std::string(value->get_string());
}

auto object_reader::integer(std::string_view key, number_range range,
                            std::optional<std::int64_t> fallback) -> std::int64_t
{
    const auto *value = find(key, !fallback);
    if (!value) {
        return fallback.value_or(range.least);
    }
    if (!value->is_int64() && !value->is_uint64()) {
        fault(key, document_error::wrong_type, "an integer is expected");
        return range.least;
    }
    const auto number = value->is_int64() ? value->get_int64() : INT64_MAX;
    if (number < range.least || number > range.most) {
        fault(key, document_error::out_of_range,
              std::to_string(range.least) + " to " + std::to_string(range.most));
        return range.least;
    }
    return number;
}

auto object_reader::fraction(std::string_view key, fraction_range range,
                             std::optional<double> fallback) -> double
{
    const auto *value = find(key, !fallback);
    if (!value) {
        return fallback.value_or(range.least);
    }
    if (!value->is_number()) {
        fault(key, document_error::wrong_type, "a number is expected");
        return range.least;
    }
    const auto number = value->to_number<double>();
    if (!(number >= range.least && number <= range.most)) {
        fault(key, document_error::out_of_range,
              std::to_string(range.least) + " to " + std::to_string(range.most));
        return range.least;
    }
    return number;
}

auto object_reader::boolean(std::string_view key, std::optional<bool> fallback) -> bool
{
    const auto *value = find(key, !fallback);
    if (!value) {
        return fallback.value_or(false);
    }
    if (!value->is_bool()) {
        fault(key, document_error::wrong_type, "true or false is expected");
        return false;
    }
    return value->get_bool();
}

auto object_reader::textsOf(const json::value &list, const std::string &path)
    -> std::vector<std::string>
{
    std::vector<std::string> out;
    if (!list.is_array()) {
        m_faults->push_back({path, document_error::wrong_type, "an array is expected"});
        return out;
    }
    for (const auto &element : list.get_array()) {
        if (!element.is_string()) {
            m_faults->push_back({path + "[" + std::to_string(out.size()) + "]",
                                 document_error::wrong_type, "a string is expected"});
            return out;
        }
        out.emplace_back(element.get_string());
    }
    return out;
}

auto object_reader::texts(std::string_view key) -> std::vector<std::string>
{
    const auto *value = find(key, true);
    return value ? textsOf(*value, childPath(key)) : std::vector<std::string>{};
}

auto object_reader::textLists(std::string_view key) -> std::vector<std::vector<std::string>>
{
    std::vector<std::vector<std::string>> out;
    const auto *value = find(key, true);
    if (!value) {
        return out;
    }
    if (!value->is_array()) {
        fault(key, document_error::wrong_type, "an array is expected");
        return out;
    }
    for (const auto &element : value->get_array()) {
        out.push_back(textsOf(element, childPath(key) + "[" + std::to_string(out.size()) + "]"));
    }
    return out;
}

auto object_reader::objects(std::string_view key, bool required) -> std::vector<object_reader>
{
    std::vector<object_reader> out;
    const auto *value = find(key, required);
    if (!value) {
        return out;
    }
    if (!value->is_array()) {
        fault(key, document_error::wrong_type, "an array is expected");
        return out;
    }
    for (const auto &element : value->get_array()) {
        const auto path = childPath(key) + "[" + std::to_string(out.size()) + "]";
        out.emplace_back(element, path, *m_faults);
    }
    return out;
}

auto object_reader::object(std::string_view key, bool required) -> std::optional<object_reader>
{
    const auto *value = find(key, required);
    if (!value) {
        return std::nullopt;
    }
    return object_reader(*value, childPath(key), *m_faults);
}

auto object_reader::finish() -> void
{
    if (!m_object) {
        return;
    }
    for (const auto &member : *m_object) {
        if (!m_known.contains(std::string_view(member.key()))) {
            fault(member.key(), document_error::unknown_key);
        }
    }
}

json_document::json_document(std::string_view text, document_faults &faults)
{
    boost::system::error_code error;
    auto value = json::parse(text, error);
    if (error) {
        faults.push_back({"$", document_error::malformed, error.message()});
        return;
    }
    m_value = new json::value(std::move(value));
}

json_document::~json_document()
{
    delete m_value;
}

auto json_document::root(document_faults &faults) const -> object_reader
{
    return {*m_value, "$", faults};
}

auto readFile(const std::string &path) -> result<std::string>
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return make_error_code(document_error::unreadable_file);
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

} // namespace marjoram
