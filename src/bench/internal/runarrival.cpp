#include "bench/policies.h"
#include "bench/virtualfleet.h"

namespace marjoram {

auto runArrival(const scenario &given, std::uint64_t seed) -> bench_report
{
    return virtual_fleet<greedy_admission, two_choices>(given, seed).run();
}

} // namespace marjoram
