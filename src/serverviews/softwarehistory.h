#pragma once

#include "framework/global/clock.h"
#include "serverviews/serverentry.h"

#include <map>
#include <optional>
#include <string>
#include <utility>

namespace marjoram {

/// Options of a software_history.
struct software_history_options
{
    /// Longer than a caller may take to resume its stream.
    std::int64_t retentionUs = 300 * US_PER_SECOND;
    std::size_t limit = 4'096;
};

/// A server process: where it listens and when it started. Start times are unset in lists that
/// state none; then a process can't be told from the next one at its address.
struct server_process
{
    endpoint address;
    std::int64_t bornUnixMs = 0;

    friend auto operator==(const server_process &, const server_process &) -> bool = default;
};

/// Nullopt if it is not known which version the server has. Thread safe.
inline auto statedSoftware(const server_entry &entry) -> std::optional<server_software>
{
    return entry.softwareVersion ? std::optional(
               server_software{.pool = entry.pool, .version = *entry.softwareVersion})
                                 : std::nullopt;
}
/// Thread safe.
inline auto processOf(const server_entry &entry) -> server_process
{
    return {.address = entry.address, .bornUnixMs = entry.bornUnixMs};
}

/// What began a stream or a run. Where the software is unset it may be known by the process.
struct run_origin
{
    std::optional<server_software> software;
    server_process process;

    friend auto operator==(const run_origin &, const run_origin &) -> bool = default;
};

/// Remembers the software of server processes, also of those that are no longer listed. Bounded in
/// number and age. Not thread safe: belongs to one duty.
class software_history
{
public:
    explicit software_history(software_history_options options)
        : m_options(options)
    { }

    /// Takes what a list states of a process. Ignores processes without a start time.
    auto record(const server_process &process, const server_software &software, time_us now)
        -> void;
    /// Returns the software of a process; nullopt if no list has stated it, or long ago.
    auto find(const server_process &process) const -> std::optional<server_software>;

private:
    struct software_record
    {
        server_software software;
        time_us at;
    };

    auto dropOld(time_us now) -> void;

    software_history_options m_options;
    std::map<std::pair<std::string, std::int64_t>, software_record> m_records;
};

} // namespace marjoram
