// Stand-ins for the cases of this review: the platform's store, runners and clients, and the start
// of the project's own programs. POSIX and the C++ standard library only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <strings.h>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

using clock_type = std::chrono::steady_clock;

inline auto startOfRun() -> clock_type::time_point
{
    static const auto at = clock_type::now();
    return at;
}
inline auto nowMs() -> long
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock_type::now() - startOfRun())
        .count();
}
inline auto sleepMs(long ms) -> void
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// --- record.txt

inline auto recordFile() -> std::FILE *&
{
    static std::FILE *file = nullptr;
    return file;
}
inline auto writeLine(std::initializer_list<std::FILE *> files, const char *line) -> void
{
    static std::mutex mutex;
    const std::lock_guard lock(mutex);
    for (auto *out : files) {
        if (out) {
            std::fprintf(out, "%8ld ms  %s\n", nowMs(), line);
            std::fflush(out);
        }
    }
}
/// Writes a line to record.txt and to standard output.
[[gnu::format(printf, 1, 2)]] inline auto record(const char *format, ...) -> void
{
    char line[1024];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(line, sizeof line, format, arguments);
    va_end(arguments);
    writeLine({recordFile(), stdout}, line);
}
/// Writes a line to record.txt only: what single requests do.
[[gnu::format(printf, 1, 2)]] inline auto note(const char *format, ...) -> void
{
    char line[1024];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(line, sizeof line, format, arguments);
    va_end(arguments);
    writeLine({recordFile()}, line);
}
[[noreturn]] inline auto cannotRun(const std::string &why) -> void;

// --- sockets

inline auto addressOf(const std::string &ip, int port) -> sockaddr_in
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
    return out;
}
/// A port that is free on all loopback addresses at present.
inline auto freePort() -> int
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    auto where = addressOf("0.0.0.0", 0);
    ::bind(fd, reinterpret_cast<sockaddr *>(&where), sizeof where);
    socklen_t size = sizeof where;
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&where), &size);
    ::close(fd);
    return ntohs(where.sin_port);
}
inline auto connectTo(const std::string &ip, int port, int timeoutMs = 3000) -> int
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto where = addressOf(ip, port);
    timeval limit{timeoutMs / 1000, (timeoutMs % 1000) * 1000};
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&where), sizeof where) != 0) {
        ::close(fd);
        return -1;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}
inline auto sendAll(int fd, const std::string &bytes) -> bool
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

struct message
{
    /// Request line or status line.
    std::string first;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    auto field(const std::string &name) const -> std::string
    {
        for (const auto &[key, value] : fields) {
            if (::strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }
    auto method() const -> std::string { return first.substr(0, first.find(' ')); }
    auto target() const -> std::string
    {
        const auto begin = first.find(' ') + 1;
        return first.substr(begin, first.find(' ', begin) - begin);
    }
    auto status() const -> int
    {
        return first.rfind("HTTP/1.1 ", 0) == 0 ? std::atoi(first.c_str() + 9) : 0;
    }
};

/// How reading a message ended.
enum class read_end { whole, closed, reset, timed_out, not_http };
inline auto nameOf(read_end end) -> const char *
{
    switch (end) {
    case read_end::whole: return "whole";
    case read_end::closed: return "closed";
    case read_end::reset: return "reset";
    case read_end::timed_out: return "timed out";
    case read_end::not_http: return "not HTTP";
    }
    return "";
}

/// A connection that is read message by message.
class connection
{
public:
    explicit connection(int fd)
        : m_fd(fd)
    { }
    connection(const connection &) = delete;
    ~connection() { close(); }
    auto fd() const -> int { return m_fd; }
    auto open() const -> bool { return m_fd >= 0; }
    auto close() -> void
    {
        if (m_fd >= 0) {
            ::close(m_fd);
        }
        m_fd = -1;
    }
    auto send(const std::string &bytes) -> bool { return m_fd >= 0 && sendAll(m_fd, bytes); }
    auto unread() const -> const std::string & { return m_bytes; }
    /// Reads what arrives within a time; false at the end of the connection.
    auto more(long untilMs) -> read_end
    {
        const auto left = untilMs - nowMs();
        pollfd waits{m_fd, POLLIN, 0};
        if (left <= 0 || ::poll(&waits, 1, static_cast<int>(left)) <= 0) {
            return read_end::timed_out;
        }
        char buffer[16384];
        const auto count = ::recv(m_fd, buffer, sizeof buffer, 0);
        if (count == 0) {
            return read_end::closed;
        }
        if (count < 0) {
            return read_end::reset;
        }
        m_bytes.append(buffer, static_cast<std::size_t>(count));
        return read_end::whole;
    }
    /// Reads one message. `bodyless`: an answer to HEAD, which has no body. `onPart`: called with
    /// what has arrived of a body.
    auto read(message &out, long timeoutMs, bool isAnswer, bool bodyless = false) -> read_end
    {
        const auto until = nowMs() + timeoutMs;
        std::size_t end = 0;
        while ((end = m_bytes.find("\r\n\r\n")) == std::string::npos) {
            if (isAnswer && m_bytes.size() >= 5 && m_bytes.rfind("HTTP/", 0) != 0) {
                return read_end::not_http;
            }
            if (const auto got = more(until); got != read_end::whole) {
                return got;
            }
        }
        out = {};
        std::istringstream head(m_bytes.substr(0, end));
        m_bytes.erase(0, end + 4);
        std::string line;
        std::getline(head, out.first);
        while (!out.first.empty() && out.first.back() == '\r') {
            out.first.pop_back();
        }
        if (isAnswer && out.first.rfind("HTTP/1.1 ", 0) != 0) {
            return read_end::not_http;
        }
        while (std::getline(head, line)) {
            while (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            const auto colon = line.find(':');
            auto value = colon == std::string::npos ? std::string() : line.substr(colon + 1);
            value.erase(0, std::min(value.size(), value.find_first_not_of(' ')));
            out.fields.emplace_back(line.substr(0, colon), value);
        }
        const auto status = isAnswer ? out.status() : 0;
        if (bodyless || status == 204 || status == 304) {
            return read_end::whole;
        }
        if (out.field("Transfer-Encoding") == "chunked") {
            return readChunks(out, until);
        }
        const auto length = out.field("Content-Length");
        if (length.empty() && isAnswer) {
            return readToEnd(out, until);
        }
        const auto size = static_cast<std::size_t>(std::atol(length.c_str()));
        while (m_bytes.size() < size) {
            if (const auto got = more(until); got != read_end::whole) {
                out.body = m_bytes;
                return got;
            }
        }
        out.body = m_bytes.substr(0, size);
        m_bytes.erase(0, size);
        return read_end::whole;
    }

private:
    auto readToEnd(message &out, long until) -> read_end
    {
        for (;;) {
            const auto got = more(until);
            if (got != read_end::whole) {
                out.body = std::exchange(m_bytes, {});
                return got == read_end::closed ? read_end::whole : got;
            }
        }
    }
    auto readChunks(message &out, long until) -> read_end
    {
        for (;;) {
            std::size_t lineEnd = 0;
            while ((lineEnd = m_bytes.find("\r\n")) == std::string::npos) {
                if (const auto got = more(until); got != read_end::whole) {
                    return got;
                }
            }
            const auto size = std::strtoul(m_bytes.c_str(), nullptr, 16);
            while (m_bytes.size() < lineEnd + 2 + size + 2) {
                if (const auto got = more(until); got != read_end::whole) {
                    return got;
                }
            }
            out.body += m_bytes.substr(lineEnd + 2, size);
            m_bytes.erase(0, lineEnd + 2 + size + 2);
            if (size == 0) {
                return read_end::whole;
            }
        }
    }

    int m_fd;
    std::string m_bytes;
};

inline auto answer(int status, const std::string &fields, const std::string &body) -> std::string
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: "
           + std::to_string(body.size()) + "\r\n" + fields + "\r\n" + body;
}

/// Listens and serves each connection on a thread of its own.
class listener
{
public:
    using serve_function = std::function<void(connection &)>;

    listener(const std::string &ip, int port, serve_function serve)
    {
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        static const int on = 1;
        ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto where = addressOf(ip, port);
        if (::bind(m_fd, reinterpret_cast<sockaddr *>(&where), sizeof where) != 0
            || ::listen(m_fd, 1024) != 0) {
            cannotRun("cannot listen on " + ip + ":" + std::to_string(port));
        }
        std::thread([fd = m_fd, serve] {
            for (;;) {
                const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0) {
                    return;
                }
                ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                std::thread([accepted, serve] {
                    connection one(accepted);
                    serve(one);
                }).detach();
            }
        }).detach();
    }
    /// No process listens here any more: new connections are refused.
    auto stop() -> void { ::shutdown(m_fd, SHUT_RDWR); ::close(m_fd); }

private:
    int m_fd;
};

// --- the platform's store

inline auto base64(const std::string &text) -> std::string
{
    static const char *const digits
        = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        unsigned group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8 | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            out += i + j > text.size() ? '=' : digits[group >> (18 - 6 * j) & 63];
        }
    }
    return out;
}

/// Keeps all changes, so that no history is lost.
class store
{
public:
    store(const std::string &ip, int port)
        : m_listener(ip, port, [this](connection &from) { serve(from); })
    { }
    auto put(const std::string &key, const std::string &value) -> void
    {
        const std::lock_guard lock(m_mutex);
        m_items[key] = {value, ++m_revision};
        m_changes.push_back({key, m_revision, false});
        m_changed.notify_all();
    }
    auto remove(const std::string &key) -> void
    {
        const std::lock_guard lock(m_mutex);
        m_items.erase(key);
        m_changes.push_back({key, ++m_revision, true});
        m_changed.notify_all();
    }

private:
    struct item
    {
        std::string value;
        long revision = 0;
    };
    struct change
    {
        std::string key;
        long revision = 0;
        bool removed = false;
    };
    static auto query(const std::string &target, const std::string &name) -> std::string
    {
        auto at = target.find("?" + name + "=");
        at = at == std::string::npos ? target.find("&" + name + "=") : at;
        if (at == std::string::npos) {
            return {};
        }
        at += name.size() + 2;
        return target.substr(at, target.find('&', at) - at);
    }
    auto json(const std::string &key, const item &one) const -> std::string
    {
        const auto revision = std::to_string(one.revision);
        return "{\"key\":\"" + key + "\",\"value\":\"" + base64(one.value) + "\",\"revision\":"
               + revision + ",\"create-rev\":" + revision + ",\"lease\":0}";
    }
    auto serve(connection &from) -> void
    {
        message request;
        while (from.read(request, 60'000, false) == read_end::whole) {
            const auto target = request.target();
            const auto prefix = query(target, "path-prefix");
            std::unique_lock lock(m_mutex);
            std::string out;
            if (target.rfind("/kv-range", 0) == 0) {
                const auto after = query(target, "after");
                for (const auto &[key, one] : m_items) {
                    if (key.rfind(prefix, 0) == 0 && key > after) {
                        out += (out.empty() ? "" : ",") + json(key, one);
                    }
                }
                out = "{\"items\":[" + out + "],\"has-more\":false,";
            } else {
                const auto after = std::atol(query(target, "after").c_str());
                const auto until = clock_type::now()
                                   + std::chrono::milliseconds(
                                       std::atol(query(target, "wait-ms").c_str()));
                const auto events = [&] {
                    std::string list;
                    for (const auto &one : m_changes) {
                        if (one.revision <= after || one.key.rfind(prefix, 0) != 0) {
                            continue;
                        }
                        const auto found = m_items.find(one.key);
                        std::string text;
                        if (one.removed) {
                            text = "{\"key\":\"" + one.key + "\",\"revision\":"
                                   + std::to_string(one.revision) + ",\"tombstone\":true}";
                        } else if (found != m_items.end()
                                   && found->second.revision == one.revision) {
                            text = json(one.key, found->second);
                        } else {
                            continue;
                        }
                        list += (list.empty() ? "" : ",") + text;
                    }
                    return list;
                };
                while ((out = events()).empty()
                       && m_changed.wait_until(lock, until) != std::cv_status::timeout) {
                }
                out = "{\"events\":[" + out + "],";
            }
            out += "\"store-revision\":" + std::to_string(m_revision) + "}";
            lock.unlock();
            if (!from.send(answer(200, "Content-Type: application/json\r\n", out))) {
                return;
            }
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::vector<change> m_changes;
    long m_revision = 100;
    listener m_listener;
};

// --- the project's programs

/// Processes that were started and not ended yet. None is started once the run ends.
struct process_list
{
    std::mutex mutex;
    std::vector<pid_t> running;
    bool ending = false;
};
inline auto processes() -> process_list &
{
    static process_list out;
    return out;
}
/// Registers what fork() returned to the parent.
inline auto keepProcess(pid_t pid) -> void
{
    processes().running.push_back(pid);
}
inline auto killProcess(pid_t pid) -> void
{
    const std::lock_guard lock(processes().mutex);
    std::erase(processes().running, pid);
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
}
/// Whether a process has ended by itself.
inline auto hasEnded(pid_t pid) -> bool
{
    const std::lock_guard lock(processes().mutex);
    int status = 0;
    if (::waitpid(pid, &status, WNOHANG) != pid) {
        return false;
    }
    std::erase(processes().running, pid);
    return true;
}
inline auto workFolder() -> const std::string &
{
    static const auto folder = [] {
        const char *base = std::getenv("TMPDIR");
        auto name = std::string(base ? base : "/tmp") + "/review-2-XXXXXX";
        return std::string(::mkdtemp(name.data()));
    }();
    return folder;
}
inline auto endAll() -> void
{
    {
        const std::lock_guard lock(processes().mutex);
        processes().ending = true;
        for (const auto pid : processes().running) {
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
        }
        processes().running.clear();
    }
    if (std::getenv("KEEP") == nullptr) {
        const auto command = "rm -rf '" + workFolder() + "'";
        if (std::system(command.c_str()) != 0) {
            std::fprintf(stderr, "cannot remove %s\n", workFolder().c_str());
        }
    }
}
[[noreturn]] inline auto finish(int code) -> void
{
    endAll();
    std::fflush(nullptr);
    ::_exit(code);
}
inline auto cannotRun(const std::string &why) -> void
{
    record("cannot run: %s", why.c_str());
    finish(2);
}
/// Broken or not, with the line that ends record.txt.
[[noreturn]] inline auto conclude(bool broken, const std::string &what) -> void
{
    record("%s: %s", broken ? "BROKEN" : "held", what.c_str());
    finish(broken ? 1 : 0);
}
inline auto troubled() -> bool
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}
/// Starts the program of a role, as the deploy file names it, with its settings file.
inline auto startProgram(const std::string &name, const std::string &program,
                         const std::string &settings, const std::vector<std::string> &environment)
    -> pid_t
{
    const auto file = workFolder() + "/" + name + ".json";
    std::ofstream(file) << settings;
    const auto log = workFolder() + "/" + name + ".log";
    const std::lock_guard lock(processes().mutex);
    if (processes().ending) {
        return -1;
    }
    const auto pid = ::fork();
    if (pid == 0) {
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::setenv("MARJORAMLB_NODE_FILE", file.c_str(), 1);
        for (const auto &one : environment) {
            ::putenv(const_cast<char *>(one.c_str()));
        }
        ::execl(program.c_str(), program.c_str(), static_cast<char *>(nullptr));
        ::_exit(127);
    }
    keepProcess(pid);
    return pid;
}

struct front_settings
{
    std::string name = "front-fukuoka-1";
    std::string ip = "127.0.0.2";
    int callers = 0;
    int ready = 0;
    int reports = 0;
    int store = 0;
};
/// deploy/entry.json, filled in like the settings of a front machine of a small deployment.
inline auto startFront(const front_settings &given) -> pid_t
{
    std::ostringstream out;
    out << "{\"host\":\"" << given.name << "\",\"data_centre\":\"fukuoka\",\"callers_listen\":\""
        << given.ip << ":" << given.callers << "\",\"admin_listen\":\"" << given.ip << ":"
        << given.ready << "\",\"reports_listen\":\"" << given.ip << ":" << given.reports
        << "\",\"reporter_port\":" << given.reports << ",\"directory_service\":\"127.0.0.1:"
        << given.store
        << "\",\"retry_ratio\":0.2,\"retry_window_s\":10,\"retry_slack\":52,\"entries_assumed\":32,"
           "\"stop_grace_s\":8,\"balancer_delay_ms\":2500,\"leaving_bound_ms\":2000,"
           "\"configuration_bound_ms\":2000,\"contact_bound_ms\":3000}";
    return startProgram(given.name, "target/platform/marjoram-front", out.str(),
                        {"MARJORAM_MEMORY_LIMIT_MB=110", "MARJORAM_EVACUATION_BOUND_MS=",
                         "MALLOC_ARENA_MAX=1"});
}
/// Waits until the front answers its readiness check with 200.
inline auto awaitReady(const front_settings &front, long timeoutMs = 20'000) -> void
{
    const auto until = nowMs() + timeoutMs;
    while (nowMs() < until) {
        connection to(connectTo(front.ip, front.ready, 300));
        message reply;
        if (to.open() && to.send("GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            && to.read(reply, 500, true) == read_end::whole && reply.status() == 200) {
            return;
        }
        sleepMs(50);
    }
    cannotRun("the front does not become ready");
}
/// Memory that a process holds at present.
inline auto residentBytes(pid_t pid) -> long
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/statm");
    long size = 0;
    long resident = 0;
    status >> size >> resident;
    return resident * ::sysconf(_SC_PAGESIZE);
}
/// A front on a machine with a memory limit. The platform kills a process that exceeds it, and
/// starts one that was killed or has ended again after a short delay.
class limited_front
{
public:
    limited_front(front_settings settings, long memoryBytes)
        : m_settings(std::move(settings))
        , m_memoryBytes(memoryBytes)
    {
        m_pid = startFront(m_settings);
        awaitReady(m_settings);
        std::thread([this] { watch(); }).detach();
    }
    auto settings() const -> const front_settings & { return m_settings; }
    /// How often the process was killed for its memory or has ended by itself.
    auto ends() const -> int { return m_ends; }
    auto peakBytes() const -> long { return m_peakBytes; }

private:
    static constexpr long CHECK_MS = 5;
    static constexpr long RESTART_MS = 500;

    auto watch() -> void
    {
        for (;;) {
            sleepMs(CHECK_MS);
            const auto resident = residentBytes(m_pid);
            m_peakBytes = std::max(m_peakBytes.load(), resident);
            const auto over = resident > m_memoryBytes;
            if (!over && !hasEnded(m_pid)) {
                continue;
            }
            ++m_ends;
            record("%s %s at %ld MB of memory; it is started again", m_settings.name.c_str(),
                   over ? "is killed" : "has ended", resident / 1'000'000);
            if (over) {
                killProcess(m_pid);
            }
            sleepMs(RESTART_MS);
            m_pid = startFront(m_settings);
            if (m_pid < 0) {
                return;
            }
        }
    }

    front_settings m_settings;
    long m_memoryBytes;
    pid_t m_pid = -1;
    std::atomic<int> m_ends{0};
    std::atomic<long> m_peakBytes{0};
};
/// deploy/reporter.json for the side machine of a runner.
inline auto startReporter(const std::string &name, const std::string &ip, int runnerPort,
                          int reports, const std::string &seed) -> pid_t
{
    std::ostringstream out;
    out << "{\"host\":\"" << name << "\",\"server\":\"" << ip << ":" << runnerPort
        << "\",\"listen\":\"" << ip << ":" << reports << "\",\"entries\":[\"" << seed << "\"]}";
    return startProgram(name, "target/platform/marjoram-reporter", out.str(), {});
}
// --- what the operator and the runners write

struct route
{
    std::string name;
    std::string prefix;
    std::string type;
    std::string service;
    int timeoutMs = 2000;
    int aimMs = 300;
    int attempts = 1;
    bool resumable = false;
    bool isPublic = false;
};
struct tenant
{
    std::string name;
    std::vector<std::string> keys;
};
inline auto configuration(int version, const std::vector<route> &routes,
                          const std::vector<std::string> &services,
                          const std::vector<tenant> &tenants) -> std::string
{
    std::ostringstream out;
    const auto flag = [](bool value) { return value ? "true" : "false"; };
    out << "{\"version\":" << version << ",\"routes\":[";
    for (const auto &one : routes) {
        out << (&one == &routes.front() ? "" : ",") << "{\"name\":\"" << one.name
            << "\",\"hostname\":\"ficu95.example\",\"path-prefix\":\"" << one.prefix
            << "\",\"route-type\":\"" << one.type << "\",\"timeout-ms\":" << one.timeoutMs
            << ",\"target-latency-ms\":" << one.aimMs << ",\"priority\":2,\"backend\":\""
            << one.service << "\",\"max-attempts\":" << one.attempts
            << ",\"public\":" << flag(one.isPublic) << ",\"sticky\":false,\"resumable\":"
            << flag(one.resumable) << ",\"gap-aim-ms\":180}";
    }
    out << "],\"services\":[";
    for (const auto &one : services) {
        out << (&one == &services.front() ? "" : ",") << one;
    }
    out << "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
           "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"tenants\":[";
    for (const auto &one : tenants) {
        out << (&one == &tenants.front() ? "" : ",") << "{\"name\":\"" << one.name
            << "\",\"api-keys\":[";
        for (const auto &key : one.keys) {
            out << (&key == &one.keys.front() ? "" : ",") << "\"" << key << "\"";
        }
        out << "],\"priority\":1}";
    }
    out << "]}";
    return out.str();
}
inline auto plainService(const std::string &name) -> std::string
{
    return "{\"name\":\"" + name
           + "\",\"health-path\":\"/healthz\",\"max-conns\":96,\"protocol\":\"h1\",\"tls\":false}";
}
/// A service of model runners, with the figures of the site's sheet.
inline auto engineService(const std::string &name) -> std::string
{
    return "{\"name\":\"" + name
           + "\",\"health-path\":\"/healthz\",\"max-conns\":232,\"protocol\":\"h1\",\"tls\":false,"
             "\"engine\":{\"slots\":24,\"kv-tokens\":34306,\"kv-bytes\":327680,\"link-mbps\":47000.0,"
             "\"moves\":true,\"backups\":true,\"stride\":4,\"most\":12,\"pin-ms\":4000.0,"
             "\"hold-ms\":2000.0,\"handle-s\":5.0,\"models\":[{\"name\":\"m\"}]}}";
}
inline auto runnerEntry(const std::string &service, const std::string &address, int slots,
                        long born, const std::string &state = "ready") -> std::string
{
    return "{\"backend\":\"" + service + "\",\"address\":\"" + address
           + "\",\"zone\":\"fukuoka\",\"version\":\"v1\",\"slots\":" + std::to_string(slots)
           + ",\"state\":\"" + state + "\",\"cold-left-ms\":0,\"seq\":1,\"born\":"
           + std::to_string(born) + "}";
}
inline auto unixMs() -> long
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// Opens record.txt in the folder of the case and sets the limit of the whole run.
inline auto begin(const char *folder) -> void
{
    startOfRun();
    ::signal(SIGPIPE, SIG_IGN);
    recordFile() = std::fopen((std::string(folder) + "/record.txt").c_str(), "w");
    std::thread([] {
        sleepMs(115'000);
        cannotRun("the run takes too long");
    }).detach();
    record("trouble: %s", troubled() ? "on" : "off");
}

// --- ordinary callers

/// Ids of the requests that runners have run.
class ran_requests
{
public:
    auto add(const std::string &runner, const std::string &id) -> void
    {
        note("runner %s runs %s", runner.c_str(), id.c_str());
        const std::lock_guard lock(m_mutex);
        m_ids.insert(id);
    }
    auto contains(const std::string &id) -> bool
    {
        const std::lock_guard lock(m_mutex);
        return m_ids.count(id) > 0;
    }

private:
    std::mutex m_mutex;
    std::set<std::string> m_ids;
};

/// Callers that make one small booking after the other on connections that they keep. Counts those
/// that a runner ran and that end with a closed connection instead of an answer.
class ordinary_callers
{
public:
    ordinary_callers(ran_requests &ran)
        : m_ran(ran)
    { }
    auto start(const front_settings &front, int callers) -> void
    {
        for (int i = 0; i < callers; ++i) {
            const auto name = front.name + "-caller-" + std::to_string(i);
            m_threads.emplace_back([this, front, name] { run(front, name); });
        }
    }
    auto stop() -> void
    {
        m_stopping = true;
        for (auto &thread : m_threads) {
            thread.join();
        }
        m_threads.clear();
    }
    auto answered() const -> int { return m_answered; }
    auto refused() const -> int { return m_refused; }
    auto lost() const -> int { return m_lost; }

private:
    auto run(const front_settings &front, const std::string &name) -> void
    {
        int number = 0;
        while (!m_stopping) {
            connection to(connectTo(front.ip, front.callers, 1000));
            for (int kept = 0; to.open() && !m_stopping; ++kept) {
                const auto id = name + "-" + std::to_string(++number);
                to.send("POST /book/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: " + id
                        + "\r\nX-Deadline-Ms: 4000\r\nX-Api-Key: key-one\r\nContent-Length: 5"
                          "\r\n\r\nhello");
                note("client sends booking %s", id.c_str());
                message reply;
                const auto end = to.read(reply, 5000, true);
                if (end == read_end::whole) {
                    note("client gets %d for booking %s", reply.status(), id.c_str());
                    ++(reply.status() == 200 ? m_answered : m_refused);
                    continue;
                }
                const auto isLost = kept > 0 && m_ran.contains(id);
                m_lost += isLost;
                if (isLost) {
                    record("booking %s was run by a runner and its kept connection ends: %s",
                           id.c_str(), nameOf(end));
                }
                to.close();
            }
            sleepMs(50);
        }
    }

    ran_requests &m_ran;
    std::vector<std::thread> m_threads;
    std::atomic<bool> m_stopping{false};
    std::atomic<int> m_answered{0};
    std::atomic<int> m_refused{0};
    std::atomic<int> m_lost{0};
};

} // namespace rig
