#pragma once

#include "framework/global/clock.h"
#include "quarantine/runobservation.h"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace marjoram {

/// Options of crash_evidence.
struct crash_evidence_options
{
    /// Crashes after which requests with the traits that these have in common are quarantined.
    std::size_t crashesToQuarantine = 3;
    /// Crashes after which requests with a trait that they share should not be repeated.
    std::size_t crashesToSuspect = 2;
    /// A quarantine starts with the base time, counted from the latest crash, and doubles with each
    /// crash beyond those that started it.
    std::int64_t baseQuarantineUs = 120 * US_PER_SECOND;
    std::int64_t maxQuarantineUs = 1'800 * US_PER_SECOND;
    /// Runs lost on the same server within this time were lost in the same crash.
    std::int64_t sameCrashUs = 2 * US_PER_SECOND;
    /// Servers that crash within this time count as one crash: what they share, such as a rack, is
    /// a likelier cause than what their requests share. A trait explains it if half of the servers
    /// lost a run with it.
    std::int64_t sameOutageUs = 250 * US_PER_MS;
    /// Limits on the lost runs, and on the traits known to have survived, that are remembered.
    std::int64_t retentionUs = 3'600 * US_PER_SECOND;
    std::size_t lostRunLimit = 256;
    std::size_t survivorLimit = 1'024;
};

/// Traits whose combination crashes servers.
struct crash_signature
{
    /// A request is affected if it has all of these. Sorted.
    std::vector<std::uint64_t> traits;
    std::size_t crashes = 0;
    time_us until;

    friend auto operator==(const crash_signature &, const crash_signature &) -> bool = default;
};

/// Learns from lost runs which requests crash the servers that run them. A server that crashes also
/// loses runs that are not to blame, and a request that is to blame shares most of its traits with
/// others. So requests are quarantined only by all traits that the runs lost in several crashes
/// have in common, without those that other runs have survived with. Entries share observations,
/// not conclusions, so that each judges by all of them. Not thread safe: belongs to one duty.
class crash_evidence
{
public:
    explicit crash_evidence(crash_evidence_options options)
        : m_options(options)
    { }

    /// Adds an observation, of this process or another; false if it is known already.
    auto add(const run_observation &seen, time_us now) -> bool;
    /// Returns those of the traits that may be to blame for a crash.
    auto suspectsAmong(const std::vector<std::uint64_t> &traits) const
        -> std::vector<std::uint64_t>;
    /// Whether several crashes have one of the traits in common, and no run has survived with it
    /// since.
    auto isSuspected(const std::vector<std::uint64_t> &traits) const -> bool;
    /// Returns when the quarantine of requests with these traits ends; nullopt if there is none.
    auto quarantinedUntil(const std::vector<std::uint64_t> &traits, time_us now) const
        -> std::optional<time_us>;
    /// Returns the latest observations that the quarantines in force rest on, with their present
    /// age.
    auto supportingObservations(time_us now) const -> std::vector<run_observation>;
    /// Number of quarantines in force.
    auto activeCount(time_us now) const -> std::size_t;
    /// Signatures of all quarantines, also of those that have ended since the last observation.
    auto signatures() const -> const std::vector<crash_signature> &;

private:
    struct lost_run
    {
        std::string serverId;
        std::string requestId;
        std::uint32_t attempt = 0;
        /// Sorted.
        std::vector<std::uint64_t> traits;
        time_us at;
        /// Runs with the same number were lost in the same crash.
        std::uint64_t crash = 0;
    };
    /// One crash, of all servers that crashed at the same time.
    struct crash_state
    {
        time_us startedAt;
        std::set<std::string> servers;
    };
    /// Explanation of several crashes by one cause.
    struct hypothesis
    {
        std::vector<std::uint64_t> traits;
        std::set<std::uint64_t> crashes;
        std::set<std::string> requests;
        time_us latestAt;
    };

    auto addLostRun(const run_observation &seen, time_us at) -> bool;
    auto addSurvivor(const run_observation &seen, time_us at) -> bool;
    auto dropOldest() -> void;
    auto dropExpired(time_us now) -> void;
    auto isCleared(std::uint64_t trait, time_us at) const -> bool;
    auto crashOf(const run_observation &seen, time_us at) -> std::uint64_t;
    auto isLostIn(std::uint64_t crash, const std::string &requestId) const -> bool;
    auto dropUnusedCrashes() -> void;
    auto hypotheses() const -> std::vector<hypothesis>;
    auto explainedCrashes(std::uint64_t trait) const -> std::set<std::uint64_t>;
    auto hypothesisFor(std::uint64_t trait) const -> hypothesis;
    auto computeSignatures() const -> std::vector<crash_signature>;

    crash_evidence_options m_options;
    std::deque<lost_run> m_lostRuns;
    /// By lost_run::crash.
    std::map<std::uint64_t, crash_state> m_crashes;
    /// When a run with the trait last survived.
    std::map<std::uint64_t, time_us> m_survivedAt;
    /// Computed when they are needed: observations come in batches.
    mutable std::vector<crash_signature> m_signatures;
    mutable bool m_signaturesValid = true;
    std::uint64_t m_lastCrash = 0;
};

} // namespace marjoram
