#pragma once

#include "framework/global/failure.h"
#include "framework/global/identifiers.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace marjoram {

/// Time at which a key was minted, from the key itself: keys are UUIDs of version 7.
/// Errors: failure::key_malformed. Thread safe.
auto keyCreatedAtMs(std::string_view key) -> result<std::int64_t>;

/// Fresh key for a call whose caller gave none. Not thread safe: `random` belongs to the duty.
auto generateKey(std::int64_t unixMs, random_source &random) -> std::string;

} // namespace marjoram
