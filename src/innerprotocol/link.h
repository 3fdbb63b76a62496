#pragma once

#include "innerprotocol/framebudget.h"

#include <algorithm>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <memory>

namespace marjoram {

/// One TCP connection that carries frames. Owned by shared_ptr.
/// Not thread safe: lives on its io_context. The owner outlives it or calls close() first.
///
/// The owner hears `onLinkUp(link)` once connected, `onFrame(link, frame&&)` for each frame and
/// `onLinkDown(link, error)` exactly once unless it called close().
template <typename Owner>
class link : public std::enable_shared_from_this<link<Owner>>
{
public:
    /// Bytes that may wait for a peer that does not read.
    static constexpr std::size_t BACKLOG_LIMIT_BYTES = 64 * 1024 * 1024;

    link(boost::asio::ip::tcp::socket socket, Owner &owner, std::uint64_t id,
         std::shared_ptr<frame_budget> budget)
        : m_socket(std::move(socket))
        , m_owner(&owner)
        , m_id(id)
        , m_budget(std::move(budget))
    { }
    ~link() { releaseRoom(); }

    auto id() const -> std::uint64_t { return m_id; }
    auto bytesSent() const -> std::uint64_t { return m_bytesSent; }
    auto bytesReceived() const -> std::uint64_t { return m_bytesReceived; }

    /// Connects and then runs. The peer is an IP number.
    auto connect(const boost::asio::ip::tcp::endpoint &peer) -> void
    {
        m_socket.async_connect(peer,
                               [self = this->shared_from_this()](boost::system::error_code error) {
                                   if (error) {
                                       self->fail(error);
                                       return;
                                   }
                                   self->run();
                               });
    }
    /// Runs on a connected socket.
    auto run() -> void
    {
        if (!m_owner) {
            return;
        }
        boost::system::error_code ignored;
        m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        m_up = true;
        m_owner->onLinkUp(*this);
        readMore();
    }
    /// Queues a frame; writes are coalesced. A peer that lets the backlog fill is dropped.
    auto send(const frame &message) -> void
    {
        if (!m_up || !m_owner) {
            return;
        }
        encodeFrame(message, m_pending);
        if (m_pending.size() > BACKLOG_LIMIT_BYTES) {
            fail(make_error_code(codec_error::too_large));
            return;
        }
        flushLater();
    }
    /// Stops reading until resumeReading(), so that the peer feels the back-pressure.
    auto pauseReading() -> void { m_paused = true; }
    auto resumeReading() -> void
    {
        m_paused = false;
        if (m_readDeferred) {
            m_readDeferred = false;
            boost::asio::post(m_socket.get_executor(),
                              [self = this->shared_from_this()] { self->takeFrames(); });
        }
    }
    /// Whether a frame of the peer waits for room, so that nothing is read.
    auto awaitsRoom() const -> bool { return m_awaitsRoom; }
    /// Closes; the owner hears nothing more.
    auto close() -> void
    {
        m_owner = nullptr;
        releaseRoom();
        boost::system::error_code ignored;
        m_socket.close(ignored);
    }
    /// Raises the limit on frame size once the peer has said hello.
    auto trustPeer() -> void { m_frameLimit = FRAME_LIMIT_BYTES; }

private:
    static constexpr std::size_t READ_BYTES = 64 * 1024;
    static constexpr std::size_t HELLO_LIMIT_BYTES = 1024;
    /// Longest frame that is received without room taken from the budget.
    static constexpr std::size_t SHORT_FRAME_BYTES = READ_BYTES;
    /// Largest buffer that is kept between frames.
    static constexpr std::size_t KEPT_BUFFER_BYTES = 4 * READ_BYTES;

    auto readMore() -> void
    {
        const auto kept = m_received.size() - m_taken;
        m_received.erase(0, m_taken);
        m_taken = 0;
        if (m_roomBytes == 0 && m_received.capacity() > KEPT_BUFFER_BYTES) {
            m_received.shrink_to_fit();
        }
        // Growth by doubling would take up to twice the frame.
        m_received.reserve(std::max(kept, m_roomBytes) + READ_BYTES);
        // A peer that has not said hello needs no more than that.
        const auto room = std::min(READ_BYTES, FRAME_PREFIX_BYTES + m_frameLimit);
        m_received.resize(kept + room);
        m_socket.async_read_some(boost::asio::buffer(m_received.data() + kept, room),
                                 [self = this->shared_from_this(),
                                  kept](boost::system::error_code error, std::size_t bytes) {
                                     self->m_received.resize(kept + bytes);
                                     self->m_bytesReceived += bytes;
                                     if (error) {
                                         self->fail(error);
                                         return;
                                     }
                                     self->takeFrames();
                                 });
    }
    auto takeFrames() -> void
    {
        while (m_owner) {
            if (m_paused) {
                m_readDeferred = true;
                return;
            }
            const auto rest = std::string_view(m_received).substr(m_taken);
            if (rest.size() < FRAME_PREFIX_BYTES) {
                break;
            }
            const auto length = decodePrefix(rest, m_frameLimit);
            if (!length) {
                fail(length.error());
                return;
            }
            if (rest.size() < FRAME_PREFIX_BYTES + *length) {
                if (!takeRoom(FRAME_PREFIX_BYTES + *length)) {
                    return;
                }
                break;
            }
            m_taken += FRAME_PREFIX_BYTES + *length;
            take(rest.substr(FRAME_PREFIX_BYTES, *length));
            releaseRoom();
        }
        if (m_owner) {
            readMore();
        }
    }
    /// Whether a frame of this size may be received now; if not, goes on once there is room.
    auto takeRoom(std::size_t bytes) -> bool
    {
        if (bytes <= SHORT_FRAME_BYTES || m_roomBytes > 0) {
            return true;
        }
        if (m_budget->take(bytes)) {
            m_roomBytes = bytes;
            return true;
        }
        m_awaitsRoom = true;
        m_budget->awaitRoom([waiting = this->weak_from_this()] {
            if (const auto self = waiting.lock()) {
                boost::asio::post(self->m_socket.get_executor(), [self] {
                    self->m_awaitsRoom = false;
                    self->takeFrames();
                });
            }
        });
        return false;
    }
    auto releaseRoom() -> void
    {
        if (const auto bytes = std::exchange(m_roomBytes, 0); bytes > 0) {
            m_budget->release(bytes);
        }
    }
    auto take(std::string_view bytes) -> void
    {
        auto decoded = decodeFrame(bytes);
        if (!decoded) {
            fail(decoded.error());
            return;
        }
        m_owner->onFrame(*this, std::move(*decoded));
    }
    auto flushLater() -> void
    {
        if (m_flushPosted || m_writing) {
            return;
        }
        m_flushPosted = true;
        boost::asio::post(m_socket.get_executor(), [self = this->shared_from_this()] {
            self->m_flushPosted = false;
            self->flush();
        });
    }
    auto flush() -> void
    {
        if (m_writing || m_pending.empty() || !m_owner) {
            return;
        }
        m_inFlight.clear();
        std::swap(m_inFlight, m_pending);
        m_writing = true;
        boost::asio::async_write(
            m_socket, boost::asio::buffer(m_inFlight),
            [self = this->shared_from_this()](boost::system::error_code error, std::size_t bytes) {
                self->m_writing = false;
                self->m_bytesSent += bytes;
                if (error) {
                    self->fail(error);
                    return;
                }
                self->flush();
            });
    }
    auto fail(std::error_code error) -> void
    {
        auto *owner = std::exchange(m_owner, nullptr);
        releaseRoom();
        boost::system::error_code ignored;
        m_socket.close(ignored);
        if (owner) {
            owner->onLinkDown(*this, error);
        }
    }

    boost::asio::ip::tcp::socket m_socket;
    Owner *m_owner;
    std::uint64_t m_id;
    std::shared_ptr<frame_budget> m_budget;
    /// Taken from the budget for the frame that is being received.
    std::size_t m_roomBytes = 0;
    std::size_t m_frameLimit = HELLO_LIMIT_BYTES;
    std::string m_received;
    std::size_t m_taken = 0;
    std::string m_pending;
    std::string m_inFlight;
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_bytesReceived = 0;
    bool m_up = false;
    bool m_paused = false;
    bool m_awaitsRoom = false;
    bool m_readDeferred = false;
    bool m_writing = false;
    bool m_flushPosted = false;
};

} // namespace marjoram
