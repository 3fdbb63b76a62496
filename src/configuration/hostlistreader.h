#pragma once

#include "framework/settings/documentfault.h"
#include "membership/hostlist.h"

#include <optional>
#include <string_view>

namespace marjoram {

/// Parses the platform's host list. Returns nothing if it is invalid and adds each fault to
/// `faults`. Thread safe.
auto readHostList(std::string_view text, document_faults &faults) -> std::optional<host_list>;

} // namespace marjoram
