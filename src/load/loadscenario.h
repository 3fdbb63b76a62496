#pragma once

#include "framework/global/failure.h"
#include "framework/http/httptypes.h"
#include "framework/settings/documentfault.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marjoram {

/// Kind of request that a stream of load makes.
enum class load_kind { generation, call };
inline constexpr std::array loadKindNames{
    enum_name<load_kind>{load_kind::generation, "generation"},
    enum_name<load_kind>{load_kind::call, "call"},
};
constexpr auto namesOf(load_kind) -> const auto &
{
    return loadKindNames;
}

/// One stream of requests with arrivals that do not wait for answers.
struct load_stream
{
    std::string name;
    load_kind kind = load_kind::generation;
    std::string credential;
    rank workRank = rank::standard;
    double perSecond = 1.0;
    /// Requests that arrive together.
    std::uint32_t burst = 1;
    /// Lognormal distribution of output lengths; the stand-in engine honours "[len=N]".
    double medianLength = 64.0;
    double lengthSpread = 0.0;
    /// Bytes of a prompt, and how many distinct prefixes prompts begin with (0: each its own).
    std::uint32_t promptBytes = 200;
    std::uint32_t prefixes = 0;
    /// Share of calls that are sent a second time with the same key.
    double retryShare = 0.0;
};

/// A load to put on a fleet.
struct load_scenario
{
    std::vector<endpoint> entries;
    std::string model;
    std::string service;
    std::uint32_t durationMs = 10'000;
    std::uint64_t seed = 1;
    std::vector<load_stream> streams;
};

/// Reads a scenario; nothing with every fault noted. Thread safe.
auto readLoadScenario(std::string_view text, document_faults &faults)
    -> std::optional<load_scenario>;

} // namespace marjoram
