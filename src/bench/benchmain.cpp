#include "bench/benchbounds.h"
#include "bench/benchoutput.h"
#include "bench/policies.h"
#include "framework/settings/objectreader.h"

#include <algorithm>
#include <docopt/docopt.h>
#include <future>
#include <iostream>

namespace {

constexpr auto USAGE = R"(marjoram-bench: compares policies in virtual time.

Usage:
  marjoram-bench [--scenario=NAME] [--policy=NAME] [--seed=N] [--csv=FILE] [--svg=FILE]
                 [--bounds=FILE] [--deviations=X] [--reserve=X] [--step-ms=X]
  marjoram-bench --help

Options:
  --scenario=NAME  Only this scenario.
  --policy=NAME    Only this policy.
  --seed=N         Seed of all random numbers [default: 1].
  --csv=FILE       Also write one line per scenario and policy.
  --svg=FILE       Also draw the main measures.
  --deviations=X   Standard deviations of forecast memory kept free.
  --reserve=X      Share of memory and batch kept free of standard work.
  --step-ms=X      Longest decode step to plan for.
  --bounds=FILE    Check the policy in use against bounds; exit code 1 if one is missed.
)";

using namespace marjoram;

constexpr int EXIT_MISSED = 1;
constexpr int EXIT_USAGE = 2;

auto chosen(const docopt::value &name, std::string_view other) -> bool
{
    return !name || name.asString() == other;
}

auto tune(admission_options &options, const std::map<std::string, docopt::value> &arguments) -> void
{
    if (const auto &value = arguments.at("--deviations")) {
        options.baseDeviations = std::stod(value.asString());
    }
    if (const auto &value = arguments.at("--reserve")) {
        options.urgentReserve = std::stod(value.asString());
    }
    if (const auto &value = arguments.at("--step-ms")) {
        options.stepLimitUs = static_cast<std::int64_t>(std::stod(value.asString()) * US_PER_MS);
    }
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto arguments = docopt::docopt(USAGE, {argv + 1, argv + argc}, true);
    const auto seed = static_cast<std::uint64_t>(arguments.at("--seed").asLong());
    std::vector<std::future<bench_report>> running;
    std::vector<bench_report> reports;
    for (auto given : allScenarios()) {
        tune(given.admission, arguments);
        if (!chosen(arguments.at("--scenario"), given.name)) {
            continue;
        }
        for (const auto &row : namesOf(bench_policy{})) {
            if (chosen(arguments.at("--policy"), row.name)) {
                running.push_back(
                    std::async(std::launch::deferred, runScenario, given, row.value, seed));
            }
        }
    }
    for (auto &one : running) {
        reports.push_back(one.get());
        const auto last = &one == &running.back();
        printReport(std::cout, reports, reports.size() - 1, last);
    }
    if (reports.empty()) {
        std::cerr << "no such scenario or policy" << std::endl;
        return EXIT_USAGE;
    }
    if (const auto &file = arguments.at("--csv")) {
        writeCsv(file.asString(), reports);
    }
    if (const auto &file = arguments.at("--svg")) {
        writeSvg(file.asString(), reports);
    }
    if (const auto &file = arguments.at("--bounds")) {
        const auto missed = checkBounds(file.asString(), reports, std::cout);
        return missed == 0 ? 0 : EXIT_MISSED;
    }
    return 0;
}
