#pragma once

#include "forwarding/placementquery.h"
#include "framework/global/identifiers.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string_view>

namespace marjoram {

/// Number drawn from 0 up to `width`.
inline auto drawn(double width, random_source &random) -> double
{
    return width * static_cast<double>(random() >> 11) * 0x1.0p-53;
}

/// Share of a server's slots that is in use.
inline auto slotShare(const server_view &view) -> double
{
    const auto slots = std::max<std::uint32_t>(1, view.entry.slots);
    return static_cast<double>(occupancy(view)) / slots;
}

/// Scores servers for one plain request; the lowest score is best. Load: many short requests of
/// many entries, whose servers differ in speed and change it several times a second.
///
/// If a candidate has stated its present time of work, the score is the expected time to completion
/// there in us: the usual time of work, times the present slowdown, times the work ahead. Otherwise
/// it is the share of slots in use. Not thread safe.
class plain_placement
{
public:
    /// Precondition: `query` and `candidates` outlive the object. `candidates` are all servers that
    /// may be compared, also those without room.
    plain_placement(const placement_query &query,
                    const std::vector<const server_view *> &candidates)
        : m_query(query)
        , m_candidates(candidates)
        , m_byCompletion(
              std::any_of(candidates.begin(), candidates.end(),
                          [](const server_view *view) { return view->pace.percent.has_value(); }))
    {
        if (m_byCompletion) {
            summarise();
        }
    }

    /// Whether all candidates are to be compared instead of a sample. Second tries are few, so they
    /// do not crowd the best server.
    auto comparesAll() const -> bool { return m_byCompletion && m_query.failedDataCentres; }
    auto score(const server_view &view, random_source &random) const -> double
    {
        return m_byCompletion ? completionUs(view, random) : loadScore(view, random);
    }

private:
    // --- without a stated time of work, in shares of a server's slots

    /// A server in another data centre is chosen only if its load is lower by this much.
    static constexpr double REMOTE_PENALTY = 0.03;
    static constexpr double WARM_UP_PENALTY = 0.5;
    /// Width of the random offset that spreads requests over equally loaded servers.
    static constexpr double JITTER = 0.04;

    // --- with it

    /// Time of work while no answer has shown it.
    static constexpr double DEFAULT_WORK_US = 10.0 * US_PER_MS;
    /// Answers that count as much as the mean of the other servers.
    static constexpr double PRIOR_ANSWERS = 8.0;
    /// Width of the random factor that spreads requests over servers that seem alike.
    static constexpr double COMPLETION_JITTER = 0.1;
    /// Probability that a failure recurs for a cause that the servers of a data centre share,
    /// beyond the failure rates seen. Small: most failures concern one server or one request.
    static constexpr double SHARED_CAUSE = 0.05;
    /// Least failure rate of a server that has been ejected and has not succeeded since. Its rate
    /// starts again at 0 then.
    static constexpr double PROBATION_FAILURE_RATE = 0.35;

    auto loadScore(const server_view &view, random_source &random) const -> double
    {
        const auto remote = isRemote(view) ? REMOTE_PENALTY : 0.0;
        const auto warmUp = view.warmUpUntil > m_query.now ? WARM_UP_PENALTY : 0.0;
        return remote + warmUp + slotShare(view) + drawn(JITTER, random);
    }
    auto completionUs(const server_view &view, random_source &random) const -> double
    {
        const auto warmUp = view.warmUpUntil > m_query.now ? WARM_UP_PENALTY : 0.0;
        const auto slowdown = view.pace.slowdown(m_query.now, m_query.plain.slowdownHalfLifeUs);
        const auto workUs = usualUs(view) * slowdown * (1.0 + warmUp + loadShare(view));
        const auto pathUs = isRemote(view) ? static_cast<double>(m_query.plain.remoteCostUs) : 0.0;
        return workUs * (1.0 + drawn(COMPLETION_JITTER, random)) + pathUs + recurrenceUs(view);
    }
    auto isRemote(const server_view &view) const -> bool
    {
        return view.entry.dataCentre != m_query.dataCentre;
    }
    /// A repeatable request that fails again is lost to its caller: this costs the latency target.
    auto recurrenceUs(const server_view &view) const -> double
    {
        if (!m_query.failedDataCentres) {
            return 0.0;
        }
        const auto &failed = *m_query.failedDataCentres;
        const auto shared
            = std::find(failed.begin(), failed.end(), view.entry.dataCentre) != failed.end();
        const auto probability = 0.5 * (failureRate(view) + dataCentreFailureRate(view))
                                 + (shared ? SHARED_CAUSE : 0.0);
        return probability * static_cast<double>(m_query.latencyTargetUs);
    }
    static auto failureRate(const server_view &view) -> double
    {
        return view.onProbation ? std::max(view.failureRate, PROBATION_FAILURE_RATE)
                                : view.failureRate;
    }
    auto dataCentreFailureRate(const server_view &view) const -> double
    {
        double sum = 0.0;
        std::size_t count = 0;
        for (const auto *other : m_candidates) {
            const auto same = other->entry.dataCentre == view.entry.dataCentre;
            sum += same ? failureRate(*other) : 0.0;
            count += same ? 1 : 0;
        }
        return count > 0 ? sum / static_cast<double>(count) : 0.0;
    }
    /// Work there as a share of its slots. What the server has stated ages like its slowdown: an
    /// old figure counts as the mean of all, so that its server is tried again.
    auto loadShare(const server_view &view) const -> double
    {
        const auto slots = std::max<std::uint32_t>(1, view.entry.slots);
        const auto own = static_cast<double>(view.inFlight) / slots;
        return std::max(own, statedShare(view).value_or(m_meanLoadShare));
    }
    auto statedShare(const server_view &view) const -> std::optional<double>
    {
        if (!view.load) {
            return std::nullopt;
        }
        const auto slots = std::max<std::uint32_t>(1, view.entry.slots);
        // The sample does not include what has been sent since.
        const auto since = std::min(view.sentSinceReport, view.inFlight);
        const auto present = double{1.0} * view.load->running + view.load->waiting + since;
        const auto weight
            = weightAtAge(m_query.now - view.loadAt, m_query.plain.slowdownHalfLifeUs);
        return m_meanLoadShare + (present / slots - m_meanLoadShare) * weight;
    }
    /// Usual time of work, drawn towards the mean of all servers if few or old answers show it.
    auto usualUs(const server_view &view) const -> double
    {
        const auto weight = answersSeen(view);
        return (view.pace.usualUs * weight + m_meanUsualUs * PRIOR_ANSWERS)
               / (weight + PRIOR_ANSWERS);
    }
    auto answersSeen(const server_view &view) const -> double
    {
        // More answers tell nothing more, since the mean is over about 20.
        constexpr std::uint32_t MAX_ANSWERS = 40;
        return std::min(view.pace.answers, MAX_ANSWERS)
               * weightAtAge(m_query.now - view.pace.usualAt, m_query.plain.usualHalfLifeUs);
    }
    auto summarise() -> void
    {
        double weights = 0.0;
        double sum = 0.0;
        double shares = 0.0;
        double known = 0.0;
        for (const auto *view : m_candidates) {
            const auto weight = answersSeen(*view);
            weights += weight;
            sum += weight * view->pace.usualUs;
            if (view->load) {
                const auto slots = std::max<std::uint32_t>(1, view->entry.slots);
                shares += (double{1.0} * view->load->running + view->load->waiting) / slots;
                known += 1.0;
            }
        }
        // With next to no weight the quotient would be that of rounding errors.
        constexpr double LEAST_WEIGHT = 1e-6;
        m_meanUsualUs = weights > LEAST_WEIGHT ? sum / weights : DEFAULT_WORK_US;
        m_meanLoadShare = known > 0.0 ? shares / known : 0.0;
    }

    const placement_query &m_query;
    const std::vector<const server_view *> &m_candidates;
    bool m_byCompletion = false;
    double m_meanUsualUs = DEFAULT_WORK_US;
    double m_meanLoadShare = 0.0;
};

} // namespace marjoram
