#include <algorithm>
#include <array>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <sstream>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>

#include "figstair/core/gate/answer_assembly.h"
#include "figstair/host/asio_endpoint.h"
#include "figstair/host/system_clock_source.h"
#include "figstair/wire/datagram.h"
#include "standin_tools.h"

namespace asio = boost::asio;
namespace leaf = boost::leaf;
namespace po = boost::program_options;
using asio::ip::udp;
using figstair::datagram;
using figstair::datagram_type;
using figstair::milliseconds;
using figstair::monotonic_time;
using figstair::refusal_status;
using figstair::request_kind;
using nlohmann::json;

namespace {

constexpr milliseconds repeatInterval{400};
constexpr milliseconds requestBudget{3000};
constexpr milliseconds noProgressTimeout{10000};
constexpr std::uint32_t partsPerRequest = 32;

struct tally
{
    std::map<std::string, std::uint64_t> counts;
    std::map<std::string, std::uint64_t> brokenByZone;
    std::vector<std::int64_t> latenciesMs;
    std::vector<std::string> ordersRefusedAsNotRun;
    std::vector<std::string> ordersAnswered;
    std::uint64_t lastTraceId = 0;
};

struct call_plan
{
    std::string service;
    int requestsPerFlow = 0; ///< 0: unlimited, the flow stays open for the run
    double orderShare = 0;
    double sheetShare = 0;
    std::size_t sheetBytes = 0;
    milliseconds pauseBetweenRequests{0};
};

/// One caller with its own address: opens a flow, sends requests on it one at a time, closes it and
/// opens the next.
class caller
{
public:
    caller(asio::io_context &io, int number, const udp::endpoint &fabric, call_plan plan,
           tally &results)
        : m_socket(io, udp::endpoint(addressOf(number), 0))
        , m_timer(io)
        , m_fabric(fabric)
        , m_plan(std::move(plan))
        , m_results(results)
        , m_random(static_cast<std::uint64_t>(number))
        , m_name("c" + std::to_string(number))
    {
        m_socket.set_option(asio::socket_base::receive_buffer_size(1 << 20));
        m_requestId = m_random();
        receive();
        startNextStep();
    }

    void finish()
    {
        m_isFinishing = true;
        if (m_step == step::pausing) {
            m_timer.cancel();
        }
    }

    bool isDone() const { return m_step == step::done; }

private:
    enum class step { opening, requesting, pausing, done };
    enum class work_kind { small, order, sheet };

    static asio::ip::address addressOf(int number)
    {
        const auto high = static_cast<unsigned>(number / 200);
        const auto low = static_cast<unsigned>(number % 200 + 1);
        return asio::ip::address_v4((127U << 24) | (1U << 16) | (high << 8) | low);
    }

    void incrementCount(const std::string &name) { ++m_results.counts[name]; }

    void startNextStep()
    {
        if (m_isFinishing) {
            m_step = step::done;
            return;
        }
        if (!m_token.empty() && m_plan.requestsPerFlow > 0
            && m_requestsOnFlow >= m_plan.requestsPerFlow) {
            datagram close;
            close.type = datagram_type::close;
            close.token = m_token;
            send(close);
            m_token.clear();
        }
        m_startedAt = m_clock.monotonic();
        if (m_token.empty()) {
            openFlow();
        } else {
            startRequest();
        }
    }

    void openFlow()
    {
        m_step = step::opening;
        m_requestsOnFlow = 0;
        m_zone.clear();
        ++m_requestId;
        sendCurrentMessage();
    }

    void startRequest()
    {
        m_step = step::requesting;
        ++m_requestId;
        ++m_requestsOnFlow;
        incrementCount("requests");
        m_answer.clear();
        const double draw = std::uniform_real_distribution<>(0, 1)(m_random);
        m_kind = work_kind::small;
        m_payload = "ask " + m_name + "-" + std::to_string(m_requestsOnFlow);
        if (m_zone.empty()) {
            // A small request first: its answer names the zone of the flow.
        } else if (draw < m_plan.orderShare) {
            m_kind = work_kind::order;
            m_payload = "order " + m_name + "-" + std::to_string(m_requestId);
        } else if (draw < m_plan.orderShare + m_plan.sheetShare) {
            m_kind = work_kind::sheet;
            m_payload =
                "sheet " + std::to_string(m_random() % 8) + " " + std::to_string(m_plan.sheetBytes);
        }
        sendCurrentMessage();
    }

    /// Sends the message of the current step and starts the timer that repeats it.
    void sendCurrentMessage()
    {
        datagram message;
        message.requestId = m_requestId;
        if (m_step == step::opening) {
            message.type = datagram_type::open;
            message.service = m_plan.service;
        } else {
            fillRequest(message);
        }
        send(message);
        startTimer(repeatInterval);
    }

    void fillRequest(datagram &message)
    {
        message.type = datagram_type::request;
        message.traceId = m_requestId;
        message.token = m_token;
        message.budgetMs = static_cast<std::uint32_t>(requestBudget.count());
        message.kind = m_kind == work_kind::order ? request_kind::order : request_kind::idempotent;
        message.payload = figstair::byte_view(
            reinterpret_cast<const std::uint8_t *>(m_payload.data()), m_payload.size());
        if (m_kind == work_kind::sheet) {
            const auto range = m_answer.missingRange(partsPerRequest);
            message.firstPart = range ? range->first : 0;
            message.partCount = range ? range->count : partsPerRequest;
            m_rangeEnd = message.firstPart + message.partCount;
        }
    }

    void startTimer(milliseconds duration)
    {
        m_timer.expires_after(duration);
        m_timer.async_wait([this](boost::system::error_code error) {
            if (!error) {
                onTimer();
            } else if (m_isFinishing && m_step == step::pausing) {
                m_step = step::done;
            }
        });
    }

    void onTimer()
    {
        if (m_step == step::pausing) {
            startNextStep();
        } else if (m_clock.monotonic() - std::max(m_startedAt, m_lastProgressAt)
                   >= noProgressTimeout) {
            endRequest(m_step == step::opening ? "open_timeouts" : "timeouts");
            if (m_step != step::opening) {
                recordLostFlow();
            }
        } else {
            incrementCount("repeats");
            sendCurrentMessage();
        }
    }

    void recordLostFlow()
    {
        if (!m_token.empty() && m_zone.empty()) {
            incrementCount("flows_lost_before_first_answer");
        } else if (!m_token.empty()) {
            incrementCount("broken_flows");
            ++m_results.brokenByZone[m_zone];
        }
        m_token.clear();
    }

    void endRequest(const std::string &outcome)
    {
        incrementCount(outcome);
        m_step = step::pausing;
        startTimer(m_plan.pauseBetweenRequests + milliseconds(m_random() % 10));
    }

    void receive()
    {
        m_socket.async_receive_from(asio::buffer(m_receiveBuffer), m_sender,
                                    [this](boost::system::error_code error, std::size_t size) {
                                        if (!error) {
                                            handle(size);
                                        }
                                        receive();
                                    });
    }

    void handle(std::size_t size)
    {
        std::size_t consumed = 0;
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(message,
                                figstair::decodeDatagram({m_receiveBuffer.data(), size}, consumed));
                if (message.requestId == m_requestId
                    && (m_step == step::opening || m_step == step::requesting)) {
                    onMessage(message);
                }
                return {};
            },
            [] {});
    }

    void onMessage(const datagram &message)
    {
        if (message.type == datagram_type::opened) {
            m_token.assign(message.token.begin(), message.token.end());
            if (m_step == step::opening) {
                incrementCount("flows");
                startNextStep();
            } else {
                sendCurrentMessage();
            }
        } else if (message.type == datagram_type::answer && m_step == step::requesting) {
            onAnswer(message);
        } else if (message.type == datagram_type::refusal) {
            onRefusal(message);
        }
    }

    void onAnswer(const datagram &message)
    {
        if (!message.token.empty()) {
            m_token.assign(message.token.begin(), message.token.end());
        }
        m_lastProgressAt = m_clock.monotonic();
        m_answer.add(message);
        const auto missing = m_answer.missingRange(partsPerRequest);
        if (missing) {
            if (missing->first >= m_rangeEnd) {
                sendCurrentMessage();
            }
            return;
        }
        const std::string content = m_answer.content();
        if (!m_answer.isComplete() || !isOwnAnswer(content)) {
            endRequest("wrong_answers");
            return;
        }
        if (m_kind == work_kind::order) {
            m_results.ordersAnswered.push_back(m_payload);
        }
        m_results.lastTraceId = m_requestId;
        m_results.latenciesMs.push_back((m_clock.monotonic() - m_startedAt).count());
        endRequest("answered");
    }

    bool isOwnAnswer(const std::string &content)
    {
        if (m_kind == work_kind::sheet) {
            std::istringstream words(m_payload);
            std::string word;
            std::string item;
            words >> word >> item;
            const std::string start = "sheet " + item + " of " + m_plan.service + "\n";
            return content.rfind(start, 0) == 0 && content.size() == m_plan.sheetBytes;
        }
        std::istringstream words(content);
        std::string text;
        std::string service;
        std::string name;
        words >> text >> text >> text >> service >> name >> m_zone;
        return content.rfind(m_payload + " ", 0) == 0 && service == m_plan.service;
    }

    void onRefusal(const datagram &message)
    {
        switch (message.status) {
        case refusal_status::notRun:
            if (m_kind == work_kind::order) {
                m_results.ordersRefusedAsNotRun.push_back(m_payload);
            }
            endRequest("refused_not_run");
            renewToken();
            break;
        case refusal_status::unknown:
            endRequest("unknown");
            renewToken();
            break;
        case refusal_status::placeAgain:
            endRequest("refused_place_again");
            recordLostFlow();
            break;
        case refusal_status::badToken:
            endRequest("bad_tokens");
            recordLostFlow();
            break;
        case refusal_status::noService:
            endRequest("no_service");
            break;
        default:
            incrementCount("asked_to_wait");
            if (m_clock.monotonic() - m_startedAt >= requestBudget) {
                endRequest(m_step == step::opening ? "opens_refused" : "refused_overloaded");
            } else {
                startTimer(std::max(milliseconds(message.retryAfterMs), milliseconds(50)));
            }
            break;
        }
    }

    /// Requests a token that names the current gate host; the flow stays open.
    void renewToken()
    {
        if (m_token.empty()) {
            return;
        }
        m_step = step::opening;
        m_startedAt = m_clock.monotonic();
        ++m_requestId;
        datagram open;
        open.type = datagram_type::open;
        open.requestId = m_requestId;
        open.service = m_plan.service;
        open.token = m_token;
        send(open);
        m_token.clear();
        startTimer(repeatInterval);
    }

    void send(const datagram &message)
    {
        figstair::byte_buffer bytes;
        figstair::encodeDatagram(message, bytes);
        boost::system::error_code ignored;
        m_socket.send_to(asio::buffer(bytes), m_fabric, 0, ignored);
    }

    figstair::system_clock_source m_clock;
    udp::socket m_socket;
    asio::steady_timer m_timer;
    udp::endpoint m_fabric;
    call_plan m_plan;
    tally &m_results;
    std::mt19937_64 m_random;
    std::string m_name;
    udp::endpoint m_sender;
    std::array<std::uint8_t, 65536> m_receiveBuffer{};
    step m_step = step::pausing;
    bool m_isFinishing = false;
    figstair::byte_buffer m_token;
    std::string m_zone;
    std::uint64_t m_requestId = 0;
    int m_requestsOnFlow = 0;
    work_kind m_kind = work_kind::small;
    std::string m_payload;
    figstair::answer_assembly m_answer;
    std::uint32_t m_rangeEnd = 0;
    monotonic_time m_startedAt{};
    monotonic_time m_lastProgressAt{};
};

std::string resultText(tally &results)
{
    std::vector<std::int64_t> &latencies = results.latenciesMs;
    std::sort(latencies.begin(), latencies.end());
    const auto percentile = [&](double fraction) {
        return latencies.empty() ? 0
                                 : latencies[static_cast<std::size_t>(
                                     fraction * static_cast<double>(latencies.size() - 1))];
    };
    std::ostringstream trace;
    trace << std::hex << results.lastTraceId;
    return json{{"counts", results.counts},
                {"last_trace", trace.str()},
                {"broken_by_zone", results.brokenByZone},
                {"latency_ms",
                 {{"p50", percentile(0.5)}, {"p99", percentile(0.99)}, {"most", percentile(1.0)}}},
                {"orders_refused_as_not_run", results.ordersRefusedAsNotRun},
                {"orders_answered", results.ordersAnswered}}
        .dump(1);
}

} // namespace

int runCallers(const standin_words &words)
{
    po::options_description options;
    options.add_options()("fabric", po::value<std::string>()->required())(
        "desk", po::value<std::string>()->required(),
        "service that gets small requests and orders")(
        "catalogue", po::value<std::string>()->required(),
        "service that sends sheets")("callers", po::value<int>()->default_value(60))(
        "seconds", po::value<int>()->default_value(10))("pause-ms",
                                                        po::value<int>()->default_value(20))(
        "sheet-bytes", po::value<std::size_t>()->default_value(300000));
    const auto values = standins::readOptions(words, options);
    asio::io_context io;
    tally results;
    const auto fabric = figstair::toAsio<udp::endpoint>(
        standins::requireEndpoint(values["fabric"].as<std::string>()));
    const milliseconds pause(values["pause-ms"].as<int>());
    const auto desk = values["desk"].as<std::string>();
    const auto catalogue = values["catalogue"].as<std::string>();
    std::vector<std::unique_ptr<caller>> callers;
    for (int number = 0; number < values["callers"].as<int>(); ++number) {
        call_plan plan{desk, number % 3 == 0 ? 0 : 5, 0.3, 0.0, 0, pause};
        if (number % 6 == 5) {
            plan =
                call_plan{catalogue, 2, 0.0, 0.7, values["sheet-bytes"].as<std::size_t>(), pause};
        }
        callers.push_back(std::make_unique<caller>(io, number, fabric, plan, results));
    }
    asio::steady_timer end(io, std::chrono::seconds(values["seconds"].as<int>()));
    end.async_wait([&](boost::system::error_code) {
        for (const auto &item : callers) {
            item->finish();
        }
    });
    const auto isDone = [&] {
        return std::all_of(callers.begin(), callers.end(),
                           [](const auto &item) { return item->isDone(); });
    };
    while (!isDone()) {
        io.run_one_for(std::chrono::milliseconds(100));
    }
    std::cout << resultText(results) << "\n";
    return 0;
}
