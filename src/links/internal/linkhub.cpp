#include "links/linkhub.h"

#include <algorithm>
#include <glog/logging.h>

namespace marjoram {

namespace {

constexpr std::size_t BACKLOG_LIMIT = 1 << 20;
constexpr std::chrono::milliseconds TICK{250};
constexpr std::chrono::milliseconds THROTTLE_CHECK{2};
constexpr std::int64_t FIRST_BACKOFF_US = 100 * US_PER_MS;
constexpr std::int64_t LONGEST_BACKOFF_US = 2 * US_PER_SECOND;

} // namespace

link_hub::link_hub(link_hub_options options, link_rings &rings)
    : m_options(std::move(options))
    , m_acceptor(m_duty.context())
    , m_acceptTimer(m_duty.context())
    , m_tickTimer(m_duty.context())
    , m_throttleTimer(m_duty.context())
    , m_toDecisions(m_duty.context(), rings.toDecisions, BACKLOG_LIMIT)
    , m_toConfiguration(m_duty.context(), rings.toConfiguration, BACKLOG_LIMIT)
    , m_fromDecisions(m_duty.context(), rings.fromDecisions, *this)
    , m_fromConfiguration(m_duty.context(), rings.fromConfiguration, *this)
{ }

link_hub::~link_hub()
{
    stop();
    for (auto &[id, peer] : m_peers) {
        peer.connection->close();
    }
}

auto link_hub::listen() -> result<endpoint>
{
    using boost::asio::ip::tcp;
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(m_options.listen.address, error);
    const tcp::endpoint local(address, m_options.listen.port);
    if (!error) {
        m_acceptor.open(local.protocol(), error);
    }
    if (!error) {
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        m_acceptor.bind(local, error);
    }
    if (!error) {
        m_acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return std::error_code(error);
    }
    return endpoint{.address = m_options.listen.address,
                    .port = m_acceptor.local_endpoint().port()};
}

auto link_hub::start() -> void
{
    accept();
    tickLater();
    m_fromDecisions.start();
    m_fromConfiguration.start();
    m_duty.start();
}

auto link_hub::stop() -> void
{
    m_duty.stop();
}

auto link_hub::accept() -> void
{
    m_acceptor.async_accept(
        [this](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
            if (error == boost::asio::error::operation_aborted) {
                return;
            }
            if (error) {
                acceptLater();
                return;
            }
            if (m_peers.size() < m_options.linkLimit) {
                adopt(std::move(socket), {}).connection->run();
            }
            accept();
        });
}

// Out of descriptors: accepting at once would spin.
auto link_hub::acceptLater() -> void
{
    constexpr std::chrono::milliseconds ACCEPT_RETRY{50};
    m_acceptTimer.expires_after(ACCEPT_RETRY);
    m_acceptTimer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            accept();
        }
    });
}

auto link_hub::adopt(boost::asio::ip::tcp::socket socket, std::string target) -> peer_state &
{
    const auto id = ++m_lastLinkId;
    auto &peer = m_peers[id];
    peer.connection = std::make_shared<link<link_hub>>(std::move(socket), *this, id, m_frameBudget);
    peer.target = std::move(target);
    peer.heardAt = m_clock.now();
    peer.sentAt = m_clock.now();
    return peer;
}

auto link_hub::connectTo(target_state &target) -> void
{
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(target.target.where.address, error);
    auto &peer = adopt(boost::asio::ip::tcp::socket(m_duty.context()), target.target.host);
    target.linkId = peer.connection->id();
    peer.connection->connect({address, target.target.where.port});
}

auto link_hub::handle(link_command &&command) -> void
{
    if (auto *send = std::get_if<send_frame>(&command)) {
        const auto peer = m_peers.find(send->linkId);
        if (peer != m_peers.end()) {
            peer->second.sentAt = m_clock.now();
            peer->second.connection->send(send->message);
        }
        return;
    }
    applyTargets(std::get<set_targets>(command).targets);
}

auto link_hub::applyTargets(const std::vector<link_target> &targets) -> void
{
    std::map<std::string, target_state> kept;
    for (const auto &target : targets) {
        const auto known = m_targets.find(target.host);
        const auto same = known != m_targets.end() && known->second.target == target;
        kept.emplace(target.host, same ? known->second : target_state{.target = target});
    }
    std::vector<std::uint64_t> dropped;
    for (const auto &[host, state] : m_targets) {
        const auto still = kept.find(host);
        if (state.linkId != 0 && (still == kept.end() || still->second.linkId != state.linkId)) {
            dropped.push_back(state.linkId);
        }
    }
    m_targets = std::move(kept);
    for (const auto linkId : dropped) {
        drop(linkId);
    }
    for (auto &[host, state] : m_targets) {
        if (state.linkId == 0 && state.retryAt <= m_clock.now()) {
            connectTo(state);
        }
    }
}

auto link_hub::onLinkUp(link<link_hub> &up) -> void
{
    up.send(m_options.self);
}

auto link_hub::onFrame(link<link_hub> &from, frame &&message) -> void
{
    const auto found = m_peers.find(from.id());
    if (found == m_peers.end()) {
        return;
    }
    auto &peer = found->second;
    peer.heardAt = m_clock.now();
    if (!peer.helloHeard) {
        const auto *hello = std::get_if<hello_frame>(&message);
        if (!hello) {
            m_metrics.add(link_metric::frames_refused);
            drop(from.id());
            return;
        }
        onHello(from, peer, *hello);
        return;
    }
    if (const auto *control = std::get_if<control_frame>(&message)) {
        if (control->exchangeId != 0) {
            publish(m_toConfiguration,
                    peer_frame{.linkId = from.id(), .message = std::move(message)});
        }
        return;
    }
    publish(m_toDecisions, peer_frame{.linkId = from.id(), .message = std::move(message)});
}

auto link_hub::onHello(link<link_hub> &from, peer_state &peer, const hello_frame &hello) -> void
{
    const auto unexpected = !peer.target.empty() && hello.host != peer.target;
    if (hello.protocol != INNER_PROTOCOL_VERSION || unexpected) {
        LOG(WARNING) << "link refused: peer says it is " << hello.host << " with protocol "
                     << hello.protocol;
        m_metrics.add(link_metric::frames_refused);
        drop(from.id());
        return;
    }
    from.trustPeer();
    peer.hello = hello;
    peer.helloHeard = true;
    const auto target = m_targets.find(peer.target);
    if (target != m_targets.end()) {
        target->second.backoffUs = 0;
    }
    m_metrics.add(link_metric::links_up);
    publish(m_toDecisions, peer_up{.linkId = from.id(), .hello = hello});
    publish(m_toConfiguration, peer_up{.linkId = from.id(), .hello = hello});
}

auto link_hub::onLinkDown(link<link_hub> &down, std::error_code error) -> void
{
    VLOG(1) << "link " << down.id() << " down: " << error.message();
    if (error.category() == errorCode(codec_error::malformed).category()) {
        m_metrics.add(link_metric::frames_refused);
    }
    forget(down.id());
}

auto link_hub::drop(std::uint64_t linkId) -> void
{
    const auto found = m_peers.find(linkId);
    if (found != m_peers.end()) {
        found->second.connection->close();
        forget(linkId);
    }
}

auto link_hub::forget(std::uint64_t linkId) -> void
{
    const auto found = m_peers.find(linkId);
    if (found == m_peers.end()) {
        return;
    }
    showBytes(found->second);
    const auto peer = std::move(found->second);
    m_peers.erase(found);
    const auto target = m_targets.find(peer.target);
    if (target != m_targets.end() && target->second.linkId == linkId) {
        auto &state = target->second;
        state.linkId = 0;
        state.backoffUs = std::clamp(2 * state.backoffUs, FIRST_BACKOFF_US, LONGEST_BACKOFF_US);
        state.retryAt = m_clock.now() + state.backoffUs;
    }
    if (peer.helloHeard) {
        m_metrics.add(link_metric::links_up, -1);
        publish(m_toDecisions, peer_down{.linkId = linkId, .hello = peer.hello});
        publish(m_toConfiguration, peer_down{.linkId = linkId, .hello = peer.hello});
    }
}

auto link_hub::showBytes(peer_state &peer) -> void
{
    const auto sent = peer.connection->bytesSent();
    const auto received = peer.connection->bytesReceived();
    m_metrics.add(link_metric::bytes_sent, static_cast<std::int64_t>(sent - peer.sentShown));
    m_metrics.add(link_metric::bytes_received,
                  static_cast<std::int64_t>(received - peer.receivedShown));
    peer.sentShown = sent;
    peer.receivedShown = received;
}

auto link_hub::publish(ring_writer<link_event> &to, link_event event) -> void
{
    if (to.push(std::move(event))) {
        LOG(ERROR) << "event lost: the receiving duty has fallen behind its backlog limit";
    }
    if (to.congested()) {
        throttle();
    }
}

auto link_hub::throttle() -> void
{
    if (m_throttled) {
        return;
    }
    m_throttled = true;
    for (auto &[id, peer] : m_peers) {
        peer.connection->pauseReading();
    }
    m_throttleTimer.expires_after(THROTTLE_CHECK);
    m_throttleTimer.async_wait([this](boost::system::error_code error) {
        if (error) {
            return;
        }
        m_throttled = false;
        if (m_toDecisions.congested() || m_toConfiguration.congested()) {
            throttle();
            return;
        }
        for (auto &[id, peer] : m_peers) {
            peer.connection->resumeReading();
        }
    });
}

auto link_hub::tickLater() -> void
{
    m_tickTimer.expires_after(TICK);
    m_tickTimer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            tick();
            tickLater();
        }
    });
}

auto link_hub::tick() -> void
{
    const auto now = m_clock.now();
    std::vector<std::uint64_t> silent;
    for (auto &[id, peer] : m_peers) {
        showBytes(peer);
        if (peer.connection->awaitsRoom()) {
            peer.heardAt = now;
        }
        if (now - peer.heardAt > m_options.silenceUs && !m_throttled) {
            silent.push_back(id);
        } else if (peer.helloHeard && now - peer.sentAt > m_options.heartbeatUs) {
            peer.sentAt = now;
            peer.connection->send(control_frame{});
        }
    }
    for (const auto id : silent) {
        drop(id);
    }
    for (auto &[host, target] : m_targets) {
        if (target.linkId == 0 && target.retryAt <= now) {
            connectTo(target);
        }
    }
}

} // namespace marjoram
