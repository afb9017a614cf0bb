#pragma once

#include <functional>
#include <map>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "figstair/core/endpoint.h"
#include "figstair/wire/datagram.h"

namespace figstair {

class framed_stream;

/// Keeps one stream to each upstream whose gate is this host. A stream delivers each message at
/// most once, even on a network that duplicates packets. Messages queued on a stream that closes
/// are dropped and never sent again.
class upstream_links
{
public:
    using message_handler = std::function<void(const endpoint &upstream, byte_view message)>;
    using loss_handler = std::function<void(const endpoint &upstream, const std::string &reason)>;

    upstream_links(boost::asio::io_context &io, message_handler onMessage, loss_handler onLost);
    ~upstream_links();

    /// Sends over the open stream to @p upstream, or opens one. The loss handler is called when
    /// @p message cannot be queued and when the stream closes.
    void send(const endpoint &upstream, byte_view message);

    /// Closes all streams without calling the loss handler.
    void close();

private:
    std::shared_ptr<framed_stream> open(const endpoint &upstream);

    boost::asio::io_context &m_io;
    message_handler m_onMessage;
    loss_handler m_onLost;
    std::map<endpoint, std::shared_ptr<framed_stream>> m_streams;
};

} // namespace figstair
