#include "reporting/reportsduty.h"

#include "framework/ring/ringends.h"
#include "reporting/datagramsocket.h"
#include "reporting/reportorder.h"

#include "framework/global/identifiers.h"
#include "serverviews/softwarehistory.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <set>
#include <unordered_map>

namespace marjoram {

namespace {

/// Reports that may wait for space in the ring. Few, since a report is useless once the forwarding
/// duty has a newer one.
constexpr std::size_t BACKLOG_LIMIT = 4'096;
/// Announcements that are remembered, so that each is relayed once.
constexpr std::size_t SEEN_ANNOUNCEMENT_LIMIT = 4'096;
/// Reporters to which an entry relays an announcement. One would reach all other entries; the
/// second makes up for lost datagrams.
constexpr std::size_t RELAY_COUNT = 2;
/// Reporters that keep an observation and pass it on to all entries.
constexpr std::size_t OBSERVATION_RELAY_COUNT = 3;
/// Requests to each reporter for the observations that it keeps; more than one, since datagrams get
/// lost.
constexpr std::uint32_t OBSERVATION_REQUEST_COUNT = 2;
/// Reporters beside that of the server that learn which software began a stream, and reporters that
/// are asked for it. Entries choose them alike by the request's id, from lists that may differ.
constexpr std::size_t ORIGIN_KEEPER_COUNT = 2;
constexpr std::size_t ORIGIN_REQUEST_LIMIT = 32;

auto isListed(const servers_changed &changed, const std::string &serverId) -> bool
{
    return std::any_of(changed.servers.begin(), changed.servers.end(),
                       [&serverId](const server_entry &entry) { return entry.id == serverId; });
}

auto toReport(const server_report_frame &frame) -> server_report
{
    return {.answering = frame.answering,
            .running = frame.running,
            .waiting = frame.waiting,
            .starting = frame.starting,
            .usedTokens = frame.usedTokens,
            .capacityTokens = frame.capacityTokens,
            .nextTokens = frame.nextTokens,
            .state = frame.leaving ? server_state::leaving : server_state::ready,
            .leavesMs = frame.leavesKnown ? std::optional(frame.leavesMs) : std::nullopt,
            .bornUnixMs = frame.bornUnixMs,
            .runs = frame.runs,
            .leavingForMs = frame.leavingForMs,
            .turn = frame.turn,
            .listeners = frame.listeners,
            .rateLimit = frame.rateLimitKnown ? std::optional(frame.rateLimit) : std::nullopt,
            .limitedForMs = frame.limitedForMs,
            .usPerEvent = frame.usPerEvent,
            .slowdownPercent = frame.slowdownPercent,
            .coldMilliPerSecond = frame.coldMilliPerSecond,
            .coldForMs = frame.coldForMs,
            .answeredAgoMs = frame.answeredAgoMs};
}

} // namespace

struct reports_duty::impl
{
    struct reporter_state
    {
        std::string serverId;
        std::int64_t bornUnixMs = 0;
        endpoint reporter;
        /// Empty if the published list has not named the server yet.
        std::string pool;
        /// It has answered since the server's process became known.
        bool heard = false;
        /// As the published list states it; unset if it states none.
        std::optional<server_software> software;
        report_order order;
        std::uint32_t unansweredRequests = 0;
        std::uint32_t observationRequests = 0;
        std::optional<time_us> unlistedAt;
        /// Known from an announcement, not from the published list.
        bool announced = false;
        /// A later process has been seen at its address.
        bool replaced = false;
    };

    /// Ids and start times of servers that were announced.
    using announcement_set = std::set<std::pair<std::string, std::int64_t>>;

    /// By the server's address. Several entries may share one: that of a server which crashed and
    /// of its successor, or an odd one that another writer has left.
    using reporter_map = std::unordered_multimap<std::string, reporter_state>;

    impl(reports_options given, forward_rings &rings, process_state &sharedState,
         metric_set<reports_metric> &numbers, reports_duty &outer)
        : options(std::move(given))
        , state(sharedState)
        , metrics(numbers)
        , servers(worker.context(), rings.directoryToReports, outer)
        , commands(worker.context(), rings.toReports, outer)
        , reports(worker.context(), rings.fromReports, BACKLOG_LIMIT)
        , toDirectory(worker.context(), rings.reportsToDirectory, BACKLOG_LIMIT)
        , socket(worker.context(), *this)
        , timer(worker.context())
    { }

    auto onServerList(const servers_changed &changed) -> void
    {
        listReadAt = std::max(listReadAt, changed.readAt);
        reporter_map kept;
        for (const auto &entry : changed.servers) {
            const auto address = toText(entry.address);
            const auto known = findReporter(address, entry.id);
            const auto same = known != reporters.end() && !known->second.unlistedAt
                              && known->second.bornUnixMs == entry.bornUnixMs;
            auto state = same ? std::move(known->second)
                              : reporter_state{.serverId = entry.id,
                                               .bornUnixMs = entry.bornUnixMs,
                                               .reporter = {.address = entry.address.address,
                                                            .port = options.reporterPort}};
            state.software = statedSoftware(entry);
            state.pool = entry.pool;
            if (!same) {
                requestReport(state);
            }
            kept.emplace(address, std::move(state));
        }
        // A server that was removed from the list may go on serving and reporting for a while.
        const auto now = clock.now();
        for (auto &[address, state] : reporters) {
            const auto replaced = kept.contains(address) && !state.announced;
            if (state.serverId.empty() || isListed(changed, state.serverId) || replaced) {
                continue;
            }
            state.unlistedAt = state.unlistedAt.value_or(now);
            const auto stillReports
                = state.announced && state.unansweredRequests < options.unansweredRequestLimit;
            if (stillReports || now - *state.unlistedAt < options.unlistedRetentionUs) {
                kept.emplace(address, std::move(state));
            }
        }
        reporters = std::move(kept);
    }
    auto onDatagram(const endpoint &from, frame message) -> void
    {
        if (const auto *report = std::get_if<server_report_frame>(&message)) {
            onReport(*report);
        } else if (const auto *reply = std::get_if<room_reply_frame>(&message)) {
            onRoomReply(*reply);
        } else if (auto *announcement = std::get_if<server_news_frame>(&message)) {
            onAnnouncement(std::move(*announcement));
        } else if (auto *received = std::get_if<run_observations_frame>(&message)) {
            metrics.add(reports_metric::observations_heard,
                        static_cast<std::int64_t>(received->observations.size()));
            reports.push(observations_received{std::move(received->observations)});
        } else if (auto *origin = std::get_if<origin_reply_frame>(&message)) {
            reports.push(origin_replied{
                .lookupId = origin->lookupId,
                .reporter = toText(from),
                .origin = {.evidence = origin->evidence, .software = std::move(origin->software)}});
        }
    }
    auto onAnnouncement(server_news_frame announcement) -> void
    {
        const auto where = parseEndpoint(announcement.server);
        if (!where || !isAddressable({.id = announcement.id, .address = *where})) {
            return;
        }
        // The reporter's own listeners get it without relays, perhaps before a copy to be relayed.
        if (announcement.relays < server_news_frame::MAX_RELAYS
            && isNew(relayedAnnouncements, announcement)) {
            relay(announcement);
        }
        if (!isNew(seenAnnouncements, announcement)) {
            return;
        }
        metrics.add(reports_metric::servers_announced);
        if (findReporter(announcement.server, announcement.id) == reporters.end()) {
            reporter_state state{.serverId = announcement.id,
                                 .bornUnixMs = announcement.bornUnixMs,
                                 .reporter
                                 = {.address = where->address, .port = options.reporterPort},
                                 .announced = true};
            requestReport(state);
            reporters.emplace(announcement.server, std::move(state));
        }
        const server_announced started{.entry = {.id = std::move(announcement.id),
                                                 .address = *where,
                                                 .bornUnixMs = announcement.bornUnixMs},
                                       .models = std::move(announcement.models)};
        reports.push(started);
        toDirectory.push(started);
    }
    static auto isNew(announcement_set &known, const server_news_frame &announcement) -> bool
    {
        if (known.size() >= SEEN_ANNOUNCEMENT_LIMIT) {
            known.clear();
        }
        return known.insert({announcement.id, announcement.bornUnixMs}).second;
    }
    auto relay(server_news_frame announcement) -> void
    {
        ++announcement.relays;
        for (const auto &to : pickReporters(RELAY_COUNT)) {
            socket.send(to, announcement);
        }
    }
    auto on(const share_observations &shared) -> void
    {
        for (const auto &to : pickReporters(OBSERVATION_RELAY_COUNT)) {
            for (const auto &part : framesOf(shared.observations)) {
                socket.send(to, part);
            }
        }
    }
    auto on(const share_origin &shared) -> void
    {
        const stream_origin_frame told{.requestId = shared.requestId, .software = shared.software};
        sendTo(shared.serverId, told);
        for (const auto &to : originKeepers(shared.requestId, ORIGIN_KEEPER_COUNT).answering) {
            socket.send(to, told);
        }
    }
    auto on(const find_origin &wanted) -> void
    {
        const auto keepers = originKeepers(wanted.requestId, ORIGIN_REQUEST_LIMIT);
        for (const auto &to : keepers.answering) {
            socket.send(to, origin_request_frame{.lookupId = wanted.lookupId,
                                                 .requestId = wanted.requestId});
        }
        reports.push(origin_asked{.lookupId = wanted.lookupId,
                                  .reporters = keepers.answering.size(),
                                  .unheard = keepers.unheard,
                                  .listReadAt = listReadAt});
    }
    auto on(const request_list &wanted) -> void
    {
        if (toDirectory.push(list_wanted{wanted.since})) {
            LOG(ERROR) << "request dropped: backlog limit of the directory duty exceeded";
        }
    }
    struct origin_keepers
    {
        std::vector<endpoint> answering;
        /// Silent reporters that another entry may have chosen.
        std::size_t unheard = 0;
    };
    /// Returns the reporters that come first for a request, by rendezvous hashing: those that
    /// answer, and silent ones only if no other is left.
    auto originKeepers(const std::string &requestId, std::size_t count) -> origin_keepers
    {
        struct ranked_reporter
        {
            bool silent = false;
            bool mayExist = false;
            endpoint where;
        };
        // By rank. Several servers may share an address; its reporter is one.
        std::map<std::pair<std::uint64_t, std::string>, ranked_reporter> ranked;
        for (const auto &[address, reporter] : reporters) {
            const auto where = toText(reporter.reporter);
            const auto silent = reporter.unansweredRequests > 1;
            const auto [found, added]
                = ranked.try_emplace({stableHash(requestId, stableHash(where)), where},
                                     ranked_reporter{.silent = silent, .where = reporter.reporter});
            auto &one = found->second;
            one.silent = one.silent && silent;
            one.mayExist = one.mayExist || mayExist(reporter);
        }
        origin_keepers out;
        std::vector<endpoint> silent;
        for (const auto &[rank, one] : ranked) {
            if (out.answering.size() >= count) {
                break;
            }
            (one.silent ? silent : out.answering).push_back(one.where);
            out.unheard += one.silent && one.mayExist ? 1 : 0;
        }
        if (out.answering.empty() && !silent.empty()) {
            out.answering.push_back(silent.front());
        }
        return out;
    }
    /// Picks different reporters at random, from those that answer if there are enough.
    auto pickReporters(std::size_t count) -> std::vector<endpoint>
    {
        std::vector<endpoint> answering;
        std::vector<endpoint> all;
        for (const auto &[address, state] : reporters) {
            all.push_back(state.reporter);
            // One request may be on its way.
            if (state.unansweredRequests <= 1) {
                answering.push_back(state.reporter);
            }
        }
        std::vector<endpoint> out;
        const auto &from = answering.size() >= count ? answering : all;
        std::sample(from.begin(), from.end(), std::back_inserter(out), count, random);
        return out;
    }
    auto onRoomReply(const room_reply_frame &reply) -> void
    {
        const auto states = statesFor(reply.report);
        if (states.empty()) {
            return;
        }
        markReplaced(reply.report);
        auto *state = states.front();
        noteHeard(*state);
        const auto standing = classify(*state, reply.report);
        const auto ofServer = standing != report_standing::other_process;
        reports.push(room_replied{.askId = reply.askId,
                                  .verdict = ofServer ? reply.verdict : room_verdict::not_answering,
                                  .serverId = state->serverId,
                                  .report = reportOf(*state, reply.report, standing),
                                  .expectedWaitMs = ofServer ? reply.expectedWaitMs : -1});
    }
    /// Returns what a reply to a room request shows of the server's process, if anything.
    auto reportOf(const reporter_state &state, const server_report_frame &frame,
                  report_standing standing) const -> std::optional<server_report>
    {
        if (isTaken(standing)) {
            return received(frame);
        }
        const auto ended = standing == report_standing::other_process && state.replaced;
        return ended ? std::optional(server_report{.answering = false}) : std::nullopt;
    }
    auto noteHeard(reporter_state &reporter) -> void
    {
        reporter.unansweredRequests = 0;
        reporter.heard = true;
        if (!reporter.pool.empty()) {
            reportingPools.insert(reporter.pool);
        }
    }
    /// Whether a reporter may be there that is silent: the servers of a pool all have one, or none.
    auto mayExist(const reporter_state &reporter) const -> bool
    {
        return reporter.heard || reporter.pool.empty() || reportingPools.contains(reporter.pool)
               || reporter.unansweredRequests < options.unansweredRequestLimit;
    }
    auto findReporter(const std::string &address, const std::string &serverId)
        -> reporter_map::iterator
    {
        const auto [begin, end] = reporters.equal_range(address);
        const auto found = std::find_if(begin, end, [&serverId](const auto &named) {
            return named.second.serverId == serverId;
        });
        return found == end ? reporters.end() : found;
    }
    /// Returns the states of the servers that a report may be about: those at its address with its
    /// start, or all at its address if none has it.
    auto statesFor(const server_report_frame &report) -> std::vector<reporter_state *>
    {
        std::vector<reporter_state *> sameStart;
        std::vector<reporter_state *> all;
        const auto [begin, end] = reporters.equal_range(report.server);
        for (auto at = begin; at != end; ++at) {
            all.push_back(&at->second);
            if (at->second.bornUnixMs == report.bornUnixMs) {
                sameStart.push_back(&at->second);
            }
        }
        return sameStart.empty() ? all : sameStart;
    }
    auto on(const request_room &asked) -> void
    {
        sendTo(asked.serverId, room_request_frame{.askId = asked.askId,
                                                  .requestId = asked.requestId,
                                                  .expectedTokens = asked.expectedTokens,
                                                  .promptsAhead = asked.promptsAhead,
                                                  .outputTokens = asked.outputTokens,
                                                  .landing = asked.landing,
                                                  .urgency = asked.urgency,
                                                  .team = asked.team,
                                                  .waitMs = asked.waitMs,
                                                  .startWithinMs = asked.startWithinMs,
                                                  .coldMilliPerSecond = asked.coldMilliPerSecond,
                                                  .coldForMs = asked.coldForMs});
    }
    auto on(const withdraw_room_request &withdrawn) -> void
    {
        sendTo(withdrawn.serverId,
               room_withdrawal_frame{.askId = withdrawn.askId, .requestId = withdrawn.requestId});
    }
    auto on(const notify_move &told) -> void
    {
        sendTo(told.serverId, move_note_frame{.requestId = told.requestId, .note = told.note});
    }
    auto on(const share_rate_limit &seen) -> void
    {
        sendTo(seen.serverId,
               rate_limit_frame{.rateLimit = {.milliPerSecond = seen.milliPerSecond}});
    }
    auto sendTo(const std::string &serverId, const frame &message) -> void
    {
        const auto found
            = std::find_if(reporters.begin(), reporters.end(), [&serverId](const auto &named) {
                  return named.second.serverId == serverId;
              });
        if (found != reporters.end()) {
            socket.send(found->second.reporter, message);
        }
    }
    auto onReport(const server_report_frame &report) -> void
    {
        markReplaced(report);
        for (auto *state : statesFor(report)) {
            onReport(*state, report);
        }
    }
    /// An address has one process: an entry with an earlier start is that of one which has ended.
    auto markReplaced(const server_report_frame &report) -> void
    {
        const auto [begin, end] = reporters.equal_range(report.server);
        for (auto at = begin; at != end; ++at) {
            auto &state = at->second;
            const auto earlier = state.bornUnixMs != 0 && state.bornUnixMs < report.bornUnixMs;
            if (earlier && !std::exchange(state.replaced, true)) {
                reports.push(server_replaced{state.serverId});
            }
        }
    }
    auto onReport(reporter_state &state, const server_report_frame &report) -> void
    {
        noteHeard(state);
        if (isTaken(classify(state, report))) {
            reports.push(server_reported{.serverId = state.serverId, .report = received(report)});
        }
    }
    /// Classifies a report and counts it.
    auto classify(reporter_state &state, const server_report_frame &report) -> report_standing
    {
        const auto standing
            = state.order.classify(report, state.bornUnixMs, startedAt, clock.now());
        switch (standing) {
        case report_standing::latest:
            metrics.add(reports_metric::reports_heard);
            if (state.order.reporterRestarted()) {
                metrics.add(reports_metric::reporter_restarts);
            }
            break;
        case report_standing::undated:
            metrics.add(reports_metric::reports_undated);
            break;
        case report_standing::outdated:
            metrics.add(reports_metric::reports_stale);
            break;
        case report_standing::other_process:
            metrics.add(reports_metric::reports_of_other_process);
            break;
        }
        return standing;
    }
    /// Whether the state that a report describes is passed on. An undated report is: a reporter
    /// that has just started may get a request for room before one for reports.
    static auto isTaken(report_standing standing) -> bool
    {
        return standing == report_standing::latest || standing == report_standing::undated;
    }
    auto received(const server_report_frame &frame) const -> server_report
    {
        auto out = toReport(frame);
        out.delayMs = delayMsOf(frame, startedAt, clock.now());
        return out;
    }
    auto requestReport(reporter_state &state) -> void
    {
        ++state.unansweredRequests;
        metrics.add(reports_metric::report_requests);
        socket.send(state.reporter,
                    report_request_frame{.host = options.host,
                                         .bornUnixMs = state.software ? state.bornUnixMs : 0,
                                         .software = state.software.value_or(server_software{}),
                                         .sentAtUs = clock.now().value});
        if (state.observationRequests < OBSERVATION_REQUEST_COUNT) {
            ++state.observationRequests;
            socket.send(state.reporter, observations_request_frame{.host = options.host});
        }
    }
    auto requestReports() -> void
    {
        state.pauses.noteActive(clock.now());
        ++round;
        for (auto &[address, reporter] : reporters) {
            if (reporter.unansweredRequests < options.unansweredRequestLimit
                || round % options.retryRounds == 0) {
                requestReport(reporter);
            }
            if (!mayExist(reporter)) {
                reports.push(reporter_absent{reporter.serverId});
            }
        }
        timer.expires_after(std::chrono::microseconds(options.requestIntervalUs));
        timer.async_wait([this](boost::system::error_code error) {
            if (!error) {
                requestReports();
            }
        });
    }

    reports_options options;
    process_state &state;
    system_clock_source clock;
    /// A request that was sent before is not of this process.
    const time_us startedAt = clock.now();
    metric_set<reports_metric> &metrics;
    duty worker{"reports"};
    ring_reader<servers_changed, reports_duty> servers;
    ring_reader<reporter_command, reports_duty> commands;
    ring_writer<report_event> reports;
    ring_writer<directory_request> toDirectory;
    datagram_socket<impl> socket;
    boost::asio::steady_timer timer;
    reporter_map reporters;
    /// Pools of which a server's reporter has been heard.
    std::set<std::string> reportingPools;
    /// See servers_changed.
    time_us listReadAt;
    std::uint64_t round = 0;
    random_source random{systemSeed()};
    announcement_set seenAnnouncements;
    announcement_set relayedAnnouncements;
};

reports_duty::reports_duty(reports_options options, forward_rings &rings, process_state &state)
    : m_impl(std::make_unique<impl>(std::move(options), rings, state, m_metrics, *this))
{ }

reports_duty::~reports_duty()
{
    stop();
}

auto reports_duty::listen() -> std::error_code
{
    return m_impl->socket.open(m_impl->options.listen);
}

auto reports_duty::start() -> void
{
    m_impl->servers.start();
    m_impl->commands.start();
    m_impl->socket.start();
    boost::asio::post(m_impl->worker.context(), [this] { m_impl->requestReports(); });
    m_impl->worker.start();
}

auto reports_duty::requestStop() -> void
{
    m_impl->worker.requestStop();
}

auto reports_duty::stop() -> void
{
    m_impl->worker.stop();
}

auto reports_duty::handle(servers_changed &&changed) -> void
{
    m_impl->onServerList(changed);
}

auto reports_duty::handle(reporter_command &&command) -> void
{
    std::visit([this](const auto &one) { m_impl->on(one); }, command);
}

} // namespace marjoram
