#pragma once

#include "forwarding/continuationfilter.h"
#include "forwarding/processqueries.h"
#include "forwarding/requeststate.h"
#include "forwarding/streamend.h"
#include "framework/eventlog/eventlog.h"
#include "framework/global/timerqueue.h"
#include "serverviews/serverdirectory.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace marjoram {

/// Functions that process_confirmations needs from its host.
template <typename H>
concept confirmation_host
    = requires(H &host, request_state &request, std::uint64_t number, server_event event,
               server_command command, std::string_view cause, std::vector<log_field> fields)
{
    host.handle(std::move(event));
    host.toServer(std::move(command));
    host.log(log_event::stream_end_queried, request, std::move(fields));
    host.completeStream(request, response_end::connection_close);
    host.onServerEnded(request, true);
    host.onUnusableContinuation(request, cause);
    {
        host.retryUnconfirmed(request)
        } -> std::same_as<bool>;
    {
        host.findRequest(number)
        } -> std::same_as<request_state *>;
    {
        host.findByExchange(number)
        } -> std::same_as<request_state *>;
    {
        host.streamFilterOf(request)
        } -> std::same_as<continuation_filter>;
};

/// Decides what has to wait until it is known which process a server runs: the first events of a
/// run that continues a stream, and the end of a stream that only its connection has ended.
/// Not thread safe: belongs to one duty.
template <clock_source Clock, typename Host>
class process_confirmations
{
public:
    /// Precondition: `directory` and `host` outlive the object.
    process_confirmations(stream_end_options options, Clock clock,
                          const server_directory &directory, Host &host)
        : m_options(options)
        , m_clock(clock)
        , m_directory(directory)
        , m_host(host)
    { }

    /// Holds the first events of a run that continues a stream, and what follows them, until the
    /// server's process is known to be the one that the run was sent to: a server may have started
    /// anew with other software just before. One without the memory of a run refuses to resume from
    /// it. Returns false if the event is to be handled now.
    auto hold(server_event &event) -> bool
    {
        static_assert(confirmation_host<Host>);
        auto *request = std::visit(
            [this](const auto &one) -> request_state * {
                if constexpr (requires { one.exchangeId; }) {
                    return m_host.findByExchange(one.exchangeId);
                }
                return nullptr;
            },
            event);
        if (!request) {
            return false;
        }
        if (request->heldEvents.empty()
            && !(std::holds_alternative<stream_advanced>(event) && needsConfirmation(*request))) {
            return false;
        }
        request->heldEvents.push_back(std::move(event));
        if (m_held.insert(request->number).second) {
            m_timers.set({timer_kind::held_events, request->number},
                         m_clock.now() + m_options.confirmationUs);
        }
        decideHeld(*request, false);
        return true;
    }
    /// Drops the held events of a request and returns them.
    auto stopHolding(request_state &request) -> std::vector<server_event>
    {
        m_held.erase(request.number);
        m_timers.cancel({timer_kind::held_events, request.number});
        return std::exchange(request.heldEvents, {});
    }
    /// Only the end of its connection has ended a stream: ends it as soon as it is known whether it
    /// is complete.
    auto awaitEnd(request_state &request) -> void
    {
        request.phase = request_phase::ending;
        request.endedAt = m_clock.now();
        m_ending.insert_or_assign(request.number, ending_stream{});
        decideEnd(request);
    }
    /// A server has answered, or not answered, a query for its process.
    auto onQueried(const process_queried &queried) -> void
    {
        const auto query = m_queries.end(queried.queryId);
        if (!query) {
            return;
        }
        for (const auto number : requestsAt(query->serverId, m_ending)) {
            auto *request = m_host.findRequest(number);
            const auto ending = m_ending.find(number);
            if (!request || ending == m_ending.end()) {
                continue;
            }
            ending->second.sign = signOf(*request, *query, queried);
            if (std::exchange(ending->second.outcome, queried.outcome) != queried.outcome) {
                logQueried(*request, queried.outcome, ending->second.sign);
            }
            decideEnd(*request);
        }
    }
    /// Something new is known of a server.
    auto onServer(const std::string &serverId) -> void
    {
        for (const auto number : requestsAt(serverId, m_ending)) {
            if (auto *request = m_host.findRequest(number)) {
                decideEnd(*request);
            }
        }
        for (const auto number : requestsAt(serverId, m_held)) {
            if (auto *request = m_host.findRequest(number); request && m_held.contains(number)) {
                decideHeld(*request, false);
            }
        }
    }
    /// The request has ended.
    auto cancel(request_state &request) -> void
    {
        stopHolding(request);
        stopEnding(request);
    }

    auto nextTimer() const -> std::optional<time_us> { return m_timers.next(); }
    auto onTimer() -> void
    {
        while (const auto key = m_timers.popDue(m_clock.now())) {
            auto *request = m_host.findRequest(key->number);
            if (!request) {
                continue;
            }
            switch (key->kind) {
            case timer_kind::held_events:
                decideHeld(*request, true);
                break;
            case timer_kind::stream_end:
                decideEnd(*request);
                break;
            case timer_kind::query:
                queryProcess(*request);
                break;
            }
        }
    }

private:
    enum class timer_kind { held_events, stream_end, query };
    struct timer_key
    {
        timer_kind kind;
        std::uint64_t number;
        friend auto operator<=>(const timer_key &, const timer_key &)
            -> std::strong_ordering = default;
    };

    /// A stream whose end is not decided yet.
    struct ending_stream
    {
        process_sign sign = process_sign::none;
        /// When its server is queried for the first time.
        std::optional<time_us> queryAt;
        bool queried = false;
        /// Outcome of the latest query.
        std::optional<query_outcome> outcome;
        bool retryRefused = false;
    };

    auto needsConfirmation(const request_state &request) const -> bool
    {
        return request.origin && !request.run.copy && !request.run.processConfirmed
               && request.run.forwardedEvents == 0
               && m_host.streamFilterOf(request).isRestricting();
    }
    auto decideHeld(request_state &request, bool expired) -> void
    {
        const auto &run = request.run;
        const auto *view = m_directory.findProcess(run.serverId, run.bornUnixMs);
        if (!view || !m_host.streamFilterOf(request).allows(*view) || expired) {
            stopHolding(request);
            m_host.onUnusableContinuation(request, "other_software");
            return;
        }
        if (view->report && !hasAnsweredSince(*view, run.sentAt, m_options)) {
            return;
        }
        request.run.processConfirmed = true;
        for (auto &event : stopHolding(request)) {
            m_host.handle(std::move(event));
        }
    }
    auto decideEnd(request_state &request) -> void
    {
        if (request.phase != request_phase::ending) {
            return;
        }
        const auto *view = m_directory.findProcess(request.run.serverId, request.run.bornUnixMs);
        const closed_stream closed{.endedAt = request.endedAt,
                                   .sign = m_ending.at(request.number).sign};
        switch (decideStreamEnd(view, closed, m_clock.now(), m_options)) {
        case stream_end::complete:
            m_host.completeStream(request, response_end::connection_close);
            break;
        case stream_end::cut:
            stopEnding(request);
            // What follows must not be taken for the end that has been decided.
            request.phase = request_phase::streaming;
            m_host.onServerEnded(request, !view || view->leaving());
            break;
        case stream_end::undecided:
            m_timers.set({timer_kind::stream_end, request.number},
                         request.endedAt + m_options.confirmationUs);
            scheduleQuery(request, m_options.queryAfterUs);
            break;
        case stream_end::unconfirmed:
            retryOrAwait(request);
            break;
        }
    }
    /// Repeats a request that may be repeated. Others wait for a sign until their deadline, or
    /// until the process stops: the server's silence doesn't show that the stream is not complete.
    auto retryOrAwait(request_state &request) -> void
    {
        if (!m_ending.at(request.number).retryRefused) {
            auto ending = m_ending.at(request.number);
            stopEnding(request);
            request.phase = request_phase::streaming;
            if (m_host.retryUnconfirmed(request)) {
                return;
            }
            request.phase = request_phase::ending;
            ending.retryRefused = true;
            ending.queryAt.reset();
            m_ending.insert_or_assign(request.number, ending);
        }
        scheduleQuery(request, m_options.survivalUs);
    }
    /// Schedules the first query for a stream's end, so long after the end.
    auto scheduleQuery(const request_state &request, std::int64_t afterUs) -> void
    {
        auto &ending = m_ending.at(request.number);
        const auto at = request.endedAt + afterUs;
        if (!ending.queryAt || (!ending.queried && at < *ending.queryAt)) {
            ending.queryAt = at;
            m_timers.set({timer_kind::query, request.number}, at);
        }
    }
    auto queryProcess(request_state &request) -> void
    {
        if (request.phase != request_phase::ending) {
            return;
        }
        const auto now = m_clock.now();
        if (auto query = m_queries.begin(request.run.serverId, request.run.server, now)) {
            m_host.toServer(std::move(*query));
        }
        m_ending.at(request.number).queried = true;
        m_timers.set({timer_kind::query, request.number}, now + m_options.queryIntervalUs);
    }
    auto logQueried(const request_state &request, query_outcome outcome, process_sign sign) -> void
    {
        m_host.log(log_event::stream_end_queried, request,
                   {{"server", request.run.serverId},
                    {"outcome", std::string(nameOf(outcome))},
                    {"process", std::string(nameOf(sign))},
                    {"after_ms", (m_clock.now() - request.endedAt) / US_PER_MS}});
    }
    auto signOf(const request_state &request, const process_queries::pending_query &query,
                const process_queried &queried) const -> process_sign
    {
        const auto askedAfterEnd = query.askedAt >= request.endedAt + m_options.survivalUs;
        switch (queried.outcome) {
        case query_outcome::refused:
            return process_sign::ended;
        case query_outcome::answered: {
            const auto born = request.run.bornUnixMs;
            if (born != 0 && queried.bornUnixMs != 0 && born != queried.bornUnixMs) {
                return process_sign::ended;
            }
            return askedAfterEnd ? process_sign::survived : process_sign::none;
        }
        case query_outcome::failed:
            break;
        }
        return process_sign::none;
    }
    auto stopEnding(const request_state &request) -> void
    {
        m_ending.erase(request.number);
        m_timers.cancel({timer_kind::stream_end, request.number});
        m_timers.cancel({timer_kind::query, request.number});
    }
    static auto numberOf(std::uint64_t number) -> std::uint64_t { return number; }
    static auto numberOf(const std::pair<const std::uint64_t, ending_stream> &one) -> std::uint64_t
    {
        return one.first;
    }
    /// Returns the requests of a set or a map by number whose run is at a server.
    auto requestsAt(const std::string &serverId, const auto &requests) -> std::vector<std::uint64_t>
    {
        std::vector<std::uint64_t> out;
        for (const auto &one : requests) {
            const auto number = numberOf(one);
            const auto *request = m_host.findRequest(number);
            if (request && request->run.serverId == serverId) {
                out.push_back(number);
            }
        }
        return out;
    }

    stream_end_options m_options;
    Clock m_clock;
    const server_directory &m_directory;
    Host &m_host;
    /// Numbers of the requests whose events are held.
    std::unordered_set<std::uint64_t> m_held;
    /// Numbers of the requests whose streams have ended, perhaps complete.
    std::unordered_map<std::uint64_t, ending_stream> m_ending;
    process_queries m_queries;
    timer_queue<timer_key> m_timers;
};

} // namespace marjoram
