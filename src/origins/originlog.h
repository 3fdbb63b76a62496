#pragma once

#include "framework/global/clock.h"
#include "origins/originevidence.h"
#include "serverviews/serverentry.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace marjoram {

/// Options of an origin_log.
struct origin_log_options
{
    /// Longer than callers wait for a stream, and for resuming it.
    std::int64_t retentionUs = 120 * US_PER_SECOND;
    std::size_t limit = 8'192;
};

/// Which software began the stream of a request, and what shows it.
struct stream_origin
{
    origin_evidence evidence = origin_evidence::none;
    /// Set unless the evidence is `none` or `ambiguous`.
    server_software software;

    friend auto operator==(const stream_origin &, const stream_origin &) -> bool = default;
};

/// Adds what is known from elsewhere: a delivery outweighs runs, and runs at different software are
/// ambiguous. Thread safe.
auto combine(const stream_origin &a, const stream_origin &b) -> stream_origin;

/// Remembers by which software the streams of requests were begun. Bounded in number and age; the
/// oldest are dropped first. Not thread safe: belongs to one duty.
class origin_log
{
public:
    explicit origin_log(origin_log_options options)
        : m_options(options)
    { }

    auto record(const std::string &requestId, const stream_origin &origin, time_us now) -> void;
    /// Returns evidence `none` if nothing is known.
    auto find(const std::string &requestId) const -> stream_origin;
    auto size() const -> std::size_t { return m_origins.size(); }

private:
    struct recorded_id
    {
        std::string requestId;
        time_us at;
    };

    auto dropOld(time_us now) -> void;

    origin_log_options m_options;
    std::unordered_map<std::string, stream_origin> m_origins;
    std::deque<recorded_id> m_order;
};

} // namespace marjoram
