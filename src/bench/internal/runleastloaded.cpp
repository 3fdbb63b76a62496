#include "bench/policies.h"
#include "bench/virtualfleet.h"

namespace marjoram {

auto runLeastLoaded(const scenario &given, std::uint64_t seed) -> bench_report
{
    return virtual_fleet<greedy_admission, least_loaded>(given, seed).run();
}

} // namespace marjoram
