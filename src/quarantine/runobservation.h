#pragma once

#include "framework/global/enumnames.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace marjoram {

/// What became of a run soon after its start.
enum class run_fate { lost_in_crash, survived };
inline constexpr std::array runFateNames{
    enum_name<run_fate>{run_fate::lost_in_crash, "lost_in_crash"},
    enum_name<run_fate>{run_fate::survived, "survived"},
};
constexpr auto namesOf(run_fate) -> const auto &
{
    return runFateNames;
}

/// What an entry has seen of a run; passed on between entries by reporters.
struct run_observation
{
    run_fate fate = run_fate::lost_in_crash;
    std::string serverId;
    std::string requestId;
    /// Number of the run among those of the request.
    std::uint32_t attempt = 0;
    /// Hashes or ids of what the request shares with others, such as the parts of its prompt. Of a
    /// run that survived, only those under suspicion.
    std::vector<std::uint64_t> traits;
    /// Time since it was seen, when the observation was sent.
    std::int64_t ageMs = 0;

    template <typename Self, typename Visitor>
    static auto visitFields(Self &self, Visitor &&visit) -> void
    {
        visit(self.fate);
        visit(self.serverId);
        visit(self.requestId);
        visit(self.attempt);
        visit(self.traits);
        visit(self.ageMs);
    }
};

} // namespace marjoram
