#pragma once

#include "forwarding/forwardingoptions.h"
#include "forwarding/requeststate.h"
#include "framework/global/identifiers.h"

#include <memory>

namespace marjoram {

/// Decides whether a request is taken, and by which route and pool it is served.
/// Not thread safe: belongs to one duty.
class request_admission
{
public:
    /// Precondition: options outlive the admission.
    request_admission(const forwarding_options &options, std::uint64_t seed)
        : m_options(options)
        , m_random(seed)
    { }

    auto setTable(route_table_ptr table) -> void { m_table = std::move(table); }
    auto table() const -> const route_table_ptr & { return m_table; }
    /// The process ends then; what may take longer is refused.
    auto setStop(time_us stopAt) -> void { m_stopAt = stopAt; }

    /// Why a request is not taken; failure::none when it is.
    auto refusalOf(const forward_request &asked, std::size_t open, time_us now) const -> failure
    {
        if (!m_table) {
            return failure::no_manifest;
        }
        const auto *route = m_table->findRoute(asked.host, asked.path());
        if (!route) {
            return failure::unknown_service;
        }
        const auto keysRequired = m_table->content().keysRequired && !route->open;
        if (keysRequired && !m_table->findTeam(asked.key)) {
            return failure::unauthenticated;
        }
        if (m_stopAt && now + durationUs(*route, asked) > *m_stopAt) {
            return failure::draining;
        }
        return open >= m_options.requestLimit ? failure::overloaded : failure::none;
    }
    /// Precondition: refusalOf() gives failure::none.
    auto admit(const forward_request_ptr &asked, std::uint64_t number, time_us now)
        -> std::unique_ptr<request_state>
    {
        auto state = std::make_unique<request_state>();
        auto &request = *state;
        request.number = number;
        request.callerId = asked->callerId;
        request.request = asked;
        request.table = m_table;
        request.route = m_table->findRoute(asked->host, asked->path());
        request.pool = m_table->findPool(drawPool(*request.route));
        request.urgency = request.route->urgency;
        const auto keysRequired = m_table->content().keysRequired && !request.route->open;
        if (const auto *team = keysRequired ? m_table->findTeam(asked->key) : nullptr) {
            request.team = team->name;
            request.urgency = team->urgency.value_or(request.urgency);
        }
        request.lastEvent = asked->generation.resumeAfter.value_or(0);
        request.openedAt = now;
        const auto patience = asked->patienceMs.value_or(request.route->timeoutMs);
        request.deadline = now + std::min(patience, request.route->timeoutMs) * US_PER_MS;
        return state;
    }

private:
    /// Time that a request may well take.
    auto durationUs(const route_entry &route, const forward_request &asked) const -> std::int64_t
    {
        const auto &ask = asked.generation;
        const auto output = route.kind == work_kind::generation
                                ? ask.outputEstimate.value_or(ask.mostOutputTokens)
                                : 0;
        return route.latencyTargetMs * US_PER_MS + output * m_options.usPerToken;
    }
    auto drawPool(const route_entry &route) -> std::string
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
    std::optional<time_us> m_stopAt;
};

} // namespace marjoram
