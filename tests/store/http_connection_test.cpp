#include "figstair/store/http_connection.h"

#include <memory>
#include <string>
#include <vector>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <doctest/doctest.h>

using namespace figstair;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr milliseconds callTimeout{2000};

/// A server on loopback that answers each request with its path, and the first one twice.
class repeating_server
{
public:
    /// @p delay: time from the first answer to its copy.
    repeating_server(asio::io_context &io, milliseconds delay)
        : m_acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , m_timer(io)
        , m_delay(delay)
    {
        accept();
    }

    endpoint address() const
    {
        return *parseEndpoint("127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()));
    }

private:
    struct connection
    {
        explicit connection(tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }
        tcp::socket socket;
        boost::beast::flat_buffer buffer;
        http::request<http::string_body> request;
    };

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
            if (!error) {
                m_connections.push_back(std::make_unique<connection>(std::move(socket)));
                read(*m_connections.back());
                accept();
            }
        });
    }

    void read(connection &from)
    {
        from.request = {};
        http::async_read(from.socket, from.buffer, from.request,
                         [this, &from](boost::system::error_code error, std::size_t) {
                             if (!error) {
                                 answer(from);
                             }
                         });
    }

    void answer(connection &to)
    {
        const std::string body(to.request.target());
        const std::string text =
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        const bool isRepeated = !m_hasRepeated;
        m_hasRepeated = true;
        if (isRepeated && m_delay == milliseconds(0)) {
            asio::write(to.socket, asio::buffer(text + text));
        } else {
            asio::write(to.socket, asio::buffer(text));
        }
        if (isRepeated && m_delay > milliseconds(0)) {
            m_timer.expires_after(m_delay);
            m_timer.async_wait([&to, text](boost::system::error_code) {
                boost::system::error_code ignored;
                asio::write(to.socket, asio::buffer(text), ignored);
            });
        }
        read(to);
    }

    tcp::acceptor m_acceptor;
    asio::steady_timer m_timer;
    milliseconds m_delay;
    std::vector<std::unique_ptr<connection>> m_connections;
    bool m_hasRepeated = false;
};

/// Sends two calls, the second one 50 ms after the answer to the first, and returns the answers.
std::vector<std::string> answersOfTwoCalls(milliseconds delayOfCopy)
{
    asio::io_context io;
    repeating_server server(io, delayOfCopy);
    http_connection calls(io, server.address());
    std::vector<std::string> answers;
    asio::steady_timer timer(io);
    const auto note = [&](http_reply reply) {
        const auto *response = std::get_if<http_response>(&reply);
        answers.push_back(response == nullptr ? "error" : response->body);
        if (answers.size() == 1) {
            timer.expires_after(milliseconds(50));
            timer.async_wait([&](boost::system::error_code) {
                calls.send(http::verb::get, "/second", "", callTimeout, [&](http_reply second) {
                    const auto *result = std::get_if<http_response>(&second);
                    answers.push_back(result == nullptr ? "error" : result->body);
                    io.stop();
                });
            });
        }
    };
    calls.send(http::verb::get, "/first", "", callTimeout, note);
    io.run_for(callTimeout * 2);
    return answers;
}

} // namespace

TEST_CASE("http_connection: an answer comes twice at once: the next call gets its own")
{
    CHECK(answersOfTwoCalls(milliseconds(0)) == std::vector<std::string>{"/first", "/second"});
}

TEST_CASE("http_connection: a second copy of an answer comes between calls: the next call gets its "
          "own")
{
    CHECK(answersOfTwoCalls(milliseconds(20)) == std::vector<std::string>{"/first", "/second"});
}
