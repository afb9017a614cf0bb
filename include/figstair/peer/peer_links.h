#pragma once

#include <functional>
#include <memory>
#include <string>

#include "figstair/core/endpoint.h"

namespace boost::asio {
class io_context;
}

namespace figstair {

/// WebSocket links between hosts. Carries binary messages; knows nothing of their content.
class peer_links
{
public:
    /// Called for each message; a non-empty result is sent back over the same link.
    using message_handler = std::function<std::string(const std::string &message)>;

    /// Listens at @p where; port 0 lets the system choose. Throws std::runtime_error when the
    /// address cannot be used.
    peer_links(boost::asio::io_context &io, const endpoint &listenAddress, message_handler handler);
    ~peer_links();

    std::uint16_t port() const;

    /// Sends over an open link to @p to, or over a new one. Messages to a host that cannot be
    /// reached are dropped.
    void send(const endpoint &to, std::string message);

    /// Closes all links and stops listening.
    void close();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace figstair
