#pragma once

#include <functional>
#include <memory>
#include <string>

#include "figstair/core/endpoint.h"

namespace boost::asio {
class io_context;
}

namespace figstair {

/// WebSocket connections between hosts. Carries binary messages without interpreting them.
class peer_links
{
public:
    /// Called for each received message; a non-empty result is sent back over the same link.
    using message_handler = std::function<std::string(const std::string &message)>;

    /// Listens at @p listenAddress; with port 0 the system chooses one. Throws std::runtime_error
    /// when the address cannot be used. @p io must outlive the links.
    peer_links(boost::asio::io_context &io, const endpoint &listenAddress, message_handler handler);
    ~peer_links();

    /// The port that the links listen on.
    std::uint16_t port() const;

    /// Sends over the existing link to @p to, or opens one. Messages to an unreachable host are
    /// dropped.
    void send(const endpoint &to, std::string message);

    /// Closes all links and stops listening.
    void close();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace figstair
