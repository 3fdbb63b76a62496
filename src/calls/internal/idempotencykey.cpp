#include "calls/idempotencykey.h"

#include <boost/uuid/string_generator.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <stdexcept>

namespace marjoram {

namespace {

constexpr std::size_t KEY_LENGTH = 36;
constexpr std::size_t TIMESTAMP_BYTES = 6;
constexpr std::size_t VERSION_BYTE = 6;
constexpr std::size_t VARIANT_BYTE = 8;
constexpr unsigned VERSION_7 = 0x70;
constexpr unsigned VARIANT_RFC = 0x80;
constexpr unsigned BITS_PER_BYTE = 8;

} // namespace

auto keyCreatedAtMs(std::string_view key) -> result<std::int64_t>
{
    if (key.size() != KEY_LENGTH) {
        return make_error_code(failure::key_malformed);
    }
    boost::uuids::uuid parsed{};
    try {
        parsed = boost::uuids::string_generator{}(key.begin(), key.end());
    } catch (const std::runtime_error &) {
        return make_error_code(failure::key_malformed);
    }
    const auto versionByte = parsed.data[VERSION_BYTE];
    const auto variantByte = parsed.data[VARIANT_BYTE];
    if ((versionByte & 0xF0U) != VERSION_7 || (variantByte & 0xC0U) != VARIANT_RFC) {
        return make_error_code(failure::key_malformed);
    }
    std::int64_t createdAtMs = 0;
    for (std::size_t i = 0; i < TIMESTAMP_BYTES; ++i) {
        createdAtMs = (createdAtMs << BITS_PER_BYTE) | parsed.data[i];
    }
    return createdAtMs;
}

auto generateKey(std::int64_t unixMs, random_source &random) -> std::string
{
    boost::uuids::uuid fresh{};
    for (auto &byte : fresh.data) {
        byte = static_cast<std::uint8_t>(random());
    }
    for (std::size_t i = 0; i < TIMESTAMP_BYTES; ++i) {
        const auto shift = BITS_PER_BYTE * (TIMESTAMP_BYTES - 1 - i);
        fresh.data[i] = static_cast<std::uint8_t>(unixMs >> shift);
    }
    fresh.data[VERSION_BYTE] = (fresh.data[VERSION_BYTE] & 0x0FU) | VERSION_7;
    fresh.data[VARIANT_BYTE] = (fresh.data[VARIANT_BYTE] & 0x3FU) | VARIANT_RFC;
    return boost::uuids::to_string(fresh);
}

} // namespace marjoram
