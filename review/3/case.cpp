// A planned stop of the front in calm. Streams that are sent later than 3 s after the SIGTERM, and
// that the front accepts, must be answered to their end.
#include "../rig/fleet.h"

#include <csignal>
#include <cstdio>

using namespace rig;

int main(int argc, char **argv)
{
    constexpr int STREAMS = 6;
    constexpr int OUTPUT_TOKENS = 100;
    fleet system(argc, argv);
    auto &record = system.record();
    std::vector<runner *> labelRunners;
    // Within the sheet: the first event within 1,500 ms, no pause over 180 ms.
    for (int number = 1; number <= 2; ++number) {
        const auto text = std::to_string(number);
        labelRunners.push_back(&system.addRunner({.id = "i-labels-" + text,
                                                  .service = "labels",
                                                  .ip = "127.0.0.1" + text,
                                                  .firstMs = 1'200,
                                                  .eventMs = 165}));
        system.addRunner({.id = "i-desk-" + text,
                          .service = "desk",
                          .ip = "127.0.0.1" + std::to_string(number + 2),
                          .slots = 6,
                          .engine = false});
    }
    system.addRunner({.id = "i-drafts-1",
                      .service = "drafts",
                      .ip = "127.0.0.15",
                      .firstMs = 1'200,
                      .eventMs = 165});
    system.publishConfiguration(configurationText(
        7,
        {{.name = "label", .type = "stream", .service = "labels", .timeoutMs = 6'000,
          .attempts = 2},
         {.name = "draft", .type = "stream", .service = "drafts", .targetMs = 4'000},
         {.name = "look", .type = "idempotent", .service = "desk", .timeoutMs = 4'000,
          .targetMs = 300, .attempts = 2}},
        {"labels", "drafts"}, {"desk"}));
    if (!system.start()) {
        return 2;
    }
    // Connections that are kept since before the stop.
    std::vector<client> clients;
    for (int number = 0; number < STREAMS; ++number) {
        clients.push_back(system.newClient());
        const auto got = clients.back().send(
            "GET", "/look/x", requestHeaders("l-" + std::to_string(number), 4'000), "");
        if (got.status != 200) {
            return 2;
        }
    }
    sleepMs(2'700);
    // A stream that is running when the signal comes, and ends well within the grace. It keeps the
    // front from ending early.
    std::thread running([&] {
        auto one = system.newClient();
        const auto got
            = one.send("POST", "/draft/x", generationHeaders("r-0", 39'000, 3'000, 140), "prompt");
        record.line("client gets " + std::to_string(got.status) + " for r-0, events "
                    + std::to_string(got.events) + (got.complete ? ", complete" : ", cut"));
    });
    sleepMs(500);
    const auto stoppedAt = nowMs();
    if (withTrouble()) {
        record.line("SIGTERM to the front");
        system.front().signal(SIGTERM);
    }
    const auto hasRun = [&](const std::string &id) {
        for (auto *one : labelRunners) {
            for (const auto &run : one->runs()) {
                if (run.requestId == id) {
                    return true;
                }
            }
        }
        return false;
    };
    std::vector<std::thread> threads;
    // Passed on to a runner, and then cut.
    std::atomic<int> cut{0};
    std::atomic<int> notRead{0};
    std::atomic<int> whole{0};
    std::atomic<int> refused{0};
    for (int number = 0; number < STREAMS; ++number) {
        threads.emplace_back([&, number] {
            sleepUntil(stoppedAt + 3'200 + 60 * number);
            const auto id = "s-" + std::to_string(number);
            record.line("client sends " + id + " on its kept connection");
            const auto got = clients[static_cast<std::size_t>(number)].send(
                "POST", "/label/x", generationHeaders(id, 6'000, 350, OUTPUT_TOKENS), "prompt");
            whole += got.status == 200 && got.complete ? 1 : 0;
            refused += got.status == 503 ? 1 : 0;
            cut += hasRun(id) && !got.complete ? 1 : 0;
            notRead += !hasRun(id) && got.status == 0 ? 1 : 0;
            record.line("client sent " + id + " " + std::to_string(got.sentAtMs - stoppedAt)
                        + " ms after the signal, gets " + std::to_string(got.status) + ", events "
                        + std::to_string(got.events) + (got.complete ? ", complete" : ", cut")
                        + " after " + std::to_string(got.endedAtMs - got.sentAtMs) + " ms");
        });
    }
    for (auto &one : threads) {
        one.join();
    }
    running.join();
    if (withTrouble()) {
        const auto ended = await(9'000, [&] { return system.front().ended(); });
        record.line(ended ? "the front has ended, " + std::to_string(nowMs() - stoppedAt)
                                + " ms after the signal"
                          : "the front has not ended");
    }
    const auto verdict = "streams sent later than 3 s after the signal: "
                         + std::to_string(STREAMS) + ", whole " + std::to_string(whole)
                         + ", refused " + std::to_string(refused)
                         + ", passed on to a runner and cut " + std::to_string(cut)
                         + ", not read " + std::to_string(notRead);
    record.line(verdict);
    std::printf("%s\n", verdict.c_str());
    return cut > 0 ? 1 : 0;
}
