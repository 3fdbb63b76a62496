#include "configuration/configurationduty.h"

#include "configuration/hostlistreader.h"
#include "publications/documentwatch.h"

#include <glog/logging.h>
#include <sstream>

namespace marjoram {

namespace {

constexpr std::size_t LINK_COMMAND_BACKLOG = 1 << 16;
constexpr std::size_t EVENT_BACKLOG = 1'024;
constexpr std::uint64_t OPEN_EXCHANGE_LIMIT = 4'096;
constexpr int METHOD_COUNT = static_cast<int>(controlMethodNames.size());

constexpr auto METHOD_NAMES = [] {
    std::array<const char *, controlMethodNames.size()> out{};
    for (std::size_t i = 0; i < out.size(); ++i) {
        out[i] = controlMethodNames[i].name.data();
    }
    return out;
}();

} // namespace

struct configuration_duty::impl
{
    using watch = document_watch<impl>;
    using gossip = gossip_core<system_clock_source, impl>;

    impl(configuration_options given, link_rings &links, ring<configuration_event> &toDecisions,
         process_state &shared, metric_set<configuration_metric> &numbers,
         configuration_duty &outer)
        : options(std::move(given))
        , state(shared)
        , metrics(numbers)
        , linkCommands(worker.context(), links.fromConfiguration, LINK_COMMAND_BACKLOG)
        , events(worker.context(), toDecisions, EVENT_BACKLOG)
        , linkEvents(worker.context(), links.toConfiguration, outer)
        , timer(worker.context())
        , core(options.gossip, system_clock_source{}, systemSeed(), *this)
        , rpc(METHOD_NAMES.data(), METHOD_COUNT, &impl::answer, this)
        , manifestWatch(worker.context(),
                        {.service = options.configurationService, .path = "/v1/manifest"},
                        systemSeed(), *this)
        , hostsWatch(worker.context(), {.service = options.hostList, .path = "/v1/hosts"},
                     systemSeed(), *this)
    { }

    // --- documents

    auto onDocument(const watch &from, const std::string &text) -> void
    {
        metrics.add(configuration_metric::service_reads);
        const auto kind = kindOf(from);
        if (!splitDocument(text)) {
            metrics.add(configuration_metric::manifests_refused);
            LOG(ERROR) << nameOf(kind) << " refused: not a JSON object with a version";
        }
        core.onServiceDocument(kind, text);
        updateReadiness();
    }
    auto onConfirmed(const watch &) -> void
    {
        metrics.add(configuration_metric::service_reads);
        core.onServiceConfirmed();
    }
    auto wantsWatch() const -> bool
    {
        return options.self.role == process_role::entry
               && isWatcher(options.self.host, hosts, options.targets);
    }
    /// Whether to read the services although this process is not a watcher. It does while it lacks
    /// a document. If no process is known to have read recently, the watchers seem to be gone, and
    /// every process reads with a probability of 1 in READ_ONE_IN, which spreads the load.
    auto wantsRead() -> bool
    {
        constexpr std::uint64_t READ_ONE_IN = 4;
        const auto empty
            = core.version(document_kind::manifest) == 0 || core.version(document_kind::hosts) == 0;
        return empty || (core.confirmationStale() && random() % READ_ONE_IN == 0);
    }
    auto versionOf(const watch &which) const -> std::uint64_t
    {
        return core.version(kindOf(which));
    }
    auto kindOf(const watch &which) const -> document_kind
    {
        return &which == &manifestWatch ? document_kind::manifest : document_kind::hosts;
    }

    // --- gossip

    auto sendAnnounce(std::uint64_t linkId, const announce_message &message) -> void
    {
        call(linkId, control_method::announce, toJson(message));
    }
    auto sendFetch(std::uint64_t linkId, const fetch_request &message) -> void
    {
        call(linkId, control_method::fetch, toJson(message));
    }
    auto adopt(document_kind kind, const std::string &text) -> bool
    {
        return kind == document_kind::manifest ? adoptManifest(text) : adoptHosts(text);
    }
    auto adoptManifest(const std::string &text) -> bool
    {
        const auto outcome = holder.offer(text);
        if (outcome != offer_outcome::accepted) {
            metrics.add(configuration_metric::manifests_refused);
            LOG(ERROR) << "manifest refused: " << nameOf(outcome);
            for (const auto &fault : holder.lastFaults()) {
                LOG(ERROR) << "manifest fault at " << toText(fault);
            }
            return false;
        }
        metrics.set(configuration_metric::manifest_version,
                    static_cast<std::int64_t>(holder.version()));
        metrics.set(configuration_metric::manifest_in_force_unix_ms, clock.unixMs());
        LOG(INFO) << "manifest " << holder.version() << " in force";
        events.push(manifest_changed{.current = holder.current()});
        updateLinkTargets();
        return true;
    }
    auto adoptHosts(const std::string &text) -> bool
    {
        document_faults faults;
        auto read = readHostList(text, faults);
        if (!read) {
            LOG(ERROR) << "host list refused: " << toText(faults.front());
            return false;
        }
        hosts = std::move(*read);
        metrics.set(configuration_metric::hosts_version, static_cast<std::int64_t>(hosts.revision));
        events.push(hosts_changed{.hosts = hosts});
        updateLinkTargets();
        return true;
    }
    auto updateLinkTargets() -> void
    {
        const auto *current = holder.current().get();
        const auto &self = options.self.host;
        auto targets = options.self.role == process_role::entry
                           ? entryTargets(self, current, hosts, options.targets)
                           : agentTargets(self, current, hosts);
        linkCommands.push(set_targets{.targets = std::move(targets)});
    }
    auto updateReadiness() -> void
    {
        const auto caughtUp = core.caughtUp();
        state.ready = caughtUp && !state.draining;
    }

    // --- control requests and replies

    auto call(std::uint64_t linkId, control_method method, const std::string &params) -> void
    {
        const auto exchange = ++lastExchange;
        exchanges.emplace(exchange, method);
        linkCommands.push(send_frame{
            .linkId = linkId,
            .message = control_frame{.exchangeId = exchange,
                                     .text = encodeRpcCall(std::string(nameOf(method)), params)}});
        dropOldExchanges();
    }
    auto onControl(std::uint64_t linkId, const control_frame &control) -> void
    {
        if (!control.reply) {
            requestingLinkId = linkId;
            linkCommands.push(
                send_frame{.linkId = linkId,
                           .message = control_frame{.exchangeId = control.exchangeId,
                                                    .reply = true,
                                                    .text = rpc.answer(control.text)}});
            return;
        }
        const auto exchange = exchanges.find(control.exchangeId);
        if (exchange == exchanges.end()) {
            return;
        }
        const auto method = exchange->second;
        exchanges.erase(exchange);
        std::string text;
        if (decodeRpcReply(control.text, text)) {
            onReply(linkId, method, text);
        }
    }
    auto onReply(std::uint64_t linkId, control_method method, const std::string &text) -> void
    {
        if (method == control_method::announce) {
            if (const auto heard = parseAnnounce(text)) {
                core.onAnnounce(linkId, *heard);
            }
        } else if (method == control_method::fetch) {
            if (auto reply = parseFetchReply(text)) {
                core.onFetchReply(linkId, std::move(*reply));
            }
        }
        updateReadiness();
    }
    static auto answer(void *owner, int method, const std::string &params) -> std::string
    {
        return static_cast<impl *>(owner)->answerCall(static_cast<control_method>(method), params);
    }
    auto answerCall(control_method method, const std::string &params) -> std::string
    {
        switch (method) {
        case control_method::announce:
            if (const auto heard = parseAnnounce(params)) {
                core.onAnnounce(requestingLinkId, *heard);
            }
            return toJson(core.announcement());
        case control_method::fetch:
            if (const auto request = parseFetchRequest(params)) {
                return toJson(core.onFetch(*request));
            }
            return "{}";
        case control_method::status:
            return toJson(status());
        }
        return "{}";
    }
    auto status() const -> status_message
    {
        status_message out{.host = options.self.host,
                           .role = std::string(nameOf(options.self.role)),
                           .versions = core.announcement().versions,
                           .ready = state.ready,
                           .leaving = state.draining};
        out.numbers = statusNumbers();
        return out;
    }
    /// Parses the "name value" lines that the status sources render.
    auto statusNumbers() const -> std::vector<status_number>
    {
        std::string text;
        for (const auto &source : statusSources) {
            source.render(source.owner, text);
        }
        std::vector<status_number> out;
        std::istringstream lines(text);
        status_number number;
        while (lines >> number.name >> number.value) {
            out.push_back(number);
        }
        return out;
    }
    // An exchange whose link went down never gets a reply.
    auto dropOldExchanges() -> void
    {
        std::erase_if(exchanges, [this](const auto &exchange) {
            return exchange.first + OPEN_EXCHANGE_LIMIT < lastExchange;
        });
    }

    auto scheduleTimer() -> void
    {
        timer.expires_after(durationUntil(core.nextTimer(), clock.now()));
        timer.async_wait([this](boost::system::error_code error) {
            if (error) {
                return;
            }
            core.onTimer();
            updateReadiness();
            scheduleTimer();
        });
    }

    configuration_options options;
    process_state &state;
    metric_set<configuration_metric> &metrics;
    duty worker{"configuration"};
    ring_writer<link_command> linkCommands;
    ring_writer<configuration_event> events;
    ring_reader<link_event, configuration_duty> linkEvents;
    boost::asio::steady_timer timer;
    system_clock_source clock;
    random_source random{systemSeed()};
    gossip core;
    rpc_server rpc;
    manifest_holder holder;
    host_list hosts;
    watch manifestWatch;
    watch hostsWatch;
    std::unordered_map<std::uint64_t, control_method> exchanges;
    std::vector<metrics_source> statusSources;
    std::uint64_t lastExchange = 0;
    std::uint64_t requestingLinkId = 0;
};

configuration_duty::configuration_duty(configuration_options options, link_rings &links,
                                       ring<configuration_event> &toDecisions, process_state &state)
    : m_impl(
        std::make_unique<impl>(std::move(options), links, toDecisions, state, m_metrics, *this))
{ }

configuration_duty::~configuration_duty()
{
    stop();
}

auto configuration_duty::start() -> void
{
    m_impl->linkEvents.start();
    boost::asio::post(m_impl->worker.context(), [this] {
        m_impl->manifestWatch.start();
        m_impl->hostsWatch.start();
        m_impl->scheduleTimer();
    });
    m_impl->worker.start();
}

auto configuration_duty::stop() -> void
{
    m_impl->worker.stop();
}

auto configuration_duty::addStatusSource(metrics_source source) -> void
{
    m_impl->statusSources.push_back(source);
}

auto configuration_duty::handle(link_event &&event) -> void
{
    if (const auto *up = std::get_if<peer_up>(&event)) {
        if (up->hello.role != process_role::operator_tool) {
            m_impl->core.onPeerUp(up->linkId);
        }
    } else if (const auto *down = std::get_if<peer_down>(&event)) {
        m_impl->core.onPeerDown(down->linkId);
    } else if (const auto *received = std::get_if<peer_frame>(&event)) {
        if (const auto *control = std::get_if<control_frame>(&received->message)) {
            m_impl->onControl(received->linkId, *control);
        }
    }
}

} // namespace marjoram
