#pragma once

#include "framework/global/clock.h"
#include "framework/global/failure.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace marjoram {

/// Properties of queued work that the queues rely on.
template <typename Item>
concept waiting_item = requires(const Item &item)
{
    {
        item.workRank
        } -> std::convertible_to<rank>;
    {
        item.team
        } -> std::convertible_to<std::string>;
    {
        item.weight
        } -> std::convertible_to<std::uint32_t>;
};

/// Weighted fair queue. Urgent work comes before standard work, but while both wait standard work
/// gets at least its minimum share of the tokens served. Within a rank the team with the fewest
/// tokens served in relation to its weight comes first, within a team the oldest item. Resumed work
/// comes before new work of its rank.
/// Not thread safe: belongs to one duty.
template <waiting_item Item>
class fair_queue
{
public:
    /// Sets the minimum share of each rank, indexed by rank.
    auto setMinShares(const std::array<double, RANK_COUNT> &shares) -> void
    {
        m_minShares = shares;
    }

    auto push(Item item) -> void
    {
        auto &queue = m_queues[indexOf(item.workRank)];
        ++queue.size;
        evictIdleTeams(queue);
        auto &team = queue.teams[item.team];
        if (team.items.empty()) {
            raiseToVirtualTime(queue, team);
            team.weight = std::max<std::uint32_t>(1, item.weight);
            queue.byService.emplace(team.servedPerWeight, item.team);
        }
        team.items.push_back(std::move(item));
    }
    /// Adds work that was interrupted; it is served before new work of its rank.
    auto pushResumed(Item item) -> void
    {
        auto &queue = m_queues[indexOf(item.workRank)];
        ++queue.size;
        queue.resumed.push_back(std::move(item));
    }

    /// Rank to serve next, or nothing when the queue is empty.
    auto nextRank() const -> std::optional<rank>
    {
        const auto &urgent = m_queues[indexOf(rank::urgent)];
        const auto &standard = m_queues[indexOf(rank::standard)];
        if (urgent.size == 0 && standard.size == 0) {
            return std::nullopt;
        }
        if (urgent.size == 0) {
            return rank::standard;
        }
        return standard.size > 0 && standardIsOwed() ? rank::standard : rank::urgent;
    }
    /// Whether standard work is owed service by urgent work.
    auto standardIsOwed() const -> bool { return m_owedToStandard > 0.0; }
    /// Estimated number of items served before a new item of `team`: resumed work, the team's own
    /// items, and equally many of each other waiting team.
    auto itemsAhead(rank r, const std::string &team) const -> std::size_t
    {
        const auto &queue = m_queues[indexOf(r)];
        const auto found = queue.teams.find(team);
        const auto own = found == queue.teams.end() ? 0 : found->second.items.size();
        const auto turns = (own + 1) * (queue.byService.size() + 1);
        return std::min(queue.size, turns + queue.resumed.size());
    }
    /// Next item of a rank; valid until the queue changes. Precondition: size(r) > 0.
    auto front(rank r) const -> const Item &
    {
        const auto &queue = m_queues[indexOf(r)];
        if (!queue.resumed.empty()) {
            return queue.resumed.front();
        }
        return queue.teams.at(queue.byService.begin()->second).items.front();
    }
    /// Removes and returns the item that front() refers to.
    auto pop(rank r) -> Item
    {
        auto &queue = m_queues[indexOf(r)];
        if (queue.resumed.empty()) {
            return popNew(r);
        }
        --queue.size;
        auto item = std::move(queue.resumed.front());
        queue.resumed.pop_front();
        return item;
    }
    /// Next item of a rank that is not resumed work, or null. Valid until the queue changes.
    auto frontNew(rank r) const -> const Item *
    {
        const auto &queue = m_queues[indexOf(r)];
        return queue.byService.empty()
                   ? nullptr
                   : &queue.teams.at(queue.byService.begin()->second).items.front();
    }
    /// Removes and returns the item that frontNew() points to. Precondition: it isn't null.
    auto popNew(rank r) -> Item
    {
        auto &queue = m_queues[indexOf(r)];
        --queue.size;
        const auto first = queue.byService.begin();
        auto &team = queue.teams.at(first->second);
        auto item = std::move(team.items.front());
        team.items.pop_front();
        queue.virtualTime = std::max(queue.virtualTime, team.servedPerWeight);
        if (team.items.empty()) {
            queue.byService.erase(first);
        }
        return item;
    }

    /// Counts served tokens towards a team and its rank.
    auto charge(rank r, const std::string &teamName, double tokens) -> void
    {
        chargeRank(r, tokens);
        auto &queue = m_queues[indexOf(r)];
        auto &team = queue.teams[teamName];
        const auto isQueued = !team.items.empty();
        if (isQueued) {
            queue.byService.erase({team.servedPerWeight, teamName});
        }
        team.servedPerWeight += tokens / team.weight;
        if (isQueued) {
            queue.byService.emplace(team.servedPerWeight, teamName);
        }
    }

    /// Removes all items for which `matches` is true and passes each to `onRemoved`.
    auto removeIf(auto &&matches, auto &&onRemoved) -> void
    {
        for (auto &queue : m_queues) {
            queue.size -= removeFrom(queue.resumed, matches, onRemoved);
            for (auto &[name, team] : queue.teams) {
                const auto wasQueued = !team.items.empty();
                queue.size -= removeFrom(team.items, matches, onRemoved);
                if (wasQueued && team.items.empty()) {
                    queue.byService.erase({team.servedPerWeight, name});
                }
            }
        }
    }
    auto size(rank r) const -> std::size_t { return m_queues[indexOf(r)].size; }
    auto size() const -> std::size_t { return size(rank::urgent) + size(rank::standard); }
    auto trackedTeams(rank r) const -> std::size_t { return m_queues[indexOf(r)].teams.size(); }

private:
    /// Teams without waiting items whose service is remembered, per rank.
    static constexpr std::size_t MAX_IDLE_TEAMS = 2048;
    /// Limit, in tokens, on how far one rank can fall behind its share.
    static constexpr double MAX_OWED_TOKENS = 20'000.0;

    struct team_state
    {
        std::deque<Item> items;
        double servedPerWeight = 0.0;
        std::uint32_t weight = 1;
    };
    struct rank_queue
    {
        std::unordered_map<std::string, team_state> teams;
        std::set<std::pair<double, std::string>> byService;
        std::deque<Item> resumed;
        /// Service of the last picked team. A team that arrives when none waits starts there.
        double virtualTime = 0.0;
        std::size_t size = 0;
    };

    // A team that was idle gets no credit for that time: it starts level with the least served
    // waiting team.
    auto raiseToVirtualTime(rank_queue &queue, team_state &team) -> void
    {
        const auto level
            = queue.byService.empty() ? queue.virtualTime : queue.byService.begin()->first;
        team.servedPerWeight = std::max(team.servedPerWeight, level);
    }
    auto chargeRank(rank r, double tokens) -> void
    {
        const auto bothWait = size(rank::urgent) > 0 && size(rank::standard) > 0;
        if (!bothWait) {
            m_owedToStandard = std::min(m_owedToStandard, 0.0);
            return;
        }
        const auto share = m_minShares[indexOf(rank::standard)];
        m_owedToStandard += r == rank::urgent ? tokens * share : -tokens * (1.0 - share);
        m_owedToStandard = std::clamp(m_owedToStandard, -MAX_OWED_TOKENS, MAX_OWED_TOKENS);
    }
    auto evictIdleTeams(rank_queue &queue) -> void
    {
        if (queue.teams.size() <= queue.byService.size() + MAX_IDLE_TEAMS) {
            return;
        }
        std::erase_if(queue.teams, [&queue](const auto &known) {
            return known.second.items.empty() && known.second.servedPerWeight <= queue.virtualTime;
        });
    }
    static auto removeFrom(std::deque<Item> &items, auto &&matches, auto &&onRemoved) -> std::size_t
    {
        std::size_t count = 0;
        for (auto it = items.begin(); it != items.end();) {
            if (!matches(*it)) {
                ++it;
                continue;
            }
            onRemoved(*it);
            it = items.erase(it);
            ++count;
        }
        return count;
    }

    std::array<rank_queue, RANK_COUNT> m_queues;
    std::array<double, RANK_COUNT> m_minShares{};
    double m_owedToStandard = 0.0;
};

/// Baseline: first come, first served, regardless of rank and team. Same interface as fair_queue.
template <waiting_item Item>
class fifo_queue
{
public:
    auto setMinShares(const std::array<double, RANK_COUNT> &) -> void { }
    auto standardIsOwed() const -> bool { return false; }
    auto itemsAhead(rank, const std::string &) const -> std::size_t { return m_items.size(); }
    auto push(Item item) -> void { m_items.push_back(std::move(item)); }
    auto pushResumed(Item item) -> void { m_items.push_front(std::move(item)); }
    auto nextRank() const -> std::optional<rank>
    {
        return m_items.empty() ? std::nullopt : std::optional(m_items.front().workRank);
    }
    auto front(rank) const -> const Item & { return m_items.front(); }
    auto frontNew(rank) const -> const Item * { return nullptr; }
    auto popNew(rank r) -> Item { return pop(r); }
    auto pop(rank) -> Item
    {
        auto item = std::move(m_items.front());
        m_items.pop_front();
        return item;
    }
    auto charge(rank, const std::string &, double) -> void { }
    auto removeIf(auto &&matches, auto &&onRemoved) -> void
    {
        std::erase_if(m_items, [&](Item &item) {
            const auto matched = matches(item);
            if (matched) {
                onRemoved(item);
            }
            return matched;
        });
    }
    auto size(rank r) const -> std::size_t
    {
        const auto isOfRank = [r](const Item &item) { return item.workRank == r; };
        return static_cast<std::size_t>(std::count_if(m_items.begin(), m_items.end(), isOfRank));
    }
    auto size() const -> std::size_t { return m_items.size(); }

private:
    std::deque<Item> m_items;
};

} // namespace marjoram
