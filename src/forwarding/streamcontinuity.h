#pragma once

#include "forwarding/forwardtypes.h"
#include "forwarding/requeststate.h"

#include <string>
#include <vector>

namespace marjoram {

/// Result of mergeEvents().
struct merged_events
{
    /// Bytes for the caller; repeated events are left out.
    std::string bytes;
    /// The run does not continue the stream of the one before it: events in between are missing.
    bool gap = false;
};

/// Adds the events of a run to the stream that the caller gets: in order, none twice, none missing
/// after a move or a repeat. Stops at a gap. Precondition: the events belong to the request's
/// present run.
inline auto mergeEvents(request_state &request, const std::vector<stream_event> &events)
    -> merged_events
{
    merged_events out;
    for (const auto &event : events) {
        const auto repeated
            = event.id ? *event.id <= request.lastEvent : request.awaitsContinuation();
        if (repeated) {
            continue;
        }
        const auto idStep = event.id ? *event.id - request.lastEvent : 0;
        if (!request.awaitsContinuation()) {
            request.longestIdStep = std::max(request.longestIdStep, idStep);
        } else if (idStep > request.longestIdStep) {
            out.gap = true;
            return out;
        }
        request.lastEvent = event.id.value_or(request.lastEvent);
        ++request.eventsDelivered;
        ++request.run.forwardedEvents;
        out.bytes += event.bytes;
    }
    return out;
}

} // namespace marjoram
