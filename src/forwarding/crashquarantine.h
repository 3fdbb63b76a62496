#pragma once

#include "forwarding/forwardrings.h"
#include "forwarding/requeststate.h"
#include "framework/eventlog/eventlog.h"
#include "framework/global/identifiers.h"
#include "framework/global/timerqueue.h"
#include "quarantine/crashevidence.h"
#include "serverviews/serverdirectory.h"

#include <algorithm>
#include <deque>
#include <unordered_map>

namespace marjoram {

/// Options of crash_quarantine.
struct crash_quarantine_options
{
    crash_evidence_options evidence;
    /// Events after which a run has survived its start. One that is lost later is not blamed for
    /// the crash.
    std::uint64_t eventsToSurvive = 16;
    /// Longest time between the loss of a run and the sign that its server has crashed.
    std::int64_t crashConfirmationUs = 1'500 * US_PER_MS;
    /// Survivors are shared after a random delay, so that one entry does it for all.
    std::int64_t maxSurvivorDelayUs = 600 * US_PER_MS;
    /// Interval at which the evidence of quarantines in force is shared again, since the reporters
    /// that kept it may have restarted.
    std::int64_t reshareIntervalUs = 5 * US_PER_SECOND;
};

/// Functions that the quarantine needs from its host.
template <typename H>
concept quarantine_host = requires(H &host, reporter_command command, log_event event,
                                   const std::string &id, std::vector<log_field> fields)
{
    host.toReporter(command);
    host.logEvent(event, id, fields);
    host.onQuarantineChanged();
};

/// Keeps requests that crash servers away from them. A run counts as evidence if it is lost near
/// its start and its server turns out to have crashed. Entries share what they see, since each
/// crash is seen by a few of them only. Not thread safe: belongs to one duty.
template <clock_source Clock, typename Host>
class crash_quarantine
{
public:
    /// Precondition: `directory` and `host` outlive the quarantine.
    crash_quarantine(crash_quarantine_options options, Clock clock, std::uint64_t seed,
                     const server_directory &directory, Host &host)
        : m_options(options)
        , m_clock(clock)
        , m_random(seed)
        , m_directory(directory)
        , m_host(host)
        , m_evidence(options.evidence)
    {
        static_assert(quarantine_host<Host>);
    }

    /// Returns when the quarantine of such requests ends; nullopt if there is none.
    auto quarantinedUntil(const forward_request &request) const -> std::optional<time_us>
    {
        return m_evidence.signatures().empty()
                   ? std::nullopt
                   : m_evidence.quarantinedUntil(traitsOf(request), m_clock.now());
    }
    /// Whether runs of such requests have been lost in several crashes, so that a repeat of one
    /// that was lost near its start may crash another server.
    auto isSuspected(const request_state &request) const -> bool
    {
        return request.run.events < m_options.eventsToSurvive
               && m_evidence.isSuspected(traitsOf(*request.request));
    }
    /// Number of quarantines in force.
    auto activeCount() const -> std::size_t { return m_evidence.activeCount(m_clock.now()); }

    // --- runs of this entry

    /// The connection of a run broke. Precondition: something had been sent.
    auto onRunLost(const request_state &request) -> void
    {
        const auto &run = request.run;
        const auto *view = m_directory.find(run.serverId);
        // A server that shuts down as announced has not crashed.
        if (run.events >= m_options.eventsToSurvive || (view && view->leaving())) {
            return;
        }
        const auto now = m_clock.now();
        dropUnconfirmed(now);
        m_unconfirmed.push_back({.seen = {.fate = run_fate::lost_in_crash,
                                          .serverId = run.serverId,
                                          .requestId = request.request->requestId,
                                          .attempt = request.sends,
                                          .traits = traitsOf(*request.request)},
                                 .at = now});
        if (m_downSince.contains(run.serverId)) {
            confirmLosses(run.serverId);
        }
    }
    /// Call when a run has passed on events, or when its server has answered it to the end.
    auto onRunProgress(request_state &request, bool complete) -> void
    {
        auto &run = request.run;
        const auto survived = complete || run.events >= m_options.eventsToSurvive;
        if (!survived || std::exchange(run.survivedStart, true)) {
            return;
        }
        const auto now = m_clock.now();
        const auto suspects = m_evidence.suspectsAmong(traitsOf(*request.request));
        for (const auto trait : suspects) {
            const auto width = static_cast<std::uint64_t>(m_options.maxSurvivorDelayUs);
            const run_observation seen{.fate = run_fate::survived,
                                       .serverId = run.serverId,
                                       .requestId = request.request->requestId,
                                       .traits = {trait}};
            m_survivors.insert_or_assign(trait, delayed_observation{.seen = seen, .at = now});
            m_timers.set(trait, now + static_cast<std::int64_t>(m_random() % width));
            add({seen});
        }
    }

    // --- servers

    /// A server does not answer or refuses connections.
    auto onServerDown(const std::string &serverId) -> void
    {
        m_downSince.insert_or_assign(serverId, m_clock.now());
        confirmLosses(serverId);
    }
    /// A process has started under the id of a server, so an earlier one has ended.
    auto onServerStarted(const std::string &serverId) -> void { confirmLosses(serverId); }

    // --- other entries

    auto onObservations(const std::vector<run_observation> &observations) -> void
    {
        for (const auto &seen : observations) {
            if (seen.fate == run_fate::survived) {
                for (const auto trait : seen.traits) {
                    m_survivors.erase(trait);
                    m_timers.cancel(trait);
                }
            }
        }
        add(observations);
    }

    // --- time

    auto nextTimer() const -> std::optional<time_us>
    {
        const auto survivors = m_timers.next();
        return survivors && m_reshareAt ? std::min(*survivors, *m_reshareAt)
                                        : (survivors ? survivors : m_reshareAt);
    }
    auto onTimer() -> void
    {
        shareSurvivors();
        if (m_reshareAt && *m_reshareAt <= m_clock.now()) {
            reshare();
        }
    }

private:
    /// An observation that is confirmed or shared later.
    struct delayed_observation
    {
        run_observation seen;
        time_us at;
    };

    /// Turns the runs that were just lost on a server into evidence, since it has crashed.
    auto confirmLosses(const std::string &serverId) -> void
    {
        const auto now = m_clock.now();
        dropUnconfirmed(now);
        std::vector<run_observation> confirmed;
        std::erase_if(m_unconfirmed, [&](delayed_observation &loss) {
            if (loss.seen.serverId != serverId) {
                return false;
            }
            loss.seen.ageMs = (now - loss.at) / US_PER_MS;
            confirmed.push_back(std::move(loss.seen));
            return true;
        });
        for (const auto &seen : confirmed) {
            m_host.logEvent(log_event::run_lost_in_crash, seen.requestId,
                            {{"server", seen.serverId},
                             {"traits", hexText(seen.traits)},
                             {"age_ms", seen.ageMs}});
        }
        if (!confirmed.empty()) {
            add(confirmed);
            m_host.toReporter(share_observations{std::move(confirmed)});
        }
    }
    auto shareSurvivors() -> void
    {
        std::vector<run_observation> due;
        while (const auto trait = m_timers.popDue(m_clock.now())) {
            const auto found = m_survivors.find(*trait);
            if (found != m_survivors.end()) {
                due.push_back(std::move(found->second.seen));
                due.back().ageMs = (m_clock.now() - found->second.at) / US_PER_MS;
                m_survivors.erase(found);
            }
        }
        if (!due.empty()) {
            m_host.toReporter(share_observations{std::move(due)});
        }
    }
    auto reshare() -> void
    {
        auto observations = m_evidence.supportingObservations(m_clock.now());
        m_reshareAt.reset();
        if (!observations.empty()) {
            scheduleReshare();
            m_host.toReporter(share_observations{std::move(observations)});
        }
    }
    auto scheduleReshare() -> void { m_reshareAt = m_clock.now() + m_options.reshareIntervalUs; }
    auto add(const std::vector<run_observation> &observations) -> void
    {
        const auto before = m_evidence.signatures();
        for (const auto &seen : observations) {
            m_evidence.add(seen, m_clock.now());
        }
        if (m_evidence.signatures() != before) {
            logChanges(before);
            m_host.onQuarantineChanged();
            if (!m_reshareAt) {
                scheduleReshare();
            }
        }
    }
    auto logChanges(const std::vector<crash_signature> &before) -> void
    {
        const auto has = [](const std::vector<crash_signature> &among, const crash_signature &one) {
            return std::any_of(among.begin(), among.end(), [&one](const crash_signature &other) {
                return other.traits == one.traits;
            });
        };
        for (const auto &signature : m_evidence.signatures()) {
            if (!has(before, signature)) {
                logQuarantine("started", signature);
            }
        }
        for (const auto &signature : before) {
            if (!has(m_evidence.signatures(), signature)) {
                logQuarantine("withdrawn", signature);
            }
        }
    }
    auto logQuarantine(std::string_view outcome, const crash_signature &signature) -> void
    {
        m_host.logEvent(log_event::quarantine_changed, {},
                        {{"outcome", std::string(outcome)},
                         {"traits", hexText(signature.traits)},
                         {"crashes", static_cast<std::int64_t>(signature.crashes)},
                         {"ends_in_ms", (signature.until - m_clock.now()) / US_PER_MS}});
    }
    auto dropUnconfirmed(time_us now) -> void
    {
        std::erase_if(m_unconfirmed, [&](const delayed_observation &loss) {
            return now - loss.at > m_options.crashConfirmationUs;
        });
        std::erase_if(m_downSince, [&](const auto &named) {
            return now - named.second > m_options.crashConfirmationUs;
        });
    }

    crash_quarantine_options m_options;
    Clock m_clock;
    random_source m_random;
    const server_directory &m_directory;
    Host &m_host;
    crash_evidence m_evidence;
    /// Lost runs whose server has not shown yet that it crashed.
    std::deque<delayed_observation> m_unconfirmed;
    /// When a server last showed that it was down, by its id.
    std::unordered_map<std::string, time_us> m_downSince;
    /// Survivors that are not shared yet, by trait.
    std::unordered_map<std::uint64_t, delayed_observation> m_survivors;
    timer_queue<std::uint64_t> m_timers;
    std::optional<time_us> m_reshareAt;
};

} // namespace marjoram
