#include "manifest/manifestreader.h"

#include "framework/settings/objectreader.h"

#include <set>

namespace marjoram {

namespace {

constexpr std::int64_t FORMAT = 1;
constexpr std::int64_t HOUR_MS = 3'600'000;
constexpr std::int64_t MAX_TOKENS = 1'000'000;
constexpr std::int64_t MAX_REPLICAS = 10'000;
constexpr std::int64_t MAX_WEIGHT = 10'000;
constexpr std::int64_t MAX_WAITING = 100'000;
constexpr std::int64_t MAX_LOADS_PER_MINUTE = 100'000;
constexpr std::int64_t DEFAULT_MAX_WAITING = 1'000;
constexpr std::size_t SHA256_DIGITS = 64;

/// Reports empty and duplicate names within one list.
class name_checker
{
public:
    auto check(object_reader &reader, std::string_view key, const std::string &name) -> void
    {
        if (name.empty() && reader.has(key)) {
            reader.fault(key, document_error::out_of_range, "empty");
        }
        if (!name.empty() && !m_seen.insert(name).second) {
            reader.fault(key, document_error::duplicate, name);
        }
    }
    auto contains(const std::string &name) const -> bool { return m_seen.contains(name); }

private:
    std::set<std::string> m_seen;
};

auto toUint32(std::int64_t value) -> std::uint32_t
{
    return static_cast<std::uint32_t>(value);
}

auto readRanks(object_reader &root, manifest &out) -> void
{
    auto ranks = root.object("ranks");
    if (!ranks) {
        return;
    }
    double totalShare = 0.0;
    for (const auto &row : namesOf(rank{})) {
        auto reader = ranks->object(row.name);
        if (!reader) {
            continue;
        }
        auto &entry = out.ranks[indexOf(row.value)];
        entry.leastShare = reader->fraction("least_share", {.least = 0.0, .most = 0.9});
        entry.firstTokenMs
            = toUint32(reader->integer("first_token_ms", {.least = 1, .most = HOUR_MS}));
        entry.deadlineMs = toUint32(reader->integer("deadline_ms", {.least = 1, .most = HOUR_MS}));
        reader->finish();
        totalShare += entry.leastShare;
    }
    if (totalShare > 1.0) {
        root.fault("ranks", document_error::out_of_range, "least shares add up to more than 1");
    }
    ranks->finish();
}

auto readTeams(object_reader &root, manifest &out) -> void
{
    name_checker names;
    name_checker credentials;
    for (auto &reader : root.objects("teams")) {
        team_entry team;
        team.name = reader.text("name");
        names.check(reader, "name", team.name);
        team.weight = toUint32(reader.integer("weight", {.least = 1, .most = MAX_WEIGHT}, 1));
        team.highestRank = reader.name<rank>("highest_rank");
        team.maxWaiting = toUint32(
            reader.integer("max_waiting", {.least = 1, .most = MAX_WAITING}, DEFAULT_MAX_WAITING));
        team.credentialSha256 = reader.texts("credential_sha256");
        for (const auto &digest : team.credentialSha256) {
            if (digest.size() != SHA256_DIGITS
                || digest.find_first_not_of("0123456789abcdef") != std::string::npos) {
                reader.fault("credential_sha256", document_error::out_of_range,
                             "64 lower-case hexadecimal digits");
            }
            credentials.check(reader, "credential_sha256", digest);
        }
        reader.finish();
        out.teams.push_back(std::move(team));
    }
}

auto readModels(object_reader &root, manifest &out) -> void
{
    name_checker names;
    for (auto &reader : root.objects("models")) {
        model_entry model;
        model.name = reader.text("name");
        names.check(reader, "name", model.name);
        model.version = reader.text("version");
        model.contextTokens
            = toUint32(reader.integer("context_tokens", {.least = 1, .most = MAX_TOKENS}));
        model.maxOutputTokens
            = toUint32(reader.integer("max_output_tokens", {.least = 1, .most = MAX_TOKENS}));
        model.replicas = toUint32(reader.integer("replicas", {.least = 1, .most = MAX_REPLICAS}));
        name_checker adapterNames;
        for (auto &adapterReader : reader.objects("adapters", false)) {
            adapter_entry adapter{.name = adapterReader.text("name"),
                                  .version = adapterReader.text("version")};
            adapterNames.check(adapterReader, "name", adapter.name);
            adapterReader.finish();
            model.adapters.push_back(std::move(adapter));
        }
        reader.finish();
        out.models.push_back(std::move(model));
    }
}

auto readBackendServers(object_reader &root, manifest &out) -> void
{
    name_checker hosts;
    for (auto &reader : root.objects("backend_servers")) {
        backend_server_entry server;
        server.host = reader.text("host");
        hosts.check(reader, "host", server.host);
        server.kind = reader.name<backend_server_kind>("kind");
        server.dataCentre = reader.text("data_centre");
        server.checksFence = reader.boolean("checks_fence", false);
        reader.finish();
        out.backendServers.push_back(std::move(server));
    }
}

auto checkPlacements(object_reader &reader, const service_entry &service, const manifest &out)
    -> void
{
    if (service.placements.empty() || service.placements.front().empty()) {
        reader.fault("placements", document_error::out_of_range,
                     "the newest placement has no host");
        return;
    }
    for (const auto &host : service.placements.front()) {
        const auto *server = out.findBackendServer(host);
        if (!server || server->kind != backend_server_kind::service) {
            reader.fault("placements", document_error::dangling_reference, host);
        }
    }
}

auto readServices(object_reader &root, manifest &out) -> void
{
    name_checker names;
    for (auto &reader : root.objects("services", false)) {
        service_entry service;
        service.name = reader.text("name");
        names.check(reader, "name", service.name);
        service.idempotent = reader.boolean("idempotent");
        service.workRank = reader.name<rank>("rank", rank::urgent);
        service.timeoutMs = toUint32(reader.integer("timeout_ms", {.least = 1, .most = HOUR_MS}));
        service.placements = reader.textLists("placements");
        checkPlacements(reader, service, out);
        reader.finish();
        out.services.push_back(std::move(service));
    }
}

template <typename Entry>
auto findByName(const std::vector<Entry> &entries, std::string_view name) -> const Entry *
{
    for (const auto &entry : entries) {
        if (entry.name == name) {
            return &entry;
        }
    }
    return nullptr;
}

} // namespace

auto readManifest(std::string_view text, document_faults &faults) -> manifest_ptr
{
    if (text.size() > MANIFEST_LIMIT_BYTES) {
        faults.push_back({"$", document_error::out_of_range, "more than 1 MiB"});
        return nullptr;
    }
    const json_document document(text, faults);
    if (!document.valid()) {
        return nullptr;
    }
    auto out = std::make_shared<manifest>();
    auto root = document.root(faults);
    root.integer("format", {.least = FORMAT, .most = FORMAT});
    out->version = static_cast<std::uint64_t>(root.integer("version", {.least = 1}));
    readRanks(root, *out);
    readTeams(root, *out);
    readModels(root, *out);
    readBackendServers(root, *out);
    readServices(root, *out);
    if (auto store = root.object("weight_store")) {
        out->weightLoadsPerMinute = toUint32(
            store->integer("loads_per_minute", {.least = 1, .most = MAX_LOADS_PER_MINUTE}));
        store->finish();
    }
    root.finish();
    return faults.empty() ? out : nullptr;
}

auto manifest::findTeam(std::string_view name) const -> const team_entry *
{
    return findByName(teams, name);
}

auto manifest::findTeamByCredential(std::string_view sha256) const -> const team_entry *
{
    for (const auto &team : teams) {
        for (const auto &digest : team.credentialSha256) {
            if (digest == sha256) {
                return &team;
            }
        }
    }
    return nullptr;
}

auto manifest::findModel(std::string_view name) const -> const model_entry *
{
    return findByName(models, name);
}

auto manifest::findService(std::string_view name) const -> const service_entry *
{
    return findByName(services, name);
}

auto manifest::findBackendServer(std::string_view host) const -> const backend_server_entry *
{
    for (const auto &server : backendServers) {
        if (server.host == host) {
            return &server;
        }
    }
    return nullptr;
}

} // namespace marjoram
