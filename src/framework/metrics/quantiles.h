#pragma once

#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <mutex>
#include <string>

namespace marjoram {

/// Streaming p50, p95 and p99 of a series in constant memory. Thread safe.
class quantiles
{
public:
    quantiles();

    auto record(double value) -> void;
    /// Precondition: probability is 0.5, 0.95 or 0.99. 0 before the first value.
    auto quantile(double probability) const -> double;
    auto count() const -> std::size_t;
    /// Appends a Prometheus summary of the given name and label text such as `rank="urgent"`.
    auto render(std::string &out, std::string_view name, std::string_view label) const -> void;

private:
    using accumulator = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                   boost::accumulators::tag::max,
                                   boost::accumulators::tag::extended_p_square_quantile>>;

    mutable std::mutex m_mutex;
    accumulator m_accumulator;
};

} // namespace marjoram
