#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <optional>
#include <string>
#include <thread>

namespace marjoram {

/// One thread with its own event loop. A duty's state is touched by its thread alone.
class duty
{
public:
    /// `name` is shown by the operating system, cut to 15 characters.
    explicit duty(std::string name);
    /// Joins the thread. Precondition: not called on the duty's own thread.
    ~duty();
    duty(const duty &) = delete;
    auto operator=(const duty &) -> duty & = delete;

    /// Event loop of the duty. Posting to it is thread safe.
    auto context() -> boost::asio::io_context & { return m_context; }
    /// Starts the thread. Precondition: not started.
    auto start() -> void;
    /// Tells the loop to stop and does not wait for it. Thread safe.
    auto requestStop() -> void;
    /// Stops the loop and joins. Idempotent; not on the duty's own thread.
    auto stop() -> void;

private:
    std::string m_name;
    boost::asio::io_context m_context{1};
    std::optional<boost::asio::executor_work_guard<boost::asio::io_context::executor_type>> m_guard;
    std::thread m_thread;
};

} // namespace marjoram
