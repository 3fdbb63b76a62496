#pragma once

#include "framework/global/answerdeadline.h"
#include "framework/global/clock.h"
#include "framework/global/enumnames.h"
#include "framework/global/identifiers.h"
#include "framework/global/retryschedule.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marjoram {

/// Point in the history of the directory service.
struct history_position
{
    /// Rises each time the service comes back from an older copy of its data: revisions go back and
    /// are given out again. Empty if the service does not state it.
    std::optional<std::uint64_t> generation;
    std::uint64_t revision = 0;
};

/// How the position of an answer compares with the known one.
enum class history_order { current, restored, outdated };
inline constexpr std::array historyOrderNames{
    enum_name<history_order>{history_order::current, "current"},
    enum_name<history_order>{history_order::restored, "restored"},
    enum_name<history_order>{history_order::outdated, "outdated"},
};
constexpr auto namesOf(history_order) -> const auto &
{
    return historyOrderNames;
}

/// Compares the position of an answer with the known one. Without a generation, a revision that
/// went back means that the service was restored.
inline auto compareHistory(const history_position &known, const history_position &answered)
    -> history_order
{
    if (known.generation && answered.generation) {
        if (answered.generation != known.generation) {
            return answered.generation > known.generation ? history_order::restored
                                                          : history_order::outdated;
        }
        return answered.revision < known.revision ? history_order::outdated
                                                  : history_order::current;
    }
    return answered.revision < known.revision ? history_order::restored : history_order::current;
}

/// Item published under a key.
template <typename Item>
struct published
{
    std::string key;
    /// Revision of its last change; 0 in a list_watch if that was before the service was restored.
    std::uint64_t revision = 0;
    /// Empty if the item was removed or cannot be decoded.
    std::optional<Item> value;
    /// Whether the key was deleted.
    bool removed = false;
};

/// Page of a listing.
template <typename Item>
struct published_page
{
    std::vector<published<Item>> items;
    bool more = false;
    /// Revision of the store at the time of the page.
    std::uint64_t revision = 0;
    /// See history_position.
    std::optional<std::uint64_t> generation;
};

/// Options of a list_watch.
struct list_watch_options
{
    /// Pause between a watch's answer and the next watch, so that one answer brings more changes.
    std::int64_t watchPauseUs = 0;
    /// The same pause while a change is expected.
    std::int64_t expectantPauseUs = 0;
    /// Longest time for which the service holds a watch without changes.
    std::int64_t longPollMs = 1'500;
    /// A call whose answer does not arrive within these limits has failed.
    answer_deadline_options answer;
    retry_schedule_options retry;
    /// Time after an outage of the service for which removals are held back: keys may have expired
    /// during the outage and be written again.
    std::int64_t removalGraceUs = 0;
    /// Time after a restore of the service for which keys that had been removed before it are held
    /// back, unless they are written again: whoever wrote them may be gone. Long enough for their
    /// leases to run out.
    std::int64_t restoreHoldUs = 0;
    /// How long a removed key is remembered for this.
    std::int64_t removedRetentionUs = 60 * US_PER_SECOND;
    /// Shortest time between two calls that are made because of refresh().
    std::int64_t minRefreshIntervalUs = 100 * US_PER_MS;
    /// Time after which outdated answers are believed if nothing else has come meanwhile.
    std::int64_t maxOutdatedUs = 10 * US_PER_SECOND;
};

/// Call of a list_watch.
enum class directory_call { list, watch };
inline constexpr std::array directoryCallNames{
    enum_name<directory_call>{directory_call::list, "list"},
    enum_name<directory_call>{directory_call::watch, "watch"},
};
constexpr auto namesOf(directory_call) -> const auto &
{
    return directoryCallNames;
}

/// A call that failed, and what follows.
struct call_failure
{
    directory_call call = directory_call::list;
    /// Time from the start of the call to its failure.
    std::int64_t callUs = 0;
    std::int64_t retryInUs = 0;
    /// Failures in a row.
    std::uint32_t failures = 0;
    /// Part of the answer that had arrived.
    std::uint64_t receivedBytes = 0;
};

/// An outage of the service as a list_watch has seen it.
struct service_outage
{
    /// Time from the last answer before it to the first one after it.
    std::int64_t unansweredUs = 0;
    std::uint32_t failures = 0;
};

/// Makes the calls of a list_watch and gets its events. `abandon` gives up the call in progress: no
/// answer to it may be delivered any more.
template <typename S, typename Item>
concept list_watch_sink = requires(S &sink, const std::string &after, std::uint64_t revision,
                                   const published<Item> &item, const history_position &position,
                                   const call_failure &failure, const service_outage &outage)
{
    sink.list(after);
    sink.watch(revision, std::int64_t{});
    sink.abandon();
    sink.onPublished(item);
    sink.onSynced();
    sink.onCallFailed(failure);
    sink.onServiceLost();
    sink.onServiceRegained(outage);
    sink.onHistory(history_order{}, position, position);
};

/// Keeps a copy of all items under a prefix: lists them, then watches for changes, and lists again
/// when the history of changes was compacted or the service was restored from an older copy.
/// Answers older than the known state are ignored. At most one call is in progress at a time, and
/// calls that are not answered in time are given up. Not thread safe: belongs to one duty.
template <typename Item, clock_source Clock, typename Sink>
class list_watch
{
public:
    list_watch(list_watch_options options, Clock clock, std::uint64_t seed, Sink &sink)
        : m_options(options)
        , m_clock(clock)
        , m_random(seed)
        , m_sink(sink)
        , m_schedule(options.retry)
        , m_answer(options.answer)
    {
        static_assert(list_watch_sink<Sink, Item>);
    }

    auto start() -> void
    {
        m_schedule.start(m_clock.now());
        list({});
    }

    // --- answers of the service

    auto onPage(published_page<Item> page) -> void
    {
        const auto first = m_listedKeys.empty();
        const auto order = follow({.generation = page.generation, .revision = page.revision});
        if (order == history_order::outdated) {
            onFailed();
            return;
        }
        markAvailable();
        if (order == history_order::restored && !first) {
            listAfterRestore();
            return;
        }
        if (first) {
            m_listRevision = page.revision;
            m_listCalledAt = m_schedule.calledAt();
        }
        const auto last = page.items.empty() ? std::string() : page.items.back().key;
        for (auto &item : page.items) {
            m_listedKeys[item.key] = true;
            receive(std::move(item));
        }
        if (page.more) {
            // Without a key to begin after, or with the last one again, the listing would not end.
            if (last.empty() || last == m_listedUpTo) {
                onFailed();
                return;
            }
            m_listedUpTo = last;
            list(last);
            return;
        }
        removeUnlisted();
        m_restoring = false;
        m_revision = m_listRevision;
        m_readAt = m_listCalledAt;
        finishSync();
    }
    auto onChanges(std::vector<published<Item>> changes, std::uint64_t revision,
                   std::optional<std::uint64_t> generation = {}) -> void
    {
        const auto order = follow({.generation = generation, .revision = revision});
        if (order == history_order::outdated) {
            onFailed();
            return;
        }
        markAvailable();
        if (order == history_order::restored) {
            listAfterRestore();
            return;
        }
        for (auto &change : changes) {
            receive(std::move(change));
        }
        m_revision = std::max(m_revision, revision);
        m_readAt = m_schedule.calledAt();
        finishSync();
    }
    /// The history of changes is no longer available.
    auto onCompacted() -> void
    {
        markAvailable();
        m_listing = true;
        m_listedKeys.clear();
        m_listedUpTo.clear();
        list({});
    }
    /// Part of the answer to the call in progress has arrived.
    auto onProgress(std::size_t bytes) -> void
    {
        if (!m_callEndsBy) {
            return;
        }
        const auto now = m_clock.now();
        m_schedule.onProgress(now);
        m_answer.onProgress(now, bytes);
        m_callEndsBy = m_answer.endsAt();
    }
    auto onFailed() -> void
    {
        if (!std::exchange(m_lost, true)) {
            m_sink.onServiceLost();
        }
        m_listedKeys.clear();
        m_callEndsBy.reset();
        const auto now = m_clock.now();
        m_nextCallAt = m_schedule.onFailed(now, m_random);
        m_sink.onCallFailed({.call = m_listing ? directory_call::list : directory_call::watch,
                             .callUs = now - m_schedule.calledAt(),
                             .retryInUs = *m_nextCallAt - now,
                             .failures = m_schedule.failures(),
                             .receivedBytes = m_answer.receivedBytes()});
    }

    /// A change is expected before `until`: the pause between watches is shorter until then, or
    /// until endExpectation().
    auto expectChange(time_us until) -> void
    {
        m_expectingUntil = std::max(m_expectingUntil, until);
        // After a failure the service is not called sooner.
        if (m_nextCallAt && m_schedule.failures() == 0) {
            m_nextCallAt = std::min(*m_nextCallAt, m_syncedAt + m_options.expectantPauseUs);
        }
    }
    auto endExpectation() -> void { m_expectingUntil = {}; }
    /// Somebody needs all changes up to now: reads the service at once instead of waiting for its
    /// next change. A service that has failed is not called sooner.
    auto refresh() -> void
    {
        m_refreshAt = m_refreshAt.value_or(
            std::max(m_clock.now(), m_refreshedAt + m_options.minRefreshIntervalUs));
    }

    // --- timer

    auto nextTimer() const -> std::optional<time_us>
    {
        auto next = m_callEndsBy ? m_callEndsBy : m_nextCallAt;
        if (!m_pendingRemovals.empty() && m_removalGraceUntil && !m_lost
            && (!next || *m_removalGraceUntil < *next)) {
            next = m_removalGraceUntil;
        }
        if (!m_heldBack.empty() && !m_lost && (!next || m_heldBackUntil < *next)) {
            next = m_heldBackUntil;
        }
        if (mayRefresh() && (!next || *m_refreshAt < *next)) {
            next = m_refreshAt;
        }
        return next;
    }
    auto onTimer() -> void
    {
        const auto now = m_clock.now();
        if (m_callEndsBy && *m_callEndsBy <= now) {
            m_sink.abandon();
            onFailed();
        }
        if (mayRefresh() && *m_refreshAt <= now) {
            if (m_callEndsBy) {
                m_sink.abandon();
            }
            m_nextCallAt = now;
        }
        if (m_nextCallAt && *m_nextCallAt <= now) {
            call();
        }
        if (m_removalGraceUntil && *m_removalGraceUntil <= now && !m_lost) {
            m_removalGraceUntil.reset();
            applyAll(m_pendingRemovals);
        }
        if (m_heldBackUntil <= now && !m_lost) {
            applyAll(m_heldBack);
        }
    }

    // --- state

    auto items() const -> const std::map<std::string, published<Item>> & { return m_items; }
    auto revision() const -> std::uint64_t { return m_revision; }
    auto lost() const -> bool { return m_lost; }
    /// Everything that was published before this is in items().
    auto readAt() const -> time_us { return m_readAt; }

private:
    /// Compares an answer with the known position. A restored history is adopted: all items have to
    /// be listed again.
    auto follow(const history_position &answered) -> history_order
    {
        const history_position known{.generation = m_generation,
                                     .revision
                                     = m_listedKeys.empty() ? m_revision : m_listRevision};
        const auto order = compareHistory(known, answered);
        const auto now = m_clock.now();
        if (order == history_order::outdated) {
            if (!m_outdatedSince) {
                m_outdatedSince = now;
                m_sink.onHistory(order, known, answered);
            }
            if (now - *m_outdatedSince < m_options.maxOutdatedUs) {
                return order;
            }
        }
        m_outdatedSince.reset();
        if (order == history_order::current) {
            m_generation = answered.generation ? answered.generation : m_generation;
            return order;
        }
        m_sink.onHistory(history_order::restored, known, answered);
        m_generation = answered.generation;
        m_revision = 0;
        m_listing = true;
        m_listedKeys.clear();
        for (auto &[key, item] : m_items) {
            item.revision = 0;
        }
        for (const auto &[key, item] : m_pendingRemovals) {
            recordRemoved(key);
        }
        m_removalGraceUntil = now + m_options.removalGraceUs;
        m_restoring = true;
        m_heldBack.clear();
        m_heldBackUntil = now + m_options.restoreHoldUs;
        return history_order::restored;
    }
    /// A service that seems to be restored again and again is not called without a pause.
    auto listAfterRestore() -> void
    {
        const auto now = m_clock.now();
        const auto before = std::exchange(m_restoredAt, now);
        if (before && now - *before < m_options.retry.maxRetryUs) {
            m_nextCallAt = m_schedule.onUnusable(now, m_random);
            return;
        }
        m_listedUpTo.clear();
        list({});
    }
    auto call() -> void
    {
        if (m_listing) {
            m_listedUpTo.clear();
            list({});
        } else {
            // Whether the service was restored during an outage is shown only by an answer.
            const auto waitMs = m_lost || m_refreshAt ? 0 : m_options.longPollMs;
            beginCall(waitMs);
            m_sink.watch(m_revision, waitMs);
        }
    }
    /// Whether refresh() can be followed now: no call is in progress, or one that waits for changes
    /// and has got no part of its answer.
    auto mayRefresh() const -> bool
    {
        const auto idle = !m_callEndsBy || (m_waits && m_answer.receivedBytes() == 0);
        return m_refreshAt && idle && !m_lost;
    }
    auto list(const std::string &after) -> void
    {
        beginCall(0);
        m_sink.list(after);
    }
    auto beginCall(std::int64_t waitMs) -> void
    {
        const auto now = m_clock.now();
        m_nextCallAt.reset();
        m_schedule.onCalled(now);
        m_waits = waitMs > 0;
        if (m_refreshAt) {
            m_refreshedAt = now;
            m_refreshAt.reset();
        }
        m_answer.start(now, toUs(waitMs));
        m_callEndsBy = m_answer.endsAt();
    }
    auto finishSync() -> void
    {
        m_listing = false;
        m_listedKeys.clear();
        m_sink.onSynced();
        m_syncedAt = m_clock.now();
        m_nextCallAt = m_syncedAt
                       + (m_syncedAt < m_expectingUntil ? m_options.expectantPauseUs
                                                        : m_options.watchPauseUs);
    }
    auto markAvailable() -> void
    {
        const auto now = m_clock.now();
        const service_outage outage{.unansweredUs = now - m_schedule.answeredAt(),
                                    .failures = m_schedule.failures()};
        m_schedule.onAnswered(now);
        m_callEndsBy.reset();
        if (!std::exchange(m_lost, false)) {
            return;
        }
        m_removalGraceUntil = now + m_options.removalGraceUs;
        m_sink.onServiceRegained(outage);
    }
    auto receive(published<Item> item) -> void
    {
        const auto known = m_items.find(item.key);
        if (known != m_items.end() && known->second.revision >= item.revision && !item.removed) {
            m_pendingRemovals.erase(item.key);
            return;
        }
        if (item.removed) {
            m_heldBack.erase(item.key);
        }
        if (item.removed && m_removalGraceUntil && m_options.removalGraceUs > 0) {
            m_pendingRemovals.insert_or_assign(item.key, std::move(item));
            return;
        }
        if (isHeldBack(item)) {
            m_heldBack.insert_or_assign(item.key, std::move(item));
            return;
        }
        m_pendingRemovals.erase(item.key);
        m_heldBack.erase(item.key);
        apply(std::move(item));
    }
    /// Whether an item is in the store only because it was in the restored copy.
    auto isHeldBack(const published<Item> &item) const -> bool
    {
        if (item.removed || m_options.restoreHoldUs == 0) {
            return false;
        }
        const auto held = m_heldBack.find(item.key);
        return held != m_heldBack.end() ? item.revision <= held->second.revision
                                        : m_restoring && m_removedAt.contains(item.key);
    }
    auto applyAll(std::map<std::string, published<Item>> &waiting) -> void
    {
        if (waiting.empty()) {
            return;
        }
        for (auto &[key, item] : std::exchange(waiting, {})) {
            apply(std::move(item));
        }
        m_sink.onSynced();
    }
    auto apply(published<Item> item) -> void
    {
        m_sink.onPublished(item);
        if (item.removed) {
            recordRemoved(item.key);
            m_items.erase(item.key);
        } else {
            m_removedAt.erase(item.key);
            m_items.insert_or_assign(item.key, std::move(item));
        }
    }
    auto recordRemoved(const std::string &key) -> void
    {
        const auto now = m_clock.now();
        std::erase_if(m_removedAt, [&](const auto &named) {
            return now - named.second > m_options.removedRetentionUs;
        });
        m_removedAt.insert_or_assign(key, now);
    }
    auto removeUnlisted() -> void
    {
        std::erase_if(m_heldBack,
                      [this](const auto &named) { return !m_listedKeys.contains(named.first); });
        std::vector<std::string> unlisted;
        for (const auto &[key, item] : m_items) {
            if (!m_listedKeys.contains(key)) {
                unlisted.push_back(key);
            }
        }
        for (const auto &key : unlisted) {
            receive({.key = key, .revision = m_listRevision, .removed = true});
        }
    }

    list_watch_options m_options;
    Clock m_clock;
    random_source m_random;
    Sink &m_sink;
    std::map<std::string, published<Item>> m_items;
    std::map<std::string, published<Item>> m_pendingRemovals;
    /// Items of a restored copy whose keys had been removed before.
    std::map<std::string, published<Item>> m_heldBack;
    std::map<std::string, time_us> m_removedAt;
    std::map<std::string, bool> m_listedKeys;
    /// Last key of the latest page.
    std::string m_listedUpTo;
    std::optional<std::uint64_t> m_generation;
    std::uint64_t m_listRevision = 0;
    std::uint64_t m_revision = 0;
    bool m_listing = true;
    /// The listing in progress is the first one after a restore.
    bool m_restoring = false;
    bool m_lost = false;
    retry_schedule m_schedule;
    answer_deadline m_answer;
    std::optional<time_us> m_nextCallAt;
    /// When the call in progress is given up.
    std::optional<time_us> m_callEndsBy;
    /// The call in progress is held by the service until there are changes.
    bool m_waits = false;
    /// Call that brought the first page of the listing, or the latest answer.
    time_us m_listCalledAt;
    time_us m_readAt{INT64_MIN / 2};
    /// When the service is to be read for refresh(), and when it last was.
    std::optional<time_us> m_refreshAt;
    time_us m_refreshedAt{INT64_MIN / 2};
    time_us m_syncedAt;
    time_us m_expectingUntil;
    std::optional<time_us> m_removalGraceUntil;
    std::optional<time_us> m_outdatedSince;
    std::optional<time_us> m_restoredAt;
    time_us m_heldBackUntil;
};

} // namespace marjoram
