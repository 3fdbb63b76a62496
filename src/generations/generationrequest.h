#pragma once

#include "framework/global/failure.h"
#include "framework/global/identifiers.h"

#include <cstdint>
#include <string>
#include <vector>

namespace marjoram {

/// Kind of request in the public API.
enum class prompt_form { completion, chat };
inline constexpr std::array promptFormNames{
    enum_name<prompt_form>{prompt_form::completion, "completion"},
    enum_name<prompt_form>{prompt_form::chat, "chat"},
};
constexpr auto namesOf(prompt_form) -> const auto &
{
    return promptFormNames;
}

/// Reason why a generation completed.
enum class finish_reason { stop, length };
inline constexpr std::array finishReasonNames{
    enum_name<finish_reason>{finish_reason::stop, "stop"},
    enum_name<finish_reason>{finish_reason::length, "length"},
};
constexpr auto namesOf(finish_reason) -> const auto &
{
    return finishReasonNames;
}

/// A caller's request, resolved with the manifest.
struct generation_request
{
    prompt_form form = prompt_form::completion;
    rank workRank = rank::standard;
    std::string team;
    std::string model;
    std::string adapter;
    /// Prompt text; for chat, the messages as JSON text.
    std::string prompt;
    std::uint32_t maxTokens = 0;

    template <typename Self, typename Visitor>
    static auto visitFields(Self &self, Visitor &&visit) -> void
    {
        visit(self.form);
        visit(self.workRank);
        visit(self.team);
        visit(self.model);
        visit(self.adapter);
        visit(self.prompt);
        visit(self.maxTokens);
    }
};

/// Estimates the number of tokens of a prompt from its size in bytes. Thread safe.
auto estimatePromptTokens(const generation_request &request) -> std::uint32_t;
/// What a request may share with others that crash engines: hashes of the model, the adapter and
/// the beginning of the prompt, at doubling lengths up to the whole. Thread safe.
auto traitsOf(const generation_request &request) -> std::vector<std::uint64_t>;
/// Hash of the model, the adapter and the first bytes of the prompt. Requests that may share a
/// cached prefix have the same hash. Thread safe.
auto prefixHash(const generation_request &request) -> std::uint64_t;

} // namespace marjoram
