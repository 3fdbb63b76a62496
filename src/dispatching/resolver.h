#pragma once

#include "callers/callerevents.h"
#include "manifest/manifest.h"

namespace marjoram {

/// Checks a caller's generation against the manifest and fills in team, rank, model, adapter and
/// token limit. Errors: failure::unauthenticated, rank_not_allowed, unknown_model, too_large,
/// malformed_request. Thread safe.
auto resolveGeneration(const manifest &current, const open_generation &open)
    -> result<generation_request>;

/// Checks a call against the manifest and returns the caller's team. Errors:
/// failure::unauthenticated, unknown_service, rank_not_allowed. Thread safe.
auto resolveCall(const manifest &current, const open_call &open) -> result<const team_entry *>;

} // namespace marjoram
