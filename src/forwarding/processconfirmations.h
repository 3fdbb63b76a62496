#pragma once

#include "forwarding/continuationfilter.h"
#include "forwarding/requeststate.h"
#include "forwarding/streamend.h"
#include "framework/global/timerqueue.h"
#include "serverviews/serverdirectory.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

namespace marjoram {

/// Functions that process_confirmations needs from its host.
template <typename H>
concept confirmation_host = requires(H &host, request_state &request, std::uint64_t number,
                                     server_event event, std::string_view cause)
{
    host.handle(std::move(event));
    host.completeStream(request, response_end::connection_close);
    host.onServerEnded(request, true);
    host.onUnusableContinuation(request, cause);
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
        m_ending.insert(request.number);
        decideEnd(request);
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
            }
        }
    }

private:
    enum class timer_kind { held_events, stream_end };
    struct timer_key
    {
        timer_kind kind;
        std::uint64_t number;
        friend auto operator<=>(const timer_key &, const timer_key &)
            -> std::strong_ordering = default;
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
        switch (decideStreamEnd(view, request.endedAt, m_clock.now(), m_options)) {
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
            break;
        }
    }
    auto stopEnding(const request_state &request) -> void
    {
        m_ending.erase(request.number);
        m_timers.cancel({timer_kind::stream_end, request.number});
    }
    auto requestsAt(const std::string &serverId, const std::unordered_set<std::uint64_t> &numbers)
        -> std::vector<std::uint64_t>
    {
        std::vector<std::uint64_t> out;
        for (const auto number : numbers) {
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
    std::unordered_set<std::uint64_t> m_ending;
    timer_queue<timer_key> m_timers;
};

} // namespace marjoram
