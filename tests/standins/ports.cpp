#include <iostream>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include "standins.h"

namespace asio = boost::asio;

/// Prints the given number of ports that are free for both TCP and UDP on 127.0.0.1.
int runPorts(const standin_words &words)
{
    const std::size_t count = words.empty() ? 1 : std::stoul(words.front());
    asio::io_context io;
    std::vector<asio::ip::tcp::acceptor> acceptors;
    std::vector<asio::ip::udp::socket> sockets;
    const auto loopback = asio::ip::address_v4::loopback();
    while (acceptors.size() < count) {
        asio::ip::tcp::acceptor acceptor(io, {loopback, 0}, false);
        const unsigned short port = acceptor.local_endpoint().port();
        asio::ip::udp::socket socket(io, asio::ip::udp::v4());
        boost::system::error_code error;
        socket.bind({loopback, port}, error);
        if (!error) {
            std::cout << port << "\n";
            acceptors.push_back(std::move(acceptor));
            sockets.push_back(std::move(socket));
        }
    }
    return 0;
}
