#include "fault_proxy.h"

#include <boost/asio/write.hpp>

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

namespace soak {
namespace {

constexpr milliseconds forwardDelay{300};
constexpr milliseconds pausedPollInterval{50};

} // namespace

struct fault_proxy::link
{
    explicit link(tcp::socket accepted)
        : hostSocket(std::move(accepted))
        , storeSocket(hostSocket.get_executor())
        , timers{asio::steady_timer(hostSocket.get_executor()),
                 asio::steady_timer(hostSocket.get_executor())}
    {
    }

    void close()
    {
        error_code ignored;
        hostSocket.close(ignored);
        storeSocket.close(ignored);
    }

    tcp::socket hostSocket;
    tcp::socket storeSocket;
    std::array<asio::steady_timer, 2> timers;
    std::array<std::array<char, 16384>, 2> buffers{};
};

fault_proxy::fault_proxy(asio::io_context &io, const tcp::endpoint &listenAddress,
                         const tcp::endpoint &store)
    : m_acceptor(io, listenAddress)
    , m_store(store)
{
    accept();
}

void fault_proxy::setMode(proxy_mode mode)
{
    m_mode = mode;
    if (mode != proxy_mode::reset) {
        return;
    }
    for (const std::weak_ptr<link> &item : m_links) {
        if (const auto open = item.lock()) {
            error_code ignored; // the link may be closed, and wait to forward its last bytes
            open->hostSocket.set_option(asio::socket_base::linger(true, 0), ignored);
            open->close();
        }
    }
    m_links.clear();
}

void fault_proxy::accept()
{
    m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
        if (error) {
            return;
        }
        if (m_mode != proxy_mode::reset) {
            const auto opened = std::make_shared<link>(std::move(socket));
            opened->storeSocket.async_connect(m_store, [this, opened](error_code problem) {
                if (!problem) {
                    readNext(opened, false);
                    readNext(opened, true);
                }
            });
            m_links.push_back(opened);
        }
        accept();
    });
}

void fault_proxy::readNext(const std::shared_ptr<link> &connection, bool isAnswer)
{
    tcp::socket &from = isAnswer ? connection->storeSocket : connection->hostSocket;
    from.async_read_some(asio::buffer(connection->buffers[isAnswer ? 1 : 0]),
                         [this, connection, isAnswer](error_code error, std::size_t size) {
                             if (error) {
                                 connection->close();
                             } else {
                                 forward(connection, isAnswer, size);
                             }
                         });
}

bool fault_proxy::isPaused(bool isAnswer) const
{
    return m_mode == proxy_mode::holdAll || (m_mode == proxy_mode::holdAnswers && isAnswer);
}

void fault_proxy::forward(const std::shared_ptr<link> &connection, bool isAnswer, std::size_t size)
{
    const auto send = [this, connection, isAnswer, size](error_code error) {
        if (error) {
            return;
        }
        if (isPaused(isAnswer)) {
            forward(connection, isAnswer, size);
            return;
        }
        tcp::socket &to = isAnswer ? connection->hostSocket : connection->storeSocket;
        asio::async_write(to, asio::buffer(connection->buffers[isAnswer ? 1 : 0], size),
                          [this, connection, isAnswer](error_code problem, std::size_t) {
                              if (problem) {
                                  connection->close();
                              } else {
                                  readNext(connection, isAnswer);
                              }
                          });
    };
    const milliseconds transferTime(
        isAnswer && m_bytesPerSecond > 0 ? size * 1000 / m_bytesPerSecond : 0);
    const milliseconds wait = isPaused(isAnswer)
        ? pausedPollInterval
        : (m_mode == proxy_mode::delay ? forwardDelay : transferTime);
    asio::steady_timer &timer = connection->timers[isAnswer ? 1 : 0];
    timer.expires_after(wait);
    timer.async_wait(send);
}

} // namespace soak
