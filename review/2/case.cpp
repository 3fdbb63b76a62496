// A runner crashes for good, and its address goes to a runner of another service. The front must
// not send that runner requests of the first service.
#include "../rig/fleet.h"

#include <algorithm>
#include <csignal>
#include <cstdio>

using namespace rig;

int main(int argc, char **argv)
{
    fleet system(argc, argv);
    auto &record = system.record();
    auto &gone = system.addRunner({.id = "i-drafts-1", .service = "drafts", .ip = "127.0.0.11"});
    system.addRunner({.id = "i-drafts-2", .service = "drafts", .ip = "127.0.0.12"});
    system.addRunner({.id = "i-labels-1", .service = "labels", .ip = "127.0.0.13"});
    system.publishConfiguration(
        configurationText(7,
                          {{.name = "draft", .type = "stream", .service = "drafts"},
                           {.name = "label", .type = "stream", .service = "labels"}},
                          {"drafts", "labels"}, {}));
    if (!system.start()) {
        return 2;
    }
    // Requests of the first service, ten a second, each on a connection of its own.
    std::atomic<bool> stopped{false};
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
    std::vector<std::thread> clients;
    for (int number = 0; number < 10; ++number) {
        clients.emplace_back([&, number] {
            auto one = system.newClient();
            sleepMs(100 * number);
            for (int round = 0; !stopped; ++round) {
                const auto next = nowMs() + 1'000;
                const auto id = "d-" + std::to_string(number) + "-" + std::to_string(round);
                ++sent;
                record.line("client sends " + id + " /draft/x");
                const auto got
                    = one.send("POST", "/draft/x", generationHeaders(id, 20'000, 500, 32), "prompt");
                served += got.status == 200 && got.complete ? 1 : 0;
                record.line("client gets " + std::to_string(got.status) + " for " + id
                            + " /draft/x, seal " + got.seal + ", events "
                            + std::to_string(got.events) + (got.complete ? "" : ", cut"));
                sleepUntil(next);
            }
        });
    }
    sleepMs(4'000);
    std::unique_ptr<runner> successor;
    if (withTrouble()) {
        gone.crash();
        // The entry lapses after three heartbeats, and reuse-after-s (2) passes as well.
        sleepMs(3 * runner::HEARTBEAT_MS + 2'500);
        // The platform tells the machine of its new runner before that starts.
        system.writeReporterSettings(gone, "labels");
        record.line("settings beside 127.0.0.11 now name service labels; SIGHUP to the reporter");
        system.reporterOf("i-drafts-1").signal(SIGHUP);
        sleepMs(500);
        auto options = gone.options();
        options.id = "i-labels-2";
        options.service = "labels";
        successor = std::make_unique<runner>(options, system.registry(), record);
        if (!successor->start()) {
            return 2;
        }
    } else {
        sleepMs(3 * runner::HEARTBEAT_MS + 3'000);
    }
    sleepMs(8'000);
    stopped = true;
    for (auto &one : clients) {
        one.join();
    }
    const auto foreign = successor ? successor->runs() : std::vector<run_record>{};
    const auto wrong = std::count_if(foreign.begin(), foreign.end(), [](const run_record &one) {
        return one.path.starts_with("/draft/");
    });
    const auto verdict = "sent " + std::to_string(sent) + ", served " + std::to_string(served)
                         + ", requests of /draft/ run by service labels: " + std::to_string(wrong);
    record.line(verdict);
    std::printf("%s\n", verdict.c_str());
    return wrong > 0 ? 1 : 0;
}
