#include <doctest/doctest.h>

#include <array>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "figstair/host/asio_endpoint.h"
#include "figstair/host/framed_stream.h"
#include "figstair/host/upstream_links.h"

namespace asio = boost::asio;
using asio::ip::tcp;

namespace figstair {
namespace {

byte_buffer bytesOf(const std::string &text)
{
    return {text.begin(), text.end()};
}

std::string textOf(byte_view bytes)
{
    return {bytes.begin(), bytes.end()};
}

/// Links to one upstream on loopback; the test accepts its connections.
class upstream_links_fixture
{
public:
    upstream_links_fixture()
        : acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , upstream(fromAsio(acceptor.local_endpoint()))
        , links(
              io,
              [this](const endpoint &, byte_view message) {
                  receivedByHost.push_back(textOf(message));
              },
              [this](const endpoint &, const std::string &reason) { losses.push_back(reason); })
    {
    }

    /// Accepts the next connection and records its messages.
    std::shared_ptr<framed_stream> accept()
    {
        auto stream = std::make_shared<framed_stream>(acceptor.accept());
        stream->setHandlers(
            [this](byte_view message) { receivedByUpstream.push_back(textOf(message)); },
            [](const boost::system::error_code &) {});
        stream->start();
        return stream;
    }

    template <typename condition> void runUntil(const condition &isDone)
    {
        constexpr int maxEvents = 10000;
        for (int i = 0; i < maxEvents && !isDone(); ++i) {
            io.restart(); // the context stops whenever no operation is pending
            io.run_one_for(std::chrono::seconds(1));
        }
        REQUIRE(isDone());
    }

    asio::io_context io;
    tcp::acceptor acceptor;
    endpoint upstream;
    std::vector<std::string> receivedByUpstream;
    std::vector<std::string> receivedByHost;
    std::vector<std::string> losses;
    upstream_links links;
};

} // namespace

TEST_CASE_FIXTURE(
    upstream_links_fixture,
    "upstream links with messages sent before the connection is established deliver each once in "
    "order")
{
    links.send(upstream, bytesOf("first"));
    links.send(upstream, bytesOf("second"));
    const auto stream = accept();
    links.send(upstream, bytesOf("third"));
    runUntil([this] { return receivedByUpstream.size() == 3; });
    CHECK(receivedByUpstream == std::vector<std::string>{"first", "second", "third"});
    stream->send(bytesOf("answer"));
    runUntil([this] { return !receivedByHost.empty(); });
    CHECK(receivedByHost == std::vector<std::string>{"answer"});
    CHECK(losses.empty());
    links.close();
    stream->close();
    io.poll();
}

TEST_CASE_FIXTURE(upstream_links_fixture,
                  "upstream links after the upstream closed the stream never resend its messages")
{
    links.send(upstream, bytesOf("order"));
    const auto first = accept();
    runUntil([this] { return receivedByUpstream.size() == 1; });
    first->close();
    runUntil([this] { return losses.size() == 1; });
    links.send(upstream, bytesOf("other"));
    const auto second = accept();
    runUntil([this] { return receivedByUpstream.size() == 2; });
    CHECK(receivedByUpstream == std::vector<std::string>{"order", "other"});
    links.close();
    second->close();
    io.poll();
}

TEST_CASE_FIXTURE(upstream_links_fixture, "upstream links to a closed port report the loss")
{
    acceptor.close();
    links.send(upstream, bytesOf("order"));
    runUntil([this] { return losses.size() == 1; });
    CHECK(receivedByUpstream.empty());
}

TEST_CASE_FIXTURE(upstream_links_fixture,
                  "upstream links that receive a length above the maximum close the stream")
{
    links.send(upstream, bytesOf("hello"));
    tcp::socket peer = acceptor.accept();
    runUntil([this, &peer] { return peer.available() > 0 || io.poll() == 0; });
    const std::array<std::uint8_t, 4> length{0xff, 0xff, 0xff, 0xff};
    asio::write(peer, asio::buffer(length));
    runUntil([this] { return losses.size() == 1; });
    CHECK(receivedByHost.empty());
}

TEST_CASE_FIXTURE(upstream_links_fixture,
                  "upstream links with a full send queue drop the message and report it")
{
    const byte_buffer large(60000, 1);
    for (int i = 0; i < 18; ++i) {
        links.send(upstream, large);
    }
    CHECK(losses.size() == 1);
    links.close();
    io.poll();
}

} // namespace figstair
