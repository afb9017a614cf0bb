#include "figstair/platform/http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/leaf.hpp>

#include "figstair/host/asio_endpoint.h"

namespace leaf = boost::leaf;
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace figstair {
namespace {

constexpr std::size_t maxResponseBytes = std::size_t{64} << 20U;
constexpr unsigned httpVersion = 11;

/// One HTTP exchange with a time limit over all of it.
class http_exchange
{
public:
    http_exchange(const endpoint &where, milliseconds timeout)
        : m_stream(m_io)
        , m_where(where)
        , m_timeout(timeout)
    {
    }

    /// Returns the error of the first step that failed, or none.
    beast::error_code run(http::verb method, const std::string &path, const std::string &body)
    {
        m_request = {method, path, httpVersion};
        m_request.set(http::field::host, toString(m_where));
        m_request.set(http::field::content_type, "application/json");
        m_request.body() = body;
        m_request.prepare_payload();
        m_parser.body_limit(maxResponseBytes);
        m_stream.expires_after(m_timeout);
        m_stream.async_connect(toAsio<asio::ip::tcp::endpoint>(m_where),
                               [this](beast::error_code error) {
                                   if (!fails(error)) {
                                       write();
                                   }
                               });
        m_io.run();
        return m_error;
    }

    const http::response<http::string_body> &response() const { return m_parser.get(); }

private:
    bool fails(beast::error_code error)
    {
        m_error = error;
        return bool(error);
    }

    void write()
    {
        http::async_write(m_stream, m_request, [this](beast::error_code error, std::size_t) {
            if (!fails(error)) {
                read();
            }
        });
    }

    void read()
    {
        http::async_read(m_stream, m_buffer, m_parser,
                         [this](beast::error_code error, std::size_t) { fails(error); });
    }

    asio::io_context m_io;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    endpoint m_where;
    milliseconds m_timeout;
    http::request<http::string_body> m_request;
    http::response_parser<http::string_body> m_parser;
    beast::error_code m_error;
};

leaf::result<std::string> call(const endpoint &where, http::verb method, const std::string &path,
                               const std::string &body, milliseconds timeout)
{
    http_exchange exchange(where, timeout);
    const beast::error_code error = exchange.run(method, path, body);
    if (error) {
        return leaf::new_error(http_error{toString(where), error.message()});
    }
    if (exchange.response().result() != http::status::ok) {
        return leaf::new_error(http_error{
            toString(where), "status " + std::to_string(exchange.response().result_int())});
    }
    return exchange.response().body();
}

} // namespace

leaf::result<std::string> httpPost(const endpoint &where, const std::string &path,
                                   const std::string &body, milliseconds timeout)
{
    return call(where, http::verb::post, path, body, timeout);
}

leaf::result<std::string> httpGet(const endpoint &where, const std::string &path,
                                  milliseconds timeout)
{
    return call(where, http::verb::get, path, std::string(), timeout);
}

} // namespace figstair
