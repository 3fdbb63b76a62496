#pragma once

#include "forwarding/completionforecast.h"
#include "forwarding/requeststate.h"

#include <optional>

namespace marjoram {

/// Decides during a planned stop which requests are certain to end before the process gives up.
/// Not thread safe: belongs to one duty.
class planned_stop
{
public:
    /// Precondition: `forecast` outlives the object.
    explicit planned_stop(completion_forecast &forecast)
        : m_forecast(forecast)
    { }

    auto begin(time_us stopAt) -> void { m_stopAt = stopAt; }
    /// When open requests are given up; nullopt while the process is not stopping.
    auto stopAt() const -> std::optional<time_us> { return m_stopAt; }
    /// Whether the process stops and may end before the request, if it is sent now.
    auto mayOutlastProcess(const request_state &request, time_us now) -> bool
    {
        return m_stopAt && assumedEnd(request, now) > *m_stopAt;
    }
    /// Returns the end of the request, if it is sent now, that a stop relies on. Only the deadline
    /// bounds the time that a server takes. For a request that callers may repeat an expected end
    /// is enough: it hardly ever ends later, and then does no harm.
    auto assumedEnd(const request_state &request, time_us now) -> time_us
    {
        return request.route->kind == work_kind::repeatable
                   ? m_forecast.expectedAnswerAt(request, now)
                   : request.deadline;
    }

private:
    completion_forecast &m_forecast;
    std::optional<time_us> m_stopAt;
};

} // namespace marjoram
