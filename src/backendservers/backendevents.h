#pragma once

#include "admission/enginetypes.h"
#include "calls/servicecore.h"
#include "framework/ring/ring.h"
#include "orders/engineorder.h"

#include <string>
#include <variant>
#include <vector>

namespace marjoram {

// --- commands to the backend server duty

struct start_engine_job
{
    engine_job job;
};
struct stop_engine_job
{
    std::uint64_t serial = 0;
};
struct pause_engine_job
{
    std::uint64_t serial = 0;
};
struct resume_engine_job
{
    std::uint64_t serial = 0;
};
struct call_service
{
    service_job job;
};
/// Sends an order that changes which models the engine has loaded.
struct send_engine_order
{
    engine_order order;
    /// Latest time to send the order. It is dropped after that, for example when the process was
    /// suspended.
    time_us validUntil;
};
using backend_command = std::variant<start_engine_job, stop_engine_job, pause_engine_job,
                                     resume_engine_job, call_service, send_engine_order>;

// --- events from the backend server duty

struct engine_tokens
{
    std::uint64_t serial = 0;
    std::vector<std::string> tokens;
};
/// The end of a generation, with its last tokens.
struct engine_job_finished
{
    std::uint64_t serial = 0;
    std::vector<std::string> tokens;
    finish_reason reason = finish_reason::stop;
};
struct engine_job_failed
{
    std::uint64_t serial = 0;
};
struct engine_load_reported
{
    engine_load load;
};
/// Prompt prefixes added to or evicted from the engine's cache. Events may be late or missing.
struct engine_cache_changed
{
    std::vector<std::uint64_t> cached;
    std::vector<std::uint64_t> evicted;
};
struct service_answered
{
    std::uint64_t serial = 0;
    call_answer answer;
};
struct service_failed
{
    std::uint64_t serial = 0;
    run_state ran = run_state::unknown;
};
/// The outcome of an order.
struct order_ended
{
    engine_order order;
    order_outcome outcome = order_outcome::failed;
};
using backend_event
    = std::variant<engine_tokens, engine_job_finished, engine_job_failed, engine_load_reported,
                   engine_cache_changed, service_answered, service_failed, order_ended>;

/// Rings between the backend server duty and the admission duty.
struct backend_rings
{
    static constexpr std::size_t CAPACITY = 16'384;

    ring<backend_command> fromDecisions{CAPACITY};
    ring<backend_event> toDecisions{CAPACITY};
};

} // namespace marjoram
