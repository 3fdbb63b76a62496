#pragma once

#include "framework/global/failure.h"
#include "framework/global/identifiers.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace marjoram {

/// Creation time encoded in a key. Keys are version 7 UUIDs.
/// Errors: failure::key_malformed. Thread safe.
auto keyCreatedAtMs(std::string_view key) -> result<std::int64_t>;

/// Generates a key for a call whose caller sent none. Not thread safe: `random` belongs to the
/// duty.
auto generateKey(std::int64_t unixMs, random_source &random) -> std::string;

} // namespace marjoram
