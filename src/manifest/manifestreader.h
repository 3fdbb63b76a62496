#pragma once

#include "framework/settings/documentfault.h"
#include "manifest/manifest.h"

#include <string_view>

namespace marjoram {

/// Size of the largest manifest that the configuration service can store.
inline constexpr std::size_t MANIFEST_LIMIT_BYTES = 1024 * 1024;

/// Parses and validates a manifest. Returns null and adds all faults if it is invalid. Thread safe.
auto readManifest(std::string_view text, document_faults &faults) -> manifest_ptr;

} // namespace marjoram
