#pragma once

#include "framework/settings/documentfault.h"

#include <boost/json/fwd.hpp>
#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace marjoram {

/// Smallest and largest value a number may have.
struct number_range
{
    std::int64_t least = 0;
    std::int64_t most = INT64_MAX;
};
struct fraction_range
{
    double least = 0.0;
    double most = 1.0;
};

/// Reads one JSON object key by key and notes every fault with its path.
/// Not thread safe. Precondition: the value and the fault list outlive the reader.
class object_reader
{
public:
    object_reader(const boost::json::value &value, std::string path, document_faults &faults);

    /// Whether the key is there at all.
    auto has(std::string_view key) const -> bool;
    auto text(std::string_view key, std::optional<std::string> fallback = {}) -> std::string;
    auto integer(std::string_view key, number_range range,
                 std::optional<std::int64_t> fallback = {}) -> std::int64_t;
    auto fraction(std::string_view key, fraction_range range, std::optional<double> fallback = {})
        -> double;
    auto boolean(std::string_view key, std::optional<bool> fallback = {}) -> bool;
    auto texts(std::string_view key) -> std::vector<std::string>;
    /// Name of an enumerator; faults list the names that exist.
    template <named_enum E>
    auto name(std::string_view key, std::optional<E> fallback = {}) -> E
    {
        if (!has(key) && fallback) {
            m_known.insert(std::string(key));
            return *fallback;
        }
        const auto text = this->text(key);
        const auto parsed = parseName<E>(text);
        if (!parsed && has(key)) {
            fault(key, document_error::unknown_name, text);
        }
        return parsed.value_or(E{});
    }
    /// Element values of an array of objects; empty and a fault when it is none.
    auto objects(std::string_view key, bool required = true) -> std::vector<object_reader>;
    /// Nested object; nothing when absent and not required.
    auto object(std::string_view key, bool required = true) -> std::optional<object_reader>;
    /// Arrays of texts within an array.
    auto textLists(std::string_view key) -> std::vector<std::vector<std::string>>;

    /// Notes a fault at a key of this object.
    auto fault(std::string_view key, document_error error, std::string detail = {}) -> void;
    /// Notes every key that nobody asked for. Call last.
    auto finish() -> void;
    auto path() const -> const std::string & { return m_path; }

private:
    auto find(std::string_view key, bool required) -> const boost::json::value *;
    auto childPath(std::string_view key) const -> std::string;
    auto textsOf(const boost::json::value &list, const std::string &path)
        -> std::vector<std::string>;

    const boost::json::object *m_object = nullptr;
    std::string m_path;
    document_faults *m_faults;
    std::set<std::string, std::less<>> m_known;
};

/// Owner of a parsed document, so that callers need not know the JSON library.
class json_document
{
public:
    /// Parses; check faults() before use. Errors: document_error::malformed.
    json_document(std::string_view text, document_faults &faults);
    ~json_document();
    json_document(const json_document &) = delete;
    auto operator=(const json_document &) -> json_document & = delete;

    auto valid() const -> bool { return m_value != nullptr; }
    /// Precondition: valid().
    auto root(document_faults &faults) const -> object_reader;

private:
    boost::json::value *m_value = nullptr;
};

/// Whole content of a file. Errors: document_error::unreadable_file.
auto readFile(const std::string &path) -> result<std::string>;

} // namespace marjoram
