#pragma once

#include "configuration/processstate.h"
#include "framework/http/httptypes.h"
#include "framework/metrics/metricssource.h"

#include <memory>
#include <vector>

namespace marjoram {

/// Duty that answers /healthz, /readyz and /metrics where no callers are served.
class admin_duty
{
public:
    /// Precondition: `state` and all sources outlive the duty.
    admin_duty(endpoint listen, process_state &state, std::vector<metrics_source> sources);
    ~admin_duty();

    /// Opens the listener. Errors: those of the socket calls. Call before start().
    auto listen() -> result<endpoint>;
    auto start() -> void;
    /// See duty::requestStop().
    auto requestStop() -> void;
    auto stop() -> void;

private:
    struct impl;

    std::unique_ptr<impl> m_impl;
};

} // namespace marjoram
