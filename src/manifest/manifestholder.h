#pragma once

#include "framework/settings/documentfault.h"
#include "manifest/manifest.h"

#include <string>

namespace marjoram {

/// Result of offering a manifest.
enum class offer_outcome { accepted, older, same, conflicting, invalid };
inline constexpr std::array offerOutcomeNames{
    enum_name<offer_outcome>{offer_outcome::accepted, "accepted"},
    enum_name<offer_outcome>{offer_outcome::older, "older than the one in force"},
    enum_name<offer_outcome>{offer_outcome::same, "already in force"},
    enum_name<offer_outcome>{offer_outcome::conflicting, "same version with other content"},
    enum_name<offer_outcome>{offer_outcome::invalid, "unsound"},
};
constexpr auto namesOf(offer_outcome) -> const auto &
{
    return offerOutcomeNames;
}

/// Holds the manifest in force. Its version never decreases during the life of the process.
/// Not thread safe: belongs to one duty.
class manifest_holder
{
public:
    /// Puts a manifest in force if it is valid and newer; otherwise the current one stays.
    auto offer(std::string text) -> offer_outcome;

    /// Null until the first manifest is accepted.
    auto current() const -> const manifest_ptr & { return m_current; }
    auto version() const -> std::uint64_t { return m_current ? m_current->version : 0; }
    /// Text of the manifest in force.
    auto text() const -> const std::string & { return m_text; }
    /// Faults of the last invalid offer.
    auto lastFaults() const -> const document_faults & { return m_lastFaults; }

private:
    manifest_ptr m_current;
    std::string m_text;
    document_faults m_lastFaults;
};

} // namespace marjoram
