#pragma once

#include "framework/global/result.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <string_view>

namespace marjoram {

/// Why a textual identifier was refused.
enum class identifier_error { malformed = 1 };
inline constexpr std::array identifierErrorNames{
    enum_name<identifier_error>{identifier_error::malformed, "malformed identifier"}};
constexpr auto namesOf(identifier_error) -> const auto &
{
    return identifierErrorNames;
}
constexpr auto categoryNameOf(identifier_error) -> const char *
{
    return "identifier";
}
inline auto make_error_code(identifier_error e) -> std::error_code
{
    return errorCode(e);
}

/// Random generator used by all decision code; seeded by its owner.
using random_source = std::mt19937_64;

/// 128-bit identity of one generation. Value type.
struct generation_id
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend auto operator<=>(const generation_id &, const generation_id &)
        -> std::strong_ordering = default;

    template <typename Self, typename Visitor>
    static auto visitFields(Self &self, Visitor &&visit) -> void
    {
        visit(self.high);
        visit(self.low);
    }
};

/// Fresh identity. Not thread safe: `random` belongs to the calling duty.
auto makeGenerationId(random_source &random) -> generation_id;
/// 32 lower-case hexadecimal digits. Thread safe.
auto toText(const generation_id &id) -> std::string;
/// Inverse of toText; identifier_error::malformed for anything else. Thread safe.
auto parseGenerationId(std::string_view text) -> result<generation_id>;

/// Random 64-bit seed from the operating system. Thread safe.
auto systemSeed() -> std::uint64_t;

/// Stable 64-bit hash of bytes (XXH3). Thread safe.
auto stableHash(std::string_view bytes, std::uint64_t seed = 0) -> std::uint64_t;

/// Lower-case hexadecimal SHA-256 of bytes. Thread safe.
auto sha256Hex(std::string_view bytes) -> std::string;

} // namespace marjoram

MARJORAM_ERROR_ENUM(marjoram::identifier_error)

template <>
struct std::hash<marjoram::generation_id>
{
    auto operator()(const marjoram::generation_id &id) const noexcept -> std::size_t
    {
        return static_cast<std::size_t>(id.low ^ (id.high * 0x9E3779B97F4A7C15ULL));
    }
};
