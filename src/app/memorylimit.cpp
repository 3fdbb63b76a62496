#include "app/memorylimit.h"

#include <charconv>
#include <fstream>
#include <string>

namespace marjoram {

auto parseMemoryLimit(std::string_view text) -> std::optional<std::uint64_t>
{
    text = text.substr(0, text.find('\n'));
    std::uint64_t out = 0;
    const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), out);
    return error == std::errc{} && rest == text.data() + text.size() && out > 0 ? std::optional(out)
                                                                                : std::nullopt;
}

auto memoryLimitBytes() -> std::optional<std::uint64_t>
{
    std::ifstream file("/sys/fs/cgroup/memory.max");
    std::string line;
    std::getline(file, line);
    return parseMemoryLimit(line);
}

} // namespace marjoram
