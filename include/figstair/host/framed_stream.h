#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>

#include <boost/asio/ip/tcp.hpp>

#include "figstair/wire/datagram.h"

namespace figstair {

/// Sends and receives messages in order and at most once over one TCP connection. Each frame is
/// preceded by its length in bytes as a 32-bit big-endian integer. Must be owned by a shared_ptr;
/// pending operations keep the object alive.
class framed_stream : public std::enable_shared_from_this<framed_stream>
{
public:
    using frame_handler = std::function<void(byte_view frame)>;
    using close_handler = std::function<void(const boost::system::error_code &reason)>;

    explicit framed_stream(boost::asio::ip::tcp::socket socket);

    /// @p onFrame is called for each received frame; @p onClosed at most once, when the connection
    /// fails or the peer closes it.
    void setHandlers(frame_handler onFrame, close_handler onClosed);

    /// Connects, then sends the frames queued so far. Call setHandlers() first.
    void connect(const boost::asio::ip::tcp::endpoint &to);

    /// Starts reading and writing on an accepted connection. Call setHandlers() first.
    void start();

    /// Queues @p frame. Drops it and returns false when it is too large or the queue is full.
    bool send(byte_view frame);

    /// Closes the connection without calling the close handler.
    void close();

private:
    void readLength();
    void readBody();
    void write();
    void closeWithReason(const boost::system::error_code &reason);

    boost::asio::ip::tcp::socket m_socket;
    frame_handler m_onFrame;
    close_handler m_onClosed;
    std::array<std::uint8_t, 4> m_length{};
    byte_buffer m_body;
    std::deque<byte_buffer> m_queue;
    std::size_t m_queuedBytes = 0;
    bool m_isOpen = false;
    bool m_isWriting = false;
};

} // namespace figstair
