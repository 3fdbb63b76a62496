#include "standins/standinsettings.h"

#include "framework/settings/objectreader.h"

namespace marjoram {

namespace {

constexpr std::int64_t MOST = 1'000'000'000;

auto readEngine(object_reader &from, engine_model_options &out) -> void
{
    const auto number = [&from](std::string_view key, auto &value) {
        using type = std::remove_reference_t<decltype(value)>;
        value = static_cast<type>(
            from.integer(key, {.least = 0, .most = MOST}, static_cast<std::int64_t>(value)));
    };
    number("kv_capacity_tokens", out.kvCapacityTokens);
    number("most_running", out.mostRunning);
    number("step_base_us", out.stepBaseUs);
    number("step_per_sequence_us", out.stepPerSequenceUs);
    number("prefill_per_token_us", out.prefillPerTokenUs);
    number("prefixes_cached", out.prefixesCached);
    from.finish();
}

} // namespace

auto readStandinSettings(std::string_view text, document_faults &faults)
    -> std::optional<standin_settings>
{
    const json_document document(text, faults);
    if (!document.valid()) {
        return std::nullopt;
    }
    auto root = document.root(faults);
    standin_settings out;
    out.role = root.name<standin_role>("role");
    const auto listen = parseEndpoint(root.text("listen"));
    if (listen) {
        out.listen = *listen;
    } else {
        root.fault("listen", document_error::out_of_range, listen.error().message());
    }
    if (auto engine = root.object("engine", false)) {
        readEngine(*engine, out.engine);
    }
    out.checksFence = root.boolean("checks_fence", true);
    out.modelLoadMs
        = static_cast<std::uint32_t>(root.integer("model_load_ms", {.most = MOST}, 200));
    if (root.has("models")) {
        out.models = root.texts("models");
    }
    out.answerDelayMs
        = static_cast<std::uint32_t>(root.integer("answer_delay_ms", {.most = MOST}, 5));
    out.manifestFile = root.text("manifest_file", "");
    out.hostsFile = root.text("hosts_file", "");
    root.finish();
    return faults.empty() ? std::optional(std::move(out)) : std::nullopt;
}

} // namespace marjoram
