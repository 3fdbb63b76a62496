#pragma once

#include "configuration/controlmessages.h"
#include "framework/global/clock.h"
#include "framework/global/identifiers.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace marjoram {

/// Options of a gossip_core.
struct gossip_options
{
    /// Interval of the announcements to a random peer. They make up for lost ones.
    std::int64_t announceIntervalUs = 1 * US_PER_SECOND;
    std::int64_t fetchTimeoutUs = 1 * US_PER_SECOND;
    /// Time without a known successful read of the configuration service by any process, after
    /// which every process may read it.
    std::int64_t staleAfterMs = 5 * MS_PER_SECOND;
    /// Peers that must have announced their versions before a new process relies on its own.
    std::size_t minPeersHeard = 2;
    /// Time after which a new process relies on its own version even if fewer have announced.
    std::int64_t startupWaitUs = 3 * US_PER_SECOND;
};

/// Carries out the decisions of a gossip_core. `adopt` returns whether the document is valid.
template <typename S>
concept gossip_sink
    = requires(S &sink, std::uint64_t link, const announce_message &announce,
               const fetch_request &fetch, document_kind kind, const std::string &text)
{
    sink.sendAnnounce(link, announce);
    sink.sendFetch(link, fetch);
    {
        sink.adopt(kind, text)
        } -> std::same_as<bool>;
};

/// Gossip protocol that brings the newest documents to all processes. Each process announces its
/// versions to its peers, and a process that is behind fetches the sections that it lacks. Versions
/// never decrease, and invalid documents are not passed on. Not thread safe: belongs to one duty.
template <clock_source Clock, typename Sink>
class gossip_core
{
public:
    gossip_core(gossip_options options, Clock clock, std::uint64_t seed, Sink &sink)
        : m_options(options)
        , m_clock(clock)
        , m_random(seed)
        , m_sink(sink)
        , m_startedAt(clock.now())
        , m_announceAt(clock.now())
    {
        static_assert(gossip_sink<Sink>);
    }

    // --- configuration and host list services

    /// Takes a document read from its service. Ignored unless it is newer.
    auto onServiceDocument(document_kind kind, std::string_view text) -> void
    {
        onServiceConfirmed();
        auto document = splitDocument(text);
        if (document) {
            adoptIfNewer(kind, std::move(*document));
        }
    }
    /// The service was read, or has confirmed that it has nothing newer.
    auto onServiceConfirmed() -> void { m_confirmedAt = m_clock.now(); }

    // --- peers

    auto onPeerUp(std::uint64_t link) -> void
    {
        m_peers.emplace(link, peer_state{});
        m_sink.sendAnnounce(link, announcement());
    }
    auto onPeerDown(std::uint64_t link) -> void
    {
        m_peers.erase(link);
        for (auto &fetch : m_fetches) {
            if (fetch.link == link) {
                fetch.link = 0;
            }
        }
    }
    /// Handles a peer's versions from an `announce` request or its result.
    auto onAnnounce(std::uint64_t link, const announce_message &heard) -> void
    {
        const auto peer = m_peers.find(link);
        if (peer != m_peers.end()) {
            peer->second.announced = true;
        }
        const auto confirmedAt = m_clock.now() + -toUs(heard.confirmedAgoMs);
        m_confirmedAt = std::max(m_confirmedAt, confirmedAt);
        for (std::size_t i = 0; i < DOCUMENT_COUNT; ++i) {
            fetchIfNewer(link, i, heard.versions[i]);
        }
    }
    auto onFetch(const fetch_request &request) const -> fetch_reply
    {
        const auto &own = m_documents[static_cast<std::size_t>(request.kind)];
        return {.kind = request.kind, .document = changedSections(own, request.known)};
    }
    auto onFetchReply(std::uint64_t link, fetch_reply reply) -> void
    {
        const auto index = static_cast<std::size_t>(reply.kind);
        if (m_fetches[index].link == link) {
            m_fetches[index].link = 0;
        }
        auto merged = mergeSections(m_documents[index], std::move(reply.document));
        if (merged) {
            adoptIfNewer(reply.kind, std::move(*merged));
        }
    }

    // --- timer

    auto nextTimer() const -> time_us { return m_announceAt; }
    auto onTimer() -> void
    {
        if (m_clock.now() < m_announceAt) {
            return;
        }
        m_announceAt = m_clock.now() + m_options.announceIntervalUs;
        if (m_peers.empty()) {
            return;
        }
        auto peer = m_peers.begin();
        std::advance(peer, static_cast<std::ptrdiff_t>(m_random() % m_peers.size()));
        m_sink.sendAnnounce(peer->first, announcement());
    }

    // --- queries

    auto announcement() const -> announce_message
    {
        announce_message out;
        for (std::size_t i = 0; i < DOCUMENT_COUNT; ++i) {
            out.versions[i] = m_documents[i].version;
        }
        out.confirmedAgoMs = (m_clock.now() - m_confirmedAt) / US_PER_MS;
        return out;
    }
    auto version(document_kind kind) const -> std::uint64_t
    {
        return m_documents[static_cast<std::size_t>(kind)].version;
    }
    /// Whether the last known read of the service by any process is so old that this process should
    /// read it.
    auto confirmationStale() const -> bool
    {
        return m_clock.now() - m_confirmedAt > m_options.staleAfterMs * US_PER_MS;
    }
    /// Whether this process may serve requests: it has a manifest, and no peer has announced a
    /// newer one. Once true it stays true.
    auto caughtUp() -> bool
    {
        if (m_caughtUp) {
            return true;
        }
        const auto manifestIndex = static_cast<std::size_t>(document_kind::manifest);
        const auto &own = m_documents[manifestIndex];
        const auto announcedCount = std::count_if(
            m_peers.begin(), m_peers.end(), [](const auto &peer) { return peer.second.announced; });
        const auto enough = static_cast<std::size_t>(announcedCount) >= m_options.minPeersHeard
                            || m_clock.now() - m_startedAt >= m_options.startupWaitUs;
        m_caughtUp = own.version > 0 && enough && own.version >= m_newestAnnounced[manifestIndex];
        return m_caughtUp;
    }
    auto peers() const -> std::size_t { return m_peers.size(); }

private:
    struct peer_state
    {
        bool announced = false;
    };
    struct fetch_state
    {
        std::uint64_t link = 0;
        time_us since;
    };

    auto fetchIfNewer(std::uint64_t link, std::size_t index, std::uint64_t version) -> void
    {
        m_newestAnnounced[index] = std::max(m_newestAnnounced[index], version);
        auto &fetch = m_fetches[index];
        const auto pending
            = fetch.link != 0 && m_clock.now() - fetch.since < m_options.fetchTimeoutUs;
        if (version <= m_documents[index].version || version == m_rejectedVersions[index]
            || pending) {
            return;
        }
        fetch = {.link = link, .since = m_clock.now()};
        fetch_request request{.kind = static_cast<document_kind>(index)};
        for (const auto &section : m_documents[index].sections) {
            request.known.push_back(section.hash);
        }
        m_sink.sendFetch(link, request);
    }
    auto adoptIfNewer(document_kind kind, sectioned_document document) -> void
    {
        const auto index = static_cast<std::size_t>(kind);
        if (document.version <= m_documents[index].version
            || document.version == m_rejectedVersions[index]) {
            return;
        }
        const auto text = composeDocument(document);
        if (!text || !m_sink.adopt(kind, *text)) {
            // Peers reject this version too and never announce it, so it can't prevent caughtUp().
            m_rejectedVersions[index] = document.version;
            return;
        }
        m_documents[index] = std::move(document);
        for (const auto &[link, peer] : m_peers) {
            m_sink.sendAnnounce(link, announcement());
        }
    }

    gossip_options m_options;
    Clock m_clock;
    random_source m_random;
    Sink &m_sink;
    std::array<sectioned_document, DOCUMENT_COUNT> m_documents;
    std::array<fetch_state, DOCUMENT_COUNT> m_fetches;
    std::array<std::uint64_t, DOCUMENT_COUNT> m_newestAnnounced{};
    std::array<std::uint64_t, DOCUMENT_COUNT> m_rejectedVersions{};
    std::map<std::uint64_t, peer_state> m_peers;
    time_us m_startedAt;
    time_us m_confirmedAt{INT64_MIN / 2};
    time_us m_announceAt;
    bool m_caughtUp = false;
};

} // namespace marjoram
