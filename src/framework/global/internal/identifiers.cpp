#include "framework/global/identifiers.h"

#include <array>
#include <charconv>
#include <openssl/evp.h>
#include <xxhash.h>

namespace marjoram {

namespace {

constexpr std::size_t HALF_DIGITS = 16;
constexpr int HEX = 16;

auto appendHex(std::string &out, std::uint64_t value) -> void
{
    constexpr std::string_view digits = "0123456789abcdef";
    for (int shift = 60; shift >= 0; shift -= 4) {
        out.push_back(digits[(value >> shift) & 0xF]);
    }
}

auto parseHex(std::string_view text, std::uint64_t &out) -> bool
{
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), out, HEX);
    return parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
}

} // namespace

auto makeGenerationId(random_source &random) -> generation_id
{
    return {.high = random(), .low = random()};
}

auto toText(const generation_id &id) -> std::string
{
    std::string out;
    out.reserve(2 * HALF_DIGITS);
    appendHex(out, id.high);
    appendHex(out, id.low);
    return out;
}

auto parseGenerationId(std::string_view text) -> result<generation_id>
{
    generation_id id;
    if (text.size() != 2 * HALF_DIGITS || !parseHex(text.substr(0, HALF_DIGITS), id.high)
        || !parseHex(text.substr(HALF_DIGITS), id.low)) {
        return make_error_code(identifier_error::malformed);
    }
    return id;
}

auto systemSeed() -> std::uint64_t
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

auto stableHash(std::string_view bytes, std::uint64_t seed) -> std::uint64_t
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

auto sha256Hex(std::string_view bytes) -> std::string
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(), nullptr);
    constexpr std::string_view digits = "0123456789abcdef";
    std::string out;
    for (unsigned int i = 0; i < size; ++i) {
        out.push_back(digits[digest[i] >> 4]);
        out.push_back(digits[digest[i] & 0xF]);
    }
    return out;
}

} // namespace marjoram
