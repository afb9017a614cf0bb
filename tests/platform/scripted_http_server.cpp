#include "platform/scripted_http_server.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "figstair/host/asio_endpoint.h"

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace figstair {

scripted_http_server::scripted_http_server(script answers)
    : m_answers(std::move(answers))
    , m_acceptor(m_io, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , m_acceptThread([this] { acceptConnections(); })
{
}

scripted_http_server::~scripted_http_server()
{
    m_isStopped = true;
    // Unblocks accept() in the accept thread.
    tcp::socket wakeupSocket(m_io);
    beast::error_code error;
    wakeupSocket.connect(m_acceptor.local_endpoint(), error);
    m_acceptThread.join();
    for (std::thread &session : m_connectionThreads) {
        session.join();
    }
}

endpoint scripted_http_server::address() const
{
    return fromAsio(m_acceptor.local_endpoint());
}

std::vector<received_request> scripted_http_server::requests() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_requests;
}

void scripted_http_server::acceptConnections()
{
    while (!m_isStopped) {
        tcp::socket socket(m_io);
        beast::error_code error;
        m_acceptor.accept(socket, error);
        if (error || m_isStopped) {
            continue;
        }
        ++m_connections;
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_connectionThreads.emplace_back([this, accepted = std::move(socket)]() mutable {
            serveConnection(std::move(accepted));
        });
    }
}

void scripted_http_server::serveConnection(tcp::socket socket)
{
    beast::flat_buffer buffer;
    for (;;) {
        http::request<http::string_body> request;
        beast::error_code error;
        http::read(socket, buffer, request, error);
        if (error) {
            return;
        }
        received_request received{std::string(request.method_string()),
                                  std::string(request.target()), request.body()};
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_requests.push_back(received);
        }
        const scripted_answer answer = m_answers(received);
        if (answer.closesConnection) {
            return;
        }
        if (answer.sendsNoAnswer) {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_unansweredSockets.push_back(std::move(socket));
            return;
        }
        http::response<http::string_body> response(static_cast<http::status>(answer.status), 11);
        for (const auto &[name, value] : answer.headers) {
            response.set(name, value);
        }
        response.body() = answer.body;
        response.keep_alive(true);
        response.prepare_payload();
        http::write(socket, response, error);
        if (error) {
            return;
        }
    }
}

} // namespace figstair
