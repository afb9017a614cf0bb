#include "figstair/store/http_connection.h"

#include <deque>

#include <netinet/tcp.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "figstair/host/asio_endpoint.h"

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace figstair {
namespace {

constexpr std::size_t maxResponseBytes = std::size_t{64} << 20U;
constexpr unsigned httpVersion = 11;

/// A peer can become unreachable without a reset. TCP keep-alive detects this within about two
/// seconds, including while a long poll waits for its response.
constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbeCount = 1;
constexpr int tcpUserTimeoutMs = 1500;

/// A response of which nothing arrives for this long is given up.
constexpr milliseconds stallTimeout{1000};

/// A response that stays below this rate is given up, although it makes progress. Far below the
/// rate of the slowest links of hosts, 10 Mbit/s, which other traffic shares.
constexpr std::size_t minBytesPerSecond = 65536;

template <int name> using tcp_option = asio::detail::socket_option::integer<IPPROTO_TCP, name>;

} // namespace

class http_connection::implementation
    : public std::enable_shared_from_this<http_connection::implementation>
{
public:
    implementation(asio::io_context &io, const endpoint &address)
        : m_io(io)
        , m_endpoint(address)
    {
    }

    void send(http::verb method, const std::string &path, const std::string &body,
              milliseconds timeout, std::function<void(http_reply)> handler)
    {
        call next;
        next.request = {method, path, httpVersion};
        next.request.set(http::field::host, toString(m_endpoint));
        if (method != http::verb::get) {
            next.request.set(http::field::content_type, "application/json");
            next.request.body() = body;
        }
        next.request.keep_alive(true);
        next.request.prepare_payload();
        next.timeout = timeout;
        next.handler = std::move(handler);
        m_queue.push_back(std::move(next));
        if (!m_isBusy) {
            startNext();
        }
    }

    void close()
    {
        m_queue.clear();
        m_stream.reset();
    }

private:
    struct call
    {
        http::request<http::string_body> request;
        milliseconds timeout{0};
        std::function<void(http_reply)> handler;
    };

    void startNext()
    {
        m_isBusy = !m_queue.empty();
        if (!m_isBusy) {
            return;
        }
        m_currentCall = std::move(m_queue.front());
        m_queue.pop_front();
        m_parser.reset();
        if (m_stream && !hasUnexpectedBytes()) {
            m_stream->expires_after(m_currentCall.timeout);
            write();
            return;
        }
        m_stream = std::make_unique<beast::tcp_stream>(m_io);
        m_buffer.clear();
        m_stream->expires_after(m_currentCall.timeout);
        m_stream->async_connect(toAsio<asio::ip::tcp::endpoint>(m_endpoint),
                                [self = shared_from_this()](beast::error_code error) {
                                    if (error) {
                                        self->fail(error);
                                        return;
                                    }
                                    self->setSocketOptions();
                                    self->write();
                                });
    }

    /// Whether something came after the last response, such as a second copy of it. The next call
    /// would take it as its own response.
    bool hasUnexpectedBytes() const
    {
        beast::error_code error;
        return m_buffer.size() > 0 || m_stream->socket().available(error) > 0 || error;
    }

    void setSocketOptions()
    {
        asio::ip::tcp::socket &socket = m_stream->socket();
        beast::error_code error;
        socket.set_option(asio::ip::tcp::no_delay(true), error);
        socket.set_option(asio::socket_base::keep_alive(true), error);
        socket.set_option(tcp_option<TCP_KEEPIDLE>(keepAliveIdleSeconds), error);
        socket.set_option(tcp_option<TCP_KEEPINTVL>(keepAliveIntervalSeconds), error);
        socket.set_option(tcp_option<TCP_KEEPCNT>(keepAliveProbeCount), error);
        socket.set_option(tcp_option<TCP_USER_TIMEOUT>(tcpUserTimeoutMs), error);
    }

    void write()
    {
        http::async_write(*m_stream, m_currentCall.request,
                          [self = shared_from_this()](beast::error_code error, std::size_t) {
                              if (error) {
                                  self->fail(error);
                              } else {
                                  self->read();
                              }
                          });
    }

    void read()
    {
        m_parser.emplace();
        m_parser->body_limit(maxResponseBytes);
        m_parser->eager(true);
        m_receivedBytes = 0;
        readSome();
    }

    void readSome()
    {
        http::async_read_some(
            *m_stream, m_buffer, *m_parser,
            [self = shared_from_this()](beast::error_code error, std::size_t bytes) {
                if (error) {
                    self->fail(error);
                } else if (self->m_parser->is_done()) {
                    self->finish();
                } else {
                    self->extendDeadline(bytes);
                    self->readSome();
                }
            });
    }

    void extendDeadline(std::size_t bytes)
    {
        const auto now = asio::steady_timer::clock_type::now();
        if (m_receivedBytes == 0) {
            m_firstBytesAt = now;
        }
        m_receivedBytes += bytes;
        const milliseconds timeAtMinRate(m_receivedBytes * 1000 / minBytesPerSecond);
        m_stream->expires_at(
            std::min(now + stallTimeout, m_firstBytesAt + stallTimeout + timeAtMinRate));
    }

    void fail(beast::error_code error)
    {
        m_stream.reset();
        deliver(http_error{toString(m_endpoint), error.message(), progress()});
    }

    http_progress progress() const
    {
        http_progress result;
        if (m_parser && m_parser->is_header_done()) {
            result.receivedBytes = m_parser->get().body().size();
            result.expectedBytes = m_parser->content_length().value_or(0);
        }
        return result;
    }

    void finish()
    {
        auto &message = m_parser->get();
        http_response response{message.result_int(), std::move(message.body()), message.base()};
        if (message.keep_alive() && m_stream) {
            m_stream->expires_never();
        } else {
            m_stream.reset();
        }
        deliver(std::move(response));
    }

    void deliver(http_reply reply)
    {
        const auto handler = std::move(m_currentCall.handler);
        m_currentCall = call{};
        if (handler) {
            handler(std::move(reply));
        }
        startNext();
    }

    asio::io_context &m_io;
    endpoint m_endpoint;
    std::unique_ptr<beast::tcp_stream> m_stream;
    beast::flat_buffer m_buffer;
    std::optional<http::response_parser<http::string_body>> m_parser;
    std::deque<call> m_queue;
    call m_currentCall;
    std::size_t m_receivedBytes = 0; ///< of the current response
    asio::steady_timer::time_point m_firstBytesAt; ///< of the current response
    bool m_isBusy = false;
};

http_connection::http_connection(asio::io_context &io, const endpoint &address)
    : m_implementation(std::make_shared<implementation>(io, address))
{
}

http_connection::~http_connection()
{
    m_implementation->close();
}

void http_connection::send(http::verb method, const std::string &path, const std::string &body,
                           milliseconds timeout, std::function<void(http_reply)> handler)
{
    m_implementation->send(method, path, body, timeout, std::move(handler));
}

} // namespace figstair
