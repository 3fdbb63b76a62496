#include "fleet.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iterator>
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

auto fleet::fill(const std::string &templateFile,
                 const std::map<std::string, std::string> &fields) const -> std::string
{
    std::ifstream file(templateFile);
    std::string text((std::istreambuf_iterator<char>(file)), {});
    for (const auto &[name, value] : fields) {
        const auto isList = value.starts_with("[");
        const std::pair<std::string, std::string> forms[] = {
            {"{{" + name + "|json}}", isList ? value : "\"" + value + "\""},
            {"{{" + name + "}}", value}};
        for (const auto &[placeholder, shown] : forms) {
            for (auto at = text.find(placeholder); at != std::string::npos;
                 at = text.find(placeholder)) {
                text.replace(at, placeholder.size(), shown);
            }
        }
    }
    return text;
}

auto fleet::writeReporterSettings(const runner &one, const std::string &service) -> std::string
{
    const auto &of = one.options();
    const auto file = m_folder + "/side-" + of.ip + ".json";
    const auto port = std::to_string(m_nodePort);
    writeFile(file, fill("deploy/reporter.json",
                         {{"node-name", "side-" + of.ip},
                          {"zone", "z1"},
                          {"backend", service},
                          {"app", of.ip + ":" + std::to_string(of.port)},
                          {"ip", of.ip},
                          {"port-range.0", port},
                          {"seeds", "[\"" + std::string(FRONT_IP) + ":" + port + "\"]"}}));
    return file;
}

auto fleet::publishConfiguration(const std::string &json) -> void
{
    m_store.put("op/config", json);
}

auto fleet::startFront() -> void
{
    const auto file = m_folder + "/front.json";
    const auto at = [](const std::string &ip, int port) { return ip + ":" + std::to_string(port); };
    writeFile(file, fill("deploy/entry.json",
                         {{"node-name", "front-1"},
                          {"zone", "z1"},
                          {"ip", FRONT_IP},
                          {"port-range.0", std::to_string(m_nodePort)},
                          {"listen.front", at(FRONT_IP, m_callersPort)},
                          {"listen.ready", at(FRONT_IP, m_adminPort)},
                          {"provider.address", at(STORE_IP, m_storePort)},
                          {"bounds.budget-ratio", "0.2"},
                          {"bounds.budget-window-s", "10"},
                          {"bounds.budget-slack", "52"},
                          {"bounds.grace-s", m_options.graceS},
                          {"bounds.drain-ms", "2000"},
                          {"bounds.config-apply-ms", "2000"},
                          {"bounds.contact-ms", "3000"}}));
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
