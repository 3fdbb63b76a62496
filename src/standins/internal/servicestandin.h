#pragma once

#include "framework/http/httpserver.h"
#include "standins/standinsettings.h"

#include <boost/json.hpp>
#include <map>

namespace marjoram {

/// Plain service: counts how often each key really ran. Faults: POST /control {"stalled": bool}
/// keeps answers back, {"answer_delay_ms": N}.
class service_standin
{
public:
    using session = http_session<service_standin>;
    using session_ptr = std::shared_ptr<session>;

    service_standin(boost::asio::io_context &context, standin_settings settings)
        : m_context(context)
        , m_settings(std::move(settings))
        , m_server(context, *this, {})
    { }

    auto listen() -> result<endpoint> { return m_server.listen(m_settings.listen); }

    auto onRequest(const session_ptr &from) -> void
    {
        const auto path = from->request().path();
        if (path == "/control/counts") {
            from->respond({.body = counts()});
        } else if (path == "/control") {
            onControl(from);
        } else {
            run(from);
        }
    }
    auto onDrained(session &) -> void { }
    auto onClosed(session &) -> void { }
    auto refusal(int status) -> http_response { return {.status = status}; }

private:
    auto run(const session_ptr &from) -> void
    {
        ++m_calls;
        const std::string key(from->request().header("Idempotency-Key"));
        if (!key.empty()) {
            ++m_byKey[key];
        }
        if (m_stalled) {
            return;
        }
        const auto number = m_calls;
        auto timer = std::make_shared<boost::asio::steady_timer>(m_context);
        timer->expires_after(std::chrono::milliseconds(m_settings.answerDelayMs));
        timer->async_wait([from, timer, number,
                           path = std::string(from->request().path())](boost::system::error_code) {
            from->respond({.body = boost::json::serialize(
                               boost::json::object{{"confirmed", number}, {"path", path}})});
        });
    }
    auto counts() const -> std::string
    {
        boost::json::object keys;
        for (const auto &[key, count] : m_byKey) {
            keys[key] = count;
        }
        return boost::json::serialize(
            boost::json::object{{"calls", m_calls}, {"by_key", std::move(keys)}});
    }
    auto onControl(const session_ptr &from) -> void
    {
        boost::system::error_code error;
        const auto parsed = boost::json::parse(from->request().body, error);
        if (const auto *control = parsed.if_object()) {
            if (const auto *stalled = control->if_contains("stalled")) {
                m_stalled = stalled->as_bool();
            }
            if (const auto *delay = control->if_contains("answer_delay_ms")) {
                m_settings.answerDelayMs = delay->to_number<std::uint32_t>();
            }
        }
        from->respond({.body = "{}"});
    }

    boost::asio::io_context &m_context;
    standin_settings m_settings;
    http_server<service_standin> m_server;
    std::map<std::string, std::uint64_t> m_byKey;
    std::uint64_t m_calls = 0;
    bool m_stalled = false;
};

} // namespace marjoram
