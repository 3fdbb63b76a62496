#pragma once

#include "framework/ring/ring.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <deque>
#include <exception>
#include <glog/logging.h>

namespace marjoram {

/// Receives the items of a ring on the consuming duty's thread.
template <typename C, typename T>
concept ring_consumer = requires(C &consumer, T &&item)
{
    consumer.handle(std::move(item));
};

/// Drains a ring on a duty's io_context; sleeps on the ring's event while it is empty.
/// Not thread safe: start and stop on the duty's thread or before it runs.
template <typename T, typename Consumer>
class ring_reader
{
public:
    /// Precondition: all references outlive the reader.
    ring_reader(boost::asio::io_context &context, ring<T> &source, Consumer &consumer)
        : m_context(context)
        , m_source(source)
        , m_consumer(consumer)
        , m_event(context, source.items().descriptor())
    { }
    ~ring_reader() { m_event.release(); }

    auto start() -> void
    {
        static_assert(ring_consumer<Consumer, T>);
        boost::asio::post(m_context, [this] { drain(); });
    }
    auto stop() -> void { m_event.cancel(); }

private:
    static constexpr int ITEMS_PER_TURN = 256;
    static constexpr int ERRORS_PER_LOG_LINE = 64;

    auto drain() -> void
    {
        T item;
        for (int taken = 0; taken < ITEMS_PER_TURN; ++taken) {
            if (!m_source.tryPop(item)) {
                sleep();
                return;
            }
            take(std::move(item));
        }
        start();
    }
    /// An item whose handling fails is dropped: the others do not depend on it, and neither does
    /// the process.
    auto take(T &&item) -> void
    {
        try {
            m_consumer.handle(std::move(item));
        } catch (const std::exception &error) {
            LOG_EVERY_N(ERROR, ERRORS_PER_LOG_LINE)
                << "item of a ring dropped after an unexpected error: " << error.what();
        }
    }
    auto sleep() -> void
    {
        if (!m_source.awaitItems()) {
            start();
            return;
        }
        m_event.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                           [this](const boost::system::error_code &error) {
                               if (error) {
                                   return;
                               }
                               m_source.items().clear();
                               drain();
                           });
    }

    boost::asio::io_context &m_context;
    ring<T> &m_source;
    Consumer &m_consumer;
    boost::asio::posix::stream_descriptor m_event;
};

/// Producing end of a ring with a bounded backlog for the time the ring is full.
/// Not thread safe: belongs to the producing duty.
template <typename T>
class ring_writer
{
public:
    /// Precondition: references outlive the writer.
    ring_writer(boost::asio::io_context &context, ring<T> &target, std::size_t backlogLimit)
        : m_target(target)
        , m_event(context, target.space().descriptor())
        , m_backlogLimit(backlogLimit)
    { }
    ~ring_writer() { m_event.release(); }

    /// Passes an item on, in order; ring_error::full when ring and backlog are full.
    auto push(T item) -> std::error_code
    {
        if (m_backlog.empty() && !m_target.tryPush(std::move(item))) {
            return {};
        }
        if (m_backlog.size() >= m_backlogLimit) {
            return errorCode(ring_error::full);
        }
        // A refused tryPush() leaves the item untouched.
        m_backlog.push_back(std::move(item)); // NOLINT(bugprone-use-after-move)
        flushLater();
        return {};
    }
    /// Whether items wait for room; a producer that can pause its source should.
    auto congested() const -> bool { return !m_backlog.empty(); }

private:
    auto flush() -> void
    {
        while (!m_backlog.empty() && !m_target.tryPush(std::move(m_backlog.front()))) {
            m_backlog.pop_front();
        }
        if (!m_backlog.empty()) {
            flushLater();
        }
    }
    auto flushLater() -> void
    {
        if (m_waiting) {
            return;
        }
        if (!m_target.awaitSpace()) {
            m_target.space().signal();
        }
        m_waiting = true;
        m_event.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                           [this](const boost::system::error_code &error) {
                               m_waiting = false;
                               if (error) {
                                   return;
                               }
                               m_target.space().clear();
                               flush();
                           });
    }

    ring<T> &m_target;
    boost::asio::posix::stream_descriptor m_event;
    std::deque<T> m_backlog;
    std::size_t m_backlogLimit;
    bool m_waiting = false;
};

} // namespace marjoram
