#pragma once

#include "framework/global/identifiers.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace marjoram {

/// Position of a hop in a W3C trace. Value type.
struct trace_context
{
    std::uint64_t traceHigh = 0;
    std::uint64_t traceLow = 0;
    std::uint64_t spanId = 0;

    template <typename Self, typename Visitor>
    static auto visitFields(Self &self, Visitor &&visit) -> void
    {
        visit(self.traceHigh);
        visit(self.traceLow);
        visit(self.spanId);
    }
};

/// Hops of a request that record a span.
enum class span_kind { caller_request, dispatch, agent_wait, agent_run, backend_server_call };
inline constexpr std::array spanKindNames{
    enum_name<span_kind>{span_kind::caller_request, "caller_request"},
    enum_name<span_kind>{span_kind::dispatch, "dispatch"},
    enum_name<span_kind>{span_kind::agent_wait, "agent_wait"},
    enum_name<span_kind>{span_kind::agent_run, "agent_run"},
    enum_name<span_kind>{span_kind::backend_server_call, "backend_server_call"},
};
constexpr auto namesOf(span_kind) -> const auto &
{
    return spanKindNames;
}

/// One finished hop.
struct span
{
    trace_context context;
    std::uint64_t parentSpanId = 0;
    span_kind kind = span_kind::dispatch;
    std::int64_t startUnixMs = 0;
    std::int64_t endUnixMs = 0;
    std::string detail;
};

/// Parses a `traceparent` header; a fresh trace when it is absent or malformed. Not thread safe:
/// `random` belongs to the calling duty.
auto traceFrom(std::string_view traceparent, random_source &random) -> trace_context;
/// Child context in the same trace with a fresh span id.
auto childOf(const trace_context &parent, random_source &random) -> trace_context;
/// `traceparent` header value. Thread safe.
auto toTraceparent(const trace_context &context) -> std::string;
/// 32 hexadecimal digits of the trace id. Thread safe.
auto traceIdText(const trace_context &context) -> std::string;
/// One OTLP/JSON line (`resourceSpans` with one span). Thread safe.
auto toOtlpLine(const span &finished, std::string_view service) -> std::string;

} // namespace marjoram
