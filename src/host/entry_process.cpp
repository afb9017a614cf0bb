#include "figstair/host/entry_process.h"

#include <algorithm>
#include <csignal>
#include <ctime>
#include <random>

#include <sys/stat.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf.hpp>

#include "figstair/core/flow/entry_core.h"
#include "figstair/host/asio_endpoint.h"
#include "figstair/host/event_log.h"
#include "figstair/host/freeze_detector.h"
#include "figstair/host/metrics.h"
#include "figstair/host/status_server.h"
#include "figstair/host/store_session.h"
#include "figstair/host/system_clock_source.h"

namespace leaf = boost::leaf;
namespace asio = boost::asio;
using asio::ip::udp;

namespace figstair {
namespace {

constexpr int socketBufferBytes = 1 << 20;
constexpr int maxPacketsPerWakeup = 64;
constexpr std::size_t peerBufferBytes = 65536;

/// The event loop wakes up at least this often, so that freeze_detector can tell a freeze from
/// idle time.
constexpr milliseconds maxSleep{100};

/// Minimum sleep, so that timers due shortly after each other are handled together.
constexpr milliseconds minSleep{5};

constexpr milliseconds logFlushInterval{200};
constexpr milliseconds settingsCheckInterval{1000};

/// Interval of the periodic "state" log line: short enough to show the host's state before a
/// reported problem, long enough to be one line in thousands.
constexpr milliseconds stateLogInterval{10000};

/// Minimum time to serve after SIGTERM. Packets keep arriving until two readiness checks have
/// failed, and the platform checks twice a second.
constexpr milliseconds minDrainTime{1300};

/// Time without packets after which a leaving host exits.
constexpr milliseconds quietPeriodBeforeExit{300};

/// A leaving host exits this long before the platform would kill it.
constexpr milliseconds gracePeriodMargin{700};

std::uint64_t randomSeed()
{
    std::random_device device;
    return std::uint64_t{device()} << 32U | device();
}

} // namespace

class entry_process::implementation : public entry_output, public store_session::environment
{
public:
    implementation(const entry_process_settings &settings, std::string settingsFile,
                   const platform_adapter &adapter)
        : m_settings(settings)
        , m_settingsFile(std::move(settingsFile))
        , m_adapter(adapter)
        , m_log(settings.core.self.name, m_clock)
        , m_packetSocket(m_io)
        , m_peerSocket(m_io)
        , m_timer(m_io)
        , m_signals(m_io, SIGTERM, SIGINT, SIGHUP)
        , m_packetBuffer(adapter.maxPacketBytes() + 1)
        , m_peerBuffer(peerBufferBytes)
        , m_settingsModifiedAt(settingsModificationTime())
    {
        // Unix milliseconds increase with each start. If the clock was set back between two starts,
        // other hosts accept the new incarnation once the old one counts as silent.
        m_settings.core.self.incarnation =
            static_cast<std::uint64_t>(m_clock.wall().time_since_epoch().count());
        m_core = std::make_unique<entry_core>(m_settings.core, m_clock, randomSeed(), *this);
        openSocket(m_packetSocket, settings.listen);
        openSocket(m_peerSocket, settings.core.self.peerAddress);
        m_readinessServer = std::make_unique<status_server>(
            m_io, settings.readinessListen,
            [this](const std::string &target) { return readinessPage(target); });
        if (settings.metricsListen.port != 0) {
            m_metricsServer = std::make_unique<status_server>(
                m_io, settings.metricsListen, [this](const std::string &) {
                    return status_page{200, "text/plain", m_metrics.toPrometheus()};
                });
        }
        m_storeSession = std::make_unique<store_session>(
            adapter.openStore(m_io, settings.store, settings.storeTimeout), *m_core, m_clock,
            m_settings.core.self, settings.announcementTtl, settings.seeds, randomSeed(), *this);
        logEvent("started",
                 {{"zone", settings.core.self.zone},
                  {"listen", toString(settings.listen)},
                  {"peer", toString(settings.core.self.peerAddress)},
                  {"store", toString(settings.store)},
                  {"version", FIGSTAIR_VERSION}});
    }

    int run()
    {
        waitForSignal();
        receivePackets();
        receivePeerMessages();
        loop();
        m_io.run();
        logEvent("stopped", {});
        m_log.flush();
        return 0;
    }

private:
    // entry_output

    void forward(byte_view packet, const known_upstream &upstream) override
    {
        m_adapter.encodeForUpstream(packet, upstream, m_sendBuffer);
        send(m_packetSocket, toAsio<udp::endpoint>(upstream.entry.address), m_sendBuffer);
    }

    void reset(const flow_id &flow, std::uint32_t sequence) override
    {
        m_adapter.encodeReset(flow, sequence, m_sendBuffer);
        send(m_packetSocket,
             udp::endpoint(asio::ip::address_v4(flow.callerAddress), m_settings.listen.port),
             m_sendBuffer);
    }

    void logEvent(std::string_view name, event_fields fields) override
    {
        m_log.write(name, fields);
    }

    void count(entry_counter which, std::uint64_t amount) override
    {
        if (amount > 0) {
            m_metrics.count(which, amount);
        }
    }

    void observe(entry_distribution which, milliseconds value) override
    {
        m_metrics.observe(which, value);
    }

    // store_session::environment

    void relay(const entry_message &message) override
    {
        if (!m_peerKey) {
            return;
        }
        const byte_buffer bytes = encodeEntryMessage(*m_peerKey, message);
        checkSize(bytes);
        const std::vector<endpoint> targets = m_core->roster().relayTargets();
        count(entry_counter::viewBytesSent, bytes.size() * targets.size());
        for (const endpoint &target : targets) {
            sendToPeer(target, bytes);
        }
    }

    void sendToPeer(const endpoint &to, const entry_message &message) override
    {
        if (m_peerKey) {
            const byte_buffer bytes = encodeEntryMessage(*m_peerKey, message);
            checkSize(bytes);
            count(entry_counter::viewBytesSent, bytes.size());
            sendToPeer(to, bytes);
        }
    }

    void sendUnsigned(const endpoint &to, const unsigned_message &message) override
    {
        const byte_buffer bytes = encodeUnsigned(message);
        checkSize(bytes);
        count(entry_counter::viewBytesSent, bytes.size());
        sendToPeer(to, bytes);
    }

    peer_key key() const override { return m_peerKey.value_or(peer_key{}); }

    void adoptKey(const peer_key &key) override
    {
        if (!m_peerKey || *m_peerKey != key) {
            m_peerKey = key;
            logEvent("peer_key_adopted", {});
        }
    }

    // Sockets

    void openSocket(udp::socket &socket, const endpoint &address)
    {
        const auto local = toAsio<udp::endpoint>(address);
        socket.open(local.protocol());
        boost::system::error_code error;
        socket.set_option(asio::socket_base::receive_buffer_size(socketBufferBytes), error);
        if (error) {
            logEvent("socket_option_refused", {{"problem", error.message()}});
        }
        socket.bind(local);
        socket.non_blocking(true);
    }

    /// Records a message that other hosts will not accept.
    void checkSize(byte_view message)
    {
        if (message.size() > maxEntryMessageBytes) {
            count(entry_counter::relaysOversized, 1);
            logEvent("message_oversized", {{"bytes", std::to_string(message.size())}});
        }
    }

    void logSendError(boost::system::error_code error)
    {
        if (error) {
            logEvent("send_failed", {{"problem", error.message()}});
        }
    }

    void send(udp::socket &socket, const udp::endpoint &to, byte_view bytes)
    {
        boost::system::error_code error;
        socket.send_to(asio::buffer(bytes.data(), bytes.size()), to, 0, error);
        m_core->onDatagramSent(bytes.size());
        logSendError(error);
    }

    void sendToPeer(const endpoint &to, byte_view message)
    {
        send(m_peerSocket, toAsio<udp::endpoint>(to), message);
    }

    void receivePackets()
    {
        m_packetSocket.async_wait(udp::socket::wait_read, [this](boost::system::error_code error) {
            if (error) {
                return;
            }
            checkForFreeze();
            readPackets();
            runDueTasks();
            receivePackets();
        });
    }

    void readPackets()
    {
        for (int count = 0; count < maxPacketsPerWakeup; ++count) {
            boost::system::error_code error;
            const std::size_t size = m_packetSocket.receive(asio::buffer(m_packetBuffer), 0, error);
            if (error) {
                m_core->onInputDrained();
                return;
            }
            const byte_view bytes(m_packetBuffer.data(), size);
            const auto packet = m_adapter.decodePacket(bytes);
            if (!packet) {
                this->count(entry_counter::packetsMalformed, 1);
                logEvent("packet_malformed", {{"bytes", std::to_string(size)}});
                continue;
            }
            m_core->onPacket(*packet, bytes);
        }
    }

    void receivePeerMessages()
    {
        m_peerSocket.async_wait(udp::socket::wait_read, [this](boost::system::error_code error) {
            if (error) {
                return;
            }
            checkForFreeze();
            for (int count = 0; count < maxPacketsPerWakeup; ++count) {
                boost::system::error_code problem;
                udp::endpoint from;
                const std::size_t size =
                    m_peerSocket.receive_from(asio::buffer(m_peerBuffer), from, 0, problem);
                if (problem) {
                    observe(entry_distribution::peerMessageDelay,
                            m_storeSession->maxMessageDelay());
                    m_storeSession->onPeerMessagesRead();
                    break;
                }
                this->count(entry_counter::peerBytesReceived, size);
                onPeerMessage(fromAsio(from), byte_view(m_peerBuffer.data(), size));
            }
            receivePeerMessages();
        });
    }

    void onPeerMessage(const endpoint &from, byte_view bytes)
    {
        if (!m_peerKey && !isUnsigned(bytes)) {
            return;
        }
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                if (isUnsigned(bytes)) {
                    BOOST_LEAF_AUTO(request, decodeUnsigned(bytes));
                    handleUnsigned(from, request);
                    return {};
                }
                BOOST_LEAF_AUTO(message, decodeEntryMessage(*m_peerKey, bytes));
                std::visit([this](auto &content) { handleMessage(std::move(content)); }, message);
                return {};
            },
            [this](const entry_message_error &error) {
                count(entry_counter::peerMessagesRejected, 1);
                logEvent("peer_message_rejected", {{"problem", error.problem}});
            },
            [this] { count(entry_counter::peerMessagesRejected, 1); });
    }

    void handleUnsigned(const endpoint &from, const unsigned_message &message)
    {
        if (const auto *request = std::get_if<view_request>(&message)) {
            if (m_peerKey) {
                m_storeSession->onViewRequest(from, *request);
            }
        } else if (isSeed(from)) {
            m_storeSession->onSnapshot(std::get<view_snapshot>(message));
        }
    }

    bool isSeed(const endpoint &from) const
    {
        const std::vector<endpoint> &seeds = m_settings.seeds;
        return std::find(seeds.begin(), seeds.end(), from) != seeds.end();
    }

    void handleMessage(const peer_report &report)
    {
        m_core->onPeerReport(report, m_storeSession->feed().position());
        m_storeSession->onPeerReport(report);
    }
    void handleMessage(view_changes &&changes)
    {
        m_storeSession->onRelayedChanges(std::move(changes));
    }
    void handleMessage(const view_pull &pull) { m_storeSession->onPull(pull); }

    // Event loop

    void checkForFreeze()
    {
        if (const auto gap = m_freezeDetector.observe()) {
            logEvent("froze", {{"ms", std::to_string(gap->count())}});
            m_core->onFreeze(*gap);
            m_storeSession->onFreeze(*gap);
        }
    }

    void loop()
    {
        checkForFreeze();
        runDueTasks();
        const monotonic_time now = m_clock.monotonic();
        const monotonic_time next = std::min(
            {m_core->nextDeadline(), m_storeSession->nextDeadline(), m_core->nextReport()});
        m_timer.expires_after(std::clamp<milliseconds>(next - now, minSleep, maxSleep));
        m_timer.async_wait([this](boost::system::error_code error) {
            if (!error) {
                loop();
            }
        });
    }

    void runDueTasks()
    {
        const monotonic_time now = m_clock.monotonic();
        if (now >= m_core->nextDeadline()) {
            m_core->tick();
        }
        if (now >= m_storeSession->nextDeadline()) {
            m_storeSession->tick();
        }
        if (now >= m_core->nextReport()) {
            sendReport();
        }
        if (now >= m_nextLogFlush) {
            m_nextLogFlush = now + logFlushInterval;
            m_log.flush();
            count(entry_counter::logLinesDropped, m_log.takeDroppedCount());
        }
        if (now >= m_nextStateLog) {
            m_nextStateLog = now + stateLogInterval;
            logState(now);
        }
        if (now >= m_nextSettingsCheck) {
            m_nextSettingsCheck = now + settingsCheckInterval;
            reloadSettingsIfChanged();
        }
        if (m_core->isLeaving()) {
            exitIfQuiet(now);
        }
    }

    void logState(monotonic_time now)
    {
        const entry_state state = m_core->state();
        const auto counterText = [this](entry_counter which) {
            return std::to_string(m_metrics.value(which));
        };
        logEvent("state",
                 {{"view_epoch", std::to_string(m_storeSession->feed().position().epoch)},
                  {"view_revision", std::to_string(m_storeSession->feed().position().revision)},
                  {"view_age_ms",
                   m_storeSession->feed().isLoaded()
                       ? std::to_string(m_storeSession->feed().age(now).count())
                       : std::string("none")},
                  {"config", std::to_string(state.configVersion)},
                  {"hosts_alive", std::to_string(state.hostsAlive)},
                  {"upstreams", std::to_string(state.upstreams)},
                  {"ejected", std::to_string(state.ejected)},
                  {"held", std::to_string(state.flowsHeld)},
                  {"report_bytes", counterText(entry_counter::reportBytesSent)},
                  {"news_bytes", counterText(entry_counter::newsBytesSent)},
                  {"view_bytes", counterText(entry_counter::viewBytesSent)},
                  {"received_bytes", counterText(entry_counter::peerBytesReceived)},
                  {"store_calls", counterText(entry_counter::storeCalls)},
                  {"store_failures", counterText(entry_counter::storeFailures)},
                  {"relay_gaps", counterText(entry_counter::relaysWithGap)}});
    }

    void sendReport()
    {
        std::optional<outgoing_report> due = m_core->takeDueReport();
        if (!due || !m_peerKey) {
            return;
        }
        due->report.viewEpoch = m_storeSession->feed().position().epoch;
        due->report.viewRevision = m_storeSession->feed().position().revision;
        due->report.viewAge = m_storeSession->feed().lastReadAge(m_clock.monotonic());
        const byte_buffer bytes = encodeEntryMessage(*m_peerKey, due->report);
        count(due->report.isDelta ? entry_counter::newsBytesSent : entry_counter::reportBytesSent,
              bytes.size() * due->targets.size());
        for (const endpoint &target : due->targets) {
            sendToPeer(target, bytes);
        }
    }

    // Readiness and shutdown

    status_page readinessPage(const std::string &target)
    {
        if (target != m_adapter.readinessPath()) {
            return status_page{404, "text/plain", "not found\n"};
        }
        const bool isReady = !m_core->isLeaving() && m_core->hasConfig() && !m_core->isResuming()
            && m_core->isInRotation();
        return isReady ? status_page{200, "text/plain", "ready\n"}
                       : status_page{503, "text/plain", "not ready\n"};
    }

    void waitForSignal()
    {
        m_signals.async_wait([this](boost::system::error_code error, int signal) {
            if (error) {
                return;
            }
            if (signal == SIGHUP) {
                reloadSettings("signal");
            } else {
                startLeaving();
            }
            waitForSignal();
        });
    }

    void startLeaving()
    {
        if (m_core->isLeaving()) {
            return;
        }
        m_leavingSince = m_clock.monotonic();
        m_core->leave();
        m_storeSession->withdraw();
        sendReport();
        logEvent("leaving", {{"grace_ms", std::to_string(m_settings.gracePeriod.count())}});
    }

    void exitIfQuiet(monotonic_time now)
    {
        const milliseconds since = now - m_leavingSince;
        const bool isQuiet =
            since >= minDrainTime && now - m_core->lastPacketAt() >= quietPeriodBeforeExit;
        if (isQuiet || since + gracePeriodMargin >= m_settings.gracePeriod) {
            m_io.stop();
        }
    }

    // Settings

    std::int64_t settingsModificationTime() const
    {
        struct stat status
        {
        };
        if (stat(m_settingsFile.c_str(), &status) != 0) {
            return 0;
        }
        return std::int64_t{status.st_mtim.tv_sec} * 1'000'000'000 + status.st_mtim.tv_nsec;
    }

    void reloadSettingsIfChanged()
    {
        const std::int64_t time = settingsModificationTime();
        if (time != 0 && time != m_settingsModifiedAt) {
            reloadSettings("changed");
        }
    }

    void reloadSettings(const char *trigger)
    {
        m_settingsModifiedAt = settingsModificationTime();
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(text, readTextFile(m_settingsFile));
                BOOST_LEAF_AUTO(settings, parseEntrySettings(m_settingsFile, text));
                // Names and addresses cannot change while the process runs.
                settings.core.self = m_settings.core.self;
                m_settings.core = settings.core;
                m_settings.gracePeriod = settings.gracePeriod;
                m_core->updateSettings(m_settings.core);
                logEvent("settings_reloaded", {{"why", trigger}});
                return {};
            },
            [&](const settings_error &error) {
                logEvent("settings_rejected", {{"why", trigger}, {"problem", toText(error)}});
            },
            [&] {
                logEvent("settings_rejected", {{"why", trigger}});
            });
    }

    entry_process_settings m_settings;
    std::string m_settingsFile;
    const platform_adapter &m_adapter;
    system_clock_source m_clock;
    event_log m_log;
    entry_metrics m_metrics;
    freeze_detector m_freezeDetector;
    asio::io_context m_io{1};
    udp::socket m_packetSocket;
    udp::socket m_peerSocket;
    asio::steady_timer m_timer;
    asio::signal_set m_signals;
    std::unique_ptr<entry_core> m_core;
    std::unique_ptr<status_server> m_readinessServer;
    std::unique_ptr<status_server> m_metricsServer;
    std::unique_ptr<store_session> m_storeSession;
    std::optional<peer_key> m_peerKey;
    byte_buffer m_packetBuffer;
    byte_buffer m_peerBuffer;
    byte_buffer m_sendBuffer;
    std::int64_t m_settingsModifiedAt;
    monotonic_time m_nextLogFlush{};
    monotonic_time m_nextStateLog{};
    monotonic_time m_nextSettingsCheck{};
    monotonic_time m_leavingSince{};
};

entry_process::entry_process(const entry_process_settings &settings, std::string settingsFile,
                             const platform_adapter &adapter)
    : m_implementation(std::make_unique<implementation>(settings, std::move(settingsFile), adapter))
{
}

entry_process::~entry_process() = default;

int entry_process::run()
{
    return m_implementation->run();
}

} // namespace figstair
