#pragma once

#include "forwarding/requeststate.h"
#include "serverviews/serverdirectory.h"

#include <optional>
#include <string_view>

namespace marjoram {

/// What the next run of a request continues: nothing, its stream, or the memory of its present run.
enum class continued_part { stream, memory };
inline constexpr std::array continuedPartNames{
    enum_name<continued_part>{continued_part::stream, "stream"},
    enum_name<continued_part>{continued_part::memory, "memory"},
};
constexpr auto namesOf(continued_part) -> const auto &
{
    return continuedPartNames;
}

/// Decides at which servers a request may go on. Every choice of a server passes it: repeats,
/// moves, copies, resumption at a source, and streams that callers resume. All servers are allowed
/// where none states a version, and before a stream has begun. Valid until the next event of the
/// directory. Not thread safe.
class continuation_filter
{
public:
    /// Precondition: `directory` outlives the filter.
    continuation_filter(const server_directory &directory, const request_state &request,
                        continued_part part, time_us now)
        : m_directory(directory)
        , m_now(now)
        , m_withMemory(part == continued_part::memory)
    {
        const auto begun = m_withMemory || request.origin;
        if (!begun || !request.pool || !directory.statesVersions(request.pool->name)) {
            return;
        }
        m_origin = request.origin.value_or(run_origin{});
        if (!request.origin && isRunCertain(request)) {
            m_origin->process = request.run.process();
        }
        if (!m_origin->software) {
            m_origin->software = directory.softwareOf(m_origin->process);
        }
        m_memoryHolder = request.run.process();
    }

    /// Whether servers may be excluded.
    auto isRestricting() const -> bool { return m_origin.has_value(); }
    auto allows(const server_view &view) const -> bool
    {
        if (!m_origin) {
            return true;
        }
        // A process that lost its memory refuses to resume from it.
        const auto holdsMemory
            = m_withMemory && !view.replaced && processOf(view.entry) == m_memoryHolder;
        return holdsMemory || m_directory.mayContinueAt(*m_origin, view, m_now);
    }
    auto allows(std::string_view serverId) const -> bool
    {
        const auto *view = m_directory.find(serverId);
        return !m_origin || (view && allows(*view));
    }
    /// Whether any server that takes new work is allowed.
    auto outlook() const -> continuation
    {
        return m_origin ? m_directory.continuationOf(*m_origin, m_now) : continuation::possible;
    }

private:
    /// Whether the run's process is the one that its server's entry names: a list that lags behind
    /// may name the predecessor.
    auto isRunCertain(const request_state &request) const -> bool
    {
        const auto *view = m_directory.findProcess(request.run.serverId, request.run.bornUnixMs);
        return view && m_directory.isProcessCurrent(*view, m_now);
    }

    const server_directory &m_directory;
    time_us m_now;
    bool m_withMemory;
    /// Unset if all servers are allowed. Without software nothing but the memory's holder is.
    std::optional<run_origin> m_origin;
    server_process m_memoryHolder;
};

} // namespace marjoram
