#pragma once

#include "framework/http/httptypes.h"
#include "innerprotocol/frames.h"

#include <variant>
#include <vector>

namespace marjoram {

// --- from the links to decisions and configuration

/// A peer has said hello.
struct peer_up
{
    std::uint64_t linkId = 0;
    hello_frame hello;
};
/// A peer that had said hello is gone.
struct peer_down
{
    std::uint64_t linkId = 0;
    hello_frame hello;
};
/// A frame from a peer.
struct peer_frame
{
    std::uint64_t linkId = 0;
    frame message;
};
using link_event = std::variant<peer_up, peer_down, peer_frame>;

// --- to the links

/// Sends a frame; dropped when the link is gone.
struct send_frame
{
    std::uint64_t linkId = 0;
    frame message;
};
/// A process to keep a link to.
struct link_target
{
    std::string host;
    endpoint where;

    friend auto operator==(const link_target &, const link_target &) -> bool = default;
};
/// Replaces the set of processes to keep links to; other outbound links are closed.
struct set_targets
{
    std::vector<link_target> targets;
};
using link_command = std::variant<send_frame, set_targets>;

} // namespace marjoram
