#pragma once

#include "framework/global/pausedetector.h"
#include "framework/settings/documentfault.h"
#include "framework/settings/objectreader.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <optional>
#include <string>

namespace marjoram {

inline constexpr int EXIT_SETTINGS = 2;
inline constexpr int EXIT_ADDRESS = 3;
inline constexpr int EXIT_HURRIED = 4;

/// Starts the log on standard error. Call once, first.
auto startLog(const char *program) -> void;

/// Says on one line what is wrong with a file; returns EXIT_SETTINGS.
auto refuseFile(const std::string &file, const document_fault &fault) -> int;
/// Says on one line that an address cannot be listened on; returns EXIT_ADDRESS.
auto refuseAddress(const std::string &file, const std::string &path, const std::string &address,
                   std::error_code error) -> int;

/// Reads a settings file with `read(text, faults)`; says what is wrong and gives nothing when it
/// is not sound.
template <typename Read>
auto loadSettings(const std::string &file, Read &&read)
{
    document_faults faults;
    const auto text = readFile(file);
    auto settings = text ? read(*text, faults) : decltype(read(*text, faults)){};
    if (!text) {
        faults.push_back({"$", document_error::unreadable_file, file});
    }
    if (!settings) {
        refuseFile(file, faults.front());
    }
    return settings;
}

/// How a process ends once it is told to.
struct stop_options
{
    /// Shortest time from the order to the end, for others to notice that it leaves.
    std::chrono::milliseconds least{0};
    /// Longest time from the sending of the signal to the last call; 0 sets none.
    std::chrono::milliseconds most{0};
    /// Time from the last call to the end, in which the last bytes leave.
    std::chrono::milliseconds linger{200};
    /// Tells when the signal can have been sent; null counts from its handling.
    const pause_detector *pauses = nullptr;
};

/// Runs a started process until it is told to stop. The first SIGTERM or SIGINT calls
/// `drain(sinceSignal)` with the longest time for which the signal may have waited to be handled,
/// and waits until `drained()`; then `lastCall()` ends the taking of requests, and the process
/// lingers so that answers leave. A second signal ends the wait. SIGHUP calls `reload()`. Returns
/// the exit code.
template <typename Drain, typename Drained, typename LastCall, typename Reload>
auto runUntilStopped(stop_options options, Drain &&drain, Drained &&drained, LastCall &&lastCall,
                     Reload &&reload) -> int
{
    constexpr std::chrono::milliseconds DRAIN_CHECK{50};
    boost::asio::io_context context;
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    boost::asio::signal_set reloads(context, SIGHUP);
    boost::asio::steady_timer timer(context);
    const system_clock_source clock;
    time_us handledAt;
    time_us sentAt;
    std::optional<time_us> lastCalledAt;
    int exitCode = 0;
    // Work that was taken just before the last call is waited for as well.
    const auto ended = [&]() -> bool {
        const auto now = clock.now();
        const auto passed = [&](time_us since, std::chrono::microseconds limit) {
            return now - since >= limit.count();
        };
        const auto late = options.most.count() > 0 && passed(sentAt, options.most);
        if (!lastCalledAt && (late || (passed(handledAt, options.least) && drained()))) {
            lastCalledAt = now;
            lastCall();
        }
        return lastCalledAt && passed(*lastCalledAt, options.linger) && (late || drained());
    };
    const auto check = [&](auto &&self) -> void {
        timer.expires_after(DRAIN_CHECK);
        timer.async_wait([&, self](boost::system::error_code error) {
            if (!error && ended()) {
                context.stop();
            } else if (!error) {
                self(self);
            }
        });
    };
    const auto awaitReload = [&](auto &&self) -> void {
        reloads.async_wait([&, self](boost::system::error_code error, int) {
            if (!error) {
                reload();
                self(self);
            }
        });
    };
    awaitReload(awaitReload);
    signals.async_wait([&](boost::system::error_code, int) {
        handledAt = clock.now();
        sentAt = options.pauses ? options.pauses->earliestSignalTime(handledAt) : handledAt;
        drain(std::chrono::milliseconds((handledAt - sentAt) / US_PER_MS));
        ended();
        check(check);
        signals.async_wait([&](boost::system::error_code, int) {
            exitCode = EXIT_HURRIED;
            context.stop();
        });
    });
    context.run();
    return exitCode;
}

} // namespace marjoram
