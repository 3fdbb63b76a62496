#include "framework/tracing/span.h"

#include <boost/json.hpp>
#include <charconv>

namespace marjoram {

namespace json = boost::json;

namespace {

constexpr std::size_t TRACEPARENT_SIZE = 55;
constexpr std::size_t TRACE_ID_OFFSET = 3;
constexpr std::size_t SPAN_ID_OFFSET = 36;
constexpr std::size_t SPAN_ID_DIGITS = 16;
constexpr int HEX = 16;

auto spanIdText(std::uint64_t id) -> std::string
{
    return toText(generation_id{.high = 0, .low = id}).substr(SPAN_ID_DIGITS);
}

auto nanoText(std::int64_t unixMs) -> std::string
{
    return std::to_string(unixMs) + "000000";
}

} // namespace

auto traceFrom(std::string_view traceparent, random_source &random) -> trace_context
{
    const trace_context fresh{.traceHigh = random(), .traceLow = random(), .spanId = random()};
    if (traceparent.size() < TRACEPARENT_SIZE || traceparent.substr(0, TRACE_ID_OFFSET) != "00-") {
        return fresh;
    }
    const auto id = parseGenerationId(traceparent.substr(TRACE_ID_OFFSET, 2 * SPAN_ID_DIGITS));
    std::uint64_t spanId = 0;
    const auto *first = traceparent.data() + SPAN_ID_OFFSET;
    const auto parsed = std::from_chars(first, first + SPAN_ID_DIGITS, spanId, HEX);
    if (!id || parsed.ptr != first + SPAN_ID_DIGITS || id.value() == generation_id{}) {
        return fresh;
    }
    return {.traceHigh = id->high, .traceLow = id->low, .spanId = spanId};
}

auto childOf(const trace_context &parent, random_source &random) -> trace_context
{
    return {.traceHigh = parent.traceHigh, .traceLow = parent.traceLow, .spanId = random()};
}

auto traceIdText(const trace_context &context) -> std::string
{
    return toText(generation_id{.high = context.traceHigh, .low = context.traceLow});
}

auto toTraceparent(const trace_context &context) -> std::string
{
    return "00-" + traceIdText(context) + "-" + spanIdText(context.spanId) + "-01";
}

auto toOtlpLine(const span &finished, std::string_view service) -> std::string
{
    const json::value attribute{{"key", "detail"}, {"value", {{"stringValue", finished.detail}}}};
    const json::value one{{"traceId", traceIdText(finished.context)},
                          {"spanId", spanIdText(finished.context.spanId)},
                          {"parentSpanId", spanIdText(finished.parentSpanId)},
                          {"name", nameOf(finished.kind)},
                          {"startTimeUnixNano", nanoText(finished.startUnixMs)},
                          {"endTimeUnixNano", nanoText(finished.endUnixMs)},
                          {"attributes", json::array{attribute}}};
    const json::value serviceName{{"key", "service.name"}, {"value", {{"stringValue", service}}}};
    const json::value line{
        {"resourceSpans",
         json::array{json::object{
             {"resource", json::object{{"attributes", json::array{serviceName}}}},
             {"scopeSpans", json::array{json::object{{"spans", json::array{one}}}}}}}}};
    return json::serialize(line);
}

} // namespace marjoram
