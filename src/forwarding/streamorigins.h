#pragma once

#include "forwarding/forwardrings.h"
#include "forwarding/requeststate.h"
#include "framework/eventlog/eventlog.h"
#include "framework/global/timerqueue.h"
#include "origins/originlookup.h"
#include "serverviews/serverdirectory.h"

#include <algorithm>
#include <map>
#include <utility>

namespace marjoram {

/// Options of stream_origins.
struct stream_origins_options
{
    origin_log_options log;
    /// Reporters are asked again after the first time, since datagrams get lost, and after the
    /// second one what they have replied decides.
    std::int64_t repeatUs = 30 * US_PER_MS;
    std::int64_t timeoutUs = 90 * US_PER_MS;
    /// How long a lookup waits for a list that shows which reporters there are.
    std::int64_t listTimeoutUs = 300 * US_PER_MS;
};

/// How certain the origin of a stream is.
enum class origin_certainty {
    /// Nobody knows more.
    settled,
    /// Servers or reporters that this entry does not know, or that are silent, may show more.
    preliminary
};
inline constexpr std::array originCertaintyNames{
    enum_name<origin_certainty>{origin_certainty::settled, "settled"},
    enum_name<origin_certainty>{origin_certainty::preliminary, "preliminary"},
};
constexpr auto namesOf(origin_certainty) -> const auto &
{
    return originCertaintyNames;
}

/// Functions that stream_origins needs from its host.
template <typename H>
concept origin_host
    = requires(H &host, request_state &request, reporter_command command, const std::string &id,
               log_event event, std::vector<log_field> fields, origin_certainty certainty)
{
    host.toReporter(command);
    {
        host.nextAskId()
        } -> std::same_as<std::uint64_t>;
    host.onOriginKnown(request, certainty);
    host.onOriginUnknown(request, certainty);
    host.log(event, request, fields);
    {
        host.findRequest(std::uint64_t{})
        } -> std::same_as<request_state *>;
};

/// Remembers which software began the streams of this entry, tells reporters, and finds out which
/// one began a stream that a caller resumes: another entry may have carried it, or an earlier
/// process of this one.
///
/// This entry may be out of step: cut off, stopped for a while, or only behind by the interval at
/// which it reads the list. So what it does not know counts as unknown to all only once all
/// reporters have replied that a list names which was read after the caller's request: the stream
/// began before that, at a server that was listed then. Until then a delivered event decides, and a
/// run that made events somewhere does not.
/// Not thread safe: belongs to one duty.
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
        if (resumedId.empty()) {
            finish(request, {}, origin_certainty::settled);
            return;
        }
        if (known.evidence == origin_evidence::delivered) {
            m_lookups.insert_or_assign(request.number,
                                       pending_lookup{.beganAt = m_clock.now(), .known = known});
            conclude(request);
            return;
        }
        auto &pending
            = m_lookups.insert_or_assign(request.number, pending_lookup{.beganAt = m_clock.now()})
                  .first->second;
        begin(request, pending);
    }
    /// A list of servers is known that was read at a time.
    auto onList(time_us readAt) -> void
    {
        m_listReadAt = std::max(m_listReadAt, readAt);
        std::vector<std::uint64_t> waiting;
        for (const auto &[number, pending] : m_lookups) {
            if (pending.awaitsList && pending.beganAt <= readAt) {
                waiting.push_back(number);
            }
        }
        for (const auto number : waiting) {
            auto *request = m_host.findRequest(number);
            auto &pending = *find(number);
            pending.awaitsList = false;
            pending.known ? conclude(*request) : begin(*request, pending);
        }
    }
    auto onAsked(const origin_asked &asked) -> void
    {
        if (auto *request = requestOf(asked.lookupId)) {
            auto &pending = *find(request->number);
            if (std::exchange(pending.listReadAt, asked.listReadAt) != asked.listReadAt) {
                pending.lookup.restart();
            }
            pending.lookup.onAsked(asked.reporters, asked.unheard);
            concludeIfDecided(*request);
        }
    }
    auto onReply(const origin_replied &replied) -> void
    {
        if (auto *request = requestOf(replied.lookupId)) {
            find(request->number)->lookup.onReply(replied.reporter, replied.origin);
            concludeIfDecided(*request);
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
        for (const auto kind : {timer_kind::repeat, timer_kind::timeout, timer_kind::list}) {
            m_timers.cancel({kind, request.number});
        }
    }

    auto nextTimer() const -> std::optional<time_us> { return m_timers.next(); }
    auto onTimer() -> void
    {
        while (const auto key = m_timers.popDue(m_clock.now())) {
            auto *request = m_host.findRequest(key->number);
            auto *pending = find(key->number);
            if (!request || !pending) {
                continue;
            }
            switch (key->kind) {
            case timer_kind::repeat:
                // Which reporters are asked changes with the list.
                pending->listRequested && pending->listReadAt < pending->beganAt
                    ? begin(*request, *pending)
                    : ask(*request, *pending);
                break;
            case timer_kind::timeout:
                conclude(*request);
                break;
            case timer_kind::list:
                pending->awaitsList = false;
                pending->listTimedOut = true;
                conclude(*request);
                break;
            }
        }
    }

private:
    enum class timer_kind { repeat, timeout, list };
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
        /// Of the reporters that are asked at present.
        std::uint64_t lookupId = 0;
        /// What this entry knows by itself; reporters are not asked then.
        std::optional<stream_origin> known;
        origin_lookup lookup;
        /// When the list was read whose reporters have been asked.
        time_us listReadAt{INT64_MIN / 2};
        bool listRequested = false;
        bool awaitsList = false;
        bool listTimedOut = false;
    };

    auto find(std::uint64_t number) -> pending_lookup *
    {
        const auto found = m_lookups.find(number);
        return found == m_lookups.end() ? nullptr : &found->second;
    }
    /// The request whose lookup has asked reporters under an id; null if it asks others now.
    auto requestOf(std::uint64_t lookupId) -> request_state *
    {
        const auto found = std::find_if(m_lookups.begin(), m_lookups.end(), [&](const auto &one) {
            return one.second.lookupId == lookupId;
        });
        return found == m_lookups.end() ? nullptr : m_host.findRequest(found->first);
    }
    auto begin(const request_state &request, pending_lookup &pending) -> void
    {
        const auto now = m_clock.now();
        pending.lookupId = m_host.nextAskId();
        pending.lookup.restart();
        ask(request, pending);
        m_timers.set({timer_kind::repeat, request.number}, now + m_options.repeatUs);
        m_timers.set({timer_kind::timeout, request.number}, now + m_options.timeoutUs);
    }
    auto ask(const request_state &request, const pending_lookup &pending) -> void
    {
        m_host.toReporter(find_origin{.lookupId = pending.lookupId,
                                      .requestId = request.request->generation.resumedRequestId});
    }
    auto concludeIfDecided(request_state &request) -> void
    {
        const auto &pending = *find(request.number);
        if (!pending.awaitsList && pending.lookup.isDecided()) {
            conclude(request);
        }
    }
    /// No reply that is still expected changes the result: ends the lookup, or asks for the list if
    /// that may show more.
    auto conclude(request_state &request) -> void
    {
        auto &pending = *find(request.number);
        const auto origin = pending.known.value_or(pending.lookup.origin());
        const auto delivered = origin.evidence == origin_evidence::delivered;
        const auto hasServer
            = delivered
              && m_directory.continuationOf({.software = origin.software}, m_clock.now())
                     != continuation::none;
        const auto reportersKnown = delivered || pending.listReadAt >= pending.beganAt;
        const auto listCurrent = m_listReadAt >= pending.beganAt && reportersKnown;
        if (!hasServer && !listCurrent && !pending.listTimedOut && m_directory.isListAvailable()) {
            awaitList(request, pending);
            return;
        }
        const auto settled = listCurrent && (delivered || !pending.lookup.isIncomplete());
        finish(request, origin,
               settled ? origin_certainty::settled : origin_certainty::preliminary);
    }
    auto awaitList(const request_state &request, pending_lookup &pending) -> void
    {
        const auto now = m_clock.now();
        m_timers.cancel({timer_kind::timeout, request.number});
        if (!std::exchange(pending.listRequested, true)) {
            m_timers.set({timer_kind::list, request.number}, now + m_options.listTimeoutUs);
        }
        if (m_listReadAt >= pending.beganAt) {
            // The duty that asks reporters has not read the list yet that is known here.
            m_timers.set({timer_kind::repeat, request.number}, now + m_options.repeatUs);
            return;
        }
        m_timers.cancel({timer_kind::repeat, request.number});
        pending.awaitsList = true;
        m_host.toReporter(request_list{.since = pending.beganAt});
    }
    auto finish(request_state &request, const stream_origin &origin, origin_certainty certainty)
        -> void
    {
        const auto *pending = find(request.number);
        const auto known = origin.evidence == origin_evidence::delivered
                           || (origin.evidence == origin_evidence::ran
                               && certainty == origin_certainty::settled);
        const auto tookUs = pending ? m_clock.now() - pending->beganAt : 0;
        const auto asked = pending && !pending->known;
        m_host.log(log_event::origin_resolved, request,
                   {{"resumes", request.request->generation.resumedRequestId},
                    {"evidence", std::string(nameOf(origin.evidence))},
                    {"certainty", std::string(nameOf(certainty))},
                    {"version", origin.software.version},
                    {"asked", std::int64_t{asked}},
                    {"replies", static_cast<std::int64_t>(asked ? pending->lookup.replies() : 0)},
                    {"unheard", static_cast<std::int64_t>(asked ? pending->lookup.unheard() : 0)},
                    {"took_ms", tookUs / US_PER_MS}});
        cancel(request);
        if (known) {
            request.origin = run_origin{.software = origin.software};
            m_host.onOriginKnown(request, certainty);
        } else {
            m_host.onOriginUnknown(request, certainty);
        }
    }

    stream_origins_options m_options;
    Clock m_clock;
    const server_directory &m_directory;
    Host &m_host;
    origin_log m_log;
    /// When the latest list was read that is known here.
    time_us m_listReadAt{INT64_MIN / 2};
    /// By the number of the request.
    std::map<std::uint64_t, pending_lookup> m_lookups;
    timer_queue<timer_key> m_timers;
};

} // namespace marjoram
