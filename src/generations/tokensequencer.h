#pragma once

#include "framework/global/enumnames.h"

#include <cstdint>
#include <string>
#include <vector>

namespace marjoram {

/// What became of tokens that arrived for a stream.
enum class sequence_outcome { delivered, duplicate, superseded, gap };
inline constexpr std::array sequenceOutcomeNames{
    enum_name<sequence_outcome>{sequence_outcome::delivered, "delivered"},
    enum_name<sequence_outcome>{sequence_outcome::duplicate, "duplicate"},
    enum_name<sequence_outcome>{sequence_outcome::superseded, "superseded"},
    enum_name<sequence_outcome>{sequence_outcome::gap, "gap"},
};
constexpr auto namesOf(sequence_outcome) -> const auto &
{
    return sequenceOutcomeNames;
}

/// Guards the point where tokens enter a caller's stream: each position once, in order, and only
/// from the current attempt. Not thread safe.
class token_sequencer
{
public:
    /// Believes only this attempt from now on.
    auto beginAttempt(std::uint32_t attempt) -> void { m_attempt = attempt; }
    auto attempt() const -> std::uint32_t { return m_attempt; }
    auto nextPosition() const -> std::uint64_t { return m_nextPosition; }

    /// Judges a batch whose first token has `position` and drops from its front what the caller
    /// already has. On `gap` or `superseded` nothing of it may be used.
    auto accept(std::uint32_t attempt, std::uint64_t position, std::vector<std::string> &tokens)
        -> sequence_outcome
    {
        if (attempt != m_attempt) {
            return sequence_outcome::superseded;
        }
        if (position > m_nextPosition) {
            return sequence_outcome::gap;
        }
        const auto alreadyDelivered = m_nextPosition - position;
        if (alreadyDelivered >= tokens.size()) {
            tokens.clear();
            return sequence_outcome::duplicate;
        }
        tokens.erase(tokens.begin(),
                     tokens.begin() + static_cast<std::ptrdiff_t>(alreadyDelivered));
        m_nextPosition += tokens.size();
        return sequence_outcome::delivered;
    }

private:
    std::uint64_t m_nextPosition = 0;
    std::uint32_t m_attempt = 0;
};

} // namespace marjoram
