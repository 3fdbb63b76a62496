#pragma once

#include "forwarding/forwardingoptions.h"
#include "forwarding/requeststate.h"
#include "framework/eventlog/eventlog.h"
#include "serverviews/serverdirectory.h"

namespace marjoram {

/// Applies what reports, answers and failures tell of backend servers to the directory, and logs
/// what changes. Not thread safe: belongs to one duty.
template <clock_source Clock, typename Sink>
class server_observer
{
public:
    /// Precondition: `directory` and `sink` outlive the observer.
    server_observer(Clock clock, server_directory &directory, Sink &sink)
        : m_clock(clock)
        , m_directory(directory)
        , m_sink(sink)
    {
        static_assert(forwarding_sink<Sink>);
    }

    /// Applies a report. Returns true if the server is now leaving and was not before.
    auto onReport(const std::string &id, server_report report) -> bool
    {
        const auto limitBefore = rateLimitOf(id);
        const auto becameLeaving = m_directory.onReport(id, std::move(report), m_clock.now());
        logRateLimitChange(id, limitBefore, "report");
        return becameLeaving;
    }
    auto onReporterAbsent(const std::string &id) -> void
    {
        if (m_directory.onReporterAbsent(id)) {
            m_sink.log(log_event::server_unreported, {}, {{"server", id}});
        }
    }
    auto onReplaced(const std::string &id) -> void
    {
        if (m_directory.onReplaced(id)) {
            m_sink.log(log_event::server_gone, {},
                       {{"server", id}, {"cause", std::string("replaced")}});
        }
    }
    /// Takes what an answer states about its server. Returns true if the server is now leaving and
    /// was not before.
    auto onAnswer(const std::string &id, const response_head &head) -> bool
    {
        if (head.load && m_directory.onLoad(id, *head.load, m_clock.now())) {
            m_sink.log(log_event::server_load_invalid, {}, {{"server", id}});
        }
        if (head.wrongServer) {
            return false;
        }
        updateRateLimit(id, head);
        updatePause(id, head);
        return head.leaving && m_directory.onStatedLeaving(id);
    }
    /// Takes the time of a complete answer to a plain request. Errors tell nothing about the time
    /// of work: a server that fails at once must not seem fast.
    auto onPlainAnswer(const request_state &request, const response_head &head) -> void
    {
        constexpr int CLIENT_ERROR = 400;
        if (head.load && head.status < CLIENT_ERROR) {
            m_directory.onWorkTime(request.run.serverId, m_clock.now() - request.run.sentAt,
                                   m_clock.now());
        }
    }
    /// Counts the outcome of a request's present run towards the health of its server.
    auto onOutcome(const request_state &request, bool succeeded) -> void
    {
        const auto &id = request.run.serverId;
        if (succeeded) {
            m_directory.recordSuccess(id);
        } else if (m_directory.recordFailure(id, m_clock.now())) {
            m_sink.log(log_event::server_ejected, request.request->requestId, {{"server", id}});
        }
    }

    /// `source` tells how the change became known.
    auto logJoined(const server_entry &entry, std::string_view source) -> void
    {
        m_sink.log(log_event::server_joined, {},
                   {{"server", entry.id},
                    {"source", std::string(source)},
                    {"pool", entry.pool},
                    {"address", toText(entry.address)},
                    {"version", entry.softwareVersion.value_or("unknown")},
                    {"born_unix_ms", entry.bornUnixMs}});
    }
    auto logLeaving(const std::string &id, std::string_view source) -> void
    {
        const auto *view = m_directory.find(id);
        const auto leavesMs = view && view->shutdownAt
                                  ? (*view->shutdownAt - m_clock.now()) / US_PER_MS
                                  : std::int64_t{-1};
        m_sink.log(log_event::server_leaving, {},
                   {{"server", id}, {"source", std::string(source)}, {"gone_in_ms", leavesMs}});
    }
    auto logGone(const std::string &id) -> void
    {
        m_sink.log(log_event::server_gone, {}, {{"server", id}});
    }

    /// Logs which servers have become cold or warm.
    auto logColdChanges() -> void
    {
        for (const auto &change : m_directory.takeColdChanges(m_clock.now())) {
            m_sink.log(change.cold ? log_event::server_cold : log_event::server_warm, {},
                       {{"server", change.serverId}, {"for_ms", change.forMs}});
        }
    }
    /// Logs that a data centre was evacuated or is back, with what this entry has there.
    auto logEvacuation(log_event event, const std::string &dataCentre) -> void
    {
        std::int64_t servers = 0;
        std::int64_t running = 0;
        for (const auto &[id, view] : m_directory.views()) {
            if (view.entry.dataCentre == dataCentre) {
                ++servers;
                running += view.inFlight;
            }
        }
        m_sink.log(event, {},
                   {{"data_centre", dataCentre}, {"servers", servers}, {"running", running}});
    }

private:
    auto updateRateLimit(const std::string &id, const response_head &head) -> void
    {
        const auto limitBefore = rateLimitOf(id);
        if (!m_directory.onRateLimit(id, head.milliRateLimit, m_clock.now())) {
            return;
        }
        logRateLimitChange(id, limitBefore, "answer");
        m_sink.toReporter(share_rate_limit{.serverId = id, .milliPerSecond = head.milliRateLimit});
    }
    auto updatePause(const std::string &id, const response_head &head) -> void
    {
        if (head.retryAfterMs && m_directory.onRetryAfter(id, *head.retryAfterMs, m_clock.now())) {
            const auto *view = m_directory.find(id);
            m_sink.log(
                log_event::server_paused, {},
                {{"server", id}, {"for_ms", (view->pausedUntil - m_clock.now()) / US_PER_MS}});
        }
    }
    auto rateLimitOf(const std::string &id) const -> std::uint64_t
    {
        const auto *view = m_directory.find(id);
        return view && view->rateLimit ? view->rateLimit->milliPerSecond : 0;
    }
    auto logRateLimitChange(const std::string &id, std::uint64_t before, std::string_view source)
        -> void
    {
        const auto now = rateLimitOf(id);
        if (now != before) {
            m_sink.log(log_event::rate_limit_changed, {},
                       {{"server", id},
                        {"source", std::string(source)},
                        {"per_1000_s", static_cast<std::int64_t>(now)}});
        }
    }

    Clock m_clock;
    server_directory &m_directory;
    Sink &m_sink;
};

} // namespace marjoram
