#include <array>
#include <csignal>
#include <map>
#include <memory>
#include <random>
#include <set>

#include <boost/algorithm/string/split.hpp>
#include <boost/asio/ip/udp.hpp>

#include "figstair/host/asio_endpoint.h"
#include "figstair/host/status_server.h"
#include "standin_tools.h"

namespace asio = boost::asio;
namespace po = boost::program_options;
using asio::ip::udp;
using buffer = std::array<char, 65536>;

namespace {

/// Forwards each datagram of a caller to a random host and the answers back to the caller. Hosts
/// see the IP address of the caller.
class fabric
{
public:
    fabric(asio::io_context &io, const udp::endpoint &where, std::vector<udp::endpoint> hosts,
           std::uint64_t seed, double duplicateShare)
        : m_io(io)
        , m_socket(io, where)
        , m_hosts(std::move(hosts))
        , m_random(seed)
        , m_duplicateShare(duplicateShare)
    {
        receive();
    }

    figstair::status_page control(const std::string &target)
    {
        auto parameters = standins::parseTarget(target);
        if (parameters.count("remove") != 0) {
            m_removedPorts.insert(parameters["remove"]);
        }
        if (parameters.count("add") != 0) {
            m_removedPorts.erase(parameters["add"]);
        }
        return {200, "text/plain", "ok\n"};
    }

private:
    struct caller_side
    {
        caller_side(asio::io_context &io, const udp::endpoint &local)
            : socket(io, local)
        {
        }
        udp::socket socket;
        udp::endpoint caller;
        udp::endpoint sender;
        buffer receiveBuffer{};
    };

    void receive()
    {
        m_socket.async_receive_from(asio::buffer(m_receiveBuffer), m_sender,
                                    [this](boost::system::error_code error, std::size_t size) {
                                        if (!error) {
                                            forwardToHosts(size);
                                        }
                                        receive();
                                    });
    }

    void forwardToHosts(std::size_t size)
    {
        caller_side &side = sideForCaller(m_sender);
        sendToRandomHost(side, size);
        if (std::uniform_real_distribution<>(0, 1)(m_random) < m_duplicateShare) {
            sendToRandomHost(side, size);
        }
    }

    void sendToRandomHost(caller_side &side, std::size_t size)
    {
        std::vector<udp::endpoint> hosts;
        for (const udp::endpoint &host : m_hosts) {
            if (m_removedPorts.count(std::to_string(host.port())) == 0) {
                hosts.push_back(host);
            }
        }
        if (!hosts.empty()) {
            boost::system::error_code ignored;
            side.socket.send_to(asio::buffer(m_receiveBuffer.data(), size),
                                hosts[m_random() % hosts.size()], 0, ignored);
        }
    }

    caller_side &sideForCaller(const udp::endpoint &caller)
    {
        std::unique_ptr<caller_side> &side = m_callerSides[caller];
        if (side == nullptr) {
            side = std::make_unique<caller_side>(m_io, udp::endpoint(caller.address(), 0));
            side->caller = caller;
            side->socket.set_option(asio::socket_base::receive_buffer_size(1 << 20));
            receiveAnswers(*side);
        }
        return *side;
    }

    void receiveAnswers(caller_side &side)
    {
        side.socket.async_receive_from(
            asio::buffer(side.receiveBuffer), side.sender,
            [this, &side](boost::system::error_code error, std::size_t size) {
                if (!error) {
                    boost::system::error_code ignored;
                    m_socket.send_to(asio::buffer(side.receiveBuffer.data(), size), side.caller, 0,
                                     ignored);
                }
                receiveAnswers(side);
            });
    }

    asio::io_context &m_io;
    udp::socket m_socket;
    std::vector<udp::endpoint> m_hosts;
    std::set<std::string> m_removedPorts;
    std::mt19937_64 m_random;
    double m_duplicateShare;
    udp::endpoint m_sender;
    buffer m_receiveBuffer{};
    std::map<udp::endpoint, std::unique_ptr<caller_side>> m_callerSides;
};

} // namespace

int runFabric(const standin_words &words)
{
    po::options_description options;
    options.add_options()("listen", po::value<std::string>()->required())(
        "hosts", po::value<std::string>()->required())("control",
                                                       po::value<std::string>()->required())(
        "seed", po::value<std::uint64_t>()->default_value(1))(
        "duplicate", po::value<double>()->default_value(0.0));
    const auto values = standins::readOptions(words, options);
    std::vector<std::string> texts;
    boost::algorithm::split(texts, values["hosts"].as<std::string>(),
                            [](char character) { return character == ','; });
    std::vector<udp::endpoint> hosts;
    hosts.reserve(texts.size());
    for (const std::string &text : texts) {
        hosts.push_back(figstair::toAsio<udp::endpoint>(standins::requireEndpoint(text)));
    }
    asio::io_context io;
    const auto where = standins::requireEndpoint(values["listen"].as<std::string>());
    fabric relay(io, figstair::toAsio<udp::endpoint>(where), hosts,
                 values["seed"].as<std::uint64_t>(), values["duplicate"].as<double>());
    const figstair::status_server control(
        io, standins::requireEndpoint(values["control"].as<std::string>()),
        [&](const std::string &target) { return relay.control(target); });
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code, int) { io.stop(); });
    io.run();
    return 0;
}
