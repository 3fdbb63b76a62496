#pragma once

#include "framework/global/identifiers.h"
#include "manifest/routetable.h"
#include "serverviews/evacuations.h"
#include "serverviews/serverview.h"
#include "serverviews/softwarehistory.h"

#include <array>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace marjoram {

/// Options of a server directory.
struct server_directory_options
{
    /// Consecutive failures that eject a server.
    std::uint32_t failuresToEject = 3;
    /// Failure rate that ejects a server once at least `minOutcomes` outcomes are known.
    double failureRateToEject = 0.35;
    std::uint32_t minOutcomes = 8;
    /// Weight of the latest outcome in the failure rate, a moving average.
    double failureRateWeight = 0.15;
    /// The duration of an ejection starts at the base and doubles with each further one.
    std::int64_t baseEjectionUs = 1 * US_PER_SECOND;
    std::int64_t maxEjectionUs = 8 * US_PER_SECOND;
    /// Largest share of a pool that may be ejected at once.
    double maxEjectedShare = 0.34;
    /// How long a server is kept after its removal from the published list.
    std::int64_t unlistedRetentionUs = 6 * US_PER_SECOND;
    /// How long an announced server may be missing from the published list. Servers write their
    /// entry about once a second.
    std::int64_t listingTimeoutUs = 2'500 * US_PER_MS;
    /// How long a removed server cannot be announced again.
    std::int64_t goneRetentionUs = 60 * US_PER_SECOND;
    /// A server whose last report is older has no reporter that grants requests within its limit.
    std::int64_t granterReportMaxAgeUs = 1 * US_PER_SECOND;
    /// Longest time for which a server may ask for no requests. An overloaded server recovers
    /// sooner; with a longer time, a wrong one would make it useless until it is replaced.
    std::int64_t maxPauseUs = 300 * US_PER_SECOND;
    /// Pause before a reporter is told of the same limit again.
    std::int64_t rateLimitShareIntervalUs = 500 * US_PER_MS;
    /// Share of a cold server's rate that all entries together use without grants. Where there is a
    /// reporter, it may grant the whole rate to others meanwhile, and the sum of both must stay
    /// within one and a half times the rate.
    double coldShare = 0.85;
    double coldShareBesideReporter = 0.5;
    /// Longest time for which a server is believed to stay cold.
    std::int64_t maxColdUs = 600 * US_PER_SECOND;
    software_history_options software;
    /// An answer of a server to its reporter that is older doesn't show that its process is the
    /// listed one.
    std::int64_t processReportMaxAgeUs = 1 * US_PER_SECOND;
    /// Servers may have reporters, and onReporterAbsent() tells of those that have none.
    bool awaitReporters = false;
};

/// Whether a stream can be continued somewhere.
enum class continuation {
    /// A server of its software takes new work.
    possible,
    /// All servers of its software are out of reach, but may return.
    later,
    none
};
inline constexpr std::array continuationNames{
    enum_name<continuation>{continuation::possible, "possible"},
    enum_name<continuation>{continuation::later, "later"},
    enum_name<continuation>{continuation::none, "none"},
};
constexpr auto namesOf(continuation) -> const auto &
{
    return continuationNames;
}

/// Limit of the servers of a pool while they are cold.
struct cold_limit
{
    double perSecond = 0.0;
    /// For how long they are after their start; 0 if unknown.
    std::int64_t coldStartMs = 0;

    friend auto operator==(const cold_limit &, const cold_limit &) -> bool = default;
};
/// By the name of the pool.
using cold_limits = std::map<std::string, cold_limit, std::less<>>;

/// A server has become cold or warm.
struct cold_change
{
    std::string serverId;
    bool cold = false;
    std::int64_t forMs = 0;
};

/// Changes between two published lists.
struct server_changes
{
    std::vector<std::string> joined;
    std::vector<std::string> leaving;
    /// Removed from the list; they may still finish running requests.
    std::vector<std::string> unlisted;
    /// Removed from the directory.
    std::vector<std::string> gone;
};

/// Tracks the state of the backend servers and which of them may get new work.
/// Not thread safe: belongs to one duty.
class server_directory
{
public:
    /// Different seeds spread the sends of entries that share a server's limit.
    explicit server_directory(server_directory_options options, std::uint64_t seed = 0)
        : m_options(options)
        , m_software(options.software)
        , m_random(seed)
    { }

    /// Sets the number of entries that share the limits of servers. Precondition: entries > 0.
    auto setEntryCount(std::uint32_t entries, time_us now) -> void;

    // --- events

    /// Applies a complete published list.
    auto onServerList(const std::vector<server_entry> &entries, time_us now) -> server_changes;
    /// Replaces the set of data centres whose servers are not usable. Requests that run there go
    /// on.
    auto setEvacuated(data_centre_set dataCentres) -> evacuation_changes
    {
        return m_evacuations.replace(std::move(dataCentres));
    }
    /// Adds a server that its reporter has announced. It gets requests once the published list
    /// names its pool: nobody else knows to whom an address belongs. While the list is not to be
    /// had it gets them too if the models that the server itself reports belong to one pool alone:
    /// requests name the server that they are meant for, so no other one runs them. Returns false
    /// if the server is known or was removed recently.
    auto onAnnounced(const server_entry &entry, const std::vector<std::string> &models, time_us now)
        -> bool;
    /// The service that publishes the list has stopped answering, or answers again.
    auto onListAvailability(bool available, time_us now) -> void;
    /// Takes the pools and their models. Precondition: `table` is not null.
    auto setTable(route_table_ptr table) -> void;
    /// Stores a server's report. Returns true if the server is now leaving and was not before.
    auto onReport(const std::string &id, server_report report, time_us now) -> bool;
    /// The server has no reporter. Returns true if that was not known.
    auto onReporterAbsent(const std::string &id) -> bool;
    /// A later process has been seen at the server's address; this one gets no more requests.
    /// Returns false if that was known or the server is unknown.
    auto onReplaced(const std::string &id) -> bool;
    /// An answer of the server states that it is leaving. This holds until its process is replaced.
    /// Returns true if the server was not known to be leaving.
    auto onStatedLeaving(const std::string &id) -> bool;
    /// The server has turned a request away and wants no others for so long. Returns true if it was
    /// not paused. Precondition: retryAfterMs >= 0.
    auto onRetryAfter(const std::string &id, std::int64_t retryAfterMs, time_us now) -> bool;
    /// Takes the load that an answer of the server states. Returns true if the stated time of work
    /// is out of range and that of the answer before was not.
    auto onLoad(const std::string &id, const load_sample &load, time_us now) -> bool;
    /// Takes the time of a successful answer of a plain server whose load is known.
    auto onWorkTime(const std::string &id, std::int64_t tookUs, time_us now) -> void;
    /// Takes the rate limit that an answer of the server states, 0 if none. Returns true if the
    /// server's reporter should learn of it.
    auto onRateLimit(const std::string &id, std::uint64_t milliPerSecond, time_us now) -> bool;
    /// Sets the limits of cold servers; pools without one have none.
    auto setColdLimits(cold_limits limits, time_us now) -> void;
    /// Returns which servers have become cold or warm since the last call.
    auto takeColdChanges(time_us now) -> std::vector<cold_change>;
    /// Counts a request that was sent to the server towards its limits.
    auto recordRequest(const std::string &id, time_us now) -> void;
    auto recordSent(const std::string &id, std::uint64_t tokens) -> void;
    auto recordEnded(const std::string &id, std::uint64_t tokens) -> void;
    auto recordSuccess(const std::string &id) -> void;
    /// Records a failed request. Returns true if this ejects the server.
    auto recordFailure(const std::string &id, time_us now) -> bool;
    /// Ejects a server because a different server answers at its address. The ejection lasts for
    /// the longest ejection time, or until the published entry changes to another process or
    /// address.
    auto recordWrongServer(const std::string &id, time_us now) -> void;

    // --- questions

    auto find(std::string_view id) const -> const server_view *;
    /// Returns the view of a server if its process is the one that started at that time, as far as
    /// is known; a start time of 0 stands for any.
    auto findProcess(std::string_view id, std::int64_t bornUnixMs) const -> const server_view *;
    /// Returns the servers of a pool that may get new work, now or after their limits and pauses.
    /// With `trustedOnly` only those that may now and have had no ejection since their last
    /// success, if there are any. Falls back to ejected servers if no other is left. The pointers
    /// are valid until the next event.
    auto usableServers(std::string_view pool, time_us now, bool trustedOnly = false) const
        -> std::vector<const server_view *>;
    /// Returns when the first server of a pool may get a request, by limits and pauses; nullopt if
    /// one may now.
    auto unavailableUntil(std::string_view pool, time_us now) const -> std::optional<time_us>;
    /// Returns the software of a process; nullopt if no list has stated it.
    auto softwareOf(const server_process &process) const -> std::optional<server_software>;
    /// Whether what the origin has begun may go on at a server: its software is the same, and what
    /// is known of its process is recent; or it is the same process.
    auto mayContinueAt(const run_origin &origin, const server_view &view, time_us now) const
        -> bool;
    /// Whether what the origin has begun can be continued by a server that takes new work.
    auto continuationOf(const run_origin &origin, time_us now) const -> continuation;
    /// Whether the process at a server's address is known to be the one of its entry. A list lags
    /// behind, and may be out of reach; the server's reporter sees at once that its process is
    /// gone. What has not been heard yet shows nothing: only a server without a reporter is trusted
    /// by the list alone.
    auto isProcessCurrent(const server_view &view, time_us now) const -> bool;
    /// Whether servers of a pool state the version of their software.
    auto statesVersions(std::string_view pool) const -> bool;
    /// Whether the service that publishes the list answers.
    auto isListAvailable() const -> bool { return m_listAvailable; }
    /// Whether a server is known to be in an evacuated data centre.
    auto isEvacuated(std::string_view id) const -> bool;
    /// Whether all servers of a pool are leaving or evacuated; false if it has none.
    auto allLeaving(std::string_view pool) const -> bool;
    /// Number of servers that the last takeColdChanges() found cold.
    auto coldServers() const -> std::size_t { return m_coldServers; }
    /// Number of servers of a pool in any state.
    auto poolSize(std::string_view pool) const -> std::size_t;
    auto views() const -> const std::map<std::string, server_view, std::less<>> &
    {
        return m_views;
    }

private:
    struct gone_server
    {
        time_us at;
        /// Its last entry, and the process that stated that it was leaving.
        server_entry entry;
        std::optional<std::int64_t> statedLeavingBornUnixMs;
    };

    auto findMutable(const std::string &id) -> server_view *;
    auto hasSoftwareOf(const run_origin &origin, const server_view &view) const -> bool;
    auto setRateLimit(server_view &view, std::uint64_t milliPerSecond, time_us seenAt, time_us now)
        -> bool;
    auto onReportedRateLimit(server_view &view, time_us now) -> void;
    auto hasGranter(const server_view &view, time_us now) const -> bool;
    auto shareOf(const server_view &view) const -> double;
    auto limitCold(server_view &view, time_us now) -> void;
    auto setColdFor(server_view &view, std::int64_t leftMs, time_us now) -> void;
    auto isListingPending(server_view &view, time_us now) const -> bool;
    auto isEvacuated(const server_view &view) const -> bool;
    auto isUsable(const server_view &view, time_us now) const -> bool;
    /// Whether announced servers are used without being listed: while the list is not to be had,
    /// and after that until their entries may have been published.
    auto replacesList(time_us now) const -> bool;
    auto assignPool(server_view &view) const -> void;
    auto makeView(const server_entry &entry, time_us now) const -> server_view;
    auto addView(const server_entry &entry, const server_view *predecessor, time_us now) const
        -> server_view;
    auto recordGone(const server_view &view, time_us now) -> void;
    auto mayEject(const server_view &view, time_us now) const -> bool;
    auto eject(server_view &view, time_us now) const -> bool;

    server_directory_options m_options;
    std::map<std::string, server_view, std::less<>> m_views;
    std::map<std::string, gone_server> m_gone;
    software_history m_software;
    /// Pools of which a server has stated its version.
    std::set<std::string, std::less<>> m_versionedPools;
    evacuations m_evacuations;
    cold_limits m_coldLimits;
    std::size_t m_coldServers = 0;
    random_source m_random;
    std::uint32_t m_entryCount = 1;
    route_table_ptr m_table;
    bool m_listAvailable = true;
    /// When the service that publishes the list last began to answer again.
    time_us m_listReturnedAt{INT64_MIN / 2};
};

} // namespace marjoram
