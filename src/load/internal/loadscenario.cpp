#include "load/loadscenario.h"

#include "framework/settings/objectreader.h"

namespace marjoram {

namespace {

constexpr double MOST_PER_SECOND = 1e6;
constexpr double MOST_LENGTH = 1e6;
constexpr double MOST_SPREAD = 5.0;
constexpr std::int64_t MOST = 1'000'000;
constexpr std::int64_t DAY_MS = 86'400'000;

auto readStream(object_reader &from) -> load_stream
{
    load_stream out;
    out.name = from.text("name");
    out.kind = from.name<load_kind>("kind", load_kind::generation);
    out.credential = from.text("credential");
    out.workRank = from.name<rank>("rank", rank::standard);
    out.perSecond = from.fraction("per_second", {.least = 1e-3, .most = MOST_PER_SECOND});
    out.burst = static_cast<std::uint32_t>(from.integer("burst", {.least = 1, .most = MOST}, 1));
    out.medianLength = from.fraction("median_length", {.least = 1.0, .most = MOST_LENGTH}, 64.0);
    out.lengthSpread = from.fraction("length_spread", {.least = 0.0, .most = MOST_SPREAD}, 0.0);
    out.promptBytes = static_cast<std::uint32_t>(
        from.integer("prompt_bytes", {.least = 1, .most = MOST}, out.promptBytes));
    out.prefixes = static_cast<std::uint32_t>(from.integer("prefixes", {.most = MOST}, 0));
    out.retryShare = from.fraction("retry_share", {}, 0.0);
    from.finish();
    return out;
}

} // namespace

auto readLoadScenario(std::string_view text, document_faults &faults)
    -> std::optional<load_scenario>
{
    const json_document document(text, faults);
    if (!document.valid()) {
        return std::nullopt;
    }
    auto root = document.root(faults);
    load_scenario out;
    for (const auto &entry : root.texts("entries")) {
        const auto parsed = parseEndpoint(entry);
        if (!parsed) {
            root.fault("entries", document_error::out_of_range, parsed.error().message());
            continue;
        }
        out.entries.push_back(*parsed);
    }
    if (out.entries.empty() && root.has("entries")) {
        root.fault("entries", document_error::out_of_range, "at least one is needed");
    }
    out.model = root.text("model", "");
    out.service = root.text("service", "");
    out.durationMs
        = static_cast<std::uint32_t>(root.integer("duration_ms", {.least = 1, .most = DAY_MS}));
    out.seed = static_cast<std::uint64_t>(root.integer("seed", {}, 1));
    for (auto &stream : root.objects("streams")) {
        out.streams.push_back(readStream(stream));
    }
    root.finish();
    return faults.empty() ? std::optional(std::move(out)) : std::nullopt;
}

} // namespace marjoram
