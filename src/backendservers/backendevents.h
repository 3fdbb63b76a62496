#pragma once

#include "admission/enginetypes.h"
#include "calls/servicecore.h"
#include "framework/ring/ring.h"
#include "orders/engineorder.h"

#include <string>
#include <variant>
#include <vector>

namespace marjoram {

// --- from decisions to the backend server

struct start_engine
{
    engine_job job;
};
struct stop_engine
{
    std::uint64_t serial = 0;
};
struct pause_engine
{
    std::uint64_t serial = 0;
};
struct resume_engine
{
    std::uint64_t serial = 0;
};
struct call_service
{
    service_job job;
};
/// An order that changes what an engine holds.
struct order_engine
{
    engine_order order;
    /// The order is dropped when it cannot be sent before, as after a pause of the process.
    time_us validUntil;
};
using backend_command = std::variant<start_engine, stop_engine, pause_engine, resume_engine,
                                     call_service, order_engine>;

// --- from the backend server to decisions

struct engine_tokens
{
    std::uint64_t serial = 0;
    std::vector<std::string> tokens;
};
/// The end of a generation, with the tokens that came with it.
struct engine_finished
{
    std::uint64_t serial = 0;
    std::vector<std::string> tokens;
    finish_reason reason = finish_reason::stop;
};
struct engine_failed
{
    std::uint64_t serial = 0;
};
struct engine_load_reported
{
    engine_load load;
};
/// Prompt prefixes that entered or left the engine's cache; late and with gaps.
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
/// How an order ended.
struct order_ended
{
    engine_order order;
    order_outcome outcome = order_outcome::failed;
};
using backend_event
    = std::variant<engine_tokens, engine_finished, engine_failed, engine_load_reported,
                   engine_cache_changed, service_answered, service_failed, order_ended>;

/// Rings that join the backend server's duty with decisions.
struct backend_rings
{
    static constexpr std::size_t CAPACITY = 16'384;

    ring<backend_command> fromDecisions{CAPACITY};
    ring<backend_event> toDecisions{CAPACITY};
};

} // namespace marjoram
