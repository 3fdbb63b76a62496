#pragma once

#include <string>

namespace marjoram {

/// Source of Prometheus text; `render` with `owner` is thread safe.
struct metrics_source
{
    void (*render)(const void *owner, std::string &out) = nullptr;
    const void *owner = nullptr;
};

/// Source that renders one metric set. Precondition: the set outlives the source.
template <typename Metrics>
auto metricsSource(const Metrics &metrics) -> metrics_source
{
    const auto render = [](const void *owner, std::string &out) {
        static_cast<const Metrics *>(owner)->render(out);
    };
    return {.render = render, .owner = &metrics};
}

} // namespace marjoram
