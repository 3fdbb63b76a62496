#pragma once

#include "forwarding/forwardingcore.h"

#include <memory>
#include <string>
#include <vector>

namespace marjoram::testing {

/// Records the actions of the core.
struct recording_sink
{
    std::vector<forward_action> toCallers;
    std::vector<server_command> toServers;
    std::vector<request_room> roomRequests;
    std::vector<notify_move> notified;
    std::vector<withdraw_room_request> withdrawn;
    std::vector<share_origin> originsShared;
    std::vector<find_origin> originsRequested;
    std::vector<request_list> listsRequested;
    std::vector<std::pair<log_event, std::string>> logged;

    auto toCaller(forward_action action) -> void { toCallers.push_back(std::move(action)); }
    auto toServer(server_command command) -> void { toServers.push_back(std::move(command)); }
    auto toReporter(reporter_command command) -> void
    {
        if (auto *room = std::get_if<request_room>(&command)) {
            roomRequests.push_back(std::move(*room));
        } else if (auto *notification = std::get_if<notify_move>(&command)) {
            notified.push_back(std::move(*notification));
        } else if (auto *unwanted = std::get_if<withdraw_room_request>(&command)) {
            withdrawn.push_back(std::move(*unwanted));
        } else if (auto *shared = std::get_if<share_origin>(&command)) {
            originsShared.push_back(std::move(*shared));
        } else if (auto *wanted = std::get_if<find_origin>(&command)) {
            originsRequested.push_back(std::move(*wanted));
        } else if (const auto *list = std::get_if<request_list>(&command)) {
            listsRequested.push_back(*list);
        }
    }
    auto log(log_event event, const std::string &id, std::vector<log_field>) -> void
    {
        logged.emplace_back(event, id);
    }
    auto observe(latency_kind, std::int64_t) -> void { }

    template <typename T>
    auto callers() const -> std::vector<T>
    {
        return pick<T>(toCallers);
    }
    template <typename T>
    auto servers() const -> std::vector<T>
    {
        return pick<T>(toServers);
    }
    template <typename T>
    static auto pick(const auto &from) -> std::vector<T>
    {
        std::vector<T> out;
        for (const auto &one : from) {
            if (const auto *found = std::get_if<T>(&one)) {
                out.push_back(*found);
            }
        }
        return out;
    }
};

inline auto tableOf() -> route_table_ptr
{
    route_table_content content{.version = 1};
    const auto add = [&](std::string prefix, work_kind kind, std::uint32_t attempts, bool resumable,
                         std::string pool) {
        content.routes.push_back({.name = prefix,
                                  .host = "h",
                                  .pathPrefix = "/" + prefix + "/",
                                  .kind = kind,
                                  .timeoutMs = 4'000,
                                  .latencyTargetMs = 300,
                                  .attempts = attempts,
                                  .pools = {{.pool = std::move(pool)}},
                                  .resumable = resumable});
    };
    add("book", work_kind::at_most_once, 1, false, "desk");
    add("look", work_kind::repeatable, 2, false, "desk");
    add("draft", work_kind::generation, 1, false, "engines");
    add("label", work_kind::generation, 2, true, "engines");
    content.pools.push_back({.name = "desk"});
    content.pools.push_back({.name = "engines",
                             .engine = engine_traits{.slots = 24,
                                                     .memoryTokens = 34'000,
                                                     .bytesPerToken = 327'680,
                                                     .linkMbps = 47'000.0,
                                                     .moves = true,
                                                     .tokensPerEvent = 4}});
    return std::make_shared<const route_table>(std::move(content));
}

inline auto serverOf(std::string id, std::string pool) -> server_entry
{
    const auto port = static_cast<std::uint16_t>(1'000 + id.back());
    return {.id = std::move(id),
            .pool = std::move(pool),
            .address = {.address = "10.0.0.1", .port = port},
            .dataCentre = "d",
            .slots = 6};
}

/// A core on virtual time with two servers in each pool.
struct forwarding_fixture
{
    virtual_clock_source::state time;
    server_directory directory{{}};
    recording_sink sink;
    forwarding_core<sampled_least_added_time, virtual_clock_source, recording_sink> core;
    std::uint64_t lastCaller = 0;

    explicit forwarding_fixture(waiting_options waiting = {}, std::uint64_t seed = 1)
        : core({.dataCentre = "d", .initialEntryCount = 1, .waiting = waiting},
               virtual_clock_source(&time), seed, directory, sink)
    {
        core.onRouteTable(tableOf());
        core.onServerList({serverOf("i-a", "desk"), serverOf("i-b", "desk"),
                           serverOf("i-c", "engines"), serverOf("i-d", "engines")});
    }
    auto openRequest(const std::string &prefix, const std::vector<std::uint64_t> &parts = {})
        -> std::uint64_t
    {
        auto request = std::make_shared<forward_request>();
        request->callerId = ++lastCaller;
        request->requestId = "r" + std::to_string(lastCaller);
        request->method = "POST";
        request->target = "/" + prefix + "/x";
        request->host = "h";
        request->callerTimeoutMs = 4'000;
        request->generation.promptTokens = 3'000;
        request->generation.maxOutputTokens = 1'000;
        for (const auto part : parts) {
            request->generation.parts.push_back({.id = part, .tokens = 100});
        }
        core.onRequest({request});
        return lastCaller;
    }
    /// Opens a generation whose caller estimates its output at 50 tokens.
    auto openEstimated(const std::string &prefix, std::uint32_t maxOutputTokens,
                       std::optional<std::int64_t> callerTimeoutMs = std::nullopt) -> std::uint64_t
    {
        auto request = std::make_shared<forward_request>();
        request->callerId = ++lastCaller;
        request->requestId = "r" + std::to_string(lastCaller);
        request->method = "POST";
        request->target = "/" + prefix + "/x";
        request->host = "h";
        request->callerTimeoutMs = callerTimeoutMs;
        request->generation
            = {.promptTokens = 3'000, .maxOutputTokens = maxOutputTokens, .outputEstimate = 50};
        core.onRequest({request});
        return lastCaller;
    }
    auto lastSend() -> send_request { return sink.servers<send_request>().back(); }
    auto sends() -> std::size_t { return sink.servers<send_request>().size(); }
    /// The server of the last send answers it.
    auto answer(response_head head) -> void
    {
        core.onEvent(
            response_received{.exchangeId = lastSend().exchangeId, .head = std::move(head)});
    }
    auto failExchange(fetch_phase phase) -> void
    {
        core.onEvent(exchange_failed{.exchangeId = lastSend().exchangeId,
                                     .phase = phase,
                                     .error = make_error_code(failure::backend_server_lost)});
    }
    auto beginStream(response_head head = {}) -> void
    {
        core.onEvent(stream_begun{.exchangeId = lastSend().exchangeId, .head = std::move(head)});
    }
    auto streamEvents(std::uint64_t from, std::uint64_t to) -> void
    {
        stream_advanced advanced{.exchangeId = lastSend().exchangeId};
        for (auto id = from; id <= to; ++id) {
            advanced.events.push_back({.id = id, .bytes = std::to_string(id) + ";"});
        }
        core.onEvent(std::move(advanced));
    }
    auto endStream(response_end end) -> void
    {
        core.onEvent(stream_completed{.exchangeId = lastSend().exchangeId, .end = end});
    }
    /// The server of the last send closes its connection, and nothing else tells the stream's end.
    auto closeStream() -> void { endStream(response_end::connection_close); }
    auto deliveredBytes() const -> std::string
    {
        std::string out;
        for (const auto &events : sink.callers<send_response_events>()) {
            out += events.bytes;
        }
        return out;
    }
    auto advance(std::int64_t ms) -> void
    {
        time.now = time.now + ms * US_PER_MS;
        core.onTimer();
    }
    /// The server of the last send reports that it is leaving and that the last request may be
    /// moved.
    auto reportLeaving() -> void { reportLeaving(lastSend().request->requestId); }
    auto reportLeaving(const std::string &turn, std::int64_t leavesMs = 1'500) -> void
    {
        core.onReport(lastSend().serverId, {.state = server_state::leaving,
                                            .leavesMs = leavesMs,
                                            .runs = {{lastSend().request->requestId, 3'000, 100}},
                                            .turn = turn});
    }
    auto completeCopy(copy_outcome outcome, std::string handle) -> void
    {
        core.onEvent(run_copied{.copyId = sink.servers<copy_run>().back().copyId,
                                .outcome = outcome,
                                .handle = std::move(handle)});
    }
    auto replyToRoomRequest(room_verdict verdict) -> void
    {
        const auto room = sink.roomRequests.back();
        core.onRoomReply({.askId = room.askId,
                          .verdict = verdict,
                          .serverId = room.serverId,
                          .report = server_report{.capacityTokens = 34'000}});
    }
    auto copyCommands() const -> std::size_t { return sink.servers<copy_run>().size(); }
};

} // namespace marjoram::testing
