// A small deployment: one front, the platform's store, runners, and a reporter beside each model
// runner. The settings files are made from the templates that the deploy file names.
#pragma once

#include "rig.h"

namespace rig {

/// Bounds of the deployment, as the sheet of a small site gives them.
struct fleet_options
{
    std::string graceS = "8";
};

class fleet
{
public:
    /// `arguments` of the program: command of the front, command of the reporter, folder for
    /// temporary files, file of the record.
    fleet(int argc, char **argv, fleet_options options = {});
    ~fleet();

    auto record() -> recorder & { return m_record; }
    auto registry() -> store & { return m_store; }
    /// Adds a runner on a machine of its own; a model runner gets a reporter beside it. Not started
    /// yet.
    auto addRunner(runner_options options) -> runner &;
    /// Writes the settings of the reporter beside a model runner.
    auto writeReporterSettings(const runner &one, const std::string &service) -> std::string;
    auto reporterOf(const std::string &runnerId) -> child & { return *m_reporters.at(runnerId); }
    auto front() -> child & { return m_front; }
    auto publishConfiguration(const std::string &json) -> void;
    /// Starts store, runners, reporters and the front. Returns false if the front isn't ready in
    /// time, or doesn't know all runners.
    auto start() -> bool;
    /// Writes the settings of the front and starts it.
    auto startFront() -> void;
    auto newClient() const -> client { return client(FRONT_IP, m_callersPort); }
    auto frontMetric(const std::string &name) const -> double;
    auto ready() const -> bool;
    auto appPort() const -> int { return m_appPort; }

    static constexpr const char *FRONT_IP = "127.0.0.2";
    static constexpr const char *STORE_IP = "127.0.0.3";

private:
    /// A template of the repository with its placeholders filled in.
    auto fill(const std::string &templateFile,
              const std::map<std::string, std::string> &fields) const -> std::string;

    std::string m_frontCommand;
    std::string m_reporterCommand;
    std::string m_folder;
    fleet_options m_options;
    recorder m_record;
    store m_store;
    std::vector<std::unique_ptr<runner>> m_runners;
    std::map<std::string, std::unique_ptr<child>> m_reporters;
    child m_front;
    int m_callersPort = 0;
    int m_adminPort = 0;
    int m_storePort = 0;
    int m_appPort = 0;
    int m_nodePort = 0;
};

/// A route of a configuration.
struct route_text
{
    std::string name;
    /// "stream", "idempotent" or "non_idempotent".
    std::string type;
    std::string service;
    long timeoutMs = 39'000;
    long targetMs = 1'500;
    int attempts = 1;
    bool resumable = false;
};

/// A configuration as the operator writes it: routes have the path prefix "/NAME/".
auto configurationText(long version, const std::vector<route_text> &routes,
                       const std::vector<std::string> &modelServices,
                       const std::vector<std::string> &plainServices) -> std::string;

/// Headers of a client's request.
auto requestHeaders(const std::string &id, long deadlineMs)
    -> std::vector<std::pair<std::string, std::string>>;
/// The same for a generation.
auto generationHeaders(const std::string &id, long deadlineMs, int promptTokens, int outputTokens)
    -> std::vector<std::pair<std::string, std::string>>;

} // namespace rig
