#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "figstair/core/endpoint.h"

namespace figstair {

/// What the server does with one request.
struct scripted_answer
{
    unsigned status = 200;
    std::string body;
    std::map<std::string, std::string> headers = {};
    bool closesConnection = false; ///< closes the connection without an answer
    bool sendsNoAnswer = false; ///< keeps the connection open without an answer
};

struct received_request
{
    std::string method;
    std::string target;
    std::string body;
};

/// HTTP server on the loopback interface that answers with the script of a test. Each connection
/// has a thread; connections without an answer stay open.
class scripted_http_server
{
public:
    using script = std::function<scripted_answer(const received_request &)>;

    explicit scripted_http_server(script answers);
    ~scripted_http_server();

    endpoint address() const;
    std::vector<received_request> requests() const;
    int connections() const { return m_connections; }

private:
    void acceptConnections();
    void serveConnection(boost::asio::ip::tcp::socket socket);

    script m_answers;
    boost::asio::io_context m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    mutable std::mutex m_mutex; ///< guards the three members below
    std::vector<boost::asio::ip::tcp::socket> m_unansweredSockets;
    std::vector<std::thread> m_connectionThreads;
    std::vector<received_request> m_requests;
    std::atomic<int> m_connections{0};
    std::atomic<bool> m_isStopped{false};
    std::thread m_acceptThread;
};

} // namespace figstair
