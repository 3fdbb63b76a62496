#include "locality/remotetraffic.h"

namespace marjoram {

namespace {

auto appendLabel(std::string &out, std::string_view name, std::string_view value) -> void
{
    out.append(name).append("=\"");
    for (const auto c : value) {
        if (c == '"' || c == '\\') {
            out.push_back('\\');
        }
        out.push_back(c == '\n' ? ' ' : c);
    }
    out.push_back('"');
}

} // namespace

auto remote_traffic::record(const std::string &from, const std::string &to, spill_reason reason,
                            std::int64_t requests, std::int64_t bytes) -> void
{
    const std::lock_guard lock(m_mutex);
    auto key = std::tuple(from, to, reason);
    if (m_rows.size() >= MAX_ROWS && !m_rows.contains(key)) {
        key = {"other", "other", reason};
    }
    auto &row = m_rows[key];
    row.requests += requests;
    row.bytes += bytes;
}

auto remote_traffic::render(std::string &out) const -> void
{
    const std::lock_guard lock(m_mutex);
    const auto append = [&](std::string_view metric, auto member) {
        for (const auto &[key, row] : m_rows) {
            out.append(metric).append("{");
            appendLabel(out, "from", std::get<0>(key));
            appendLabel(out.append(","), "to", std::get<1>(key));
            appendLabel(out.append(","), "reason", nameOf(std::get<2>(key)));
            out.append("} ").append(std::to_string(row.*member)).append("\n");
        }
    };
    append("marjoram_remote_requests", &counters::requests);
    append("marjoram_remote_bytes", &counters::bytes);
}

} // namespace marjoram
