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

/// A server on loopback that sends the body of its answer in pieces.
class slow_server
{
public:
    /// Sends @p pieces of @p pieceBytes each at @p interval, and then nothing more.
    slow_server(asio::io_context &io, std::size_t pieces, std::size_t pieceBytes,
                milliseconds interval)
        : m_acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , m_socket(io)
        , m_timer(io)
        , m_piecesLeft(pieces)
        , m_piece(pieceBytes, 'x')
        , m_interval(interval)
    {
        m_acceptor.async_accept(m_socket, [this](boost::system::error_code) {
            http::async_read(m_socket, m_buffer, m_request,
                             [this](boost::system::error_code, std::size_t) {
                                 asio::write(m_socket, asio::buffer(m_header));
                                 sendPiece();
                             });
        });
    }

    endpoint address() const
    {
        return *parseEndpoint("127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()));
    }

    static constexpr std::size_t bodyBytes = 160000;

private:
    void sendPiece()
    {
        if (m_piecesLeft-- == 0) {
            return;
        }
        boost::system::error_code ignored;
        asio::write(m_socket, asio::buffer(m_piece), ignored);
        m_timer.expires_after(m_interval);
        m_timer.async_wait([this](boost::system::error_code) { sendPiece(); });
    }

    tcp::acceptor m_acceptor;
    tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::size_t m_piecesLeft;
    std::string m_piece;
    std::string m_header =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
    milliseconds m_interval;
    boost::beast::flat_buffer m_buffer;
    http::request<http::string_body> m_request;
};

/// The reply to a call with a timeout of 300 ms.
http_reply replyFrom(std::size_t pieces, std::size_t pieceBytes, milliseconds interval)
{
    asio::io_context io;
    slow_server server(io, pieces, pieceBytes, interval);
    http_connection calls(io, server.address());
    http_reply result = http_error{"", "no reply"};
    calls.send(http::verb::get, "/large", "", milliseconds(300), [&](http_reply reply) {
        result = std::move(reply);
        io.stop();
    });
    io.run_for(milliseconds(8000));
    return result;
}

} // namespace

// Guards against large answers that are read from the beginning again and again, because they take
// longer than the time-out of a call.
TEST_CASE(
    "http_connection: an answer takes longer than the timeout, but arrives steadily: complete")
{
    const http_reply reply = replyFrom(10, slow_server::bodyBytes / 10, milliseconds(60));
    REQUIRE(std::holds_alternative<http_response>(reply));
    CHECK(std::get<http_response>(reply).body.size() == slow_server::bodyBytes);
}

TEST_CASE("http_connection: an answer stops in the middle: fails, and tells how much had come")
{
    const http_reply reply = replyFrom(2, 1000, milliseconds(10));
    REQUIRE(std::holds_alternative<http_error>(reply));
    const http_error &error = std::get<http_error>(reply);
    CHECK(error.progress.receivedBytes == 2000);
    CHECK(error.progress.expectedBytes == slow_server::bodyBytes);
}

TEST_CASE("http_connection: an answer comes a few bytes at a time: fails within two seconds")
{
    const auto start = std::chrono::steady_clock::now();
    const http_reply reply = replyFrom(100000, 10, milliseconds(50));
    CHECK(std::holds_alternative<http_error>(reply));
    CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(3));
}

TEST_CASE("http_connection: an answer comes twice at once: the next call gets its own")
{
    CHECK(answersOfTwoCalls(milliseconds(0)) == std::vector<std::string>{"/first", "/second"});
}

TEST_CASE("http_connection: a second copy of an answer comes between calls: the next call gets its "
          "own")
{
    CHECK(answersOfTwoCalls(milliseconds(20)) == std::vector<std::string>{"/first", "/second"});
}
