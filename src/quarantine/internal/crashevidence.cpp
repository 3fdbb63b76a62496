#include "quarantine/crashevidence.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace marjoram {

namespace {

/// A cause that leaves fewer crashes unexplained than a new cause needs must explain this many in
/// all, and this many that no more specific cause explains.
constexpr std::size_t MIN_CRASHES_OF_WIDER_CAUSE = 5;
constexpr std::size_t MIN_UNEXPLAINED_OF_WIDER_CAUSE = 2;
constexpr std::size_t SUPPORTING_OBSERVATION_LIMIT = 32;
/// A full store drops this part of its lost runs at once, since that needs the signatures.
constexpr std::size_t DROPPED_SHARE = 8;

auto sorted(std::vector<std::uint64_t> traits) -> std::vector<std::uint64_t>
{
    std::sort(traits.begin(), traits.end());
    traits.erase(std::unique(traits.begin(), traits.end()), traits.end());
    return traits;
}

auto contains(const std::vector<std::uint64_t> &traits, std::uint64_t trait) -> bool
{
    return std::binary_search(traits.begin(), traits.end(), trait);
}

auto containsAll(const std::vector<std::uint64_t> &traits, const std::vector<std::uint64_t> &wanted)
    -> bool
{
    return std::includes(traits.begin(), traits.end(), wanted.begin(), wanted.end());
}

} // namespace

auto crash_evidence::add(const run_observation &seen, time_us now) -> bool
{
    dropExpired(now);
    const auto at = now + -toUs(seen.ageMs);
    const auto isNew
        = seen.fate == run_fate::survived ? addSurvivor(seen, at) : addLostRun(seen, at);
    m_signaturesValid = m_signaturesValid && !isNew;
    return isNew;
}

auto crash_evidence::signatures() const -> const std::vector<crash_signature> &
{
    if (!std::exchange(m_signaturesValid, true)) {
        m_signatures = computeSignatures();
    }
    return m_signatures;
}

auto crash_evidence::suspectsAmong(const std::vector<std::uint64_t> &traits) const
    -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> out;
    for (const auto trait : m_lostRuns.empty() ? std::vector<std::uint64_t>{} : traits) {
        const auto suspect
            = std::any_of(m_lostRuns.begin(), m_lostRuns.end(), [this, trait](const lost_run &run) {
                  return contains(run.traits, trait) && !isCleared(trait, run.at);
              });
        if (suspect) {
            out.push_back(trait);
        }
    }
    return out;
}

auto crash_evidence::isSuspected(const std::vector<std::uint64_t> &traits) const -> bool
{
    return std::any_of(traits.begin(), traits.end(), [this](std::uint64_t trait) {
        return hypothesisFor(trait).crashes.size() >= m_options.crashesToSuspect;
    });
}

auto crash_evidence::quarantinedUntil(const std::vector<std::uint64_t> &traits, time_us now) const
    -> std::optional<time_us>
{
    std::optional<time_us> out;
    const auto own = sorted(signatures().empty() ? std::vector<std::uint64_t>{} : traits);
    for (const auto &signature : signatures()) {
        if (signature.until > now && containsAll(own, signature.traits)) {
            out = std::max(out.value_or(signature.until), signature.until);
        }
    }
    return out;
}

auto crash_evidence::supportingObservations(time_us now) const -> std::vector<run_observation>
{
    std::vector<run_observation> out;
    for (const auto &run : m_lostRuns) {
        if (quarantinedUntil(run.traits, now)) {
            out.push_back({.fate = run_fate::lost_in_crash,
                           .serverId = run.serverId,
                           .requestId = run.requestId,
                           .attempt = run.attempt,
                           .traits = run.traits,
                           .ageMs = (now - run.at) / US_PER_MS});
        }
    }
    const auto surplus = out.size() - std::min(out.size(), SUPPORTING_OBSERVATION_LIMIT);
    out.erase(out.begin(), out.begin() + static_cast<std::ptrdiff_t>(surplus));
    return out;
}

auto crash_evidence::activeCount(time_us now) const -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(signatures().begin(), signatures().end(),
                      [now](const crash_signature &one) { return one.until > now; }));
}

auto crash_evidence::addLostRun(const run_observation &seen, time_us at) -> bool
{
    const auto known = std::any_of(m_lostRuns.begin(), m_lostRuns.end(), [&](const lost_run &run) {
        return run.requestId == seen.requestId && run.attempt == seen.attempt
               && run.serverId == seen.serverId;
    });
    if (known || seen.traits.empty()) {
        return false;
    }
    if (m_lostRuns.size() >= m_options.lostRunLimit) {
        dropOldest();
    }
    const auto crash = crashOf(seen, at);
    auto &state = m_crashes.try_emplace(crash, crash_state{.startedAt = at}).first->second;
    state.startedAt = std::min(state.startedAt, at);
    state.servers.insert(seen.serverId);
    m_lostRuns.push_back({.serverId = seen.serverId,
                          .requestId = seen.requestId,
                          .attempt = seen.attempt,
                          .traits = sorted(seen.traits),
                          .at = at,
                          .crash = crash});
    return true;
}

auto crash_evidence::addSurvivor(const run_observation &seen, time_us at) -> bool
{
    auto isNew = false;
    for (const auto trait : seen.traits) {
        const auto [found, inserted] = m_survivedAt.try_emplace(trait, at);
        isNew = isNew || inserted || found->second < at;
        found->second = std::max(found->second, at);
    }
    if (m_survivedAt.size() > m_options.survivorLimit) {
        m_survivedAt.erase(
            std::min_element(m_survivedAt.begin(), m_survivedAt.end(),
                             [](const auto &a, const auto &b) { return a.second < b.second; }));
    }
    return isNew;
}

/// Drops the oldest lost runs that no signature rests on, or the oldest one of all.
auto crash_evidence::dropOldest() -> void
{
    const auto &known = signatures();
    auto remaining = std::max<std::size_t>(1, m_options.lostRunLimit / DROPPED_SHARE);
    const auto dropped = std::erase_if(m_lostRuns, [&](const lost_run &run) {
        const auto used
            = std::any_of(known.begin(), known.end(), [&run](const crash_signature &signature) {
                  return containsAll(run.traits, signature.traits);
              });
        return !used && remaining > 0 && remaining-- > 0;
    });
    if (dropped == 0) {
        m_lostRuns.pop_front();
    }
    dropUnusedCrashes();
}

auto crash_evidence::dropUnusedCrashes() -> void
{
    std::set<std::uint64_t> used;
    for (const auto &run : m_lostRuns) {
        used.insert(run.crash);
    }
    std::erase_if(m_crashes, [&used](const auto &named) { return !used.contains(named.first); });
}

auto crash_evidence::dropExpired(time_us now) -> void
{
    const auto dropped = std::erase_if(m_lostRuns, [&](const lost_run &run) {
        const auto cleared
            = std::all_of(run.traits.begin(), run.traits.end(),
                          [&](std::uint64_t trait) { return isCleared(trait, run.at); });
        return cleared || now - run.at > m_options.retentionUs;
    });
    if (dropped > 0) {
        dropUnusedCrashes();
    }
    std::erase_if(m_survivedAt, [&](const auto &survivor) {
        return now - survivor.second > m_options.retentionUs;
    });
}

auto crash_evidence::isCleared(std::uint64_t trait, time_us at) const -> bool
{
    const auto found = m_survivedAt.find(trait);
    return found != m_survivedAt.end() && found->second >= at;
}

auto crash_evidence::crashOf(const run_observation &seen, time_us at) -> std::uint64_t
{
    const auto sameServer = std::find_if(
        m_lostRuns.rbegin(), m_lostRuns.rend(), [&](const lost_run &run) {
            return run.serverId == seen.serverId && std::abs(run.at - at) <= m_options.sameCrashUs;
        });
    if (sameServer != m_lostRuns.rend()) {
        return sameServer->crash;
    }
    // A request that was lost twice went from one server to the other: they crashed in turn.
    const auto sameOutage
        = std::find_if(m_crashes.begin(), m_crashes.end(), [&](const auto &named) {
              return std::abs(named.second.startedAt - at) <= m_options.sameOutageUs
                     && !isLostIn(named.first, seen.requestId);
          });
    return sameOutage != m_crashes.end() ? sameOutage->first : ++m_lastCrash;
}

auto crash_evidence::isLostIn(std::uint64_t crash, const std::string &requestId) const -> bool
{
    return std::any_of(m_lostRuns.begin(), m_lostRuns.end(), [&](const lost_run &run) {
        return run.crash == crash && run.requestId == requestId;
    });
}

/// Returns the crashes in which at least half of the servers lost a run with the trait that has not
/// been survived since.
auto crash_evidence::explainedCrashes(std::uint64_t trait) const -> std::set<std::uint64_t>
{
    std::map<std::uint64_t, std::set<std::string_view>> serversWith;
    for (const auto &run : m_lostRuns) {
        if (contains(run.traits, trait) && !isCleared(trait, run.at)) {
            serversWith[run.crash].insert(run.serverId);
        }
    }
    std::set<std::uint64_t> out;
    for (const auto &[crash, servers] : serversWith) {
        if (2 * servers.size() >= m_crashes.at(crash).servers.size()) {
            out.insert(crash);
        }
    }
    return out;
}

/// What the runs with a trait have in common, since a run with the trait last survived.
auto crash_evidence::hypothesisFor(std::uint64_t trait) const -> hypothesis
{
    hypothesis out{.crashes = explainedCrashes(trait)};
    std::optional<time_us> earliestAt;
    for (const auto &run : m_lostRuns) {
        if (!contains(run.traits, trait) || isCleared(trait, run.at)
            || !out.crashes.contains(run.crash)) {
            continue;
        }
        if (!earliestAt) {
            out.traits = run.traits;
        } else {
            std::erase_if(out.traits,
                          [&run](std::uint64_t other) { return !contains(run.traits, other); });
        }
        out.requests.insert(run.requestId);
        out.latestAt = std::max(out.latestAt, run.at);
        earliestAt = std::min(earliestAt.value_or(run.at), run.at);
    }
    std::erase_if(out.traits, [&](std::uint64_t other) {
        return isCleared(other, earliestAt.value_or(time_us{}));
    });
    return out;
}

auto crash_evidence::hypotheses() const -> std::vector<hypothesis>
{
    std::map<std::uint64_t, std::size_t> runsWith;
    for (const auto &run : m_lostRuns) {
        for (const auto trait : run.traits) {
            ++runsWith[trait];
        }
    }
    std::vector<hypothesis> out;
    for (const auto &[trait, runs] : runsWith) {
        // Most traits are those of a single request.
        if (runs < m_options.crashesToQuarantine) {
            continue;
        }
        auto one = hypothesisFor(trait);
        const auto known = std::any_of(out.begin(), out.end(), [&one](const hypothesis &other) {
            return other.traits == one.traits && other.crashes == one.crashes;
        });
        if (one.crashes.size() >= m_options.crashesToQuarantine && !known) {
            out.push_back(std::move(one));
        }
    }
    // The most specific cause first: a trait that is shared with it explains nothing more.
    std::stable_sort(out.begin(), out.end(), [](const hypothesis &a, const hypothesis &b) {
        return a.traits.size() != b.traits.size() ? a.traits.size() > b.traits.size()
                                                  : a.crashes.size() > b.crashes.size();
    });
    return out;
}

auto crash_evidence::computeSignatures() const -> std::vector<crash_signature>
{
    std::vector<crash_signature> out;
    std::set<std::uint64_t> explained;
    for (const auto &cause : hypotheses()) {
        const auto unexplained = static_cast<std::size_t>(
            std::count_if(cause.crashes.begin(), cause.crashes.end(),
                          [&](std::uint64_t crash) { return !explained.contains(crash); }));
        const auto wider = cause.crashes.size() >= MIN_CRASHES_OF_WIDER_CAUSE
                           && unexplained >= MIN_UNEXPLAINED_OF_WIDER_CAUSE;
        if (unexplained < m_options.crashesToQuarantine && !wider) {
            continue;
        }
        // A few requests that were repeated share more than their cause.
        if (cause.requests.size() >= m_options.crashesToQuarantine) {
            explained.insert(cause.crashes.begin(), cause.crashes.end());
        }
        constexpr std::size_t MAX_DOUBLINGS = 16;
        const auto doublings
            = std::min(MAX_DOUBLINGS, cause.crashes.size() - m_options.crashesToQuarantine);
        const auto us
            = std::min(m_options.baseQuarantineUs << doublings, m_options.maxQuarantineUs);
        out.push_back({.traits = cause.traits,
                       .crashes = cause.crashes.size(),
                       .until = cause.latestAt + us});
    }
    return out;
}

} // namespace marjoram
