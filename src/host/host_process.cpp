#include "figstair/host/host_process.h"

#include <csignal>
#include <random>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf.hpp>

#include "figstair/core/gate/host_core.h"
#include "figstair/host/asio_endpoint.h"
#include "figstair/host/event_log.h"
#include "figstair/host/metrics.h"
#include "figstair/host/platform_watcher.h"
#include "figstair/host/span_log.h"
#include "figstair/host/status_pages.h"
#include "figstair/host/status_server.h"
#include "figstair/host/system_clock_source.h"
#include "figstair/host/upstream_links.h"
#include "figstair/peer/peer_links.h"
#include "figstair/peer/peer_message.h"
#include "figstair/store/etcd_gateway_store.h"

namespace leaf = boost::leaf;
namespace asio = boost::asio;
using asio::ip::udp;

namespace figstair {
namespace {

constexpr milliseconds tickInterval{20};
constexpr std::size_t maxSpans = 4096;
constexpr std::size_t receiveBufferBytes = 65536;
constexpr int socketBufferBytes = 1 << 20;
constexpr int maxDatagramsPerWakeup = 64;
constexpr int incarnationRandomBits = 20;

/// Makes a number that is greater for later starts and differs between starts in the same
/// millisecond.
std::uint64_t makeIncarnation(const clock_source &clock)
{
    std::random_device device;
    const auto now = static_cast<std::uint64_t>(clock.wall().time_since_epoch().count());
    return now << incarnationRandomBits | (device() & ((1U << incarnationRandomBits) - 1));
}

std::uint64_t makeSeed()
{
    std::random_device device;
    return std::uint64_t{device()} << 32 | device();
}

} // namespace

class host_process::implementation : public host_output
{
public:
    explicit implementation(const process_settings &settings)
        : m_log(settings.host.self.name, m_clock)
        , m_spans(maxSpans)
        , m_peerSecret(settings.host.peerSecret)
        , m_socket(m_io)
        , m_timer(m_io)
        , m_signals(m_io, SIGTERM, SIGINT)
        , m_peerLinks(m_io, settings.peerListen,
                      [this](const std::string &message) { return onPeerMessage(message); })
        , m_upstreamLinks(
              m_io,
              [this](const endpoint &upstream, byte_view message) {
                  m_core->onDatagram(upstream, message);
              },
              [this](const endpoint &upstream, const std::string &reason) {
                  logEvent("upstream_link_lost",
                           {{"upstream", toString(upstream)}, {"reason", reason}});
              })
        , m_platformStore(settings.platform, settings.platformTimeout)
        , m_receiveBuffer(receiveBufferBytes)
    {
        openSocket(settings.listen);
        m_statusServer = std::make_unique<status_server>(
            m_io, settings.statusListen,
            [this](const std::string &target) { return m_pages->page(target); });
        host_settings host = settings.host;
        host.self.address = fromAsio(m_socket.local_endpoint());
        host.self.peerPort = m_peerLinks.port();
        host.self.statusPort = m_statusServer->port();
        host.self.incarnation = makeIncarnation(m_clock);
        m_core = std::make_unique<host_core>(host, m_clock, makeSeed(), *this);
        m_pages = std::make_unique<status_pages>(*m_core, m_metrics, m_spans);
        m_watcher = std::make_unique<platform_watcher>(
            m_platformStore, settings.platformPollInterval,
            [this](platform_watcher::observation observed) {
                asio::post(m_io, [this, observed = std::move(observed)] {
                    onPlatformObservation(observed);
                });
            });
        logEvent("host_listening",
                 {{"address", toString(host.self.address)},
                  {"peer_port", std::to_string(host.self.peerPort)},
                  {"status_port", std::to_string(host.self.statusPort)}});
    }

    int run()
    {
        m_signals.async_wait([this](boost::system::error_code error, int) { onSignal(error); });
        receive();
        tick();
        m_io.run();
        m_watcher.reset();
        m_log.flush();
        return 0;
    }

private:
    void openSocket(const endpoint &address)
    {
        const auto local = toAsio<udp::endpoint>(address);
        m_socket.open(local.protocol());
        m_socket.set_option(asio::socket_base::receive_buffer_size(socketBufferBytes));
        m_socket.set_option(asio::socket_base::send_buffer_size(socketBufferBytes));
        m_socket.bind(local);
        m_socket.non_blocking(true);
    }

    void onSignal(boost::system::error_code error)
    {
        if (error) {
            return;
        }
        m_core->stop();
        m_signals.async_wait([this](boost::system::error_code second, int) {
            if (!second) {
                logEvent("host_ended_at_once", {});
                m_io.stop();
            }
        });
    }

    void tick()
    {
        m_core->tick();
        m_log.flush();
        m_watcher->setWatching(m_core->watchesPlatform(), m_core->currentTable().revision());
        if (m_core->isStopped()) {
            close();
            return;
        }
        m_timer.expires_after(tickInterval);
        m_timer.async_wait([this](boost::system::error_code error) {
            if (!error) {
                tick();
            }
        });
    }

    void close()
    {
        boost::system::error_code ignored;
        m_signals.cancel(ignored);
        m_socket.close(ignored);
        m_peerLinks.close();
        m_upstreamLinks.close();
        m_statusServer->close();
        m_watcher.reset();
        m_io.stop();
    }

    void receive()
    {
        m_socket.async_wait(udp::socket::wait_read, [this](boost::system::error_code error) {
            if (!error) {
                readDatagrams();
                receive();
            }
        });
    }

    void readDatagrams()
    {
        for (int count = 0; count < maxDatagramsPerWakeup; ++count) {
            udp::endpoint from;
            boost::system::error_code error;
            const std::size_t size =
                m_socket.receive_from(asio::buffer(m_receiveBuffer), from, 0, error);
            if (error) {
                return;
            }
            m_core->onDatagram(fromAsio(from), byte_view(m_receiveBuffer.data(), size));
        }
    }

    void onPlatformObservation(const platform_watcher::observation &observed)
    {
        if (observed.failed) {
            count(counter::platformErrors, 1);
            logEvent("platform_error", {{"problem", observed.problem}});
            return;
        }
        if (observed.hasReply) {
            m_core->onTableReply(observed.reply);
        }
        m_core->onPlatformHead(observed.headRevision, observed.headDigest);
    }

    std::string onPeerMessage(const std::string &bytes)
    {
        return leaf::try_handle_all(
            [&]() -> leaf::result<std::string> {
                BOOST_LEAF_AUTO(message, decodePeerMessage(m_peerSecret, bytes));
                return std::visit([this](const auto &content) { return handleMessage(content); },
                                  message);
            },
            [&](const peer_message_error &error) {
                count(counter::unauthenticDatagrams, 1);
                logEvent("bad_peer_message", {{"problem", error.problem}});
                return std::string();
            },
            [] { return std::string(); });
    }

    std::string handleMessage(const members_request &message)
    {
        return encode(members_reply{m_core->members().recordsOf(message.slice)});
    }
    std::string handleMessage(const members_reply &message)
    {
        m_core->onMembers(message.members);
        return {};
    }
    std::string handleMessage(const table_request &message)
    {
        return encode(m_core->tableKeeper().replyFor(message.revision));
    }
    std::string handleMessage(const table_reply &message)
    {
        m_core->onTableReply(message);
        return {};
    }
    std::string handleMessage(const order_handover &message)
    {
        if (!m_core->onHandover(message)) {
            return {};
        }
        return encode(handover_taken{message.upstreamId, m_core->members().self().incarnation});
    }
    std::string handleMessage(const handover_taken &message)
    {
        m_core->onHandoverTaken(message.upstreamId, message.gateIncarnation);
        return {};
    }

    std::string encode(const peer_message &message)
    {
        std::string bytes = encodePeerMessage(m_peerSecret, message);
        count(counter::controlBytesSent, bytes.size());
        return bytes;
    }

    void sendToPeer(const member &to, const peer_message &message)
    {
        endpoint address = to.address;
        address.port = to.peerPort;
        m_peerLinks.send(address, encode(message));
    }

    void sendDatagram(const endpoint &to, byte_view bytes) override
    {
        boost::system::error_code ignored; // a failed send is treated like a lost datagram
        m_socket.send_to(asio::buffer(bytes.data(), bytes.size()), toAsio<udp::endpoint>(to), 0,
                         ignored);
    }
    void sendToUpstream(const endpoint &upstream, byte_view bytes) override
    {
        m_upstreamLinks.send(upstream, bytes);
    }
    void requestMembers(const member &from, const member_slice &slice) override
    {
        sendToPeer(from, members_request{slice});
    }
    void requestTable(const member &from, std::uint64_t revision) override
    {
        sendToPeer(from, table_request{revision});
    }
    void sendHandover(const member &to, const order_handover &batch) override
    {
        sendToPeer(to, batch);
    }
    void logEvent(std::string_view name, event_fields fields) override
    {
        m_log.write(name, fields);
    }
    void count(counter which, std::uint64_t amount) override { m_metrics.count(which, amount); }
    void observe(distribution which, milliseconds value) override
    {
        m_metrics.observe(which, value);
    }
    void recordSpan(const span_record &span) override { m_spans.add(span); }

    system_clock_source m_clock;
    event_log m_log;
    metrics m_metrics;
    span_log m_spans;
    peer_key m_peerSecret;
    asio::io_context m_io;
    udp::socket m_socket;
    asio::steady_timer m_timer;
    asio::signal_set m_signals;
    peer_links m_peerLinks;
    upstream_links m_upstreamLinks;
    etcd_gateway_store m_platformStore;
    std::vector<std::uint8_t> m_receiveBuffer;
    std::unique_ptr<host_core> m_core;
    std::unique_ptr<status_pages> m_pages;
    std::unique_ptr<status_server> m_statusServer;
    std::unique_ptr<platform_watcher> m_watcher;
};

host_process::host_process(const process_settings &settings)
    : m_implementation(std::make_unique<implementation>(settings))
{
}

host_process::~host_process() = default;

int host_process::run()
{
    return m_implementation->run();
}

} // namespace figstair
