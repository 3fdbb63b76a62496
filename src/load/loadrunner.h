#pragma once

#include "load/loadscenario.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <string>
#include <vector>

namespace marjoram {

/// Exact quantiles of what one stream of load saw, in milliseconds.
struct load_quantiles
{
    double p50 = 0.0;
    double p95 = 0.0;
    double p99 = 0.0;
    std::size_t count = 0;
};

/// What one stream of load saw.
struct load_stream_report
{
    std::string name;
    std::uint64_t asked = 0;
    std::uint64_t whole = 0;
    std::uint64_t refused = 0;
    std::uint64_t broken = 0;
    /// Answers with a gap, a repetition or tokens of another sample, and calls answered otherwise
    /// the second time than the first.
    std::uint64_t violations = 0;
    std::uint64_t tokens = 0;
    load_quantiles firstToken;
    load_quantiles betweenTokens;
    load_quantiles wholeAnswer;
};

/// Outcome of a load.
struct load_report
{
    double seconds = 0.0;
    std::uint64_t mostOpen = 0;
    std::vector<load_stream_report> streams;

    auto violations() const -> std::uint64_t;
};

/// Puts a load on entries and checks every answer while it runs. Blocks until all answers have
/// come or `graceMs` have passed after the last request.
auto runLoad(const load_scenario &scenario, std::uint32_t graceMs, bool showProgress)
    -> load_report;

/// Report as text for a person and as JSON.
auto toText(const load_report &report) -> std::string;
auto toJson(const load_report &report) -> std::string;

} // namespace marjoram
