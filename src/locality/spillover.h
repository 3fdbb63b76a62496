#pragma once

#include "framework/global/identifiers.h"
#include "locality/spillovertypes.h"

#include <algorithm>
#include <deque>
#include <map>
#include <string_view>

namespace marjoram {

/// Decides which requests of one pool leave the data centre in which they arrive.
template <typename D>
concept spillover_decision = requires(D &decision, const D &fixed, const spillover_input &input,
                                      std::string_view to, double units, random_source &random)
{
    {
        decision.update(input)
        } -> std::same_as<bool>;
    {
        fixed.updateDue()
        } -> std::same_as<bool>;
    {
        fixed.probeDue(to)
        } -> std::same_as<bool>;
    {
        fixed.reason()
        } -> std::same_as<spill_reason>;
    {
        fixed.targets()
        } -> std::same_as<const std::vector<spill_target> &>;
    {
        fixed.drawTarget(random)
        } -> std::same_as<const spill_target *>;
    {
        decision.mayGo(to, units, units, random)
        } -> std::same_as<bool>;
    decision.onSent(to, units);
};

/// Spillover by expected completion. Load: demand and servers that differ between data centres and
/// shift within seconds; up to 300 entries that decide by reports up to half a second old.
///
/// A share of the requests goes to another data centre while callers win time by it; it grows and
/// shrinks in bounded steps with different thresholds. Beyond the shares, requests that find no
/// room here may leave too. Both only within the allowance: the free capacity there divided by the
/// number of all entries, less what this entry has sent there that the figures do not show yet. So
/// all entries together do not exceed the free capacity, except by rounding: a request larger than
/// the rest of an allowance is sent with the probability of rest to size.
/// Not thread safe: belongs to one duty.
template <clock_source Clock>
class spillover
{
public:
    spillover(spillover_options options, Clock clock)
        : m_options(options)
        , m_clock(clock)
    { }

    /// Whether the last update is `updateIntervalUs` old.
    auto updateDue() const -> bool
    {
        return !m_updatedAt || m_clock.now() - *m_updatedAt >= m_options.updateIntervalUs;
    }
    /// Takes new figures. Returns true if the data centre has begun or ended to send a share away.
    auto update(const spillover_input &input) -> bool
    {
        const auto now = m_clock.now();
        m_updatedAt = now;
        const auto wasSpilling = spilling();
        const auto local = localLoad(input);
        m_use = useOf(local);
        m_noServerHere = local.servers == 0;
        std::vector<spill_target> targets;
        for (const auto &load : input.loads) {
            if (load.name != input.here) {
                targets.push_back(targetFor(input, local, load));
            }
        }
        std::erase_if(m_states, [&](const auto &named) {
            return std::none_of(targets.begin(), targets.end(), [&](const spill_target &target) {
                return target.dataCentre == named.first;
            });
        });
        m_targets = std::move(targets);
        setShares(now);
        return spilling() != wasSpilling;
    }
    auto targets() const -> const std::vector<spill_target> & { return m_targets; }
    auto spilling() const -> bool
    {
        return std::any_of(m_targets.begin(), m_targets.end(),
                           [](const spill_target &target) { return target.share > 0.0; });
    }
    /// Share of the capacity here that is in use.
    auto useHere() const -> double { return m_use; }
    auto reason() const -> spill_reason
    {
        if (m_noServerHere) {
            return spill_reason::no_server_here;
        }
        return m_use >= m_options.fillLimit ? spill_reason::local_full : spill_reason::slower_here;
    }
    /// Returns the data centre to which the next request should go by the shares; null for this
    /// one.
    auto drawTarget(random_source &random) const -> const spill_target *
    {
        auto rest = uniform(random);
        for (const auto &target : m_targets) {
            if (rest < target.share) {
                return &target;
            }
            rest -= target.share;
        }
        return nullptr;
    }
    /// Whether a request that needs so much capacity may go there now; `ownUnits` is what this
    /// entry has in use there. Precondition: units > 0.
    auto mayGo(std::string_view to, double units, double ownUnits, random_source &random) -> bool
    {
        const auto found
            = std::find_if(m_targets.begin(), m_targets.end(),
                           [&](const spill_target &target) { return target.dataCentre == to; });
        if (found == m_targets.end()) {
            return false;
        }
        // What has ended again needs no room, though it was sent just now.
        const auto rest = found->allowance - std::min(sentLately(to), ownUnits);
        return rest >= units || uniform(random) * units < rest;
    }
    /// Whether a request should find out about a data centre without recent figures, because the
    /// servers here are crowded or gone.
    auto probeDue(std::string_view to) const -> bool
    {
        const auto crowded = m_noServerHere || m_use >= PROBE_USE;
        const auto found = m_states.find(to);
        return crowded && found != m_states.end() && !found->second.recent
               && (!found->second.sentAt
                   || m_clock.now() - *found->second.sentAt >= m_options.probeIntervalUs);
    }
    auto onSent(std::string_view to, double units) -> void
    {
        const auto found = m_states.find(to);
        if (found != m_states.end()) {
            forgetSettled(found->second.sent);
            found->second.sent.push_back({m_clock.now(), units});
            found->second.sentAt = m_clock.now();
        }
    }

private:
    /// Below this use of the servers here nothing is to be learnt about others.
    static constexpr double PROBE_USE = 0.7;

    enum class direction { none, growing, shrinking };
    struct sent_units
    {
        time_us at;
        double units = 0.0;
    };
    struct target_state
    {
        double share = 0.0;
        direction way = direction::none;
        time_us wayAt;
        bool recent = false;
        std::deque<sent_units> sent;
        std::optional<time_us> sentAt;
    };

    static auto uniform(random_source &random) -> double
    {
        return static_cast<double>(random() >> 11) * 0x1.0p-53;
    }
    static auto localLoad(const spillover_input &input) -> data_centre_load
    {
        const auto found
            = std::find_if(input.loads.begin(), input.loads.end(),
                           [&](const data_centre_load &load) { return load.name == input.here; });
        return found != input.loads.end() && isSensible(*found) ? *found : data_centre_load{};
    }
    auto targetFor(const spillover_input &input, const data_centre_load &local,
                   const data_centre_load &load) -> spill_target
    {
        constexpr double BYTES_PER_MB = 1e6;
        const auto recent
            = load.servers > 0 && isSensible(load) && load.ageUs <= m_options.maxAgeUs;
        m_states[load.name].recent = recent;
        spill_target out{.dataCentre = load.name,
                         .addedUs = static_cast<double>(m_options.remoteCostUs)
                                    + static_cast<double>(m_options.remoteCostUsPerMb)
                                          * std::max(0.0, input.bytesPerResponse) / BYTES_PER_MB};
        if (!recent) {
            return out;
        }
        const auto room = std::max(0.0, load.capacity * m_options.fillLimit - load.used);
        out.allowance = room / std::max<std::uint32_t>(1, input.entries);
        // Without a figure of its own a data centre counts as fast as the other one.
        const auto hereUs = local.workUs > 0.0 ? local.workUs : load.workUs;
        const auto thereUs = load.workUs > 0.0 ? load.workUs : hereUs;
        out.gainUs = completionCostUs(local, hereUs, input.latencyTargetUs)
                     - completionCostUs(load, thereUs, input.latencyTargetUs) - out.addedUs;
        m_latencyTargetUs = std::max(1.0, input.latencyTargetUs);
        return out;
    }
    auto setShares(time_us now) -> void
    {
        double allowances = 0.0;
        for (const auto &target : m_targets) {
            allowances += target.allowance;
        }
        double sum = 0.0;
        for (auto &target : m_targets) {
            auto &state = m_states[target.dataCentre];
            if (!state.recent) {
                // Whatever the direction was, nothing more may go there, and nothing again before
                // the minimum time.
                turn(state, direction::shrinking, now);
                state.share = 0.0;
            } else if (target.allowance <= 0.0) {
                // The allowance keeps requests back by itself; without the bounds on its changes
                // the share would jump whenever a data centre is just full.
                step(state, -1.0, now);
            } else if (m_noServerHere) {
                turn(state, direction::growing, now);
                state.share = target.allowance / allowances;
            } else {
                step(state, target.gainUs / m_latencyTargetUs, now);
            }
            state.share = std::min(state.share, 1.0 - std::min(1.0, sum));
            sum += state.share;
            target.share = state.share;
        }
    }
    auto step(target_state &state, double gain, time_us now) -> void
    {
        const auto wanted = gain > m_options.startGain ? direction::growing
                            : gain < 0.0               ? direction::shrinking
                                                       : direction::none;
        if (wanted == direction::none || (wanted == direction::shrinking && state.share <= 0.0)) {
            return;
        }
        if (state.way != wanted && state.way != direction::none
            && now - state.wayAt < m_options.minDirectionUs) {
            return;
        }
        turn(state, wanted, now);
        state.share
            += std::clamp(gain * m_options.stepPerTarget, -m_options.maxStep, m_options.maxStep);
        state.share = std::clamp(state.share, 0.0, 1.0);
    }
    static auto turn(target_state &state, direction way, time_us now) -> void
    {
        if (state.way != way) {
            state.way = way;
            state.wayAt = now;
        }
    }
    auto forgetSettled(std::deque<sent_units> &sent) const -> void
    {
        while (!sent.empty() && m_clock.now() - sent.front().at > m_options.settleUs) {
            sent.pop_front();
        }
    }
    auto sentLately(std::string_view to) -> double
    {
        auto &sent = m_states.find(to)->second.sent;
        forgetSettled(sent);
        double sum = 0.0;
        for (const auto &one : sent) {
            sum += one.units;
        }
        return sum;
    }

    spillover_options m_options;
    Clock m_clock;
    std::optional<time_us> m_updatedAt;
    std::vector<spill_target> m_targets;
    std::map<std::string, target_state, std::less<>> m_states;
    double m_latencyTargetUs = 1.0;
    double m_use = 0.0;
    bool m_noServerHere = false;
};

} // namespace marjoram
