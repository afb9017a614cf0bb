#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <list>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace soak {

/// What a proxy does to the connections between one host and the store.
enum class proxy_mode : std::uint8_t {
    pass,
    delay, ///< forwards each read after a fixed delay
    reset, ///< resets open connections and closes new ones
    holdAnswers, ///< forwards requests; holds answers until the mode changes
    holdAll ///< holds data in both directions until the mode changes
};

/// TCP proxy between one host and the store that injects connection faults.
class fault_proxy
{
public:
    fault_proxy(boost::asio::io_context &io, const boost::asio::ip::tcp::endpoint &listenAddress,
                const boost::asio::ip::tcp::endpoint &store);

    void setMode(proxy_mode mode);

    /// Limits what each connection carries to the host from now on; 0: no limit.
    void setBytesPerSecond(std::size_t limit) { m_bytesPerSecond = limit; }

private:
    struct link;
    using side = boost::asio::ip::tcp::socket;

    void accept();
    void readNext(const std::shared_ptr<link> &connection, bool isAnswer);
    bool isPaused(bool isAnswer) const;
    void forward(const std::shared_ptr<link> &connection, bool isAnswer, std::size_t size);

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_store;
    std::list<std::weak_ptr<link>> m_links;
    proxy_mode m_mode = proxy_mode::pass;
    std::size_t m_bytesPerSecond = 0;
};

} // namespace soak
