#pragma once

#include "framework/global/enumnames.h"

#include <cstdint>
#include <string>
#include <vector>

namespace marjoram {

/// Result of passing a batch of tokens to a token_sequencer.
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

/// Ensures that a caller's stream gets the token of each position once, in order, and only from the
/// current attempt. Not thread safe.
class token_sequencer
{
public:
    /// Accepts tokens of only this attempt from now on.
    auto beginAttempt(std::uint32_t attempt) -> void { m_attempt = attempt; }
    auto attempt() const -> std::uint32_t { return m_attempt; }
    auto nextPosition() const -> std::uint64_t { return m_nextPosition; }

    /// Accepts a batch whose first token is at `position`, and removes from its front the tokens
    /// that were already delivered. On `gap` or `superseded` the batch must not be used.
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
