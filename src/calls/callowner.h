#pragma once

#include "manifest/manifest.h"

#include <string>
#include <string_view>
#include <vector>

namespace marjoram {

/// Hosts of a placement in order of preference as owner of a key (rendezvous hashing). Depends only
/// on the placement, so processes with the same manifest agree. Thread safe.
auto ownersOf(const std::vector<std::string> &placement, std::string_view key)
    -> std::vector<std::string>;

/// Hosts other than `self` that were first owner of a key under an earlier placement, without
/// duplicates. Thread safe.
auto formerOwnersOf(const service_entry &service, std::string_view key, std::string_view self)
    -> std::vector<std::string>;

} // namespace marjoram
