#include "generations/generationrequest.h"

#include <algorithm>

namespace marjoram {

namespace {

constexpr std::size_t BYTES_PER_TOKEN = 4;
constexpr std::size_t PREFIX_SIZE_BYTES = 256;

} // namespace

auto estimatePromptTokens(const generation_request &request) -> std::uint32_t
{
    return static_cast<std::uint32_t>(request.prompt.size() / BYTES_PER_TOKEN + 1);
}

auto traitsOf(const generation_request &request) -> std::vector<std::uint64_t>
{
    constexpr std::size_t MAX_TRAITS = 16;
    const auto seed = stableHash(request.adapter, stableHash(request.model));
    const std::string_view prompt(request.prompt);
    std::vector<std::uint64_t> out;
    for (auto size = PREFIX_SIZE_BYTES; size < prompt.size() && out.size() + 1 < MAX_TRAITS;
         size *= 2) {
        out.push_back(stableHash(prompt.substr(0, size), seed));
    }
    out.push_back(stableHash(prompt, seed));
    return out;
}

auto prefixHash(const generation_request &request) -> std::uint64_t
{
    const auto seed = stableHash(request.adapter, stableHash(request.model));
    const std::string_view prompt(request.prompt);
    return stableHash(prompt.substr(0, std::min(PREFIX_SIZE_BYTES, prompt.size())), seed);
}

} // namespace marjoram
