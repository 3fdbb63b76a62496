#pragma once

#include "framework/global/identifiers.h"
#include "framework/http/httpserver.h"
#include "standins/standinsettings.h"

#include <boost/json.hpp>
#include <deque>
#include <set>
#include <unordered_map>

namespace marjoram {

/// Engine: streams completions whose tokens show from which sample they come, so that a checker
/// can tell a splice of two samples from one answer. A prompt may fix its length by "[len=N]".
///
/// Faults: POST /control {"stalled": bool} stops decoding; {"break_streams": true} drops every
/// stream; {"slow_factor": N} slows decoding; {"fail_loads": bool} fails orders to load.
class engine_standin
{
public:
    using session = http_session<engine_standin>;
    using session_ptr = std::shared_ptr<session>;

    engine_standin(boost::asio::io_context &context, standin_settings settings);

    auto listen() -> result<endpoint> { return m_server.listen(m_settings.listen); }

    // --- application of the HTTP server

    auto onRequest(const session_ptr &from) -> void;
    auto onDrained(session &) -> void { }
    auto onClosed(session &from) -> void;
    auto refusal(int status) -> http_response { return {.status = status}; }

private:
    struct sequence_state
    {
        session_ptr connection;
        std::string salt;
        std::uint32_t produced = 0;
        bool chat = false;
        bool lengthLimited = false;
    };

    auto startSequence(const session_ptr &from, bool chat) -> void;
    auto onOrder(const session_ptr &from) -> void;
    auto onControl(const session_ptr &from) -> void;
    auto load() const -> std::string;
    auto cacheEvents(const http_request &request) -> std::string;
    auto counts() const -> std::string;
    auto stepLater() -> void;
    auto finishStep(const engine_step &done) -> void;
    auto emit(std::uint64_t id) -> void;
    auto finish(std::uint64_t id) -> void;

    boost::asio::io_context &m_context;
    standin_settings m_settings;
    http_server<engine_standin> m_server;
    engine_model m_model;
    boost::asio::steady_timer m_timer;
    random_source m_random{systemSeed()};
    std::unordered_map<std::uint64_t, sequence_state> m_sequences;
    std::set<std::string> m_models;
    struct cache_event
    {
        bool cached = false;
        std::uint64_t prefix = 0;
    };
    std::deque<cache_event> m_cacheEvents;
    std::uint64_t m_cacheEventsDropped = 0;
    std::uint64_t m_newestFence = 0;
    std::uint64_t m_started = 0;
    std::uint64_t m_finished = 0;
    std::uint64_t m_ordersDone = 0;
    std::uint64_t m_ordersFenced = 0;
    std::uint64_t m_slowFactor = 1;
    bool m_stepping = false;
    bool m_stalled = false;
    bool m_failLoads = false;
};

} // namespace marjoram
