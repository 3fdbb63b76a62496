#pragma once

#include "framework/global/clock.h"
#include "framework/metrics/metricset.h"
#include "framework/ring/duty.h"
#include "framework/ring/ringends.h"
#include "innerprotocol/link.h"
#include "links/linkevents.h"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace marjoram {

/// Numbers of the links.
enum class link_metric { links_up, bytes_sent, bytes_received, frames_refused };
inline constexpr std::array linkMetricNames{
    enum_name<link_metric>{link_metric::links_up, "links_up"},
    enum_name<link_metric>{link_metric::bytes_sent, "link_bytes_sent"},
    enum_name<link_metric>{link_metric::bytes_received, "link_bytes_received"},
    enum_name<link_metric>{link_metric::frames_refused, "link_frames_refused"},
};
constexpr auto namesOf(link_metric) -> const auto &
{
    return linkMetricNames;
}

/// Options of the links of one process.
struct link_hub_options
{
    hello_frame self;
    endpoint listen;
    /// Silence after which a heartbeat is sent.
    std::int64_t heartbeatUs = 1 * US_PER_SECOND;
    /// Silence after which a link is given up.
    std::int64_t silenceUs = 3 * US_PER_SECOND;
    std::size_t linkLimit = 4'096;
};

/// Rings that join the links with their process's other duties.
struct link_rings
{
    static constexpr std::size_t CAPACITY = 16'384;
    static constexpr std::size_t CONTROL_CAPACITY = 2'048;

    ring<link_event> toDecisions{CAPACITY};
    ring<link_event> toConfiguration{CONTROL_CAPACITY};
    ring<link_command> fromDecisions{CAPACITY};
    ring<link_command> fromConfiguration{CONTROL_CAPACITY};
};

/// Duty that keeps the links to other processes: accepts, connects, says hello, sends heartbeats,
/// gives silent peers up, and sorts what arrives. Control frames go to configuration, all others
/// to decisions. Public functions are called before start(), or on any thread where said.
class link_hub
{
public:
    /// Precondition: rings outlive the hub.
    link_hub(link_hub_options options, link_rings &rings);
    ~link_hub();

    /// Opens the listener. Errors: those of the socket calls. Call before start().
    auto listen() -> result<endpoint>;
    auto start() -> void;
    auto stop() -> void;
    /// Thread safe.
    auto metrics() const -> const metric_set<link_metric> & { return m_metrics; }

    // --- called by links and ring readers on the duty's thread

    auto handle(link_command &&command) -> void;
    auto onLinkUp(link<link_hub> &up) -> void;
    auto onFrame(link<link_hub> &from, frame &&message) -> void;
    auto onLinkDown(link<link_hub> &down, std::error_code error) -> void;

private:
    using link_ptr = std::shared_ptr<link<link_hub>>;
    struct peer_state
    {
        link_ptr connection;
        /// Host of an outbound link's target; empty for inbound links.
        std::string target;
        hello_frame hello;
        bool helloHeard = false;
        time_us heardAt;
        time_us sentAt;
        /// Bytes already shown in the metrics.
        std::uint64_t sentShown = 0;
        std::uint64_t receivedShown = 0;
    };
    struct target_state
    {
        link_target target;
        std::uint64_t linkId = 0;
        time_us retryAt;
        std::int64_t backoffUs = 0;
    };

    auto accept() -> void;
    auto acceptLater() -> void;
    auto adopt(boost::asio::ip::tcp::socket socket, std::string target) -> peer_state &;
    auto connectTo(target_state &target) -> void;
    auto applyTargets(const std::vector<link_target> &targets) -> void;
    auto onHello(link<link_hub> &from, peer_state &peer, const hello_frame &hello) -> void;
    auto drop(std::uint64_t linkId) -> void;
    auto showBytes(peer_state &peer) -> void;
    auto forget(std::uint64_t linkId) -> void;
    auto publish(ring_writer<link_event> &to, link_event event) -> void;
    auto throttle() -> void;
    auto tickLater() -> void;
    auto tick() -> void;

    link_hub_options m_options;
    duty m_duty{"links"};
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_acceptTimer;
    boost::asio::steady_timer m_tickTimer;
    boost::asio::steady_timer m_throttleTimer;
    ring_writer<link_event> m_toDecisions;
    ring_writer<link_event> m_toConfiguration;
    ring_reader<link_command, link_hub> m_fromDecisions;
    ring_reader<link_command, link_hub> m_fromConfiguration;
    system_clock_source m_clock;
    std::shared_ptr<frame_budget> m_frameBudget = std::make_shared<frame_budget>();
    std::unordered_map<std::uint64_t, peer_state> m_peers;
    std::map<std::string, target_state> m_targets;
    metric_set<link_metric> m_metrics;
    std::uint64_t m_lastLinkId = 0;
    bool m_throttled = false;
};

} // namespace marjoram
