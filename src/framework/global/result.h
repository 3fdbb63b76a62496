#pragma once

#include "framework/global/enumnames.h"

#include <boost/system/result.hpp>
#include <string>
#include <system_error>

namespace marjoram {

/// Value or typed error. Every error comes from an `enum class` with a table of names.
template <typename T>
using result = boost::system::result<T, std::error_code>;

/// Error category that takes its messages from the enumeration's table of names. Thread safe.
template <named_enum E>
class named_category : public std::error_category
{
public:
    auto name() const noexcept -> const char * override { return categoryNameOf(E{}); }
    auto message(int value) const -> std::string override
    {
        return std::string(nameOf(static_cast<E>(value)));
    }
};

/// Error code of an enumerator whose enumeration provides `categoryNameOf(E)`. Thread safe.
template <named_enum E>
auto errorCode(E value) -> std::error_code
{
    static const named_category<E> category;
    return {static_cast<int>(value), category};
}

} // namespace marjoram

/// Declares an enumeration as a source of std::error_code. Use at global scope, after its names.
#define MARJORAM_ERROR_ENUM(E)                                                                     \
    template <>                                                                                    \
    struct std::is_error_code_enum<E> : std::true_type                                             \
    { };
