#include "figstair/peer/peer_links.h"

#include <map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace figstair {
namespace {

using server = websocketpp::server<websocketpp::config::asio>;
using client = websocketpp::client<websocketpp::config::asio_client>;
using websocketpp::connection_hdl;

constexpr std::size_t maxMessageBytes = std::size_t{64} << 20U;
constexpr long handshakeTimeoutMs = 1000;
constexpr std::size_t maxQueuedMessagesPerLink = 256;
constexpr std::size_t maxLinks = 128;

template <typename transport_type> void configureTransport(transport_type &transport)
{
    transport.clear_access_channels(websocketpp::log::alevel::all);
    transport.clear_error_channels(websocketpp::log::elevel::all);
    transport.set_max_message_size(maxMessageBytes);
    transport.set_open_handshake_timeout(handshakeTimeoutMs);
    transport.set_close_handshake_timeout(handshakeTimeoutMs);
}

} // namespace

class peer_links::implementation
{
public:
    implementation(boost::asio::io_context &io, const endpoint &listenAddress,
                   message_handler handler)
        : m_handler(std::move(handler))
    {
        configureTransport(m_server);
        configureTransport(m_client);
        m_server.init_asio(&io);
        m_client.init_asio(&io);
        m_server.set_reuse_addr(true);
        m_server.set_message_handler(
            [this](const connection_hdl &link, const server::message_ptr &message) {
                handleMessage(m_server, link, message->get_payload());
            });
        m_client.set_message_handler(
            [this](const connection_hdl &link, const client::message_ptr &message) {
                handleMessage(m_client, link, message->get_payload());
            });
        m_client.set_open_handler([this](const connection_hdl &link) { onOpen(link); });
        m_client.set_close_handler([this](const connection_hdl &link) { onClosed(link); });
        m_client.set_fail_handler([this](const connection_hdl &link) { onClosed(link); });
        const std::string addressText = toString(listenAddress);
        m_server.listen(addressText.substr(0, addressText.rfind(':')),
                        std::to_string(listenAddress.port));
        m_server.start_accept();
        websocketpp::lib::asio::error_code error;
        m_port = m_server.get_local_endpoint(error).port();
    }

    std::uint16_t port() const { return m_port; }

    void send(const endpoint &to, std::string message)
    {
        const auto existing = m_links.find(to);
        if (existing != m_links.end()) {
            sendOrQueue(existing->second, std::move(message));
            return;
        }
        if (m_links.size() >= maxLinks) {
            evictOneLink();
        }
        websocketpp::lib::error_code error;
        const client::connection_ptr connection =
            m_client.get_connection("ws://" + toString(to) + "/", error);
        if (error) {
            return;
        }
        outgoing_link link;
        link.handle = connection->get_handle();
        link.queued.push_back(std::move(message));
        m_links.emplace(to, std::move(link));
        m_client.connect(connection);
    }

    void close()
    {
        websocketpp::lib::error_code error;
        m_server.stop_listening(error);
        for (const auto &[to, link] : m_links) {
            m_client.close(link.handle, websocketpp::close::status::going_away, "", error);
        }
    }

private:
    struct outgoing_link
    {
        connection_hdl handle;
        bool isOpen = false;
        std::vector<std::string> queued;
    };

    template <typename transport_type>
    void handleMessage(transport_type &transport, const connection_hdl &link,
                       const std::string &message)
    {
        const std::string reply = m_handler(message);
        if (!reply.empty()) {
            websocketpp::lib::error_code error;
            transport.send(link, reply, websocketpp::frame::opcode::binary, error);
        }
    }

    void sendOrQueue(outgoing_link &link, std::string message)
    {
        if (!link.isOpen) {
            if (link.queued.size() < maxQueuedMessagesPerLink) {
                link.queued.push_back(std::move(message));
            }
            return;
        }
        websocketpp::lib::error_code error;
        m_client.send(link.handle, message, websocketpp::frame::opcode::binary, error);
    }

    std::map<endpoint, outgoing_link>::iterator findLink(const connection_hdl &handle)
    {
        const auto connection = handle.lock();
        auto link = m_links.begin();
        while (link != m_links.end() && link->second.handle.lock() != connection) {
            ++link;
        }
        return link;
    }

    void onOpen(const connection_hdl &handle)
    {
        const auto link = findLink(handle);
        if (link == m_links.end()) {
            return;
        }
        link->second.isOpen = true;
        std::vector<std::string> queued = std::move(link->second.queued);
        for (std::string &message : queued) {
            sendOrQueue(link->second, std::move(message));
        }
    }

    void onClosed(const connection_hdl &handle)
    {
        const auto link = findLink(handle);
        if (link != m_links.end()) {
            m_links.erase(link);
        }
    }

    void evictOneLink()
    {
        websocketpp::lib::error_code error;
        const auto link = m_links.begin();
        m_client.close(link->second.handle, websocketpp::close::status::normal, "", error);
        m_links.erase(link);
    }

    message_handler m_handler;
    server m_server;
    client m_client;
    std::uint16_t m_port = 0;
    std::map<endpoint, outgoing_link> m_links;
};

peer_links::peer_links(boost::asio::io_context &io, const endpoint &listenAddress,
                       message_handler handler)
    : m_implementation(std::make_unique<implementation>(io, listenAddress, std::move(handler)))
{
}

peer_links::~peer_links() = default;

std::uint16_t peer_links::port() const
{
    return m_implementation->port();
}

void peer_links::send(const endpoint &to, std::string message)
{
    m_implementation->send(to, std::move(message));
}

void peer_links::close()
{
    m_implementation->close();
}

} // namespace figstair
