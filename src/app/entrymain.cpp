#include "app/daemon.h"
#include "app/memorylimit.h"
#include "app/processsettings.h"
#include "callers/callersduty.h"
#include "configuration/configurationduty.h"
#include "entry/dispatchduty.h"
#include "links/linkhub.h"

#include <docopt/docopt.h>
#include <glog/logging.h>

namespace {

constexpr auto USAGE = R"(marjoram-entry: serves callers on an entry host.

Usage:
  marjoram-entry --settings=FILE
  marjoram-entry --check --settings=FILE
  marjoram-entry --help
  marjoram-entry --version

Options:
  --settings=FILE  JSON settings; see docs/OPERATORS.md.
  --check          Check the settings and exit.
  --help           Show this text.
  --version        Show the version.

SIGTERM drains: /readyz turns to 503, new requests are refused, running ones are
served to their end. A second SIGTERM ends the process at once.
)";

using namespace marjoram;

auto callersOptions(const entry_settings &settings) -> callers_options
{
    constexpr std::uint64_t NO_BOUND = 0;
    auto out = settings.callers;
    const auto limit = memoryLimitBytes();
    out.bodyBudgetBytes
        = settings.bodyBudgetBytes.value_or(limit ? bodyBudgetFor(*limit) : NO_BOUND);
    return out;
}

auto serve(const std::string &file, const entry_settings &settings) -> int
{
    const auto &common = settings.common;
    const hello_frame self{.role = process_role::entry,
                           .host = common.host,
                           .incarnation = system_clock_source{}.unixMs()};
    process_state state;
    link_rings linkRings;
    caller_rings callerRings;
    ring<configuration_event> configurationEvents(1'024);
    span_duty spans({.service = "marjoram-entry", .output = common.traceOutput});
    auto &callerSpans = spans.addProducer();
    auto &dispatchSpans = spans.addProducer();
    callers_duty callers(callersOptions(settings), callerRings, callerSpans, state);
    dispatch_duty dispatch(settings.dispatch,
                           {.callers = callerRings,
                            .links = linkRings,
                            .configuration = configurationEvents,
                            .spans = dispatchSpans},
                           state);
    link_hub links({.self = self, .listen = common.innerListen}, linkRings);
    configuration_duty configuration({.self = self,
                                      .configurationService = common.configurationService,
                                      .hostList = common.hostList,
                                      .targets = settings.targets},
                                     linkRings, configurationEvents, state);
    callers.addMetrics(metricsSource(dispatch.metrics()));
    callers.addMetrics(metricsSource(links.metrics()));
    callers.addMetrics(metricsSource(configuration.metrics()));
    configuration.addStatusSource(metricsSource(callers.metrics()));
    configuration.addStatusSource(metricsSource(dispatch.metrics()));

    if (const auto inner = links.listen(); !inner) {
        return refuseAddress(file, "$.inner_listen", toText(common.innerListen), inner.error());
    }
    if (const auto outer = callers.listen(); !outer) {
        return refuseAddress(file, "$.callers_listen", toText(settings.callers.listen),
                             outer.error());
    }
    spans.start();
    callers.start();
    dispatch.start();
    links.start();
    configuration.start();
    LOG(INFO) << "entry " << common.host << " serves callers on "
              << toText(settings.callers.listen);

    bool refusing = false;
    bool closing = false;
    const auto drain = [&](std::chrono::milliseconds) {
        LOG(INFO) << "draining";
        state.draining = true;
    };
    const auto refuseNew = [&] {
        refusing = true;
        callers.closeAfterAnswers();
        dispatch.drain();
    };
    // New requests are served until the balancer has noticed, then refused. Once none is in flight,
    // the connections close.
    const auto drained = [&] {
        if (refusing && !closing && state.drained) {
            closing = true;
            callers.stopAccepting();
        }
        return !refusing || callers.allAnswered();
    };
    const auto reload = [] { LOG(INFO) << "settings are read at the start only"; };
    const auto exitCode
        = runUntilStopped({.least = std::chrono::milliseconds(settings.balancerDelayMs)}, drain,
                          drained, refuseNew, reload);
    LOG(INFO) << "stopped";
    callers.stop();
    dispatch.stop();
    links.stop();
    configuration.stop();
    spans.stop();
    return exitCode;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto arguments = docopt::docopt(USAGE, {argv + 1, argv + argc}, true, "marjoram 0.1.0");
    startLog(argv[0]);
    const auto file = arguments.at("--settings").asString();
    const auto settings = loadSettings(file, readEntrySettings);
    if (!settings) {
        return EXIT_SETTINGS;
    }
    return arguments.at("--check").asBool() ? 0 : serve(file, *settings);
}
