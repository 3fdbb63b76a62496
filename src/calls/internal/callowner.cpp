#include "calls/callowner.h"

#include "framework/global/identifiers.h"

#include <algorithm>

namespace marjoram {

auto ownersOf(const std::vector<std::string> &placement, std::string_view key)
    -> std::vector<std::string>
{
    struct scored_host
    {
        std::uint64_t score = 0;
        const std::string *host = nullptr;
    };
    std::vector<scored_host> scored;
    for (const auto &host : placement) {
        scored.push_back({.score = stableHash(key, stableHash(host)), .host = &host});
    }
    std::sort(scored.begin(), scored.end(), [](const scored_host &a, const scored_host &b) {
        return a.score != b.score ? a.score > b.score : *a.host < *b.host;
    });
    std::vector<std::string> out;
    for (const auto &one : scored) {
        out.push_back(*one.host);
    }
    return out;
}

auto formerOwnersOf(const service_entry &service, std::string_view key, std::string_view self)
    -> std::vector<std::string>
{
    std::vector<std::string> out;
    for (std::size_t i = 1; i < service.placements.size(); ++i) {
        const auto owners = ownersOf(service.placements[i], key);
        const auto isNew = !owners.empty() && owners.front() != self
                           && std::find(out.begin(), out.end(), owners.front()) == out.end();
        if (isNew) {
            out.push_back(owners.front());
        }
    }
    return out;
}

} // namespace marjoram
