#pragma once

#include "configuration/processstate.h"
#include "directory/directoryoptions.h"
#include "directory/feed.h"
#include "directory/operatoritems.h"
#include "forwarding/forwardrings.h"
#include "framework/eventlog/eventlog.h"
#include "framework/metrics/metricset.h"
#include "framework/ring/duty.h"
#include "framework/ring/ringends.h"

#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>

namespace marjoram {

/// Metrics of directory_duty.
enum class directory_metric {
    configuration_version,
    configurations_refused,
    directory_servers,
    service_lost,
    service_failures,
    configuration_answered_unix_ms,
    servers_answered_unix_ms,
    configuration_max_age_ms,
};
inline constexpr std::array directoryMetricNames{
    enum_name<directory_metric>{directory_metric::configuration_version, "configuration_version"},
    enum_name<directory_metric>{directory_metric::configurations_refused, "configurations_refused"},
    enum_name<directory_metric>{directory_metric::directory_servers, "directory_servers"},
    enum_name<directory_metric>{directory_metric::service_lost, "directory_service_lost"},
    enum_name<directory_metric>{directory_metric::service_failures, "directory_service_failures"},
    enum_name<directory_metric>{directory_metric::configuration_answered_unix_ms,
                                "directory_configuration_answered_unix_ms"},
    enum_name<directory_metric>{directory_metric::servers_answered_unix_ms,
                                "directory_servers_answered_unix_ms"},
    enum_name<directory_metric>{directory_metric::configuration_max_age_ms,
                                "configuration_max_age_ms"},
};
constexpr auto namesOf(directory_metric) -> const auto &
{
    return directoryMetricNames;
}

/// Duty that keeps a copy of the configuration and of the list of backend servers, which it reads
/// from the directory service. The version of the configuration never decreases.
template <template <typename> typename Source>
class directory_duty
{
public:
    using source_type = Source<directory_duty>;

    /// Preconditions: references outlive the duty.
    template <typename SourceOptions>
    directory_duty(directory_options options, SourceOptions source, forward_rings &rings,
                   log_writer log, process_state &state)
        : m_source(m_worker.context(), source, *this)
        , m_events(m_worker.context(), rings.fromDirectory, BACKLOG_LIMIT)
        , m_toReports(m_worker.context(), rings.directoryToReports, BACKLOG_LIMIT)
        , m_requests(m_worker.context(), rings.reportsToDirectory, *this)
        , m_timer(m_worker.context())
        , m_log(log)
        , m_state(state)
        , m_configurationSink{*this}
        , m_serversSink{*this}
        , m_configuration(options.configuration, m_clock, systemSeed(), m_configurationSink)
        , m_servers(options.servers, m_clock, systemSeed(), m_serversSink)
    {
        static_assert(directory_source<source_type>);
    }
    ~directory_duty() { stop(); }

    auto start() -> void
    {
        m_requests.start();
        boost::asio::post(m_worker.context(), [this] {
            m_configurationConfirmedAt = m_clock.now();
            m_configuration.start();
            m_servers.start();
            scheduleTimer();
        });
        m_worker.start();
    }
    /// See duty::requestStop().
    auto requestStop() -> void { m_worker.requestStop(); }
    auto stop() -> void { m_worker.stop(); }
    /// Thread safe.
    auto metrics() const -> const metric_set<directory_metric> & { return m_metrics; }

    // --- called by the ring reader on the duty's thread

    auto handle(directory_request &&request) -> void
    {
        std::visit([this](const auto &one) { this->on(one); }, request);
        scheduleTimer();
    }

    // --- called by the source on the duty's thread

    auto onPage(published_page<operator_item> page) -> void
    {
        m_configuration.onPage(std::move(page));
        scheduleTimer();
    }
    auto onPage(published_page<server_entry> page) -> void
    {
        m_servers.onPage(std::move(page));
        scheduleTimer();
    }
    auto onChanges(std::vector<published<operator_item>> changes, const history_position &position)
        -> void
    {
        m_configuration.onChanges(std::move(changes), position.revision, position.generation);
        scheduleTimer();
    }
    auto onChanges(std::vector<published<server_entry>> changes, const history_position &position)
        -> void
    {
        m_servers.onChanges(std::move(changes), position.revision, position.generation);
        scheduleTimer();
    }
    auto onCompacted(feed_kind kind) -> void
    {
        m_log.write(log_event::dependency_lost,
                    {{"dependency", std::string("history_of_") + std::string(nameOf(kind))}});
        kind == feed_kind::configuration ? m_configuration.onCompacted() : m_servers.onCompacted();
        scheduleTimer();
    }
    auto onProgress(feed_kind kind, std::size_t bytes) -> void
    {
        kind == feed_kind::configuration ? m_configuration.onProgress(bytes)
                                         : m_servers.onProgress(bytes);
        scheduleTimer();
    }
    auto onFailed(feed_kind kind, std::error_code error) -> void
    {
        m_lastError = error;
        kind == feed_kind::configuration ? m_configuration.onFailed() : m_servers.onFailed();
        scheduleTimer();
    }

private:
    static constexpr std::size_t BACKLOG_LIMIT = 1 << 14;
    /// Time within which a server that has started writes its entry.
    static constexpr std::int64_t LISTING_TIME_US = 2'500 * US_PER_MS;

    /// Actions common to both feeds.
    struct feed_sink
    {
        directory_duty &duty;
        feed_kind kind;

        auto list(const std::string &after) -> void { duty.m_source.list(kind, after); }
        auto watch(std::uint64_t revision, std::int64_t longPollMs) -> void
        {
            duty.m_source.watch(kind, revision, longPollMs);
        }
        auto abandon() -> void { duty.abandon(kind); }
        auto onCallFailed(const call_failure &failure) -> void { duty.onCallFailed(kind, failure); }
        auto onServiceLost() -> void { duty.onServiceLost(kind); }
        auto onServiceRegained(const service_outage &outage) -> void
        {
            duty.onServiceRegained(kind, outage);
        }
        auto onHistory(history_order order, const history_position &known,
                       const history_position &answered) -> void
        {
            duty.onHistory(kind, order, known, answered);
        }
    };
    struct configuration_sink : feed_sink
    {
        explicit configuration_sink(directory_duty &owner)
            : feed_sink{owner, feed_kind::configuration}
        { }
        auto onPublished(const published<operator_item> &item) -> void
        {
            this->duty.onOperatorItem(item);
        }
        auto onSynced() -> void
        {
            this->duty.applyOperatorItems();
            this->duty.m_configurationConfirmedAt = this->duty.m_clock.now();
            this->duty.onAnswered(directory_metric::configuration_answered_unix_ms);
        }
    };
    struct servers_sink : feed_sink
    {
        explicit servers_sink(directory_duty &owner)
            : feed_sink{owner, feed_kind::servers}
        { }
        auto onPublished(const published<server_entry> &item) -> void
        {
            if (item.value) {
                this->duty.onListed(item.value->id);
            }
        }
        auto onSynced() -> void
        {
            this->duty.onAnswered(directory_metric::servers_answered_unix_ms);
            this->duty.publishServers();
        }
    };

    /// Reads the list sooner if it lacks a server that has just started.
    auto on(const server_announced &announced) -> void
    {
        const auto &started = announced.entry;
        const auto listed = std::any_of(
            m_servers.items().begin(), m_servers.items().end(), [&](const auto &named) {
                const auto &entry = named.second.value;
                return entry && entry->id == started.id && entry->bornUnixMs == started.bornUnixMs;
            });
        if (listed) {
            return;
        }
        const auto until = m_clock.now() + LISTING_TIME_US;
        m_awaited.insert_or_assign(started.id, until);
        m_servers.expectChange(until);
    }
    auto on(const list_wanted &wanted) -> void
    {
        m_listWantedSince = std::max(m_listWantedSince.value_or(wanted.since), wanted.since);
        m_servers.refresh();
    }
    auto onOperatorItem(const published<operator_item> &item) -> void
    {
        const auto *request = item.value ? std::get_if<evacuation_request>(&*item.value) : nullptr;
        if (request && request->dataCentre.empty()) {
            m_log.write(log_event::evacuation_refused,
                        {{"key_bytes", static_cast<std::int64_t>(item.key.size())}});
        }
        m_operatorItems.onPublished(item);
    }
    auto applyOperatorItems() -> void
    {
        auto changes = m_operatorItems.onSynced(m_configuration.items());
        if (changes.evacuated) {
            publish(evacuations_changed{std::move(*changes.evacuated)});
        }
        if (changes.configuration) {
            applyConfiguration(*changes.configuration);
        }
    }
    auto applyConfiguration(const std::string &text) -> void
    {
        auto content = source_type::readRouteTable(text);
        if (!content) {
            m_metrics.add(directory_metric::configurations_refused);
            m_log.write(log_event::configuration_refused,
                        {{"reason", content.error().message()},
                         {"bytes", static_cast<std::int64_t>(text.size())}});
            return;
        }
        if (m_table && content->version <= m_table->version()) {
            if (content->version < m_table->version()) {
                m_log.write(log_event::configuration_outdated,
                            {{"version", static_cast<std::int64_t>(content->version)},
                             {"in_force", static_cast<std::int64_t>(m_table->version())}});
            }
            return;
        }
        const auto first = !m_table;
        m_table = std::make_shared<const route_table>(std::move(*content));
        const auto version = static_cast<std::int64_t>(m_table->version());
        m_metrics.set(directory_metric::configuration_version, version);
        // It was published after the answer before, which did not have it yet.
        const auto maxAgeMs = (m_clock.now() - m_configurationConfirmedAt) / US_PER_MS;
        if (!first) {
            m_longestAgeMs = std::max(m_longestAgeMs, maxAgeMs);
            m_metrics.set(directory_metric::configuration_max_age_ms, m_longestAgeMs);
        }
        m_log.write(log_event::configuration_in_force,
                    {{"version", version},
                     {"routes", static_cast<std::int64_t>(m_table->content().routes.size())},
                     {"teams", static_cast<std::int64_t>(m_table->content().teams.size())},
                     {"bytes", static_cast<std::int64_t>(text.size())},
                     {"max_age_ms", maxAgeMs}});
        publish(table_changed{m_table});
        updateReady();
    }
    /// The list has been read sooner for the sake of servers that it lacked.
    auto onListed(const std::string &id) -> void
    {
        const auto now = m_clock.now();
        m_awaited.erase(id);
        std::erase_if(m_awaited, [now](const auto &named) { return named.second <= now; });
        if (m_awaited.empty()) {
            m_servers.endExpectation();
        }
    }
    auto publishServers() -> void
    {
        std::vector<server_entry> entries;
        for (const auto &[key, item] : m_servers.items()) {
            if (item.value) {
                entries.push_back(*item.value);
            }
        }
        const auto readAt = m_servers.readAt();
        const auto wanted = m_listWantedSince && *m_listWantedSince <= readAt;
        if (wanted) {
            m_listWantedSince.reset();
        }
        if (m_serversListed && entries == m_lastServers && !wanted) {
            return;
        }
        m_serversListed = true;
        m_lastServers = entries;
        m_metrics.set(directory_metric::directory_servers,
                      static_cast<std::int64_t>(entries.size()));
        if (m_toReports.push(servers_changed{.servers = entries, .readAt = readAt})) {
            LOG(ERROR) << "server list dropped: backlog limit of the reports duty exceeded";
        }
        publish(servers_changed{.servers = std::move(entries), .readAt = readAt});
        updateReady();
    }
    auto updateReady() -> void { m_state.ready = m_table != nullptr && m_serversListed; }
    auto abandon(feed_kind kind) -> void
    {
        m_lastError = make_error_code(feed_error::overdue);
        m_source.abandon(kind);
    }
    auto onAnswered(directory_metric metric) -> void { m_metrics.set(metric, m_clock.unixMs()); }
    auto onCallFailed(feed_kind kind, const call_failure &failure) -> void
    {
        m_metrics.add(directory_metric::service_failures);
        m_log.write(log_event::directory_call_failed,
                    {{"feed", std::string(nameOf(kind))},
                     {"call", std::string(nameOf(failure.call))},
                     {"error", m_lastError.message()},
                     {"call_ms", failure.callUs / US_PER_MS},
                     {"received_bytes", static_cast<std::int64_t>(failure.receivedBytes)},
                     {"failures", static_cast<std::int64_t>(failure.failures)},
                     {"retry_ms", failure.retryInUs / US_PER_MS}});
    }
    auto onServiceLost(feed_kind kind) -> void
    {
        if (kind == feed_kind::servers) {
            publish(list_availability_changed{false});
        }
        m_metrics.add(directory_metric::service_lost);
        m_log.write(log_event::dependency_lost, {{"dependency", std::string("directory_service")},
                                                 {"feed", std::string(nameOf(kind))},
                                                 {"error", m_lastError.message()}});
    }
    auto onServiceRegained(feed_kind kind, const service_outage &outage) -> void
    {
        if (kind == feed_kind::servers) {
            publish(list_availability_changed{true});
        }
        m_metrics.add(directory_metric::service_lost, -1);
        m_log.write(log_event::dependency_regained,
                    {{"dependency", std::string("directory_service")},
                     {"feed", std::string(nameOf(kind))},
                     {"unanswered_ms", outage.unansweredUs / US_PER_MS},
                     {"failures", static_cast<std::int64_t>(outage.failures)}});
    }
    auto onHistory(feed_kind kind, history_order order, const history_position &known,
                   const history_position &answered) -> void
    {
        if (order == history_order::outdated) {
            m_lastError = make_error_code(feed_error::outdated);
        }
        constexpr std::int64_t UNKNOWN = -1;
        const auto generationOf = [](const history_position &position) {
            return position.generation ? static_cast<std::int64_t>(*position.generation) : UNKNOWN;
        };
        m_log.write(log_event::directory_history,
                    {{"feed", std::string(nameOf(kind))},
                     {"order", std::string(nameOf(order))},
                     {"generation", generationOf(answered)},
                     {"known_generation", generationOf(known)},
                     {"revision", static_cast<std::int64_t>(answered.revision)},
                     {"known_revision", static_cast<std::int64_t>(known.revision)}});
    }
    auto publish(directory_event event) -> void
    {
        if (m_events.push(std::move(event))) {
            LOG(ERROR) << "directory change dropped: backlog limit of the forwarding duty exceeded";
        }
    }
    auto scheduleTimer() -> void
    {
        const auto a = m_configuration.nextTimer();
        const auto b = m_servers.nextTimer();
        const auto next = a && b ? std::min(*a, *b) : (a ? a : b);
        if (!next) {
            return;
        }
        const auto us = std::max<std::int64_t>(0, *next - m_clock.now());
        m_timer.expires_after(std::chrono::microseconds(us));
        m_timer.async_wait([this](boost::system::error_code error) {
            if (error) {
                return;
            }
            m_configuration.onTimer();
            m_servers.onTimer();
            scheduleTimer();
        });
    }

    system_clock_source m_clock;
    duty m_worker{"directory"};
    source_type m_source;
    ring_writer<directory_event> m_events;
    ring_writer<servers_changed> m_toReports;
    ring_reader<directory_request, directory_duty> m_requests;
    boost::asio::steady_timer m_timer;
    log_writer m_log;
    process_state &m_state;
    metric_set<directory_metric> m_metrics;
    configuration_sink m_configurationSink;
    servers_sink m_serversSink;
    operator_items m_operatorItems;
    list_watch<operator_item, system_clock_source, configuration_sink> m_configuration;
    list_watch<server_entry, system_clock_source, servers_sink> m_servers;
    /// Servers that have started and that the list lacks, and until when it may show them.
    std::map<std::string, time_us> m_awaited;
    route_table_ptr m_table;
    /// When an answer last showed which configuration is published, or the start.
    time_us m_configurationConfirmedAt;
    std::int64_t m_longestAgeMs = 0;
    std::vector<server_entry> m_lastServers;
    bool m_serversListed = false;
    /// The list is wanted as it is from then on, also if it has not changed.
    std::optional<time_us> m_listWantedSince;
    std::error_code m_lastError;
};

} // namespace marjoram
