#include "configuration/hostlistreader.h"

#include "framework/http/endpointsetting.h"
#include "framework/settings/objectreader.h"

namespace marjoram {

auto readHostList(std::string_view text, document_faults &faults) -> std::optional<host_list>
{
    const json_document document(text, faults);
    if (!document.valid()) {
        return std::nullopt;
    }
    auto root = document.root(faults);
    host_list out;
    out.revision = static_cast<std::uint64_t>(root.integer("version", {.least = 1}));
    for (auto &one : root.objects("hosts")) {
        host_entry entry;
        entry.host = one.text("host");
        entry.role = one.name<process_role>("role");
        entry.dataCentre = one.text("data_centre");
        entry.inner = readEndpoint(one, "inner");
        entry.state = one.name<host_state>("state", host_state::live);
        one.finish();
        out.hosts.push_back(std::move(entry));
    }
    root.finish();
    return faults.empty() ? std::optional(std::move(out)) : std::nullopt;
}

} // namespace marjoram
