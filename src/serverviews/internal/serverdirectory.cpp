#include "serverviews/serverdirectory.h"

#include <algorithm>

namespace marjoram {

namespace {

/// An entry that states no start time is taken for one of the process that is known.
auto sameProcess(const server_entry &known, const server_entry &entry) -> bool
{
    return (known.bornUnixMs == entry.bornUnixMs || entry.bornUnixMs == 0)
           && known.address == entry.address;
}

} // namespace

auto server_directory::onServerList(const std::vector<server_entry> &entries, time_us now)
    -> server_changes
{
    server_changes out;
    std::map<std::string, server_view, std::less<>> kept;
    for (const auto &entry : entries) {
        auto node = m_views.extract(entry.id);
        const auto known = !node.empty() && sameProcess(node.mapped().entry, entry);
        auto view = known ? std::move(node.mapped())
                          : addView(entry, node.empty() ? nullptr : &node.mapped(), now);
        const auto wasLeaving = view.leaving();
        const auto joined = !known || view.announced;
        const auto bornUnixMs = entry.bornUnixMs ? entry.bornUnixMs : view.entry.bornUnixMs;
        // An entry is read again whenever another one changes; an unchanged figure is not counted
        // anew.
        const auto restated = !known || entry.warmUpLeftMs != view.entry.warmUpLeftMs;
        view.entry = entry;
        if (restated) {
            setColdFor(view, entry.warmUpLeftMs, now);
            view.cold.listedUntil = view.cold.until;
        }
        view.entry.bornUnixMs = bornUnixMs;
        const auto software = statedSoftware(view.entry);
        if (software && !software->version.empty()) {
            m_software.record(processOf(view.entry), *software, now);
            m_versionedPools.insert(software->pool);
        }
        view.unlistedAt.reset();
        view.announced = false;
        view.listingMissedSince.reset();
        // A process that leaves does not return: an entry that lacks this is older.
        const auto staysLeaving = known && view.publishedLeaving && bornUnixMs != 0;
        view.publishedLeaving = entry.state == server_state::leaving || staysLeaving;
        if (joined) {
            out.joined.push_back(entry.id);
        }
        if (view.leaving() && !wasLeaving) {
            out.leaving.push_back(entry.id);
        }
        limitCold(view, now);
        kept.emplace(entry.id, std::move(view));
    }
    for (auto &[id, view] : m_views) {
        if (isListingPending(view, now)) {
            kept.emplace(id, std::move(view));
            continue;
        }
        if (!view.unlistedAt) {
            view.unlistedAt = now;
            out.unlisted.push_back(id);
        }
        if (view.inFlight > 0 || view.pausedUntil > now
            || now - *view.unlistedAt < m_options.unlistedRetentionUs) {
            kept.emplace(id, std::move(view));
        } else {
            out.gone.push_back(id);
            recordGone(view, now);
        }
    }
    m_views = std::move(kept);
    return out;
}

auto server_directory::onAnnounced(const server_entry &entry,
                                   const std::vector<std::string> &models, time_us now) -> bool
{
    if (m_views.contains(entry.id) || m_gone.contains(entry.id)) {
        return false;
    }
    auto view = makeView(entry, now);
    view.announced = true;
    view.announcedModels = models;
    assignPool(view);
    m_views.emplace(entry.id, std::move(view));
    return true;
}

auto server_directory::onListAvailability(bool available, time_us now) -> void
{
    if (available && !m_listAvailable) {
        m_listReturnedAt = now;
    }
    m_listAvailable = available;
}

auto server_directory::setTable(route_table_ptr table) -> void
{
    m_table = std::move(table);
    for (auto &[id, view] : m_views) {
        if (view.announced) {
            assignPool(view);
        }
    }
}

/// The entry states the remaining warm-up time when it is written; the view counts it down.
auto server_directory::makeView(const server_entry &entry, time_us now) const -> server_view
{
    return {.entry = entry,
            .warmUpUntil = now + toUs(entry.warmUpLeftMs),
            .reporterAwaited = m_options.awaitReporters};
}

auto server_directory::assignPool(server_view &view) const -> void
{
    const auto *pool = m_table ? m_table->findPoolOf(view.announcedModels) : nullptr;
    view.entry.pool = pool ? pool->name : std::string();
    view.entry.slots = pool ? pool->engine->slots : 1;
}

auto server_directory::replacesList(time_us now) const -> bool
{
    return !m_listAvailable || now - m_listReturnedAt < m_options.listingTimeoutUs;
}

auto server_directory::onReport(const std::string &id, server_report report, time_us now) -> bool
{
    auto *view = findMutable(id);
    if (!view) {
        return false;
    }
    const auto nowLeaving = report.state == server_state::leaving || report.leavesMs.has_value();
    const auto becameLeaving = nowLeaving && !view->leaving();
    view->reportedLeaving = nowLeaving;
    if (!nowLeaving && report.bornUnixMs > view->statedLeavingBornUnixMs.value_or(INT64_MAX)) {
        view->statedLeavingBornUnixMs.reset();
    }
    if (report.leavesMs) {
        view->shutdownAt = now + toUs(*report.leavesMs);
    }
    view->report = std::move(report);
    view->reporterAwaited = false;
    view->reportAt = now;
    if (const auto delayMs = view->report->delayMs) {
        view->answeredAt = now + -toUs(*delayMs) + -toUs(view->report->answeredAgoMs);
    }
    view->sentSinceReport = 0;
    view->tokensSinceReport = 0;
    onReportedRateLimit(*view, now);
    if (view->report->coldMilliPerSecond > 0 && view->cold.perSecond > 0.0) {
        view->cold.granterUntil = now + m_options.granterReportMaxAgeUs;
        view->cold.refusedUntil = now + toUs(view->report->limitedForMs);
        // A reporter whose server does not say whether it is cold knows less than the list.
        const auto listedMs = (view->cold.listedUntil - now) / US_PER_MS;
        setColdFor(*view, std::max(view->report->coldForMs, listedMs), now);
        limitCold(*view, now);
    }
    return becameLeaving;
}

auto server_directory::onReporterAbsent(const std::string &id) -> bool
{
    auto *view = findMutable(id);
    return view && !view->report && std::exchange(view->reporterAwaited, false);
}

auto server_directory::onReplaced(const std::string &id) -> bool
{
    auto *view = findMutable(id);
    return view && !std::exchange(view->replaced, true);
}

auto server_directory::onStatedLeaving(const std::string &id) -> bool
{
    auto *view = findMutable(id);
    if (!view) {
        return false;
    }
    const auto wasLeaving = view->leaving();
    // The later start is that of the process that answered: list and report may be of earlier ones.
    const auto reported = view->report ? view->report->bornUnixMs : 0;
    view->statedLeavingBornUnixMs = std::max(view->entry.bornUnixMs, reported);
    return !wasLeaving;
}

auto server_directory::onRetryAfter(const std::string &id, std::int64_t retryAfterMs, time_us now)
    -> bool
{
    auto *view = findMutable(id);
    if (!view) {
        return false;
    }
    const auto wasPaused = view->pausedUntil > now;
    const auto pauseUs = std::min(retryAfterMs, m_options.maxPauseUs / US_PER_MS) * US_PER_MS;
    // An earlier answer may have stated a later end, which still holds.
    view->pausedUntil = std::max(view->pausedUntil, now + pauseUs);
    return !wasPaused && view->pausedUntil > now;
}

auto server_directory::onLoad(const std::string &id, const load_sample &load, time_us now) -> bool
{
    auto *view = findMutable(id);
    if (!view) {
        return false;
    }
    view->load = load;
    view->loadAt = now;
    if (!view->report) {
        view->sentSinceReport = 0;
    }
    return view->pace.onStated(load.slowdownPercent, now);
}

auto server_directory::onWorkTime(const std::string &id, std::int64_t tookUs, time_us now) -> void
{
    auto *view = findMutable(id);
    if (!view || !view->load) {
        return;
    }
    const auto slots = std::max<std::uint32_t>(1, view->entry.slots);
    const auto present = double{1.0} * view->load->running + view->load->waiting;
    view->pace.onAnswered(tookUs, present / slots, now);
}

auto server_directory::onRateLimit(const std::string &id, std::uint64_t milliPerSecond, time_us now)
    -> bool
{
    auto *view = findMutable(id);
    if (!view || (!view->rateLimit && milliPerSecond == 0)) {
        return false;
    }
    const auto changed = setRateLimit(*view, milliPerSecond, now, now);
    if (!changed && now - view->rateLimitSharedAt < m_options.rateLimitShareIntervalUs) {
        return false;
    }
    view->rateLimitSharedAt = now;
    return true;
}

auto server_directory::recordRequest(const std::string &id, time_us now) -> void
{
    auto *view = findMutable(id);
    if (view && view->cold.isCold(now)) {
        view->cold.share.record(now);
    }
    if (!view || !view->rateLimit || view->rateLimit->milliPerSecond == 0
        || hasGranter(*view, now)) {
        return;
    }
    if (now - view->rateLimitSeenAt > view->rateLimit->retentionUs()) {
        setRateLimit(*view, 0, now, now);
        return;
    }
    view->ownShare.record(now);
    view->limitedUntil = view->ownShare.nextAt(now);
}

auto server_directory::setEntryCount(std::uint32_t entries, time_us now) -> void
{
    if (std::exchange(m_entryCount, entries) == entries) {
        return;
    }
    for (auto &[id, view] : m_views) {
        if (view.rateLimit && view.rateLimit->milliPerSecond > 0) {
            view.ownShare.setRate(shareOf(view), now);
        }
        limitCold(view, now);
    }
}

auto server_directory::setColdLimits(cold_limits limits, time_us now) -> void
{
    if (std::exchange(m_coldLimits, std::move(limits)) == m_coldLimits) {
        return;
    }
    for (auto &[id, view] : m_views) {
        limitCold(view, now);
    }
}

auto server_directory::takeColdChanges(time_us now) -> std::vector<cold_change>
{
    std::vector<cold_change> out;
    if (m_coldLimits.empty() && m_coldServers == 0) {
        return out;
    }
    m_coldServers = 0;
    for (auto &[id, view] : m_views) {
        const auto cold = view.cold.isCold(now);
        m_coldServers += cold ? 1 : 0;
        if (std::exchange(view.cold.told, cold) != cold) {
            out.push_back({.serverId = id,
                           .cold = cold,
                           .forMs = cold ? (view.cold.until - now) / US_PER_MS : 0});
        }
    }
    return out;
}

auto server_directory::setColdFor(server_view &view, std::int64_t leftMs, time_us now) -> void
{
    const auto limit = m_coldLimits.find(view.entry.pool);
    const auto startMs = limit == m_coldLimits.end() ? 0 : limit->second.coldStartMs;
    // A server may become cold again before it is warm.
    const auto mostMs = startMs > 0 ? 2 * startMs : m_options.maxColdUs / US_PER_MS;
    view.cold.until = now + std::clamp<std::int64_t>(leftMs, 0, mostMs) * US_PER_MS;
}

/// Applies the limit of its pool to a server, and gives this entry its share while it is cold.
auto server_directory::limitCold(server_view &view, time_us now) -> void
{
    const auto limit = m_coldLimits.find(view.entry.pool);
    view.cold.perSecond = limit == m_coldLimits.end() ? 0.0 : limit->second.perSecond;
    if (!view.cold.isCold(now)) {
        view.cold.sharing = false;
        return;
    }
    const auto part = view.report ? m_options.coldShareBesideReporter : m_options.coldShare;
    const auto perSecond = part * view.cold.perSecond / m_entryCount;
    if (std::exchange(view.cold.sharing, true)) {
        view.cold.share.setRate(perSecond, now);
    } else {
        view.cold.share.restart(perSecond, static_cast<double>(m_random() >> 11) * 0x1.0p-53, now);
    }
}

/// Returns true if the limit has changed.
auto server_directory::setRateLimit(server_view &view, std::uint64_t milliPerSecond, time_us seenAt,
                                    time_us now) -> bool
{
    const auto before = view.rateLimit ? view.rateLimit->milliPerSecond : 0;
    view.rateLimit = {.milliPerSecond = milliPerSecond};
    view.rateLimitSeenAt = seenAt;
    if (before == milliPerSecond) {
        return false;
    }
    if (milliPerSecond == 0) {
        view.limitedUntil = {};
    } else if (before > 0) {
        view.ownShare.setRate(shareOf(view), now);
    } else {
        // Entries learn of a limit together, and must not all send at the same time.
        const auto phase = static_cast<double>(m_random() >> 11) * 0x1.0p-53;
        view.ownShare.restart(shareOf(view), phase, now);
        view.limitedUntil = view.ownShare.nextAt(now);
    }
    return true;
}

auto server_directory::onReportedRateLimit(server_view &view, time_us now) -> void
{
    const auto &reported = view.report->rateLimit;
    if (!reported) {
        return;
    }
    const auto seenAt = now + -toUs(reported->ageMs);
    if (!view.rateLimit || seenAt > view.rateLimitSeenAt) {
        setRateLimit(view, reported->milliPerSecond, seenAt, now);
    }
    if (view.rateLimit->milliPerSecond > 0 && hasGranter(view, now)) {
        view.limitedUntil = now + toUs(view.report->limitedForMs);
    }
}

/// Whether a reporter knows the limit of the server and grants requests within it.
auto server_directory::hasGranter(const server_view &view, time_us now) const -> bool
{
    return view.report && now - view.reportAt < m_options.granterReportMaxAgeUs
           && view.report->rateLimit && view.report->rateLimit->milliPerSecond > 0;
}

auto server_directory::shareOf(const server_view &view) const -> double
{
    return view.rateLimit->perSecond() / m_entryCount;
}

auto server_directory::recordSent(const std::string &id, std::uint64_t tokens) -> void
{
    if (auto *view = findMutable(id)) {
        ++view->inFlight;
        ++view->sentSinceReport;
        view->forecastTokens += tokens;
        view->tokensSinceReport += tokens;
    }
}

auto server_directory::recordEnded(const std::string &id, std::uint64_t tokens) -> void
{
    if (auto *view = findMutable(id)) {
        view->inFlight -= std::min<std::uint32_t>(view->inFlight, 1);
        view->forecastTokens -= std::min(view->forecastTokens, tokens);
    }
}

auto server_directory::recordSuccess(const std::string &id) -> void
{
    if (auto *view = findMutable(id)) {
        view->consecutiveFailures = 0;
        view->onProbation = false;
        view->failureRate *= 1.0 - m_options.failureRateWeight;
        ++view->outcomeCount;
    }
}

auto server_directory::recordFailure(const std::string &id, time_us now) -> bool
{
    auto *view = findMutable(id);
    if (!view) {
        return false;
    }
    view->failureRate
        = view->failureRate * (1.0 - m_options.failureRateWeight) + m_options.failureRateWeight;
    ++view->outcomeCount;
    ++view->consecutiveFailures;
    const auto byCount = view->consecutiveFailures >= m_options.failuresToEject;
    const auto byRate = view->outcomeCount >= m_options.minOutcomes
                        && view->failureRate >= m_options.failureRateToEject;
    return (byCount || byRate) && mayEject(*view, now) && eject(*view, now);
}

auto server_directory::recordWrongServer(const std::string &id, time_us now) -> void
{
    if (auto *view = findMutable(id)) {
        view->ejectedUntil = now + m_options.maxEjectionUs;
    }
}

auto server_directory::find(std::string_view id) const -> const server_view *
{
    const auto found = m_views.find(id);
    return found == m_views.end() ? nullptr : &found->second;
}

auto server_directory::findProcess(std::string_view id, std::int64_t bornUnixMs) const
    -> const server_view *
{
    const auto *view = find(id);
    const auto bornThen = view ? view->entry.bornUnixMs : 0;
    return bornUnixMs == 0 || bornThen == 0 || bornThen == bornUnixMs ? view : nullptr;
}

auto server_directory::usableServers(std::string_view pool, time_us now, bool trustedOnly) const
    -> std::vector<const server_view *>
{
    std::vector<const server_view *> all;
    std::vector<const server_view *> healthy;
    std::vector<const server_view *> trusted;
    for (const auto &[id, view] : m_views) {
        if (view.entry.pool != pool || !isUsable(view, now)) {
            continue;
        }
        all.push_back(&view);
        if (view.ejectedUntil <= now) {
            healthy.push_back(&view);
        }
        if (view.ejectedUntil <= now && !view.onProbation && view.availableAt(now) <= now) {
            trusted.push_back(&view);
        }
    }
    if (trustedOnly && !trusted.empty()) {
        return trusted;
    }
    return healthy.empty() ? all : healthy;
}

auto server_directory::unavailableUntil(std::string_view pool, time_us now) const
    -> std::optional<time_us>
{
    std::optional<time_us> out;
    for (const auto *view : usableServers(pool, now)) {
        const auto at = view->availableAt(now);
        if (at <= now) {
            return std::nullopt;
        }
        out = std::min(out.value_or(at), at);
    }
    return out;
}

auto server_directory::softwareOf(const server_process &process) const
    -> std::optional<server_software>
{
    if (process.bornUnixMs != 0) {
        return m_software.find(process);
    }
    const auto found = std::find_if(m_views.begin(), m_views.end(), [&](const auto &named) {
        return processOf(named.second.entry) == process && !named.second.replaced;
    });
    return found == m_views.end() ? std::nullopt : statedSoftware(found->second.entry);
}

auto server_directory::mayContinueAt(const run_origin &origin, const server_view &view,
                                     time_us now) const -> bool
{
    return hasSoftwareOf(origin, view) && isProcessCurrent(view, now);
}

/// Whether a server has the software of the origin, or is the origin itself. Without a start time a
/// process can't be told from the next one at its address.
auto server_directory::hasSoftwareOf(const run_origin &origin, const server_view &view) const
    -> bool
{
    const auto software = origin.software ? origin.software : softwareOf(origin.process);
    const auto sameSoftware
        = software && !software->version.empty() && statedSoftware(view.entry) == software;
    const auto sameProcess
        = origin.process.bornUnixMs != 0 && processOf(view.entry) == origin.process;
    return sameSoftware || sameProcess;
}

auto server_directory::continuationOf(const run_origin &origin, time_us now) const -> continuation
{
    auto out = continuation::none;
    for (const auto &[id, view] : m_views) {
        if (!hasSoftwareOf(origin, view) || !isUsable(view, now)) {
            continue;
        }
        if (mayContinueAt(origin, view, now)) {
            return continuation::possible;
        }
        out = continuation::later;
    }
    return out;
}

auto server_directory::statesVersions(std::string_view pool) const -> bool
{
    // The version of an announced server is not known, rather than not stated.
    return m_versionedPools.contains(pool)
           || std::any_of(m_views.begin(), m_views.end(), [pool](const auto &named) {
                  const auto &view = named.second;
                  return view.announced && view.entry.pool == pool;
              });
}

auto server_directory::isProcessCurrent(const server_view &view, time_us now) const -> bool
{
    if (view.replaced) {
        return false;
    }
    if (!view.report) {
        return m_listAvailable && !view.announced && !view.reporterAwaited;
    }
    // Once a reporter has been heard, its silence may be that of the server's host.
    const auto born = view.report->bornUnixMs;
    const auto listed = born == 0 || view.entry.bornUnixMs == 0 || born == view.entry.bornUnixMs;
    return now - view.answeredAt < m_options.processReportMaxAgeUs && view.report->answering
           && listed;
}

auto server_directory::isEvacuated(std::string_view id) const -> bool
{
    const auto *view = find(id);
    return view && isEvacuated(*view);
}

auto server_directory::allLeaving(std::string_view pool) const -> bool
{
    bool any = false;
    for (const auto &[id, view] : m_views) {
        if (view.entry.pool == pool && !view.leaving() && !isEvacuated(view)) {
            return false;
        }
        any = any || view.entry.pool == pool;
    }
    return any;
}

auto server_directory::poolSize(std::string_view pool) const -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(m_views.begin(), m_views.end(),
                      [pool](const auto &named) { return named.second.entry.pool == pool; }));
}

auto server_directory::findMutable(const std::string &id) -> server_view *
{
    const auto found = m_views.find(id);
    return found == m_views.end() ? nullptr : &found->second;
}

/// Whether an announced server may still appear in the published list.
auto server_directory::isListingPending(server_view &view, time_us now) const -> bool
{
    if (!view.announced) {
        return false;
    }
    view.listingMissedSince = view.listingMissedSince.value_or(now);
    return now - *view.listingMissedSince < m_options.listingTimeoutUs;
}

auto server_directory::isEvacuated(const server_view &view) const -> bool
{
    return m_evacuations.contains(view.entry.dataCentre);
}

auto server_directory::isUsable(const server_view &view, time_us now) const -> bool
{
    // The data centre of an announced server is not known.
    const auto listed = !view.announced || (replacesList(now) && m_evacuations.count() == 0);
    return listed && !view.leaving() && !view.replaced && !isEvacuated(view);
}

/// Returns the view of a process that has just been listed. It keeps what the process has stated
/// while `predecessor` was listed at its id, or before it was removed.
auto server_directory::addView(const server_entry &entry, const server_view *predecessor,
                               time_us now) const -> server_view
{
    auto view = makeView(entry, now);
    const auto keep = [&](const server_entry &known, std::optional<std::int64_t> statedBorn) {
        if (statedBorn == entry.bornUnixMs && known.address == entry.address) {
            view.statedLeavingBornUnixMs = statedBorn;
        }
    };
    if (predecessor) {
        keep(predecessor->entry, predecessor->statedLeavingBornUnixMs);
    }
    if (const auto gone = m_gone.find(entry.id); gone != m_gone.end()) {
        keep(gone->second.entry, gone->second.statedLeavingBornUnixMs);
    }
    return view;
}

auto server_directory::recordGone(const server_view &view, time_us now) -> void
{
    std::erase_if(m_gone, [&](const auto &named) {
        return now - named.second.at > m_options.goneRetentionUs;
    });
    m_gone.insert_or_assign(view.entry.id,
                            gone_server{.at = now,
                                        .entry = view.entry,
                                        .statedLeavingBornUnixMs = view.statedLeavingBornUnixMs});
}

auto server_directory::mayEject(const server_view &view, time_us now) const -> bool
{
    std::size_t ejected = 1;
    std::size_t all = 0;
    for (const auto &[id, other] : m_views) {
        if (other.entry.pool != view.entry.pool || other.leaving() || isEvacuated(other)) {
            continue;
        }
        ++all;
        ejected += &other != &view && other.ejectedUntil > now ? 1 : 0;
    }
    return static_cast<double>(ejected) <= m_options.maxEjectedShare * static_cast<double>(all);
}

auto server_directory::eject(server_view &view, time_us now) const -> bool
{
    const auto backoffUs = m_options.baseEjectionUs << std::min<std::uint32_t>(view.ejections, 8);
    view.ejectedUntil = now + std::min(backoffUs, m_options.maxEjectionUs);
    view.consecutiveFailures = 0;
    view.outcomeCount = 0;
    view.failureRate = 0.0;
    ++view.ejections;
    view.onProbation = true;
    return true;
}

} // namespace marjoram
