#include "framework/eventlog/eventlog.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <unistd.h>

namespace marjoram {

auto toJsonLine(const log_line &line, std::string_view host) -> std::string
{
    boost::json::object out;
    out["at_ms"] = line.unixMs;
    out["host"] = host;
    out["event"] = nameOf(line.event);
    if (!line.requestId.empty()) {
        out["request"] = line.requestId;
    }
    for (const auto &field : line.fields) {
        std::visit([&](const auto &value) { out[field.name] = value; }, field.value);
    }
    return boost::json::serialize(out);
}

event_log::event_log(event_log_options options)
    : m_options(std::move(options))
    , m_windowStart(m_clock.now())
{ }

event_log::~event_log()
{
    stop();
}

auto event_log::addWriter() -> log_writer
{
    m_rings.push_back(std::make_unique<ring<log_line>>(m_options.ringCapacity));
    return {*m_rings.back(), m_metrics};
}

auto event_log::start() -> void
{
    flushLater();
    m_duty.start();
}

auto event_log::stop() -> void
{
    if (std::exchange(m_stopped, true)) {
        return;
    }
    m_duty.stop();
    flush();
}

auto event_log::flushLater() -> void
{
    m_timer.expires_after(std::chrono::milliseconds(m_options.flushMs));
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            flush();
            flushLater();
        }
    });
}

auto event_log::flush() -> void
{
    if (m_clock.now() - m_windowStart >= US_PER_SECOND) {
        m_windowStart = m_clock.now();
        m_windowLines = 0;
    }
    std::string out;
    drainInto(out);
    reportDropped(out);
    std::string_view rest(out);
    while (!rest.empty()) {
        const auto written = ::write(STDOUT_FILENO, rest.data(), rest.size());
        if (written <= 0) {
            m_metrics.add(log_metric::lines_dropped);
            return;
        }
        rest.remove_prefix(static_cast<std::size_t>(written));
    }
}

auto event_log::drainInto(std::string &out) -> void
{
    log_line line;
    for (const auto &lines : m_rings) {
        while (lines->tryPop(line)) {
            if (++m_windowLines > m_options.linesPerSecond) {
                m_metrics.add(log_metric::lines_dropped);
                continue;
            }
            out.append(toJsonLine(line, m_options.host)).append("\n");
            m_metrics.add(log_metric::lines_written);
        }
    }
}

auto event_log::reportDropped(std::string &out) -> void
{
    const auto dropped = m_metrics.value(log_metric::lines_dropped);
    if (dropped == m_droppedTold) {
        return;
    }
    const log_line line{.event = log_event::lines_dropped,
                        .unixMs = m_clock.unixMs(),
                        .fields = {{"dropped_in_all", dropped}}};
    out.append(toJsonLine(line, m_options.host)).append("\n");
    m_droppedTold = dropped;
}

} // namespace marjoram
