// Stand-ins and helpers for the scripts under review/: a small HTTP server, the platform's store,
// model runners, clients, and child processes. Thread per connection; loopback addresses only.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

/// Milliseconds on the steady clock since the program started.
auto nowMs() -> long;
auto unixMs() -> long;
auto sleepMs(long ms) -> void;
/// Sleeps until a time of nowMs().
auto sleepUntil(long ms) -> void;

/// Appends lines with a time stamp to the record of the run. Thread safe.
class recorder
{
public:
    explicit recorder(const std::string &path);
    ~recorder();
    auto line(const std::string &text) -> void;

private:
    std::mutex m_mutex;
    FILE *m_file;
};

/// A request or a response.
struct message
{
    /// Request line or status line, without the line end.
    std::string start;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    auto header(const std::string &name) const -> std::string;
    auto method() const -> std::string;
    auto target() const -> std::string;
    auto path() const -> std::string;
    auto query(const std::string &name) const -> std::string;
};

/// A connected socket with a read buffer.
class connection
{
public:
    explicit connection(int descriptor)
        : m_descriptor(descriptor)
    { }
    ~connection();
    connection(const connection &) = delete;
    auto operator=(const connection &) -> connection & = delete;

    /// Returns false if the peer closed before the message was complete. A response without length
    /// and chunks is read to the end of the connection.
    auto read(message &out, bool response) -> bool;
    auto write(const std::string &bytes) -> bool;
    /// Closes both directions. Thread safe.
    auto shut() -> void;
    /// Whether the peer has closed its side. Does not block.
    auto peerClosed() const -> bool;
    /// Reads one chunk of a chunked body; nullopt if the connection ended within it. An empty chunk
    /// is the last one.
    auto readChunk() -> std::optional<std::string>;
    auto readHead(message &out) -> bool;
    /// Reads a body of known length; false if the connection ended within it.
    auto readBytes(std::size_t count, std::string &out) -> bool;

private:
    auto fill() -> bool;
    auto readLine(std::string &out) -> bool;

    int m_descriptor;
    std::string m_buffer;
};

auto responseText(int status, const std::vector<std::pair<std::string, std::string>> &headers,
                  const std::string &body) -> std::string;

/// Accepts connections on one address and calls the handler for each request. The handler returns
/// whether the connection is kept.
class http_server
{
public:
    using handler = std::function<bool(connection &, const message &)>;
    ~http_server() { stop(); }

    /// Returns false if the address is in use.
    auto start(const std::string &ip, int port, handler handle) -> bool;
    /// Closes the listener and all connections.
    auto stop() -> void;

private:
    auto accept() -> void;

    handler m_handle;
    std::atomic<int> m_listener{-1};
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::set<std::shared_ptr<connection>> m_open;
    std::vector<std::thread> m_threads;
};

/// The platform's metadata store, as far as the system reads it.
class store
{
public:
    explicit store(recorder &record)
        : m_record(record)
    { }
    auto start(const std::string &ip, int port) -> bool;
    auto stop() -> void;
    auto put(const std::string &key, const std::string &value) -> void;
    auto remove(const std::string &key) -> void;

private:
    struct item
    {
        std::string value;
        long revision = 0;
        long created = 0;
    };
    struct change
    {
        std::string key;
        std::string value;
        long revision = 0;
        long created = 0;
        bool removed = false;
    };
    auto serve(connection &to, const message &request) -> bool;
    auto range(const std::string &prefix, const std::string &after) -> std::string;
    auto watch(const std::string &prefix, long after, long waitMs) -> std::string;

    recorder &m_record;
    http_server m_server;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopped = false;
    long m_revision = 100;
    std::map<std::string, item> m_items;
    std::deque<change> m_changes;
};

/// What a runner has run.
struct run_record
{
    long atMs = 0;
    std::string requestId;
    std::string path;
    std::string runner;
    std::string service;
    std::size_t bodyBytes = 0;
};

struct runner_options
{
    std::string id;
    std::string service;
    std::string ip;
    int port = 0;
    int slots = 24;
    /// Whether it is a model runner; the others answer whole.
    bool engine = true;
    /// Time to the first event, and between events; of a plain request, to the answer.
    long firstMs = 50;
    long eventMs = 40;
};

/// A runner: refuses requests for another instance with 421, runs the others. Registers itself in
/// the store, renews its entry, and is removed from it some heartbeats after a crash.
class runner
{
public:
    static constexpr long HEARTBEAT_MS = 1'200;

    runner(runner_options options, store &registry, recorder &record)
        : m_options(std::move(options))
        , m_store(registry)
        , m_record(record)
    { }
    ~runner() { stop(); }
    auto start() -> bool;
    /// Ends at once: listener and connections close, and the entry lapses after three heartbeats.
    auto crash() -> void;
    auto stop() -> void;
    auto runs() -> std::vector<run_record>;
    auto options() const -> const runner_options & { return m_options; }

private:
    auto serve(connection &to, const message &request) -> bool;
    auto report() -> std::string;
    auto stream(connection &to, const message &request) -> bool;
    auto publish() -> void;

    runner_options m_options;
    store &m_store;
    recorder &m_record;
    http_server m_server;
    std::thread m_heartbeat;
    std::thread m_lapse;
    std::atomic<bool> m_running{false};
    long m_born = 0;
    long m_sequence = 0;
    std::mutex m_mutex;
    std::vector<run_record> m_runs;
    /// Events made by each request that is being run.
    std::map<std::string, int> m_active;
    std::atomic<int> m_plainRunning{0};
};

/// What a client got for one request.
struct answer
{
    /// 0 if the connection ended before a status line.
    int status = 0;
    bool complete = false;
    std::string seal;
    std::string body;
    int events = 0;
    long sentAtMs = 0;
    long endedAtMs = 0;
    /// Whether the whole request could be written.
    bool written = false;
};

/// A client with one connection, which is kept between requests.
class client
{
public:
    client(std::string ip, int port)
        : m_ip(std::move(ip))
        , m_port(port)
    { }
    auto connect() -> bool;
    auto connected() const -> bool { return m_connection != nullptr; }
    auto send(const std::string &method, const std::string &path,
              const std::vector<std::pair<std::string, std::string>> &headers,
              const std::string &body) -> answer;
    /// Sends bytes as they are, and reads one answer.
    auto sendBytes(const std::string &bytes) -> answer;
    /// Sends a request without waiting for its answer; false if it could not be written.
    auto begin(const std::string &method, const std::string &path,
               const std::vector<std::pair<std::string, std::string>> &headers,
               const std::string &body) -> bool;
    /// Reads the answer to the oldest request that has none.
    auto finish() -> answer;

private:
    std::string m_ip;
    int m_port;
    std::unique_ptr<connection> m_connection;
};

/// A process of the system.
class child
{
public:
    ~child() { kill(); }
    /// Starts `command`, split at spaces, with the settings file in its environment. Call it on a
    /// thread that lives as long as the process.
    auto start(const std::string &command, const std::string &settings, const std::string &output)
        -> void;
    auto signal(int number) -> void;
    /// Resident memory; 0 if it has ended.
    auto residentBytes() -> std::size_t;
    auto ended() -> bool;
    /// Exit code, or minus the signal's number; valid once ended().
    auto status() const -> int { return m_status; }
    auto kill() -> void;

private:
    pid_t m_pid = -1;
    int m_status = 0;
};

/// A port that is free for TCP and UDP on all of these addresses.
auto freePort(const std::vector<std::string> &ips) -> int;
auto writeFile(const std::string &path, const std::string &text) -> void;
/// Repeats the check until it holds, or the time has passed.
auto await(long ms, const std::function<bool()> &check) -> bool;
/// Status of a GET; 0 if there is no answer.
auto getStatus(const std::string &ip, int port, const std::string &path) -> int;
/// Value of a metric of the front; -1 if there is none.
auto metric(const std::string &ip, int port, const std::string &name) -> double;
/// False if the environment variable TROUBLE is 0: the run without the disruption.
auto withTrouble() -> bool;

} // namespace rig
