#pragma once

#include "framework/http/httptypes.h"
#include "innerprotocol/framecodec.h"

#include <boost/asio/ip/udp.hpp>
#include <string>

namespace marjoram {

/// Receives the frames of a datagram_socket, on its io_context.
template <typename O>
concept datagram_owner = requires(O &owner, const endpoint &from, frame message)
{
    owner.onDatagram(from, std::move(message));
};

/// UDP socket that sends and receives one frame per datagram. Datagrams that cannot be decoded are
/// counted and dropped. Not thread safe: lives on its io_context. The owner outlives it.
template <typename Owner>
class datagram_socket
{
public:
    datagram_socket(boost::asio::io_context &context, Owner &owner)
        : m_socket(context)
        , m_owner(owner)
    { }

    /// Opens the socket. Errors: those of the socket calls.
    auto open(const endpoint &where) -> std::error_code
    {
        static_assert(datagram_owner<Owner>);
        boost::system::error_code error;
        const boost::asio::ip::udp::endpoint local(
            boost::asio::ip::make_address(where.address, error), where.port);
        if (!error) {
            m_socket.open(local.protocol(), error);
        }
        if (!error) {
            m_socket.bind(local, error);
        }
        if (!error) {
            m_socket.non_blocking(true, error);
        }
        return error;
    }
    auto start() -> void { receive(); }
    /// Sends without blocking. A datagram that cannot be sent at once is dropped: callers must
    /// tolerate loss on the network anyway.
    auto send(const endpoint &to, const frame &message) -> void
    {
        m_bytes.clear();
        encodeFrame(message, m_bytes);
        boost::system::error_code error;
        const auto address = boost::asio::ip::make_address(to.address, error);
        if (!error) {
            m_socket.send_to(boost::asio::buffer(m_bytes),
                             boost::asio::ip::udp::endpoint(address, to.port), 0, error);
        }
        m_lost += error ? 1 : 0;
    }
    /// Datagrams that could not be sent or decoded.
    auto lost() const -> std::uint64_t { return m_lost; }

private:
    static constexpr std::size_t DATAGRAM_LIMIT = 2'048;
    static constexpr int ERRORS_PER_LOG_LINE = 64;

    auto receive() -> void
    {
        m_socket.async_receive_from(boost::asio::buffer(m_received), m_from,
                                    [this](boost::system::error_code error, std::size_t bytes) {
                                        if (error == boost::asio::error::operation_aborted) {
                                            return;
                                        }
                                        if (!error) {
                                            receiveDatagram(
                                                std::string_view(m_received.data(), bytes));
                                        }
                                        receive();
                                    });
    }
    auto receiveDatagram(std::string_view bytes) -> void
    {
        if (bytes.size() < FRAME_PREFIX_BYTES) {
            ++m_lost;
            return;
        }
        auto decoded = decodeFrame(bytes.substr(FRAME_PREFIX_BYTES));
        if (!decoded) {
            ++m_lost;
            return;
        }
        try {
            m_owner.onDatagram({.address = m_from.address().to_string(), .port = m_from.port()},
                               std::move(*decoded));
        } catch (const std::exception &unexpected) {
            ++m_lost;
            LOG_EVERY_N(ERROR, ERRORS_PER_LOG_LINE)
                << "datagram dropped after an unexpected error: " << unexpected.what();
        }
    }

    boost::asio::ip::udp::socket m_socket;
    Owner &m_owner;
    boost::asio::ip::udp::endpoint m_from;
    std::array<char, DATAGRAM_LIMIT> m_received;
    std::string m_bytes;
    std::uint64_t m_lost = 0;
};

} // namespace marjoram
