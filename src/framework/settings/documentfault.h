#pragma once

#include "framework/global/result.h"

#include <string>
#include <vector>

namespace marjoram {

/// What is wrong with one place of a JSON document.
enum class document_error {
    malformed = 1,
    missing_key,
    unknown_key,
    wrong_type,
    out_of_range,
    unknown_name,
    duplicate,
    dangling_reference,
    unreadable_file,
};
inline constexpr std::array documentErrorNames{
    enum_name<document_error>{document_error::malformed, "not valid JSON"},
    enum_name<document_error>{document_error::missing_key, "required key is missing"},
    enum_name<document_error>{document_error::unknown_key, "unknown key"},
    enum_name<document_error>{document_error::wrong_type, "wrong type"},
    enum_name<document_error>{document_error::out_of_range, "value out of range"},
    enum_name<document_error>{document_error::unknown_name, "unknown name"},
    enum_name<document_error>{document_error::duplicate, "duplicate"},
    enum_name<document_error>{document_error::dangling_reference, "refers to nothing"},
    enum_name<document_error>{document_error::unreadable_file, "file cannot be read"},
};
constexpr auto namesOf(document_error) -> const auto &
{
    return documentErrorNames;
}
constexpr auto categoryNameOf(document_error) -> const char *
{
    return "document";
}
inline auto make_error_code(document_error e) -> std::error_code
{
    return errorCode(e);
}

/// One fault and the JSON path at which it stands, such as `$.teams[2].weight`.
struct document_fault
{
    std::string path;
    document_error error = document_error::malformed;
    std::string detail;
};
using document_faults = std::vector<document_fault>;

/// "path: reason (detail)". Thread safe.
auto toText(const document_fault &fault) -> std::string;

} // namespace marjoram

MARJORAM_ERROR_ENUM(marjoram::document_error)
