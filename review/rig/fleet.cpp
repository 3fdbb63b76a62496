#include "fleet.h"

#include <algorithm>
#include <csignal>
#include <sstream>

namespace rig {

fleet::fleet(int argc, char **argv, fleet_options options)
    : m_frontCommand(argc > 1 ? argv[1] : "")
    , m_reporterCommand(argc > 2 ? argv[2] : "")
    , m_folder(argc > 3 ? argv[3] : ".")
    , m_options(std::move(options))
    , m_record(argc > 4 ? argv[4] : "record.txt")
    , m_store(m_record)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::vector<std::string> ips{FRONT_IP, STORE_IP};
    for (int machine = 11; machine <= 20; ++machine) {
        ips.push_back("127.0.0." + std::to_string(machine));
    }
    m_callersPort = freePort(ips);
    m_adminPort = freePort(ips);
    m_storePort = freePort(ips);
    m_appPort = freePort(ips);
    m_nodePort = freePort(ips);
    m_record.line(withTrouble() ? "with the disruption" : "without the disruption (TROUBLE=0)");
}

fleet::~fleet()
{
    m_front.kill();
    for (const auto &[id, reporter] : m_reporters) {
        reporter->kill();
    }
    m_store.stop();
}

auto fleet::addRunner(runner_options options) -> runner &
{
    if (options.port == 0) {
        options.port = m_appPort;
    }
    m_runners.push_back(std::make_unique<runner>(std::move(options), m_store, m_record));
    return *m_runners.back();
}

auto fleet::writeReporterSettings(const runner &one, const std::string &service) -> std::string
{
    const auto &of = one.options();
    const auto file = m_folder + "/side-" + of.ip + ".json";
    std::ostringstream out;
    out << R"({"host":"side-)" << of.ip << R"(","data_centre":"z1","pool":")" << service
        << R"(","server":")" << of.ip << ":" << of.port << R"(","listen":")" << of.ip << ":"
        << m_nodePort << R"(","entries":[")" << FRONT_IP << ":" << m_nodePort << "\"]}\n";
    writeFile(file, out.str());
    return file;
}

auto fleet::publishConfiguration(const std::string &json) -> void
{
    m_store.put("op/config", json);
}

auto fleet::startFront() -> void
{
    const auto file = m_folder + "/front.json";
    std::ostringstream out;
    out << R"({"host":"front-1","data_centre":"z1","callers_listen":")" << FRONT_IP << ":"
        << m_callersPort << R"(","admin_listen":")" << FRONT_IP << ":" << m_adminPort
        << R"(","reports_listen":")" << FRONT_IP << ":" << m_nodePort << R"(","reporter_port":)"
        << m_nodePort << R"(,"directory_service":")" << STORE_IP << ":" << m_storePort
        << R"(","retry_ratio":0.2,"retry_window_s":10,"retry_slack":52,"entries_assumed":32,)"
        << R"("stop_grace_ms":)" << m_options.graceS << R"(000,"balancer_delay_ms":2500,)"
        << R"("leaving_bound_ms":)" << m_options.drainMs << R"(,"configuration_bound_ms":)"
        << m_options.configApplyMs << R"(,"contact_bound_ms":)" << m_options.contactMs << "}\n";
    writeFile(file, out.str());
    m_record.line("settings of the front: " + out.str().substr(0, out.str().size() - 1));
    m_front.start(m_frontCommand, file, m_folder + "/front.out");
}

auto fleet::start() -> bool
{
    if (!m_store.start(STORE_IP, m_storePort)) {
        return false;
    }
    std::size_t modelRunners = 0;
    for (const auto &one : m_runners) {
        if (!one->start()) {
            return false;
        }
        if (one->options().engine) {
            ++modelRunners;
            const auto file = writeReporterSettings(*one, one->options().service);
            auto &reporter = m_reporters[one->options().id];
            reporter = std::make_unique<child>();
            reporter->start(m_reporterCommand, file,
                            m_folder + "/reporter-" + one->options().id + ".out");
        }
    }
    startFront();
    const auto runners = static_cast<double>(m_runners.size());
    const auto up = await(15'000, [&] {
        return ready() && frontMetric("servers_known") == runners
               && (modelRunners == 0
                   || frontMetric("server_reports_heard") >= 2.0 * static_cast<double>(modelRunners));
    });
    m_record.line(up ? "the front is ready" : "the front does not get ready");
    return up;
}

auto fleet::frontMetric(const std::string &name) const -> double
{
    return metric(FRONT_IP, m_adminPort, name);
}

auto fleet::ready() const -> bool
{
    return getStatus(FRONT_IP, m_adminPort, "/readyz") == 200;
}

auto configurationText(long version, const std::vector<route_text> &routes,
                       const std::vector<std::string> &modelServices,
                       const std::vector<std::string> &plainServices) -> std::string
{
    std::ostringstream out;
    out << R"({"version":)" << version << R"(,"routes":[)";
    for (std::size_t i = 0; i < routes.size(); ++i) {
        const auto &one = routes[i];
        const auto stream = one.type == "stream";
        out << (i > 0 ? "," : "") << R"({"name":")" << one.name
            << R"(","hostname":"app.example","path-prefix":"/)" << one.name
            << R"(/","route-type":")" << one.type << R"(","timeout-ms":)" << one.timeoutMs
            << R"(,"target-latency-ms":)" << one.targetMs << R"(,"priority":2,"backend":")"
            << one.service << R"(","max-attempts":)" << one.attempts << R"(,"public":false,"sticky":)"
            << (stream ? "true" : "false") << R"(,"resumable":)"
            << (one.resumable ? "true" : "false");
        if (stream) {
            out << R"(,"gap-aim-ms":180)";
        }
        out << "}";
    }
    out << R"(],"services":[)";
    bool first = true;
    for (const auto &name : modelServices) {
        out << (first ? "" : ",") << R"({"name":")" << name
            << R"(","health-path":"/healthz","max-conns":232,"protocol":"h1","tls":false,)"
            << R"("engine":{"slots":24,"kv-tokens":34306,"kv-bytes":327680,"link-mbps":47000.0,)"
            << R"("moves":true,"backups":true,"stride":4,"most":12,"pin-ms":4000.0,)"
            << R"("hold-ms":2000.0,"handle-s":5.0,"models":[{"name":"m"}]}})";
        first = false;
    }
    for (const auto &name : plainServices) {
        out << (first ? "" : ",") << R"({"name":")" << name
            << R"(","health-path":"/healthz","max-conns":96,"protocol":"h1","tls":false})";
        first = false;
    }
    out << R"(],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,)"
        << R"("header-timeout-ms":3000,"idle-timeout-ms":15000},)"
        << R"("tenants":[{"name":"clinic","api-keys":["key-of-clinic"]}]})";
    return out.str();
}

auto requestHeaders(const std::string &id, long deadlineMs)
    -> std::vector<std::pair<std::string, std::string>>
{
    return {{"X-Request-Id", id},
            {"X-Deadline-Ms", std::to_string(deadlineMs)},
            {"X-Api-Key", "key-of-clinic"}};
}

auto generationHeaders(const std::string &id, long deadlineMs, int promptTokens, int outputTokens)
    -> std::vector<std::pair<std::string, std::string>>
{
    auto out = requestHeaders(id, deadlineMs);
    out.emplace_back("X-Model", "m");
    out.emplace_back("X-Token-Usage",
                     std::to_string(promptTokens) + "," + std::to_string(outputTokens));
    out.emplace_back("X-Prompt-Prefix", "5c1e07a2:" + std::to_string(promptTokens));
    return out;
}

} // namespace rig
