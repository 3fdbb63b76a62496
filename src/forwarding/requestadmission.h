#pragma once

#include "forwarding/forwardingoptions.h"
#include "forwarding/requeststate.h"
#include "framework/global/identifiers.h"

#include <memory>

namespace marjoram {

/// Decides whether a request is accepted, and which route and pool serve it.
/// Not thread safe: belongs to one duty.
class request_admission
{
public:
    /// Precondition: `options` outlives the admission.
    request_admission(const forwarding_options &options, std::uint64_t seed)
        : m_options(options)
        , m_random(seed)
    { }

    auto setTable(route_table_ptr table) -> void { m_table = std::move(table); }
    auto table() const -> const route_table_ptr & { return m_table; }
    /// Returns why a request is refused, or failure::none if it is accepted.
    auto refusalReason(const forward_request &incoming, std::size_t openRequests) const -> failure
    {
        if (!m_table) {
            return failure::no_manifest;
        }
        const auto *route = m_table->findRoute(incoming.host, incoming.path());
        if (!route) {
            return failure::unknown_service;
        }
        const auto keysRequired = m_table->content().keysRequired && !route->open;
        if (keysRequired && !m_table->findTeam(incoming.key)) {
            return failure::unauthenticated;
        }
        return openRequests >= m_options.maxOpenRequests ? failure::overloaded : failure::none;
    }
    /// Precondition: refusalReason() returned failure::none.
    auto admit(const forward_request_ptr &incoming, std::uint64_t number, time_us now)
        -> std::unique_ptr<request_state>
    {
        auto state = std::make_unique<request_state>();
        auto &request = *state;
        request.number = number;
        request.callerId = incoming->callerId;
        request.request = incoming;
        request.table = m_table;
        request.route = m_table->findRoute(incoming->host, incoming->path());
        request.pool = m_table->findPool(pickPool(*request.route));
        request.urgency = request.route->urgency;
        const auto keysRequired = m_table->content().keysRequired && !request.route->open;
        if (const auto *team = keysRequired ? m_table->findTeam(incoming->key) : nullptr) {
            request.team = team->name;
            request.urgency = team->urgency.value_or(request.urgency);
        }
        request.lastEvent = incoming->generation.resumeAfter.value_or(0);
        request.openedAt = now;
        const auto patience = incoming->callerTimeoutMs.value_or(request.route->timeoutMs);
        request.deadline = now + toUs(std::min(patience, request.route->timeoutMs));
        return state;
    }

private:
    auto pickPool(const route_entry &route) -> std::string
    {
        std::uint64_t all = 0;
        for (const auto &share : route.pools) {
            all += share.weight;
        }
        auto drawn = all > 0 ? m_random() % all : 0;
        for (const auto &share : route.pools) {
            if (drawn < share.weight) {
                return share.pool;
            }
            drawn -= share.weight;
        }
        return {};
    }

    const forwarding_options &m_options;
    random_source m_random;
    route_table_ptr m_table;
};

} // namespace marjoram
