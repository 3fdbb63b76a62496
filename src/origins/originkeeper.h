#pragma once

#include "origins/originlog.h"

#include <map>
#include <vector>

namespace marjoram {

/// Remembers at a reporter which software began which streams: by what entries tell of events that
/// they have delivered, and by the runs that its own server lists. Outlives entries and processes
/// of the server. Not thread safe: belongs to one duty.
class origin_keeper
{
public:
    explicit origin_keeper(origin_log_options options)
        : m_log(options)
    { }

    /// Takes the software of a server process as entries read it in the published list; the server
    /// itself does not report it. Ignores processes without a start time.
    auto onServerSoftware(std::int64_t bornUnixMs, const server_software &software, time_us now)
        -> void;
    /// Takes the runs that the present process of the server lists.
    auto onRuns(std::int64_t bornUnixMs, const std::vector<server_run> &runs, time_us now) -> void;
    auto onDelivered(const std::string &requestId, const server_software &software, time_us now)
        -> void;
    auto find(const std::string &requestId) const -> stream_origin { return m_log.find(requestId); }

private:
    /// Processes whose software is remembered, and runs of a process whose software is not known
    /// yet.
    static constexpr std::size_t PROCESS_LIMIT = 8;
    static constexpr std::size_t UNRESOLVED_LIMIT = 256;

    origin_log m_log;
    /// By the start of the process.
    std::map<std::int64_t, server_software> m_software;
    std::map<std::int64_t, std::vector<std::string>> m_unresolved;
};

} // namespace marjoram
