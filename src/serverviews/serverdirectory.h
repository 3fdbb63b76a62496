#pragma once

#include "serverviews/serverview.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace marjoram {

/// Options of an entry's view of the backend servers.
struct server_directory_options
{
    /// Failures in a row that eject a server.
    std::uint32_t failuresToEject = 3;
    /// Share of failures that ejects a server, once enough outcomeCount are known.
    double failureRateToEject = 0.35;
    std::uint32_t minOutcomes = 8;
    /// Weight of the newest outcome in the share of failures.
    double failureRateWeight = 0.15;
    std::int64_t minEjectionUs = 1 * US_PER_SECOND;
    std::int64_t maxEjectionUs = 8 * US_PER_SECOND;
    /// Largest share of a pool that may be ejected findMutable once.
    double maxEjectedShare = 0.34;
    /// Time for which a server is remembered that is no longer listed.
    std::int64_t unlistedRetentionUs = 6 * US_PER_SECOND;
    /// Time in which a server that its reporter has announced must appear in the published list;
    /// servers write their entry every second or so.
    std::int64_t listingTimeoutUs = 2'500 * US_PER_MS;
    /// Silence after which an announced server is not used.
    std::int64_t announcedReportMaxAgeUs = 1 * US_PER_SECOND;
    /// Time for which a forgotten server cannot be announced again.
    std::int64_t goneRetentionUs = 60 * US_PER_SECOND;
};

/// How a published list differs from the one before it.
struct server_changes
{
    std::vector<std::string> joined;
    std::vector<std::string> leaving;
    /// Removed from the list; they may serve on for a while what they have.
    std::vector<std::string> unlisted;
    /// Forgotten.
    std::vector<std::string> gone;
};

/// An entry's views of the backend servers, and which of them may get new work.
/// Not thread safe: belongs to one duty.
class server_directory
{
public:
    explicit server_directory(server_directory_options options)
        : m_options(options)
    { }

    // --- events

    /// Takes the whole published list.
    auto onServerList(const std::vector<server_entry> &entries, time_us now) -> server_changes;
    /// Takes a server that its reporter has announced; false when it is known or has been.
    auto onAnnounced(const server_entry &entry, time_us now) -> bool;
    /// Takes a server's own account; true when it tells for the first time that it leaves.
    auto onReport(const std::string &id, server_report report, time_us now) -> bool;
    auto onLoad(const std::string &id, const load_sample &load, time_us now) -> void;
    auto recordSent(const std::string &id, std::uint64_t tokens) -> void;
    auto recordEnded(const std::string &id, std::uint64_t tokens) -> void;
    auto recordSuccess(const std::string &id) -> void;
    /// Counts a failure; true when it ejects the server.
    auto recordFailure(const std::string &id, time_us now) -> bool;
    /// Ejects a server that is not the one it is listed as, until its entry changes.
    auto recordWrongServer(const std::string &id, time_us now) -> void;

    // --- questions

    auto find(std::string_view id) const -> const server_view *;
    /// Servers of a pool that may get new work; with `trustedOnly` only those that have succeeded
    /// since they were last ejected. Ejection is ignored when it would leave nobody. Valid until
    /// the next event.
    auto usableServers(std::string_view pool, time_us now, bool trustedOnly = false) const
        -> std::vector<const server_view *>;
    /// Servers of a pool, whatever their state.
    auto poolSize(std::string_view pool) const -> std::size_t;
    auto views() const -> const std::map<std::string, server_view, std::less<>> &
    {
        return m_views;
    }

private:
    auto findMutable(const std::string &id) -> server_view *;
    auto isListingPending(server_view &view, time_us now) const -> bool;
    auto isUsable(const server_view &view, time_us now) const -> bool;
    auto recordGone(const std::vector<std::string> &gone, time_us now) -> void;
    auto mayEject(const server_view &view, time_us now) const -> bool;
    auto eject(server_view &view, time_us now) const -> bool;

    server_directory_options m_options;
    std::map<std::string, server_view, std::less<>> m_views;
    std::map<std::string, time_us> m_gone;
};

} // namespace marjoram
