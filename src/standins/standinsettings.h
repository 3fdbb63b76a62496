#pragma once

#include "framework/http/httptypes.h"
#include "framework/settings/documentfault.h"
#include "standins/enginemodel.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marjoram {

/// What a stand-in process plays.
enum class standin_role { engine, service, publisher };
inline constexpr std::array standinRoleNames{
    enum_name<standin_role>{standin_role::engine, "engine"},
    enum_name<standin_role>{standin_role::service, "service"},
    enum_name<standin_role>{standin_role::publisher, "publisher"},
};
constexpr auto namesOf(standin_role) -> const auto &
{
    return standinRoleNames;
}

/// Settings of a stand-in.
struct standin_settings
{
    standin_role role = standin_role::engine;
    endpoint listen;
    engine_model_options engine;
    bool checksFence = true;
    std::uint32_t modelLoadMs = 200;
    /// Models that an engine holds at its start, as "name@version".
    std::vector<std::string> models;
    std::uint32_t answerDelayMs = 5;
    /// Files that a publisher serves at its start.
    std::string manifestFile;
    std::string hostsFile;
};

/// Reads a stand-in's settings; nothing with every fault noted. Thread safe.
auto readStandinSettings(std::string_view text, document_faults &faults)
    -> std::optional<standin_settings>;

} // namespace marjoram
