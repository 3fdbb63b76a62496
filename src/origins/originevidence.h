#pragma once

#include "framework/global/enumnames.h"

#include <array>

namespace marjoram {

/// What shows which software began the stream of a request.
enum class origin_evidence {
    none,
    /// The request has made events there; they may not have reached the caller.
    ran,
    /// It has made events at servers of different software.
    ambiguous,
    /// An entry has passed its first event on to the caller.
    delivered
};
inline constexpr std::array originEvidenceNames{
    enum_name<origin_evidence>{origin_evidence::none, "none"},
    enum_name<origin_evidence>{origin_evidence::ran, "ran"},
    enum_name<origin_evidence>{origin_evidence::ambiguous, "ambiguous"},
    enum_name<origin_evidence>{origin_evidence::delivered, "delivered"},
};
constexpr auto namesOf(origin_evidence) -> const auto &
{
    return originEvidenceNames;
}

} // namespace marjoram
