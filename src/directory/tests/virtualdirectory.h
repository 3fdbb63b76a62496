#pragma once

#include "directory/directoryoptions.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marjoram {

/// What keeps the directory service from answering.
enum class service_trouble {
    silent,
    refusing,
    slow,
    too_slow,
    losing_answers,
    path_cut,
    connections_dead,
};
inline constexpr std::array serviceTroubleNames{
    enum_name<service_trouble>{service_trouble::silent, "silent"},
    enum_name<service_trouble>{service_trouble::refusing, "refusing"},
    enum_name<service_trouble>{service_trouble::slow, "slow"},
    enum_name<service_trouble>{service_trouble::too_slow, "too_slow"},
    enum_name<service_trouble>{service_trouble::losing_answers, "losing_answers"},
    enum_name<service_trouble>{service_trouble::path_cut, "path_cut"},
    enum_name<service_trouble>{service_trouble::connections_dead, "connections_dead"},
};
constexpr auto namesOf(service_trouble) -> const auto &
{
    return serviceTroubleNames;
}

/// What has become of the service's data by the end of a trouble.
enum class service_return { unchanged, compacted, restored };
inline constexpr std::array serviceReturnNames{
    enum_name<service_return>{service_return::unchanged, "unchanged"},
    enum_name<service_return>{service_return::compacted, "compacted"},
    enum_name<service_return>{service_return::restored, "restored"},
};
constexpr auto namesOf(service_return) -> const auto &
{
    return serviceReturnNames;
}

/// A trouble and when it begins and ends.
struct trouble_span
{
    service_trouble kind = service_trouble::silent;
    std::int64_t fromMs = 0;
    std::int64_t toMs = 0;
};

/// One course of events.
struct directory_scenario
{
    list_watch_options options;
    /// When the process starts.
    std::int64_t startMs = 0;
    /// Precondition: not empty.
    std::vector<trouble_span> troubles;
    service_return comesBack = service_return::unchanged;
    /// When the operator changes or removes the item.
    std::int64_t changeMs = 0;
    bool removed = false;
    /// Interval at which another item changes; 0 if none does.
    std::int64_t heartbeatMs = 0;
    /// Each answer shows a generation of its own.
    bool alwaysRestored = false;
    /// Size of an answer with the item, and what its link carries; 0 if it takes no time.
    std::int64_t itemBytes = 0;
    std::int64_t linkBytesPerMs = 0;
    std::uint64_t seed = 1;

    auto endMs() const -> std::int64_t
    {
        std::int64_t last = 0;
        for (const auto &one : troubles) {
            last = std::max(last, one.toMs);
        }
        return last;
    }
    /// How long an answer with the item takes to arrive.
    auto transferMs() const -> std::int64_t
    {
        return linkBytesPerMs > 0 ? itemBytes / linkBytesPerMs : 0;
    }
};

/// Plays a scenario in virtual time: a list_watch, its connection and the service behind it.
class virtual_directory
{
public:
    explicit virtual_directory(directory_scenario scenario)
        : m_scenario(std::move(scenario))
        , m_feed(m_scenario.options, virtual_clock_source(&m_time), m_scenario.seed, *this)
    {
        write(ITEM, 0);
        m_copy = m_data;
        write(ITEM, 1);
    }

    /// Plays until the change is known or the time is over. Returns when it became known.
    auto play(std::int64_t untilMs) -> std::optional<std::int64_t>
    {
        while (m_nowMs < untilMs && !m_seenMs) {
            advanceTo(nextEventMs());
        }
        return m_seenMs;
    }
    /// Calls that were made from a time on.
    auto callsSince(std::int64_t ms) const -> std::size_t
    {
        return static_cast<std::size_t>(
            std::count_if(m_calls.begin(), m_calls.end(), [ms](auto at) { return at >= ms; }));
    }

    // --- called by the feed

    auto list(const std::string &) -> void { call({.kind = directory_call::list}); }
    auto watch(std::uint64_t revision, std::int64_t waitMs) -> void
    {
        call({.kind = directory_call::watch, .after = revision, .waitMs = waitMs});
    }
    auto abandon() -> void
    {
        m_call.reset();
        m_connection = connection_state::none;
    }
    auto onPublished(const published<int> &item) -> void
    {
        const auto changed = m_scenario.removed ? item.removed : item.value == CHANGED;
        if (item.key == ITEM && changed && m_nowMs >= m_scenario.changeMs) {
            m_seenMs = m_seenMs.value_or(m_nowMs);
        }
    }
    auto onSynced() -> void { }
    auto onCallFailed(const call_failure &) -> void { }
    auto onServiceLost() -> void { }
    auto onServiceRegained(const service_outage &) -> void { }
    auto onHistory(history_order, const history_position &, const history_position &) -> void { }

private:
    static constexpr auto ITEM = "item";
    static constexpr auto BEATING_ITEM = "beating";
    static constexpr int CHANGED = 100;
    static constexpr std::int64_t ONE_WAY_MS = 2;
    static constexpr std::int64_t CONNECT_TIMEOUT_MS = 700;
    static constexpr std::int64_t SLOW_MS = 400;
    static constexpr std::int64_t TOO_SLOW_MS = 1'400;
    static constexpr std::int64_t PROGRESS_STEP_MS = 20;
    static constexpr std::int64_t NEVER = INT64_MAX / 2;

    enum class connection_state { none, alive, dead };
    enum class completion { answer, failure };
    struct call_state
    {
        directory_call kind = directory_call::list;
        std::uint64_t after = 0;
        std::int64_t waitMs = 0;
        std::int64_t startedMs = 0;
        /// When the service takes up the call.
        std::int64_t arrivesMs = NEVER;
        /// When the caller hears the outcome.
        std::int64_t endsMs = NEVER;
        /// When the next part of the answer arrives.
        std::int64_t progressMs = NEVER;
        completion outcome = completion::answer;

        auto waitsUntilMs() const -> std::int64_t { return startedMs + ONE_WAY_MS + waitMs; }
    };
    struct stored
    {
        int value = 0;
        std::uint64_t revision = 0;
    };
    struct contents
    {
        std::map<std::string, stored> items;
        std::vector<published<int>> changes;
        std::uint64_t revision = 0;
        std::uint64_t oldest = 0;
    };

    auto isIn(service_trouble kind) const -> bool
    {
        return std::any_of(
            m_scenario.troubles.begin(), m_scenario.troubles.end(), [&](const auto &one) {
                return one.kind == kind && one.fromMs <= m_nowMs && m_nowMs < one.toMs;
            });
    }
    auto answerDelayMs() const -> std::int64_t
    {
        return isIn(service_trouble::too_slow) ? TOO_SLOW_MS
               : isIn(service_trouble::slow)   ? SLOW_MS
                                               : 0;
    }
    auto write(const std::string &key, int value) -> void
    {
        m_data.items[key] = {value, ++m_data.revision};
        m_data.changes.push_back({.key = key, .revision = m_data.revision, .value = value});
    }
    auto remove(const std::string &key) -> void
    {
        m_data.items.erase(key);
        m_data.changes.push_back({.key = key, .revision = ++m_data.revision, .removed = true});
    }

    // --- time

    auto nextEventMs() const -> std::int64_t
    {
        auto next = NEVER;
        const auto consider = [&](std::int64_t ms) {
            if (ms > m_nowMs) {
                next = std::min(next, ms);
            }
        };
        consider(m_scenario.startMs);
        consider(m_scenario.changeMs);
        consider(m_scenario.endMs());
        for (const auto &one : m_scenario.troubles) {
            consider(one.fromMs);
        }
        if (m_scenario.heartbeatMs > 0) {
            consider((m_nowMs / m_scenario.heartbeatMs + 1) * m_scenario.heartbeatMs);
        }
        if (m_call) {
            consider(m_call->arrivesMs);
            consider(m_call->endsMs);
            consider(m_call->progressMs);
            consider(m_call->waitsUntilMs());
        }
        if (const auto timer = m_feed.nextTimer()) {
            consider(std::max(m_nowMs + 1, (timer->value + US_PER_MS - 1) / US_PER_MS));
        }
        return next;
    }
    auto advanceTo(std::int64_t ms) -> void
    {
        m_nowMs = ms;
        m_time.now = {ms * US_PER_MS};
        for (const auto &one : m_scenario.troubles) {
            if (one.fromMs == m_nowMs) {
                begin(one.kind);
            }
        }
        changeData();
        if (m_nowMs == m_scenario.startMs) {
            m_feed.start();
        }
        progressCall();
        m_feed.onTimer();
    }
    auto begin(service_trouble kind) -> void
    {
        const auto cutsConnections = kind == service_trouble::silent
                                     || kind == service_trouble::path_cut
                                     || kind == service_trouble::connections_dead;
        if (cutsConnections && m_connection != connection_state::none) {
            m_connection = connection_state::dead;
            if (m_call) {
                loseCall();
            }
        }
        if (kind == service_trouble::refusing && m_call && m_call->endsMs > m_nowMs) {
            m_call->outcome = completion::failure;
            m_call->endsMs = m_nowMs + ONE_WAY_MS;
        }
    }
    auto changeData() -> void
    {
        if (m_nowMs == m_scenario.endMs()) {
            if (m_scenario.comesBack == service_return::compacted) {
                m_data.changes.clear();
                m_data.oldest = m_data.revision + 1;
            } else if (m_scenario.comesBack == service_return::restored) {
                m_data = m_copy;
                ++m_generation;
            }
        }
        if (m_nowMs == m_scenario.changeMs) {
            m_scenario.removed ? remove(ITEM) : write(ITEM, CHANGED);
        }
        if (m_scenario.heartbeatMs > 0 && m_nowMs % m_scenario.heartbeatMs == 0) {
            write(BEATING_ITEM, static_cast<int>(m_nowMs));
        }
    }

    // --- calls

    auto call(call_state made) -> void
    {
        m_calls.push_back(m_nowMs);
        // Only a call that follows an answer at once uses its connection: see directory_source.
        if (m_nowMs > m_answeredMs) {
            m_connection = connection_state::none;
        }
        made.startedMs = m_nowMs;
        m_call = made;
        const auto cut = isIn(service_trouble::path_cut);
        if (cut && m_connection == connection_state::none) {
            m_call->outcome = completion::failure;
            m_call->endsMs = m_nowMs + CONNECT_TIMEOUT_MS;
        } else if (cut || isIn(service_trouble::silent) || m_connection == connection_state::dead) {
            loseCall();
        } else {
            m_connection = connection_state::alive;
            m_call->arrivesMs = m_nowMs + ONE_WAY_MS;
        }
    }
    auto loseCall() -> void
    {
        m_connection = connection_state::dead;
        m_call->arrivesMs = NEVER;
        m_call->endsMs = NEVER;
        m_call->progressMs = NEVER;
    }
    auto progressCall() -> void
    {
        if (m_call && m_call->arrivesMs <= m_nowMs && m_call->endsMs == NEVER) {
            serve(*m_call);
        }
        if (m_call && m_call->progressMs <= m_nowMs && m_nowMs < m_call->endsMs) {
            m_call->progressMs += PROGRESS_STEP_MS;
            m_feed.onProgress(
                static_cast<std::size_t>(m_scenario.linkBytesPerMs * PROGRESS_STEP_MS));
        }
        if (m_call && m_call->endsMs <= m_nowMs) {
            const auto ended = *std::exchange(m_call, std::nullopt);
            ended.outcome == completion::answer ? deliver(ended) : fail();
        }
    }
    auto fail() -> void
    {
        m_connection = connection_state::none;
        m_feed.onFailed();
    }
    /// Decides when a call that has arrived ends; a watch waits for changes.
    auto serve(call_state &served) -> void
    {
        if (isIn(service_trouble::refusing)) {
            served.outcome = completion::failure;
            served.endsMs = m_nowMs + ONE_WAY_MS;
            return;
        }
        const auto waits = served.kind == directory_call::watch && !compacted(served.after)
                           && changesAfter(served.after).empty();
        if (waits && m_nowMs < served.waitsUntilMs()) {
            return;
        }
        if (isIn(service_trouble::losing_answers)) {
            loseCall();
            return;
        }
        served.endsMs = m_nowMs + ONE_WAY_MS + answerDelayMs();
        if (m_scenario.linkBytesPerMs > 0 && bringsItem(served)) {
            served.progressMs = served.endsMs;
            served.endsMs += m_scenario.transferMs();
        }
    }
    auto bringsItem(const call_state &served) const -> bool
    {
        if (served.kind == directory_call::list) {
            return true;
        }
        const auto changes = changesAfter(served.after);
        return std::any_of(changes.begin(), changes.end(),
                           [](const auto &change) { return change.key == ITEM; });
    }
    auto deliver(const call_state &ended) -> void
    {
        m_answeredMs = m_nowMs;
        m_generation += m_scenario.alwaysRestored ? 1 : 0;
        if (ended.kind == directory_call::list) {
            published_page<int> page{.revision = m_data.revision, .generation = m_generation};
            for (const auto &[key, one] : m_data.items) {
                page.items.push_back({.key = key, .revision = one.revision, .value = one.value});
            }
            m_feed.onPage(std::move(page));
        } else if (compacted(ended.after)) {
            m_feed.onCompacted();
        } else {
            m_feed.onChanges(changesAfter(ended.after), m_data.revision, m_generation);
        }
    }
    auto compacted(std::uint64_t after) const -> bool
    {
        return after + 1 < m_data.oldest || after > m_data.revision;
    }
    auto changesAfter(std::uint64_t revision) const -> std::vector<published<int>>
    {
        std::vector<published<int>> out;
        for (const auto &one : m_data.changes) {
            if (one.revision > revision) {
                out.push_back(one);
            }
        }
        return out;
    }

    directory_scenario m_scenario;
    virtual_clock_source::state m_time;
    std::int64_t m_nowMs = -1;
    contents m_data;
    contents m_copy;
    std::uint64_t m_generation = 1;
    connection_state m_connection = connection_state::none;
    std::optional<call_state> m_call;
    std::int64_t m_answeredMs = NEVER;
    std::vector<std::int64_t> m_calls;
    std::optional<std::int64_t> m_seenMs;
    list_watch<int, virtual_clock_source, virtual_directory> m_feed;
};

} // namespace marjoram
