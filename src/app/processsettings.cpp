#include "app/processsettings.h"

#include "framework/http/endpointsetting.h"
#include "framework/settings/objectreader.h"

namespace marjoram {

namespace {

constexpr std::int64_t HOUR_MS = 3'600'000;
constexpr std::int64_t MOST_COUNT = 10'000'000;
constexpr std::int64_t MOST_BUDGET_BYTES = std::int64_t{1} << 40;
constexpr std::int64_t MOST_TOKENS = 1'000'000'000;

/// Reads an optional number into `value`, whose present content is the default.
auto readNumber(object_reader &from, std::string_view key, auto &value, number_range range) -> void
{
    using type = std::remove_reference_t<decltype(value)>;
    value = static_cast<type>(from.integer(key, range, static_cast<std::int64_t>(value)));
}

/// Reads an optional number of milliseconds into microseconds.
auto readMs(object_reader &from, std::string_view key, std::int64_t &us) -> void
{
    us = US_PER_MS * from.integer(key, {.least = 1, .most = HOUR_MS}, us / US_PER_MS);
}

auto readCommon(object_reader &from) -> common_settings
{
    common_settings out{.host = from.text("host"),
                        .dataCentre = from.text("data_centre"),
                        .innerListen = readEndpoint(from, "inner_listen"),
                        .configurationService = readEndpoint(from, "configuration_service"),
                        .hostList = readEndpoint(from, "host_list"),
                        .traceOutput = from.text("trace_output", "")};
    if (out.host.empty() && from.has("host")) {
        from.fault("host", document_error::out_of_range, "empty");
    }
    return out;
}

auto readEngineOptions(object_reader &from, engine_core_options &out) -> void
{
    const number_range count{.least = 1, .most = MOST_COUNT};
    readMs(from, "grant_timeout_ms", out.grantTimeoutUs);
    readMs(from, "keep_ms", out.keepUs);
    readMs(from, "urgent_patience_ms", out.urgentPatienceUs);
    readMs(from, "engine_backoff_ms", out.engineBackoffUs);
    readMs(from, "step_limit_ms", out.admission.stepLimitUs);
    readNumber(from, "waiting_limit", out.waitingLimit, count);
    readNumber(from, "finished_limit", out.finishedLimit, count);
    readNumber(from, "unsent_limit_tokens", out.unsentLimit, count);
    readNumber(from, "assumed_capacity_tokens", out.admission.assumedCapacityTokens,
               {.least = 64, .most = MOST_TOKENS});
    out.admission.urgentReserve
        = from.fraction("urgent_reserve", {.least = 0.0, .most = 0.9}, out.admission.urgentReserve);
}

auto readServiceOptions(object_reader &from, service_core_options &out) -> void
{
    const number_range count{.least = 1, .most = MOST_COUNT};
    readNumber(from, "concurrency", out.concurrency, count);
    readNumber(from, "call_waiting_limit", out.waitingLimit, count);
    readNumber(from, "key_retention_ms", out.ledger.retentionMs,
               {.least = 1'000, .most = 24 * HOUR_MS});
    readNumber(from, "clock_skew_ms", out.ledger.clockSkewMs, {.least = 0, .most = HOUR_MS});
}

} // namespace

auto readEntrySettings(std::string_view text, document_faults &faults)
    -> std::optional<entry_settings>
{
    const json_document document(text, faults);
    if (!document.valid()) {
        return std::nullopt;
    }
    const number_range count{.least = 1, .most = MOST_COUNT};
    auto root = document.root(faults);
    entry_settings out{.common = readCommon(root)};
    out.callers.listen = readEndpoint(root, "callers_listen");
    readNumber(root, "connections", out.callers.connections, count);
    readNumber(root, "body_limit_bytes", out.callers.bodyBytes,
               {.least = 1'024, .most = 64 * 1'024 * 1'024});
    readNumber(root, "request_timeout_ms", out.callers.requestTimeoutMs,
               {.least = 10, .most = HOUR_MS});
    constexpr std::int64_t UNSET = -1;
    const auto budget
        = root.integer("body_budget_bytes", {.least = 0, .most = MOST_BUDGET_BYTES}, UNSET);
    if (budget != UNSET) {
        out.bodyBudgetBytes = static_cast<std::uint64_t>(budget);
    }
    out.dispatch.generations.dataCentre = out.common.dataCentre;
    readNumber(root, "window_tokens", out.dispatch.generations.windowTokens, count);
    readMs(root, "relink_ms", out.dispatch.generations.reconnectTimeoutUs);
    readMs(root, "widen_ms", out.dispatch.generations.extraBidDelayUs);
    readNumber(root, "stream_limit", out.dispatch.generations.streamLimit, count);
    readMs(root, "suspect_after_ms", out.dispatch.agents.suspectAfterUs);
    readNumber(root, "engines_per_model", out.targets.enginesPerModel, count);
    readNumber(root, "entry_peers", out.targets.entryPeers, count);
    readNumber(root, "watchers", out.targets.watchers, count);
    readNumber(root, "balancer_delay_ms", out.balancerDelayMs, {.least = 0, .most = HOUR_MS});
    root.finish();
    return faults.empty() ? std::optional(std::move(out)) : std::nullopt;
}

auto readAgentSettings(std::string_view text, document_faults &faults)
    -> std::optional<agent_settings>
{
    const json_document document(text, faults);
    if (!document.valid()) {
        return std::nullopt;
    }
    auto root = document.root(faults);
    agent_settings out{.common = readCommon(root)};
    out.adminListen = readEndpoint(root, "admin_listen");
    out.backend.where = readEndpoint(root, "backend_server");
    out.backend.kind = root.name<backend_server_kind>("kind");
    readNumber(root, "stall_timeout_ms", out.backend.stallTimeoutMs,
               {.least = 10, .most = HOUR_MS});
    readNumber(root, "load_interval_ms", out.backend.loadIntervalMs,
               {.least = 10, .most = HOUR_MS});
    auto &admission = out.admission;
    admission.host = out.common.host;
    admission.kind = out.backend.kind;
    readMs(root, "report_interval_ms", admission.reportIntervalUs);
    readMs(root, "claim_timeout_ms", admission.claimTimeoutUs);
    readEngineOptions(root, admission.engine);
    readServiceOptions(root, admission.service);
    admission.service.host = out.common.host;
    admission.orders.host = out.common.host;
    root.finish();
    return faults.empty() ? std::optional(std::move(out)) : std::nullopt;
}

} // namespace marjoram
