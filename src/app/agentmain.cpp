#include "agent/admissionduty.h"
#include "app/daemon.h"
#include "app/processsettings.h"
#include "backendservers/backendduty.h"
#include "configuration/configurationduty.h"
#include "links/linkhub.h"
#include "operators/adminduty.h"

#include <docopt/docopt.h>
#include <glog/logging.h>

namespace {

constexpr auto USAGE = R"(marjoram-agent: stands beside one backend server and decides what it runs.

Usage:
  marjoram-agent --settings=FILE
  marjoram-agent --check --settings=FILE
  marjoram-agent --help
  marjoram-agent --version

Options:
  --settings=FILE  JSON settings; see docs/OPERATORS.md.
  --check          Check the settings and exit.
  --help           Show this text.
  --version        Show the version.

SIGTERM drains: no new work is taken, what runs is served to its end. A second
SIGTERM ends the process at once.
)";

using namespace marjoram;

auto serve(const std::string &file, agent_settings settings) -> int
{
    const auto &common = settings.common;
    const auto incarnation = system_clock_source{}.unixMs();
    const hello_frame self{
        .role = process_role::agent, .host = common.host, .incarnation = incarnation};
    settings.admission.incarnation = incarnation;
    settings.admission.orders.incarnation = incarnation;
    process_state state;
    link_rings linkRings;
    backend_rings backendRings;
    ring<configuration_event> configurationEvents(1'024);
    span_duty spans({.service = "marjoram-agent", .output = common.traceOutput});
    auto &admissionSpans = spans.addProducer();
    auto &backendSpans = spans.addProducer();
    admission_duty admission(settings.admission,
                             {.links = linkRings,
                              .backend = backendRings,
                              .configuration = configurationEvents,
                              .spans = admissionSpans},
                             state);
    backend_duty backend(settings.backend, backendRings, backendSpans);
    link_hub links({.self = self, .listen = common.innerListen}, linkRings);
    configuration_duty configuration({.self = self,
                                      .configurationService = common.configurationService,
                                      .hostList = common.hostList},
                                     linkRings, configurationEvents, state);
    admin_duty admin(settings.adminListen, state,
                     {metricsSource(admission.metrics()), metricsSource(links.metrics()),
                      metricsSource(configuration.metrics())});
    configuration.addStatusSource(metricsSource(admission.metrics()));

    if (const auto inner = links.listen(); !inner) {
        return refuseAddress(file, "$.inner_listen", toText(common.innerListen), inner.error());
    }
    if (const auto outer = admin.listen(); !outer) {
        return refuseAddress(file, "$.admin_listen", toText(settings.adminListen), outer.error());
    }
    spans.start();
    admission.start();
    backend.start();
    links.start();
    configuration.start();
    admin.start();
    LOG(INFO) << "agent " << common.host << " stands beside the " << nameOf(settings.backend.kind)
              << " at " << toText(settings.backend.where);

    const auto drain = [&](std::chrono::milliseconds) {
        LOG(INFO) << "draining";
        admission.drain();
    };
    const auto reload = [] { LOG(INFO) << "settings are read at the start only"; };
    const auto exitCode = runUntilStopped(
        {}, drain, [&] { return state.drained.load(); }, [] {}, reload);
    LOG(INFO) << "stopped";
    admin.stop();
    admission.stop();
    backend.stop();
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
    const auto settings = loadSettings(file, readAgentSettings);
    if (!settings) {
        return EXIT_SETTINGS;
    }
    return arguments.at("--check").asBool() ? 0 : serve(file, *settings);
}
