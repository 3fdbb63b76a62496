#pragma once

#include "framework/global/clock.h"
#include "framework/http/httptypes.h"
#include "innerprotocol/frames.h"
#include "servers/serverentry.h"

#include <map>
#include <optional>
#include <string>

namespace marjoram {

/// Options of reporting on one backend server.
struct report_options
{
    /// Time between two looks at the backend server; each is free from its own host.
    std::int64_t lookUs = 80 * US_PER_MS;
    /// The same while the backend server leaves, when entries act on every change.
    std::int64_t leavingLookUs = 30 * US_PER_MS;
    /// Time between two reports of which nothing is urgent.
    std::int64_t reportUs = 240 * US_PER_MS;
    /// Time after which an entry that has not asked again gets no more reports.
    std::int64_t listenerUs = 3'500 * US_PER_MS;
    /// Looks without an answer after which the server counts as not answering.
    std::uint32_t looksToDoubt = 2;
    std::size_t listenerLimit = 1'024;
};

/// Takes the actions of a report_core.
template <typename S>
concept report_sink = requires(S &sink, const endpoint &listener, const server_report_frame &report)
{
    sink.send(listener, report);
};

/// Decides when entries hear of a backend server: at once when it leaves, is lost or is started
/// anew, or when the prompts change that it has to read, otherwise from time to time. A leaving or lost server is told with each look, since
/// datagrams get lost. Not thread safe: belongs to one duty.
template <clock_source Clock, typename Sink>
class report_core
{
public:
    /// Precondition: the sink outlives the core.
    report_core(report_options options, Clock clock, std::string server, Sink &sink)
        : m_options(options)
        , m_clock(clock)
        , m_sink(sink)
    {
        static_assert(report_sink<Sink>);
        m_report.server = std::move(server);
    }

    /// An entry wants reports; a new one gets the newest at once.
    auto onRequest(const endpoint &listener) -> void
    {
        const auto now = m_clock.now();
        forgetListeners(now);
        const auto key = toText(listener);
        const auto known = m_listeners.contains(key);
        if (!known && m_listeners.size() >= m_options.listenerLimit) {
            return;
        }
        m_listeners.insert_or_assign(key, listener_state{listener, now});
        if (!known && m_looked) {
            m_sink.send(listener, numbered(now));
        }
    }
    auto onReport(const server_report &seen) -> void
    {
        const auto news = !m_report.answering || m_report.bornUnixMs != seen.bornUnixMs;
        m_report.answering = true;
        m_report.leaving = seen.state == server_state::leaving;
        m_report.leavesKnown = seen.leavesMs.has_value();
        m_report.leavesMs = seen.leavesMs.value_or(0);
        m_report.bornUnixMs = seen.bornUnixMs;
        m_report.running = seen.running;
        m_report.waiting = seen.waiting;
        m_report.starting = seen.starting;
        m_report.usedTokens = seen.usedTokens;
        m_report.capacityTokens = seen.capacityTokens;
        m_report.nextTokens = seen.nextTokens;
        noteLeaving(seen);
        m_failures = 0;
        m_looked = true;
        const auto queue = m_report.starting + m_report.waiting;
        publish(news || m_report.leaving || m_report.leavesKnown || queue != m_queueTold);
    }
    /// Time until the next look.
    auto nextLookUs() const -> std::int64_t
    {
        return m_report.leaving || m_report.leavesKnown ? m_options.leavingLookUs
                                                        : m_options.lookUs;
    }
    auto onFailed() -> void
    {
        m_looked = true;
        if (++m_failures >= m_options.looksToDoubt) {
            m_report.answering = false;
            publish(true);
        }
    }

private:
    struct listener_state
    {
        endpoint where;
        time_us askedAt;
    };

    auto noteLeaving(const server_report &seen) -> void
    {
        const auto now = m_clock.now();
        if (!m_report.leaving && !m_report.leavesKnown) {
            m_leavingSince = now;
            m_report.runs.clear();
            return;
        }
        m_report.leavingForMs = (now - m_leavingSince) / US_PER_MS;
        m_report.runs = seen.runs;
    }
    auto publish(bool urgent) -> void
    {
        const auto now = m_clock.now();
        if (!urgent && now - m_sentAt < m_options.reportUs) {
            return;
        }
        m_sentAt = now;
        m_queueTold = m_report.starting + m_report.waiting;
        forgetListeners(now);
        const auto report = numbered(now);
        for (const auto &[key, listener] : m_listeners) {
            m_sink.send(listener.where, report);
        }
    }
    auto numbered(time_us) -> server_report_frame
    {
        ++m_report.sequence;
        m_report.listeners = static_cast<std::uint32_t>(m_listeners.size());
        return m_report;
    }
    auto forgetListeners(time_us now) -> void
    {
        std::erase_if(m_listeners, [&](const auto &named) {
            return now - named.second.askedAt > m_options.listenerUs;
        });
    }

    report_options m_options;
    Clock m_clock;
    Sink &m_sink;
    server_report_frame m_report;
    std::map<std::string, listener_state> m_listeners;
    std::uint32_t m_failures = 0;
    bool m_looked = false;
    time_us m_leavingSince;
    /// Prompts to be read at the last report.
    std::uint32_t m_queueTold = 0;
    time_us m_sentAt{INT64_MIN / 2};
};

} // namespace marjoram
