#pragma once

#include "framework/http/httpserver.h"
#include "framework/settings/objectreader.h"
#include "standins/standinsettings.h"

#include <boost/json.hpp>
#include <list>
#include <map>

namespace marjoram {

/// Configuration service and host list: versioned documents that can be read and watched, with a
/// count of every call. POST /control/manifest or /control/hosts publishes a new text. Faults:
/// POST /control {"outage": bool} refuses every read, {"stale": bool} goes on serving what was
/// published when it was set.
class publisher_standin
{
public:
    using session = http_session<publisher_standin>;
    using session_ptr = std::shared_ptr<session>;

    publisher_standin(boost::asio::io_context &context, standin_settings settings)
        : m_context(context)
        , m_settings(std::move(settings))
        , m_server(context, *this, {})
    {
        load("/v1/manifest", m_settings.manifestFile);
        load("/v1/hosts", m_settings.hostsFile);
    }

    auto listen() -> result<endpoint> { return m_server.listen(m_settings.listen); }

    auto onRequest(const session_ptr &from) -> void
    {
        const auto path = std::string(from->request().path());
        if (path == "/control/counts") {
            from->respond(
                {.body = boost::json::serialize(boost::json::object{{"reads", m_reads}})});
        } else if (path == "/control") {
            onControl(from);
        } else if (path.starts_with("/control/")) {
            publish("/v1/" + path.substr(std::string_view("/control/").size()),
                    from->request().body);
            from->respond({.body = "{}"});
        } else {
            read(from, path);
        }
    }
    auto onDrained(session &) -> void { }
    auto onClosed(session &) -> void { }
    auto refusal(int status) -> http_response { return {.status = status}; }

private:
    struct document_state
    {
        std::string text;
        std::int64_t version = 0;
        std::string staleText;
        std::int64_t staleVersion = 0;
    };
    struct watch_state
    {
        std::string path;
        session_ptr connection;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };

    auto load(const std::string &path, const std::string &file) -> void
    {
        const auto text = file.empty() ? result<std::string>(std::string()) : readFile(file);
        if (text && !text->empty()) {
            publish(path, *text);
        }
    }
    static auto versionOf(const std::string &text) -> std::int64_t
    {
        boost::system::error_code error;
        const auto parsed = boost::json::parse(text, error);
        const auto *object = parsed.if_object();
        const auto *version = object ? object->if_contains("version") : nullptr;
        return version && version->is_int64() ? version->get_int64() : 0;
    }
    auto publish(const std::string &path, const std::string &text) -> void
    {
        auto &document = m_documents[path];
        document.text = text;
        document.version = versionOf(text);
        if (m_stale || m_outage) {
            return;
        }
        for (auto it = m_watches.begin(); it != m_watches.end();) {
            const auto current = it++;
            if (current->path == path) {
                current->connection->respond({.body = text});
                current->timer->cancel();
                m_watches.erase(current);
            }
        }
    }
    auto read(const session_ptr &from, const std::string &path) -> void
    {
        ++m_reads;
        if (m_outage) {
            from->respond({.status = 503});
            return;
        }
        const auto &document = m_documents[path];
        const auto &text = m_stale ? document.staleText : document.text;
        const auto version = m_stale ? document.staleVersion : document.version;
        const auto after = std::atoll(std::string(from->request().query("after")).c_str());
        if (version > after || (version < after && m_stale)) {
            from->respond({.body = text});
            return;
        }
        const auto wait = std::atoll(std::string(from->request().query("wait_ms")).c_str());
        if (wait <= 0) {
            from->respond({.status = 204});
            return;
        }
        watch(from, path, std::chrono::milliseconds(wait));
    }
    auto watch(const session_ptr &from, const std::string &path, std::chrono::milliseconds wait)
        -> void
    {
        auto timer = std::make_shared<boost::asio::steady_timer>(m_context, wait);
        m_watches.push_back({.path = path, .connection = from, .timer = timer});
        const auto place = std::prev(m_watches.end());
        timer->async_wait([this, place, timer](boost::system::error_code error) {
            if (error) {
                return;
            }
            place->connection->respond({.status = 204});
            m_watches.erase(place);
        });
    }
    auto onControl(const session_ptr &from) -> void
    {
        boost::system::error_code error;
        const auto parsed = boost::json::parse(from->request().body, error);
        const auto *control = parsed.if_object();
        if (const auto *outage = control ? control->if_contains("outage") : nullptr) {
            m_outage = outage->as_bool();
        }
        if (const auto *stale = control ? control->if_contains("stale") : nullptr) {
            m_stale = stale->as_bool();
            for (auto &[path, document] : m_documents) {
                document.staleText = document.text;
                document.staleVersion = document.version;
            }
        }
        from->respond({.body = "{}"});
    }

    boost::asio::io_context &m_context;
    standin_settings m_settings;
    http_server<publisher_standin> m_server;
    std::map<std::string, document_state> m_documents;
    std::list<watch_state> m_watches;
    std::uint64_t m_reads = 0;
    bool m_outage = false;
    bool m_stale = false;
};

} // namespace marjoram
