#include "figstair/host/framed_stream.h"

#include <netinet/tcp.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace figstair {
namespace {

constexpr std::size_t maxFrameBytes = 65535; // maximum size of a UDP datagram
constexpr std::size_t maxQueuedBytes = std::size_t{1} << 20U; // as the UDP socket's buffer
// Closes a connection to an unreachable peer well before callers' deadlines of 2.5 s.
constexpr int tcpUserTimeoutMs = 1000;

/// Disables Nagle's algorithm and closes the connection when data stays unacknowledged.
void setSocketOptions(tcp::socket &socket)
{
    using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    error_code ignored; // the stream works without the options, with more delay
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(user_timeout(tcpUserTimeoutMs), ignored);
}

} // namespace

framed_stream::framed_stream(tcp::socket socket)
    : m_socket(std::move(socket))
{
}

void framed_stream::setHandlers(frame_handler onFrame, close_handler onClosed)
{
    m_onFrame = std::move(onFrame);
    m_onClosed = std::move(onClosed);
}

void framed_stream::connect(const tcp::endpoint &to)
{
    m_socket.async_connect(to, [self = shared_from_this()](error_code error) {
        if (error) {
            self->closeWithReason(error);
        } else {
            self->start();
        }
    });
}

void framed_stream::start()
{
    setSocketOptions(m_socket);
    m_isOpen = true;
    readLength();
    write();
}

bool framed_stream::send(byte_view frame)
{
    if (frame.size() > maxFrameBytes || m_queuedBytes + frame.size() > maxQueuedBytes) {
        return false;
    }
    std::array<std::uint8_t, 4> length{};
    boost::endian::store_big_u32(length.data(), static_cast<std::uint32_t>(frame.size()));
    byte_buffer bytes(length.begin(), length.end());
    bytes.insert(bytes.end(), frame.begin(), frame.end());
    m_queuedBytes += bytes.size();
    m_queue.push_back(std::move(bytes));
    write();
    return true;
}

void framed_stream::close()
{
    m_onFrame = nullptr;
    m_onClosed = nullptr;
    error_code ignored;
    m_socket.close(ignored);
    m_isOpen = false;
}

void framed_stream::readLength()
{
    asio::async_read(m_socket, asio::buffer(m_length),
                     [self = shared_from_this()](error_code error, std::size_t) {
                         const std::size_t size =
                             boost::endian::load_big_u32(self->m_length.data());
                         if (!error && size > maxFrameBytes) {
                             error = asio::error::message_size;
                         }
                         if (error) {
                             self->closeWithReason(error);
                             return;
                         }
                         self->m_body.resize(size);
                         self->readBody();
                     });
}

void framed_stream::readBody()
{
    asio::async_read(m_socket, asio::buffer(m_body),
                     [self = shared_from_this()](error_code error, std::size_t) {
                         if (error) {
                             self->closeWithReason(error);
                             return;
                         }
                         if (self->m_onFrame) {
                             self->m_onFrame(self->m_body);
                             self->readLength();
                         }
                     });
}

void framed_stream::write()
{
    if (!m_isOpen || m_isWriting || m_queue.empty()) {
        return;
    }
    m_isWriting = true;
    asio::async_write(m_socket, asio::buffer(m_queue.front()),
                      [self = shared_from_this()](error_code error, std::size_t) {
                          self->m_isWriting = false;
                          if (error) {
                              self->closeWithReason(error);
                              return;
                          }
                          self->m_queuedBytes -= self->m_queue.front().size();
                          self->m_queue.pop_front();
                          self->write();
                      });
}

void framed_stream::closeWithReason(const error_code &reason)
{
    const close_handler onClosed = std::move(m_onClosed);
    close();
    if (onClosed) {
        onClosed(reason);
    }
}

} // namespace figstair
