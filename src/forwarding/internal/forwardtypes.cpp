#include "forwarding/forwardtypes.h"

#include "framework/global/identifiers.h"

#include <sstream>

namespace marjoram {

auto traitsOf(const forward_request &request) -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> out;
    const auto &parts = request.generation.parts;
    for (const auto &part : parts) {
        if (out.size() < MAX_TRAITS) {
            out.push_back(part.id);
        }
    }
    if (out.empty()) {
        out.push_back(stableHash(request.target, stableHash(request.host)));
        if (!request.body.empty()) {
            out.push_back(stableHash(request.body));
        }
    }
    return out;
}

auto hexText(const std::vector<std::uint64_t> &traits) -> std::string
{
    std::ostringstream out;
    out << std::hex;
    for (const auto &trait : traits) {
        out << (&trait == traits.data() ? "" : ",") << trait;
    }
    return out.str();
}

} // namespace marjoram
