#include "app/daemon.h"
#include "load/loadrunner.h"

#include <docopt/docopt.h>
#include <fstream>
#include <iostream>

namespace {

constexpr auto USAGE = R"(marjoram-load: puts a load on entries and checks every answer.

Usage:
  marjoram-load [--json=FILE] [--grace-ms=N] [--quiet] SCENARIO
  marjoram-load --help
  marjoram-load --version

Options:
  --json=FILE    Also write the report as JSON.
  --grace-ms=N   Time for answers after the last request [default: 60000].
  --quiet        No progress.

The exit code is 1 when an answer had a gap, a repetition or tokens of another
sample, or when a repeated call was answered otherwise than the first.
)";

} // namespace

auto main(int argc, char **argv) -> int
{
    using namespace marjoram;
    const auto arguments = docopt::docopt(USAGE, {argv + 1, argv + argc}, true, "marjoram 0.1.0");
    const auto scenario = loadSettings(arguments.at("SCENARIO").asString(), readLoadScenario);
    if (!scenario) {
        return EXIT_SETTINGS;
    }
    const auto graceMs = static_cast<std::uint32_t>(arguments.at("--grace-ms").asLong());
    const auto report = runLoad(*scenario, graceMs, !arguments.at("--quiet").asBool());
    std::cout << toText(report);
    if (const auto &file = arguments.at("--json")) {
        std::ofstream(file.asString()) << toJson(report) << "\n";
    }
    return report.violations() == 0 ? 0 : 1;
}
