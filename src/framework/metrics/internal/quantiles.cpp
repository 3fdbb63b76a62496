#include "framework/metrics/quantiles.h"

#include <algorithm>
#include <array>

namespace marjoram {

namespace acc = boost::accumulators;

namespace {

constexpr std::array PROBABILITIES{0.5, 0.95, 0.99};
/// P-square needs a value per marker before it estimates.
constexpr std::size_t LEAST_VALUES = 2 * PROBABILITIES.size() + 3;

} // namespace

quantiles::quantiles()
    : m_accumulator(acc::extended_p_square_probabilities = PROBABILITIES)
{ }

auto quantiles::record(double value) -> void
{
    const std::lock_guard lock(m_mutex);
    m_accumulator(value);
}

auto quantiles::quantile(double probability) const -> double
{
    const std::lock_guard lock(m_mutex);
    const auto values = acc::count(m_accumulator);
    if (values == 0) {
        return 0.0;
    }
    if (values < LEAST_VALUES) {
        return acc::max(m_accumulator);
    }
    return acc::quantile(m_accumulator, acc::quantile_probability = probability);
}

auto quantiles::count() const -> std::size_t
{
    const std::lock_guard lock(m_mutex);
    return acc::count(m_accumulator);
}

auto quantiles::render(std::string &out, std::string_view name, std::string_view label) const
    -> void
{
    const std::string metric = "marjoram_" + std::string(name);
    const std::string labels(label);
    for (const auto probability : PROBABILITIES) {
        out += metric + "{" + labels + ",quantile=\"" + std::to_string(probability).substr(0, 4)
               + "\"} " + std::to_string(quantile(probability)) + "\n";
    }
    out += metric + "_count{" + labels + "} " + std::to_string(count()) + "\n";
}

} // namespace marjoram
