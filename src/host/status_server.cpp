#include "figstair/host/status_server.h"

#include <chrono>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "figstair/host/asio_endpoint.h"

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace figstair {
namespace {

constexpr std::chrono::seconds requestTimeout{5};

/// One connection: reads a request, writes the response and closes. Pending operations keep the
/// session alive.
class status_session : public std::enable_shared_from_this<status_session>
{
public:
    status_session(tcp::socket socket, const status_server::page_source &source)
        : m_stream(std::move(socket))
        , m_source(source)
    {
    }

    void run()
    {
        m_stream.expires_after(requestTimeout);
        http::async_read(m_stream, m_buffer, m_request,
                         [self = shared_from_this()](beast::error_code error, std::size_t) {
                             if (!error) {
                                 self->respond();
                             }
                         });
    }

private:
    void respond()
    {
        const status_page page = m_source(std::string(m_request.target()));
        m_response.result(page.status);
        m_response.set(http::field::content_type, page.contentType);
        m_response.body() = page.body;
        m_response.keep_alive(false);
        m_response.prepare_payload();
        http::async_write(m_stream, m_response,
                          [self = shared_from_this()](beast::error_code, std::size_t) {
                              beast::error_code ignored;
                              self->m_stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
                          });
    }

    beast::tcp_stream m_stream;
    const status_server::page_source &m_source;
    beast::flat_buffer m_buffer;
    http::request<http::empty_body> m_request;
    http::response<http::string_body> m_response;
};

} // namespace

class status_server::implementation
    : public std::enable_shared_from_this<status_server::implementation>
{
public:
    implementation(asio::io_context &io, const endpoint &address, page_source source)
        : m_acceptor(io, toAsio<tcp::endpoint>(address), true)
        , m_source(std::move(source))
    {
    }

    void accept()
    {
        m_acceptor.async_accept(
            [self = shared_from_this()](beast::error_code error, tcp::socket socket) {
                if (error) {
                    return;
                }
                std::make_shared<status_session>(std::move(socket), self->m_source)->run();
                self->accept();
            });
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    void close()
    {
        beast::error_code ignored;
        m_acceptor.close(ignored);
    }

private:
    tcp::acceptor m_acceptor;
    page_source m_source;
};

status_server::status_server(asio::io_context &io, const endpoint &address, page_source source)
    : m_implementation(std::make_shared<implementation>(io, address, std::move(source)))
{
    m_implementation->accept();
}

status_server::~status_server()
{
    close();
}

std::uint16_t status_server::port() const
{
    return m_implementation->port();
}

void status_server::close()
{
    m_implementation->close();
}

} // namespace figstair
