#include "forwarding/forwardtypes.h"

#include <sstream>

namespace marjoram {

auto textOf(const std::vector<prompt_part> &parts) -> std::string
{
    std::ostringstream out;
    out << std::hex;
    for (const auto &part : parts) {
        out << (&part == parts.data() ? "" : ",") << part.id;
    }
    return out.str();
}

} // namespace marjoram
