#pragma once

#include <array>
#include <concepts>
#include <cstddef>
#include <optional>
#include <string_view>

namespace marjoram {

/// One row of an enumeration's table of names.
template <typename E>
struct enum_name
{
    E value;
    std::string_view name;
};

/// An enumeration with a table of names, found by argument-dependent look-up of `namesOf(E)`.
/// The table lists every enumerator once.
template <typename E>
concept named_enum = std::is_enum_v<E> && requires(E e)
{
    {
        namesOf(e).size()
        } -> std::convertible_to<std::size_t>;
};

/// Name of an enumerator; "invalid" for a value outside the table. Thread safe.
template <named_enum E>
constexpr auto nameOf(E value) -> std::string_view
{
    for (const auto &row : namesOf(value)) {
        if (row.value == value) {
            return row.name;
        }
    }
    return "invalid";
}

/// Enumerator of a name, or nothing when the table has no such name. Thread safe.
template <named_enum E>
constexpr auto parseName(std::string_view name) -> std::optional<E>
{
    for (const auto &row : namesOf(E{})) {
        if (row.name == name) {
            return row.value;
        }
    }
    return std::nullopt;
}

/// Whether a number read from outside is an enumerator of E. Thread safe.
template <named_enum E>
constexpr auto isEnumerator(std::size_t number) -> bool
{
    for (const auto &row : namesOf(E{})) {
        if (static_cast<std::size_t>(row.value) == number) {
            return true;
        }
    }
    return false;
}

} // namespace marjoram
