#pragma once

#include "agent/admissionduty.h"
#include "callers/callersduty.h"
#include "configuration/configurationduty.h"
#include "entry/dispatchduty.h"
#include "framework/settings/documentfault.h"

#include <optional>
#include <string>
#include <string_view>

namespace marjoram {

/// Settings that every process has.
struct common_settings
{
    std::string host;
    std::string dataCentre;
    endpoint innerListen;
    endpoint configurationService;
    endpoint hostList;
    std::string traceOutput;
};

/// Settings of an entry.
struct entry_settings
{
    common_settings common;
    callers_options callers;
    /// Overrides the budget that the memory limit of the process gives; 0: no bound.
    std::optional<std::uint64_t> bodyBudgetBytes;
    dispatch_options dispatch;
    link_target_options targets;
    /// Time for the balancer to notice /readyz before new requests are refused.
    std::uint32_t balancerDelayMs = 0;
};

/// Settings of an agent.
struct agent_settings
{
    common_settings common;
    endpoint adminListen;
    backend_options backend;
    admission_duty_options admission;
};

/// Reads settings; nothing with every fault noted. Thread safe.
auto readEntrySettings(std::string_view text, document_faults &faults)
    -> std::optional<entry_settings>;
auto readAgentSettings(std::string_view text, document_faults &faults)
    -> std::optional<agent_settings>;

} // namespace marjoram
