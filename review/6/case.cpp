// The reporters are stopped and started in turn. Seconds later each front is stopped as planned while
// it carries streams that have no length.
#include "../rig-2/rig.h"

using namespace rig;

namespace {

constexpr auto SERVICE = "lm-pool";
constexpr int FRONTS = 2;
constexpr int RUNNERS = 2;
constexpr int STREAMS_PER_FRONT = 8;
constexpr int EVENTS = 20;
constexpr int EVENT_INTERVAL_MS = 100;
/// How long the reporters run before they are stopped.
constexpr long UPTIME_MS = 25'000;
/// From the end of a process to its next start, and from there to the next SIGTERM.
constexpr long RESTART_MS = 500;
constexpr long GAP_MS = 1'300;
/// From the end of the first planned work to the next request: more than `contact-ms` (3,000).
constexpr long CALM_MS = 5'000;
/// From the requests to the SIGTERM of their front.
constexpr long BEFORE_STOP_MS = 700;

struct runner_state
{
    std::string id;
    std::string ip;
    int port = 0;
    long born = 0;
    std::atomic<int> running{0};
    std::atomic<int> finished{0};
};

auto report(const runner_state &runner) -> std::string
{
    const auto running = std::to_string(runner.running.load());
    return "{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
           "\"busy\":false,\"seq\":1,\"waiting\":0,\"running\":"
           + running + ",\"kv-used\":" + std::to_string(1500 * runner.running)
           + ",\"kv-total\":34306,\"handles\":0,\"state\":\"ready\",\"next-token\":0,\"runs\":[],"
             "\"born\":"
           + std::to_string(runner.born) + "}";
}

auto stream(connection &from, runner_state &runner, const std::string &requestId) -> void
{
    note("runner %s runs %s", runner.id.c_str(), requestId.c_str());
    ++runner.running;
    // No length and no chunks: the answer ends with its connection.
    from.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: " + requestId
              + "\r\nX-Server-Seal: seal-" + requestId
              + "\r\nX-Weight-Versions: 1\r\nX-Server-Load: 1,0,24\r\nConnection: close\r\n\r\n");
    bool sent = true;
    for (int i = 1; i <= EVENTS && sent; ++i) {
        sleepMs(EVENT_INTERVAL_MS);
        sent = from.send("id: " + std::to_string(i) + "\ndata: part " + std::to_string(i)
                         + " of " + requestId + "\n\n");
    }
    --runner.running;
    runner.finished += sent;
    record("runner %s %s %s", runner.id.c_str(), sent ? "has sent the whole of" : "could not send",
           requestId.c_str());
}

auto serve(connection &from, runner_state &runner) -> void
{
    message request;
    while (from.read(request, 60'000, false) == read_end::whole) {
        if (request.target() == "/report") {
            from.send(answer(200, "Content-Type: application/json\r\n", report(runner)));
        } else if (request.target() == "/healthz") {
            from.send(answer(200,
                             "X-Instance-Id: " + runner.id + "\r\nX-Server-Load: "
                                 + std::to_string(runner.running.load()) + ",0,24\r\n",
                             ""));
        } else if (request.field("X-Expect-Instance") != runner.id) {
            from.send(answer(421, "X-Instance-Id: " + runner.id + "\r\n", ""));
        } else if (request.field("X-Model").empty()) {
            from.send(answer(404, "", ""));
        } else {
            stream(from, runner, request.field("X-Request-Id"));
            return;
        }
    }
}

struct stream_result
{
    std::string id;
    read_end end = read_end::timed_out;
    int status = 0;
    std::string body;

    auto isWhole() const -> bool
    {
        return end == read_end::whole && status == 200
               && body.find("data: part " + std::to_string(EVENTS) + " of") != std::string::npos;
    }
};

auto ask(const front_settings &front, const std::string &id) -> stream_result
{
    stream_result out{.id = id};
    connection client(connectTo(front.ip, front.callers));
    note("client sends %s", id.c_str());
    client.send("POST /brief/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: " + id
                + "\r\nX-Model: m\r\nX-Token-Usage: 1400,80\r\nX-Prompt-Prefix: 5c1e07a2:60,"
                + std::to_string(1000 + std::hash<std::string>{}(id) % 9000)
                + ":40\r\nX-Deadline-Ms: 39000\r\nX-Api-Key: key-one\r\nContent-Length: 5\r\n\r\n"
                  "hello");
    message reply;
    out.end = client.read(reply, 12'000, true);
    out.status = reply.status();
    out.body = reply.body;
    return out;
}

auto endAsPlanned(pid_t pid, long limitMs) -> bool
{
    ::kill(pid, SIGTERM);
    const auto until = nowMs() + limitMs;
    while (nowMs() < until) {
        if (hasEnded(pid)) {
            return true;
        }
        sleepMs(20);
    }
    return false;
}

} // namespace

int main(int, char **argv)
{
    begin(argv[1]);
    const auto callers = freePort();
    const auto ready = freePort();
    const auto reports = freePort();
    const auto storePort = freePort();
    store platform("127.0.0.1", storePort);
    std::vector<std::unique_ptr<runner_state>> runners;
    std::vector<std::unique_ptr<listener>> listeners;
    std::vector<pid_t> reporters;
    const auto startOne = [&](const runner_state &runner) {
        return startReporter("side-" + runner.id, runner.ip, runner.port, reports,
                             "127.0.0.2:" + std::to_string(callers));
    };
    for (int i = 0; i < RUNNERS; ++i) {
        runners.push_back(std::make_unique<runner_state>());
        auto &runner = *runners.back();
        runner.id = "i-lm-" + std::to_string(i);
        runner.ip = "127.0.0." + std::to_string(20 + i);
        runner.port = freePort();
        runner.born = unixMs();
        listeners.push_back(std::make_unique<listener>(
            runner.ip, runner.port, [&runner](connection &from) { serve(from, runner); }));
        reporters.push_back(startOne(runner));
        platform.put("servers/" + runner.id,
                     runnerEntry(SERVICE, runner.ip + ":" + std::to_string(runner.port), 24,
                                 runner.born));
    }
    platform.put("op/config",
                 configuration(7,
                               {{.name = "r-brief",
                                 .prefix = "/brief/",
                                 .type = "stream",
                                 .service = SERVICE,
                                 .timeoutMs = 39'000,
                                 .aimMs = 4'000}},
                               {engineService(SERVICE)}, {{"clinic", {"key-one"}}}));
    std::vector<front_settings> fronts;
    std::vector<pid_t> processes;
    for (int i = 0; i < FRONTS; ++i) {
        fronts.push_back({.name = "front-" + std::to_string(i + 1),
                          .ip = "127.0.0." + std::to_string(2 + i),
                          .callers = callers,
                          .ready = ready,
                          .reports = reports,
                          .store = storePort});
        processes.push_back(startFront(fronts.back()));
        awaitReady(fronts.back());
    }
    sleepMs(2000);
    for (const auto &front : fronts) {
        const auto first = ask(front, "calm-" + front.name);
        if (!first.isWhole()) {
            cannotRun("a stream in calm is not whole: status " + std::to_string(first.status)
                      + ", " + nameOf(first.end));
        }
    }
    record("a stream in calm is whole at each front");
    sleepMs(std::max(0L, UPTIME_MS - nowMs()));
    if (troubled()) {
        for (int i = 0; i < RUNNERS; ++i) {
            record("SIGTERM to the reporter beside %s", runners[i]->id.c_str());
            if (!endAsPlanned(reporters[i], 8000)) {
                cannotRun("the reporter does not end");
            }
            sleepMs(RESTART_MS);
            reporters[i] = startOne(*runners[i]);
            record("the reporter beside %s is started again", runners[i]->id.c_str());
            sleepMs(GAP_MS);
        }
    }
    sleepMs(CALM_MS);
    int lost = 0;
    for (int i = 0; i < FRONTS; ++i) {
        std::vector<stream_result> results(STREAMS_PER_FRONT);
        std::vector<std::thread> threads;
        for (int j = 0; j < STREAMS_PER_FRONT; ++j) {
            threads.emplace_back([&, j] {
                results[j] = ask(fronts[i], fronts[i].name + "-stream-" + std::to_string(j));
            });
        }
        record("%d streams sent to %s", STREAMS_PER_FRONT, fronts[i].name.c_str());
        sleepMs(BEFORE_STOP_MS);
        record("SIGTERM to %s", fronts[i].name.c_str());
        const auto ended = endAsPlanned(processes[i], 8000);
        record("%s %s", fronts[i].name.c_str(), ended ? "has ended" : "still runs after the grace");
        for (auto &thread : threads) {
            thread.join();
        }
        for (const auto &one : results) {
            lost += !one.isWhole();
            record("client of %s: status %d, %s, %s", one.id.c_str(), one.status, nameOf(one.end),
                   one.isWhole() ? "whole" : "NOT WHOLE");
        }
    }
    int finished = 0;
    for (const auto &runner : runners) {
        finished += runner->finished;
    }
    record("streams that runners have sent whole: %d; streams that clients did not get whole: %d",
           finished, lost);
    conclude(lost > 0, "LOST: streams cut in a planned stop though their runners had sent them whole");
}
