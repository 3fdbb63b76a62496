#pragma once

#include "framework/global/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace marjoram {

/// Documents that are published by the platform and exchanged between processes.
enum class document_kind { manifest, hosts };
inline constexpr std::array documentKindNames{
    enum_name<document_kind>{document_kind::manifest, "manifest"},
    enum_name<document_kind>{document_kind::hosts, "hosts"},
};
constexpr auto namesOf(document_kind) -> const auto &
{
    return documentKindNames;
}
inline constexpr std::size_t DOCUMENT_COUNT = documentKindNames.size();

/// Part of a document, identified by the hash of its name and text.
struct document_section
{
    std::string name;
    std::uint64_t hash = 0;
    /// JSON text. Empty if only the hash is sent.
    std::string text;
};

/// A document split into sections, so that a change of one entry changes only one small section.
struct sectioned_document
{
    std::uint64_t version = 0;
    /// Sorted by name.
    std::vector<document_section> sections;
};

/// Why a document could not be split or composed.
enum class section_error { not_json = 1, no_version, hash_mismatch, missing_section };
inline constexpr std::array sectionErrorNames{
    enum_name<section_error>{section_error::not_json, "not a JSON object"},
    enum_name<section_error>{section_error::no_version, "no version"},
    enum_name<section_error>{section_error::hash_mismatch, "content does not match its hash"},
    enum_name<section_error>{section_error::missing_section, "a section is missing"},
};
constexpr auto namesOf(section_error) -> const auto &
{
    return sectionErrorNames;
}
constexpr auto categoryNameOf(section_error) -> const char *
{
    return "document sections";
}
inline auto make_error_code(section_error e) -> std::error_code
{
    return errorCode(e);
}

/// Splits the JSON text of a document into sections. Thread safe.
auto splitDocument(std::string_view text) -> result<sectioned_document>;
/// Composes the JSON text of a document. Equal sections give equal text. Thread safe.
auto composeDocument(const sectioned_document &document) -> result<std::string>;
/// Copy of `whole` without the texts of the sections whose hashes are in `known`. Thread safe.
auto changedSections(const sectioned_document &whole, const std::vector<std::uint64_t> &known)
    -> sectioned_document;
/// Fills in the missing texts of `changed` from the sections of `base` with the same hash.
/// Errors: section_error::missing_section. Thread safe.
auto mergeSections(const sectioned_document &base, sectioned_document changed)
    -> result<sectioned_document>;

} // namespace marjoram

MARJORAM_ERROR_ENUM(marjoram::section_error)
