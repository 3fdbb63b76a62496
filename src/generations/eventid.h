#pragma once

#include "framework/global/identifiers.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace marjoram {

/// Id of an event in a caller's stream, from which any entry can resume the stream.
struct event_id
{
    generation_id generation;
    /// Host of the agent that runs the generation.
    std::string host;
    /// Number of tokens delivered up to and including this event.
    std::uint64_t position = 0;
};

/// Formats an id as "generation-position-host". Thread safe.
auto toText(const event_id &id) -> std::string;
/// Inverse of toText; fails with identifier_error::malformed. Thread safe.
auto parseEventId(std::string_view text) -> result<event_id>;

} // namespace marjoram
