#include "app/daemon.h"
#include "standins/standins.h"

#include <docopt/docopt.h>

namespace {

constexpr auto USAGE = R"(marjoram-standin: plays a part of the platform in tests and demos.

Usage:
  marjoram-standin --settings=FILE
  marjoram-standin --help
  marjoram-standin --version

Options:
  --settings=FILE  JSON settings with the role: engine, service or publisher.
  --help           Show this text.
  --version        Show the version.
)";

} // namespace

auto main(int argc, char **argv) -> int
{
    using namespace marjoram;
    const auto arguments = docopt::docopt(USAGE, {argv + 1, argv + argc}, true, "marjoram 0.1.0");
    startLog(argv[0]);
    const auto file = arguments.at("--settings").asString();
    const auto settings = loadSettings(file, readStandinSettings);
    if (!settings) {
        return EXIT_SETTINGS;
    }
    boost::asio::io_context context{1};
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code, int) { context.stop(); });
    if (const auto error = runStandin(context, *settings)) {
        return refuseAddress(file, "$.listen", toText(settings->listen), error);
    }
    return 0;
}
