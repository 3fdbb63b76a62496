#pragma once

#include "forwarding/forwardtypes.h"
#include "framework/ring/bytebudget.h"
#include "framework/ring/ring.h"
#include "innerprotocol/reportframes.h"
#include "origins/originlog.h"
#include "serverviews/evacuations.h"
#include "serverviews/serverentry.h"

namespace marjoram {

/// A new route table is in force.
struct table_changed
{
    route_table_ptr table;
};
/// The published list of backend servers has changed.
struct servers_changed
{
    std::vector<server_entry> servers;
    /// Everything that was published before this is in the list.
    time_us readAt;
};
/// The data centres whose servers get no requests have changed; these are all of them.
struct evacuations_changed
{
    data_centre_set dataCentres;
};
/// A backend server's report of its state.
struct server_reported
{
    std::string serverId;
    server_report report;
};
/// A reporter's reply on whether its backend server has room for a request.
struct room_replied
{
    std::uint64_t askId = 0;
    room_verdict verdict = room_verdict::not_answering;
    std::string serverId;
    /// Unset if a later report is known, or if the reply is about another process of the server.
    std::optional<server_report> report;
    /// Time until a request of this size is expected to get room there; -1 if unknown.
    std::int64_t expectedWaitMs = -1;
};
/// A reporter announces a newly started backend server, which the published list may not contain
/// yet. The entry holds id, address and start; only the list tells the rest.
struct server_announced
{
    server_entry entry;
    /// Models that the server reports.
    std::vector<std::string> models;
};
/// A reporter has seen a later process at the address of a backend server.
struct server_replaced
{
    std::string serverId;
};
/// A backend server has no reporter.
struct reporter_absent
{
    std::string serverId;
};
/// What other entries have seen of their runs.
struct observations_received
{
    std::vector<run_observation> observations;
};
/// So many reporters have been asked for the origin of a stream.
struct origin_asked
{
    std::uint64_t lookupId = 0;
    std::size_t reporters = 0;
    /// Reporters that are silent, so that asking them is of no use, and that may know the origin.
    std::size_t unheard = 0;
    /// Reporters of servers that were published later are not known. See servers_changed.
    time_us listReadAt;
};
/// A reporter's reply on the origin of a stream.
struct origin_replied
{
    std::uint64_t lookupId = 0;
    /// Where the reporter listens.
    std::string reporter;
    stream_origin origin;
};
using report_event
    = std::variant<server_reported, room_replied, server_announced, server_replaced,
                   reporter_absent, observations_received, origin_asked, origin_replied>;

/// The list of backend servers is wanted as it is at a moment or later.
struct list_wanted
{
    time_us since;
};
using directory_request = std::variant<server_announced, list_wanted>;

/// Whether the service that publishes the list of backend servers answers.
struct list_availability_changed
{
    bool available = true;
};

using directory_event
    = std::variant<table_changed, servers_changed, list_availability_changed, evacuations_changed>;

/// Rings between the duties of an entry that forwards requests itself.
struct forward_rings
{
    static constexpr std::size_t CAPACITY = 4'096;
    static constexpr std::size_t DIRECTORY_CAPACITY = 1'024;
    static constexpr std::size_t STREAM_LIMIT_BYTES = 4 * 1024 * 1024;

    /// Events of streams on their way from servers to callers.
    byte_budget streamBytes{STREAM_LIMIT_BYTES};
    ring<forward_event> fromCallers{CAPACITY};
    ring<forward_action> toCallers{CAPACITY};
    ring<server_event> fromServers{CAPACITY};
    ring<server_command> toServers{CAPACITY};
    ring<directory_event> fromDirectory{DIRECTORY_CAPACITY};
    ring<servers_changed> directoryToReports{DIRECTORY_CAPACITY};
    ring<directory_request> reportsToDirectory{DIRECTORY_CAPACITY};
    ring<report_event> fromReports{CAPACITY};
    ring<reporter_command> toReports{CAPACITY};
};

} // namespace marjoram
