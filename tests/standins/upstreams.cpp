#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>
#include <random>
#include <set>
#include <sstream>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include "figstair/host/asio_endpoint.h"
#include "figstair/host/framed_stream.h"
#include "figstair/host/process_settings.h"
#include "figstair/host/status_server.h"
#include "figstair/host/system_clock_source.h"
#include "figstair/table/sheet.h"
#include "figstair/wire/datagram.h"
#include "standin_tools.h"

namespace asio = boost::asio;
namespace leaf = boost::leaf;
namespace po = boost::program_options;
using asio::ip::tcp;
using figstair::datagram;
using figstair::datagram_type;
using figstair::milliseconds;
using figstair::monotonic_time;
using figstair::refusal_status;
using figstair::table_row;
using nlohmann::json;

namespace {

constexpr std::uint32_t maxRunningPerSlot = 2;

/// One upstream: runs requests concurrently, has a lower capacity while it warms up after a start,
/// and counts requests, refusals and capacity overruns. It does not deduplicate orders.
class upstream
{
public:
    upstream(asio::io_context &io, table_row row, milliseconds serviceTime, bool hidesColdPhase)
        : m_io(io)
        , m_row(std::move(row))
        , m_serviceTime(serviceTime)
        , m_hidesColdPhase(hidesColdPhase)
        , m_acceptor(io, figstair::toAsio<tcp::endpoint>(m_row.address))
        , m_random(figstair::addressHash(m_row.address) ^ m_row.address.port)
    {
        restart();
        m_startedAt -= m_row.warmup; // starts warm
        accept();
    }

    const table_row &row() const { return m_row; }
    void setDraining(bool isDraining) { m_isDraining = isDraining; }

    /// Simulates a restart: drops all running requests and starts cold.
    void restart()
    {
        m_startId = m_random();
        m_startedAt = m_clock.monotonic();
        m_running.clear();
    }

    json report() const
    {
        std::uint64_t maxRuns = 0;
        for (const auto &[order, runs] : m_orderRuns) {
            maxRuns = std::max(maxRuns, runs);
        }
        return json{{"name", m_row.name},
                    {"service", m_row.service},
                    {"zone", m_row.zone},
                    {"weight", m_row.weight},
                    {"served", m_served},
                    {"orders", m_orderRuns.size()},
                    {"runs_most", maxRuns},
                    {"foreign", m_wrongServiceRequests},
                    {"overruns", m_capacityOverruns},
                    {"peak", m_peakRunning},
                    {"sheds", m_refusedOverloaded},
                    {"last_work_ms", m_lastWorkMs},
                    {"received", m_received},
                    {"slots", m_row.slots}};
    }

    const std::map<std::string, std::uint64_t> &orderRuns() const { return m_orderRuns; }

private:
    using stream_pointer = std::shared_ptr<figstair::framed_stream>;
    struct running_work
    {
        std::uint64_t startId = 0;
        bool isCancelled = false;
    };

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
            if (error) {
                return;
            }
            const auto stream = std::make_shared<figstair::framed_stream>(std::move(socket));
            stream->setHandlers(
                [this, key = stream.get()](figstair::byte_view frame) {
                    handle(m_streams.at(key), frame);
                },
                [this, key = stream.get()](const boost::system::error_code &) {
                    m_streams.erase(key);
                });
            m_streams[stream.get()] = stream;
            stream->start();
            accept();
        });
    }

    void handle(const stream_pointer &stream, figstair::byte_view frame)
    {
        std::size_t consumed = 0;
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(message, figstair::decodeDatagram(frame, consumed));
                ++m_received;
                if (message.type == datagram_type::upstreamRequest) {
                    startWork(stream, message);
                } else if (message.type == datagram_type::probe) {
                    datagram answer;
                    answer.type = datagram_type::report;
                    answer.sequence = message.sequence;
                    send(stream, answer);
                }
                return {};
            },
            [] {});
    }

    /// Slots that can be in use now: grows linearly from the cold limit to all slots during
    /// warm-up.
    std::uint32_t currentCapacity() const
    {
        const auto elapsed = static_cast<double>((m_clock.monotonic() - m_startedAt).count());
        const double warmShare = m_row.warmup.count() == 0
            ? 1.0
            : std::min(1.0, elapsed / static_cast<double>(m_row.warmup.count()));
        return m_row.coldLimit
            + static_cast<std::uint32_t>(warmShare * (m_row.slots - m_row.coldLimit));
    }

    void startWork(const stream_pointer &stream, const datagram &message)
    {
        m_lastWorkMs = m_clock.wall().time_since_epoch().count();
        if (message.service != m_row.service) {
            ++m_wrongServiceRequests;
        }
        if (m_running.size() >= std::size_t{maxRunningPerSlot} * m_row.slots) {
            ++m_refusedOverloaded;
            datagram refusal;
            refusal.type = datagram_type::refusal;
            refusal.requestId = message.requestId;
            refusal.status = refusal_status::overloaded;
            refusal.retryAfterMs = 100;
            send(stream, refusal);
            return;
        }
        m_running[message.requestId] = m_startId;
        m_peakRunning = std::max<std::uint64_t>(m_peakRunning, m_running.size());
        if (m_running.size() > currentCapacity()) {
            ++m_capacityOverruns;
        }
        const std::string text(message.payload.begin(), message.payload.end());
        const std::string answer = makeAnswer(text, message.kind == figstair::request_kind::order);
        const double spread = std::uniform_real_distribution<>(0.5, 1.5)(m_random);
        auto timer = std::make_shared<asio::steady_timer>(m_io);
        timer->expires_after(std::chrono::microseconds(
            static_cast<std::int64_t>(spread * 1000 * static_cast<double>(m_serviceTime.count()))));
        timer->async_wait([this, timer, answer, to = std::weak_ptr(stream), id = message.requestId,
                           first = message.firstPart, count = message.partCount,
                           startId = m_startId](boost::system::error_code) {
            if (startId == m_startId) {
                finish(to.lock(), id, answer, first, count);
            }
        });
    }

    std::string makeAnswer(const std::string &text, bool isOrder)
    {
        const std::string place = m_row.service + " " + m_row.name + " " + m_row.zone;
        if (isOrder) {
            const std::uint64_t run = ++m_orderRuns[text];
            return text + " done " + place + " run " + std::to_string(run);
        }
        std::istringstream words(text);
        std::string name;
        std::string item;
        std::size_t size = 0;
        words >> name >> item >> size;
        if (name != "sheet") {
            return text + " answered " + place;
        }
        std::string content = "sheet " + item + " of " + m_row.service + "\n";
        std::mt19937_64 letters(XXH3_64bits(text.data(), text.size()));
        while (content.size() < size) {
            content += static_cast<char>('a' + letters() % 26);
        }
        return content;
    }

    void finish(const stream_pointer &stream, std::uint64_t requestId, const std::string &answer,
                std::uint32_t firstPart, std::uint32_t partCount)
    {
        m_running.erase(requestId);
        ++m_served;
        const auto total = static_cast<std::uint32_t>(std::max<std::size_t>(
            1, (answer.size() + figstair::maxPartBytes - 1) / figstair::maxPartBytes));
        const std::uint32_t endPart =
            partCount == 0 ? total : std::min(total, firstPart + partCount);
        for (std::uint32_t part = firstPart; part < endPart; ++part) {
            datagram message;
            message.type = datagram_type::answer;
            message.requestId = requestId;
            message.part = part;
            message.partTotal = total;
            message.digest = XXH3_64bits(answer.data(), answer.size());
            const std::size_t offset = part * figstair::maxPartBytes;
            const std::size_t size = std::min(figstair::maxPartBytes, answer.size() - offset);
            message.payload = figstair::byte_view(
                reinterpret_cast<const std::uint8_t *>(answer.data()) + offset, size);
            send(stream, message);
        }
    }

    void send(const stream_pointer &stream, datagram message)
    {
        if (stream == nullptr) {
            return; // the gate host has closed the stream
        }
        message.hasReport = true;
        message.report.startId = m_startId;
        message.report.slotsInUse = static_cast<std::uint32_t>(m_running.size());
        if (!m_hidesColdPhase && currentCapacity() < m_row.slots) {
            message.report.phase = figstair::upstream_phase::cold;
        }
        if (m_isDraining) {
            message.report.phase = figstair::upstream_phase::draining;
        }
        figstair::byte_buffer bytes;
        figstair::encodeDatagram(message, bytes);
        stream->send(bytes);
    }

    asio::io_context &m_io;
    table_row m_row;
    milliseconds m_serviceTime;
    bool m_hidesColdPhase;
    tcp::acceptor m_acceptor;
    std::map<const figstair::framed_stream *, stream_pointer> m_streams;
    std::mt19937_64 m_random;
    figstair::system_clock_source m_clock;
    std::uint64_t m_startId = 0;
    monotonic_time m_startedAt{};
    bool m_isDraining = false;
    std::map<std::uint64_t, std::uint64_t> m_running;
    std::map<std::string, std::uint64_t> m_orderRuns;
    std::uint64_t m_served = 0;
    std::uint64_t m_received = 0;
    std::uint64_t m_wrongServiceRequests = 0;
    std::uint64_t m_capacityOverruns = 0;
    std::uint64_t m_refusedOverloaded = 0;
    std::uint64_t m_peakRunning = 0;
    std::int64_t m_lastWorkMs = 0;
};

using upstream_list = std::vector<std::unique_ptr<upstream>>;

/// Highest number of runs of a single order, summed over all upstreams.
std::uint64_t maxRunsOfOneOrder(const upstream_list &upstreams)
{
    std::map<std::string, std::uint64_t> runs;
    std::uint64_t greatest = 0;
    for (const auto &item : upstreams) {
        for (const auto &[order, count] : item->orderRuns()) {
            runs[order] += count;
            greatest = std::max(greatest, runs[order]);
        }
    }
    return greatest;
}

std::string reportText(const upstream_list &upstreams)
{
    json list = json::array();
    for (const auto &item : upstreams) {
        list.push_back(item->report());
    }
    json orders = json::array();
    for (const auto &item : upstreams) {
        for (const auto &[order, count] : item->orderRuns()) {
            orders.push_back(order);
        }
    }
    return json{{"upstreams", list},
                {"order_runs_most", maxRunsOfOneOrder(upstreams)},
                {"orders_run", orders}}
        .dump(1);
}

figstair::status_page control(const std::string &target, upstream_list &upstreams)
{
    auto parameters = standins::parseTarget(target);
    for (const auto &item : upstreams) {
        const bool isMeant = item->row().name == parameters["name"];
        if (isMeant && parameters[""] == "/restart") {
            item->restart();
        }
        if (isMeant && parameters[""] == "/drain") {
            item->setDraining(true);
        }
    }
    return {200, "application/json", reportText(upstreams)};
}

} // namespace

int runUpstreams(const standin_words &words)
{
    po::options_description options;
    options.add_options()("sheet", po::value<std::string>()->required())(
        "control", po::value<std::string>()->required())(
        "service-ms", po::value<int>()->default_value(20))("false-reports", po::bool_switch());
    const auto values = standins::readOptions(words, options);
    asio::io_context io;
    upstream_list upstreams;
    const bool isRead = leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_AUTO(text, figstair::readTextFile(values["sheet"].as<std::string>()));
            BOOST_LEAF_AUTO(sheet, figstair::parseSheet("sheet", text));
            for (const table_row &row : sheet.rows) {
                if (row.kind == figstair::row_kind::upstream) {
                    upstreams.push_back(std::make_unique<upstream>(
                        io, row, milliseconds(values["service-ms"].as<int>()),
                        values["false-reports"].as<bool>()));
                }
            }
            return true;
        },
        [](const figstair::sheet_error &error) {
            std::cerr << toText(error) << "\n";
            return false;
        },
        [] { return false; });
    if (!isRead) {
        return 3;
    }
    const figstair::status_server server(
        io, standins::requireEndpoint(values["control"].as<std::string>()),
        [&](const std::string &target) { return control(target, upstreams); });
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code, int) { io.stop(); });
    io.run();
    return 0;
}
