#pragma once

#include "framework/global/clock.h"
#include "framework/global/identifiers.h"
#include "manifest/manifest.h"
#include "membership/linktargets.h"
#include "orders/engineorder.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marjoram {

/// Options of an order_core.
struct order_options
{
    std::string host;
    /// Start time of this process in Unix milliseconds. It makes the fencing tokens of a later
    /// process larger.
    std::int64_t incarnation = 0;
    /// How long an engine keeps a model that it should unload, so that other engines can load it
    /// first.
    std::int64_t unloadDelayUs = 15 * US_PER_SECOND;
    std::int64_t minBackoffUs = 2 * US_PER_SECOND;
    std::int64_t maxBackoffUs = 300 * US_PER_SECOND;
    /// How long a decided order may be sent.
    std::int64_t validityUs = 1 * US_PER_SECOND;
};

struct decided_order
{
    engine_order order;
    time_us validUntil;
};

/// Decides which models the engine on this host loads and unloads, so that each model has its
/// replicas on the hosts given by the manifest and the host list.
///
/// Loads are kept to the rate of the weight store without a coordinator. After a manifest change
/// all hosts compute the same sequence of loads and each waits for its position in it. At other
/// times a host waits a random time. Failed orders are retried with exponential backoff.
/// Not thread safe: belongs to one duty.
template <clock_source Clock>
class order_core
{
public:
    order_core(order_options options, Clock clock, std::uint64_t seed)
        : m_options(std::move(options))
        , m_clock(clock)
        , m_random(seed)
    { }

    // --- events

    auto onManifest(manifest_ptr current) -> void
    {
        m_manifestChanged = m_manifest != nullptr;
        m_manifest = std::move(current);
        plan();
    }
    auto onHosts(host_list hosts) -> void
    {
        m_hosts = std::move(hosts);
        plan();
    }
    /// Models that the engine reports as loaded, as "name" or "name@version".
    auto onEngineModels(const std::vector<std::string> &models) -> void
    {
        m_engineModels = models;
        m_engineModelsKnown = true;
        plan();
    }
    auto onOrderEnded(const engine_order &order, order_outcome outcome) -> void
    {
        m_orderInFlight = false;
        if (outcome == order_outcome::done) {
            m_plannedOrders.erase(order.model);
            return;
        }
        const auto found = m_plannedOrders.find(order.model);
        if (found == m_plannedOrders.end()) {
            return;
        }
        auto &planned = found->second;
        planned.backoffUs
            = std::clamp(2 * planned.backoffUs, m_options.minBackoffUs, m_options.maxBackoffUs);
        planned.dueAt = m_clock.now() + randomUpTo(planned.backoffUs);
    }

    // --- decisions

    /// Next order that is due. Only one order is in flight at a time.
    auto next() -> std::optional<decided_order>
    {
        const auto now = m_clock.now();
        if (m_orderInFlight || !m_engineModelsKnown) {
            return std::nullopt;
        }
        for (auto &[model, planned] : m_plannedOrders) {
            if (planned.dueAt > now) {
                continue;
            }
            m_orderInFlight = true;
            return decided_order{.order = {.kind = planned.kind,
                                           .model = model,
                                           .version = planned.version,
                                           .fence = nextFence()},
                                 .validUntil = now + m_options.validityUs};
        }
        return std::nullopt;
    }
    auto nextTimer() const -> std::optional<time_us>
    {
        std::optional<time_us> earliest;
        for (const auto &[model, planned] : m_plannedOrders) {
            if (!m_orderInFlight && (!earliest || planned.dueAt < *earliest)) {
                earliest = planned.dueAt;
            }
        }
        return earliest;
    }

private:
    static constexpr std::int64_t US_PER_MINUTE = 60 * US_PER_SECOND;
    static constexpr int FENCE_COUNTER_BITS = 20;

    struct planned_order
    {
        order_kind kind = order_kind::load_model;
        std::string version;
        time_us dueAt;
        std::int64_t backoffUs = 0;
    };

    auto plan() -> void
    {
        if (!m_manifest || !m_engineModelsKnown || m_hosts.hosts.empty()) {
            return;
        }
        std::map<std::string, planned_order> wanted;
        std::size_t loadsBefore = 0;
        for (const auto &model : m_manifest->models) {
            const auto hosts = hostsOfModel(*m_manifest, m_hosts, model);
            const auto self = std::find(hosts.begin(), hosts.end(), m_options.host);
            const auto position = loadsBefore + static_cast<std::size_t>(self - hosts.begin());
            loadsBefore += hosts.size();
            if (self != hosts.end() && !hasVersion(model.name, model.version)) {
                wanted[model.name] = {.version = model.version, .dueAt = loadStartTime(position)};
            }
            if (self == hosts.end() && hasAnyVersion(model.name)) {
                wanted[model.name] = {.kind = order_kind::unload_model,
                                      .version = model.version,
                                      .dueAt = m_clock.now() + m_options.unloadDelayUs};
            }
        }
        planRemovedModels(wanted);
        keepExistingTimes(wanted);
        m_plannedOrders = std::move(wanted);
        m_manifestChanged = false;
    }
    /// Unloads models that are no longer in the manifest.
    auto planRemovedModels(std::map<std::string, planned_order> &wanted) const -> void
    {
        for (const auto &loaded : m_engineModels) {
            const auto name = loaded.substr(0, loaded.find('@'));
            if (!m_manifest->findModel(name)) {
                wanted[name] = {.kind = order_kind::unload_model,
                                .dueAt = m_clock.now() + m_options.unloadDelayUs};
            }
        }
    }
    /// Keeps the due time and the backoff of orders that were planned already.
    auto keepExistingTimes(std::map<std::string, planned_order> &wanted) const -> void
    {
        for (auto &[model, planned] : wanted) {
            const auto known = m_plannedOrders.find(model);
            if (known != m_plannedOrders.end() && known->second.kind == planned.kind
                && known->second.version == planned.version) {
                planned.dueAt = known->second.dueAt;
                planned.backoffUs = known->second.backoffUs;
            }
        }
    }
    auto loadStartTime(std::size_t position) -> time_us
    {
        const auto intervalUs = US_PER_MINUTE / m_manifest->weightLoadsPerMinute;
        if (m_manifestChanged) {
            return m_clock.now() + static_cast<std::int64_t>(position) * intervalUs;
        }
        return m_clock.now() + randomUpTo(intervalUs);
    }
    auto hasVersion(const std::string &model, const std::string &version) const -> bool
    {
        const auto full = model + "@" + version;
        return std::find(m_engineModels.begin(), m_engineModels.end(), full)
               != m_engineModels.end();
    }
    auto hasAnyVersion(const std::string &model) const -> bool
    {
        return std::any_of(m_engineModels.begin(), m_engineModels.end(),
                           [&model](const std::string &loaded) {
                               return loaded.substr(0, loaded.find('@')) == model;
                           });
    }
    auto randomUpTo(std::int64_t us) -> std::int64_t
    {
        return static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(us + 1));
    }
    auto nextFence() -> std::uint64_t
    {
        const auto start = static_cast<std::uint64_t>(m_options.incarnation);
        return (start << FENCE_COUNTER_BITS) + ++m_orderCount;
    }

    order_options m_options;
    Clock m_clock;
    random_source m_random;
    manifest_ptr m_manifest;
    host_list m_hosts;
    std::vector<std::string> m_engineModels;
    std::map<std::string, planned_order> m_plannedOrders;
    std::uint64_t m_orderCount = 0;
    bool m_manifestChanged = false;
    bool m_engineModelsKnown = false;
    bool m_orderInFlight = false;
};

} // namespace marjoram
