#pragma once

#include "forwarding/forwardrings.h"
#include "forwarding/requeststate.h"
#include "framework/eventlog/eventlog.h"
#include "framework/global/timerqueue.h"
#include "origins/originlookup.h"
#include "serverviews/serverdirectory.h"

#include <map>

namespace marjoram {

/// Options of stream_origins.
struct stream_origins_options
{
    origin_log_options log;
    /// Reporters are asked again after the first time, since datagrams get lost, and after the
    /// second one what they have replied decides.
    std::int64_t repeatUs = 30 * US_PER_MS;
    std::int64_t timeoutUs = 90 * US_PER_MS;
};

/// Functions that stream_origins needs from its host.
template <typename H>
concept origin_host
    = requires(H &host, request_state &request, reporter_command command, const std::string &id,
               log_event event, std::vector<log_field> fields, bool incomplete)
{
    host.toReporter(command);
    host.onOriginKnown(request);
    host.onOriginUnknown(request, incomplete);
    host.log(event, request, fields);
    {
        host.findRequest(std::uint64_t{})
        } -> std::same_as<request_state *>;
};

/// Remembers which software began the streams of this entry, tells reporters, and finds out which
/// one began a stream that a caller resumes: another entry may have carried it, or an earlier
/// process of this one. Not thread safe: belongs to one duty.
template <clock_source Clock, typename Host>
class stream_origins
{
public:
    /// Precondition: `directory` and `host` outlive the object.
    stream_origins(stream_origins_options options, Clock clock, const server_directory &directory,
                   Host &host)
        : m_options(options)
        , m_clock(clock)
        , m_directory(directory)
        , m_host(host)
        , m_log(options.log)
    {
        static_assert(origin_host<Host>);
    }

    /// Whether a new request continues a stream of which the software matters.
    auto continuesStream(const request_state &request) const -> bool
    {
        const auto resumes
            = request.lastEvent > 0 || !request.request->generation.resumedRequestId.empty();
        return resumes && request.isGeneration()
               && std::any_of(
                   request.route->pools.begin(), request.route->pools.end(),
                   [this](const auto &share) { return m_directory.statesVersions(share.pool); });
    }
    /// Finds the origin of the stream that a request continues, and then calls the host.
    /// Precondition: continuesStream().
    auto resolve(request_state &request) -> void
    {
        const auto &resumedId = request.request->generation.resumedRequestId;
        const auto known = m_log.find(resumedId);
        if (resumedId.empty() || known.evidence == origin_evidence::delivered) {
            finish(request, known, {});
            return;
        }
        m_lookups.insert_or_assign(request.number,
                                   pending_lookup{.beganAt = m_clock.now(), .lookup = {}});
        ask(request);
        m_timers.set({timer_kind::repeat, request.number}, m_clock.now() + m_options.repeatUs);
        m_timers.set({timer_kind::timeout, request.number}, m_clock.now() + m_options.timeoutUs);
    }
    auto onAsked(const origin_asked &asked) -> void
    {
        if (auto *pending = find(asked.lookupId)) {
            pending->lookup.onAsked(asked.reporters);
            finishIfDecided(asked.lookupId);
        }
    }
    auto onReply(const origin_replied &replied) -> void
    {
        if (auto *pending = find(replied.lookupId)) {
            pending->lookup.onReply(replied.reporter, replied.origin);
            finishIfDecided(replied.lookupId);
        }
    }
    /// The first event of a request is about to be passed on.
    auto onFirstEvent(const request_state &request) -> void
    {
        if (!request.origin || !request.origin->software || !request.route->resumable) {
            return;
        }
        const auto &software = *request.origin->software;
        const auto &requestId = request.request->requestId;
        m_log.record(requestId, {.evidence = origin_evidence::delivered, .software = software},
                     m_clock.now());
        m_host.toReporter(share_origin{
            .serverId = request.run.serverId, .requestId = requestId, .software = software});
    }
    /// The request has ended.
    auto cancel(const request_state &request) -> void
    {
        m_lookups.erase(request.number);
        m_timers.cancel({timer_kind::repeat, request.number});
        m_timers.cancel({timer_kind::timeout, request.number});
    }

    auto nextTimer() const -> std::optional<time_us> { return m_timers.next(); }
    auto onTimer() -> void
    {
        while (const auto key = m_timers.popDue(m_clock.now())) {
            auto *request = m_host.findRequest(key->number);
            if (!request || !find(key->number)) {
                continue;
            }
            switch (key->kind) {
            case timer_kind::repeat:
                ask(*request);
                break;
            case timer_kind::timeout:
                finishLookup(*request);
                break;
            }
        }
    }

private:
    enum class timer_kind { repeat, timeout };
    struct timer_key
    {
        timer_kind kind;
        std::uint64_t number;
        friend auto operator<=>(const timer_key &, const timer_key &)
            -> std::strong_ordering = default;
    };
    struct pending_lookup
    {
        time_us beganAt;
        origin_lookup lookup;
    };

    auto find(std::uint64_t number) -> pending_lookup *
    {
        const auto found = m_lookups.find(number);
        return found == m_lookups.end() ? nullptr : &found->second;
    }
    auto ask(const request_state &request) -> void
    {
        m_host.toReporter(find_origin{.lookupId = request.number,
                                      .requestId = request.request->generation.resumedRequestId});
    }
    auto finishIfDecided(std::uint64_t number) -> void
    {
        auto *request = m_host.findRequest(number);
        if (request && find(number)->lookup.isDecided()) {
            finishLookup(*request);
        }
    }
    auto finishLookup(request_state &request) -> void
    {
        const auto pending = *find(request.number);
        cancel(request);
        finish(request, pending.lookup.origin(), pending);
    }
    auto finish(request_state &request, const stream_origin &origin,
                const std::optional<pending_lookup> &pending) -> void
    {
        const auto known = origin.evidence == origin_evidence::delivered
                           || origin.evidence == origin_evidence::ran;
        const auto tookUs = pending ? m_clock.now() - pending->beganAt : 0;
        m_host.log(log_event::origin_resolved, request,
                   {{"resumes", request.request->generation.resumedRequestId},
                    {"evidence", std::string(nameOf(origin.evidence))},
                    {"version", origin.software.version},
                    {"asked", std::int64_t{pending.has_value()}},
                    {"replies", static_cast<std::int64_t>(pending ? pending->lookup.replies() : 0)},
                    {"took_ms", tookUs / US_PER_MS}});
        if (known) {
            request.origin = run_origin{.software = origin.software};
            m_host.onOriginKnown(request);
        } else {
            m_host.onOriginUnknown(request, pending && pending->lookup.isIncomplete());
        }
    }

    stream_origins_options m_options;
    Clock m_clock;
    const server_directory &m_directory;
    Host &m_host;
    origin_log m_log;
    /// By the number of the request.
    std::map<std::uint64_t, pending_lookup> m_lookups;
    timer_queue<timer_key> m_timers;
};

} // namespace marjoram
