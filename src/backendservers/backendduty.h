#pragma once

#include "backendservers/backendevents.h"
#include "framework/http/httptypes.h"
#include "framework/tracing/spanduty.h"
#include "manifest/manifest.h"

#include <memory>

namespace marjoram {

/// Options of the connection to a backend server.
struct backend_options
{
    backend_server_kind kind = backend_server_kind::engine;
    endpoint where;
    /// A running generation fails when its engine sends nothing for this long.
    std::uint32_t stallTimeoutMs = 10'000;
    std::uint32_t loadIntervalMs = 500;
};

/// Duty that exchanges HTTP messages with the agent's backend server. It makes no decisions: it
/// executes backend_command and reports backend_event.
class backend_duty
{
public:
    /// Preconditions: all references outlive the duty.
    backend_duty(backend_options options, backend_rings &rings, ring<span> &spans);
    ~backend_duty();

    auto start() -> void;
    auto stop() -> void;

    // --- called by the ring reader on the duty's thread

    auto handle(backend_command &&command) -> void;

private:
    struct impl;

    std::unique_ptr<impl> m_impl;
};

} // namespace marjoram
