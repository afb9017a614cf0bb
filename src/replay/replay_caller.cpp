#include "figstair/replay/replay_caller.h"

#include "figstair/replay/trace.h"

#include <algorithm>
#include <sstream>

#include <boost/leaf.hpp>

namespace leaf = boost::leaf;

namespace figstair {
namespace {

constexpr milliseconds retryInterval{400};
constexpr milliseconds requestTimeout{10000}; ///< since the last progress
constexpr milliseconds minRetryDelay{50};
constexpr std::uint32_t partsPerRequest = 32;
constexpr std::size_t copiesViaAllHosts = 16;

} // namespace

replay_caller::replay_caller(std::string name, const endpoint &address, timeline &time,
                             replay_network &network, host_picker pickHost, caller_tally &tally)
    : m_name(std::move(name))
    , m_address(address)
    , m_time(time)
    , m_network(network)
    , m_pickHost(std::move(pickHost))
    , m_tally(tally)
    , m_nextId(addressHash(address) | 1)
{
    listen();
}

void replay_caller::listen()
{
    m_network.addNode(m_name, "callers", m_address,
                      [this](const endpoint &, const byte_buffer &bytes) { onDatagram(bytes); });
}

void replay_caller::moveTo(const endpoint &address)
{
    m_address = address;
    listen();
}

void replay_caller::open(const std::string &service)
{
    m_service = service;
    pending_request pending;
    pending.id = ++m_nextId;
    pending.isOpen = true;
    pending.startedAt = m_time.monotonic();
    pending.text = "open " + m_name;
    sendPending(pending);
    scheduleRetry(pending.id, retryInterval);
    m_pending.emplace(pending.id, std::move(pending));
}

void replay_caller::request(const std::string &text, bool isOrder, milliseconds budget,
                            const std::string &via, bool repeats)
{
    pending_request pending;
    pending.id = ++m_nextId;
    pending.text = text;
    pending.isOrder = isOrder;
    pending.budget = budget;
    pending.via = via;
    pending.isRetried = repeats;
    pending.token = m_token;
    pending.startedAt = m_time.monotonic();
    sendPending(pending);
    scheduleRetry(pending.id, retryInterval);
    m_pending.emplace(pending.id, std::move(pending));
}

void replay_caller::sendDuplicate(const std::string &text, const std::string &via)
{
    const auto found = m_sentOrders.find(text);
    if (found == m_sentOrders.end()) {
        throw trace_problem{"no order '" + text + "' has been sent"};
    }
    m_network.send(m_address, m_pickHost(via), found->second);
}

void replay_caller::startLoad(const std::string &service, const std::string &text, bool isOrder,
                              milliseconds pause, milliseconds budget, monotonic_time until,
                              int perFlow)
{
    m_load = load_plan{service, text, isOrder, pause, budget, until, 0, perFlow};
    continueLoad();
}

void replay_caller::continueLoad()
{
    if (m_time.monotonic() >= m_load.until) {
        return;
    }
    if (isRenewing()) {
        m_time.runAfter(minRetryDelay, [this] { continueLoad(); });
        return;
    }
    if (m_load.requestsPerFlow > 0 && m_load.requestsOnFlow >= m_load.requestsPerFlow) {
        m_load.requestsOnFlow = 0;
        closeFlow();
    }
    if (m_token.empty()) {
        open(m_load.service);
        return;
    }
    ++m_load.requestsOnFlow;
    std::string text = m_load.text;
    if (text.rfind("sheet", 0) != 0) {
        text += "-" + m_name + "-" + std::to_string(m_nextId);
    }
    request(text, m_load.isOrder, m_load.budget, "", true);
}

void replay_caller::sendPending(pending_request &pending)
{
    datagram message;
    message.requestId = pending.id;
    if (pending.isOpen) {
        message.type = datagram_type::open;
        message.service = m_service;
        message.token = pending.token;
    } else {
        message.type = datagram_type::request;
        message.token = pending.token;
        message.kind = pending.isOrder ? request_kind::order : request_kind::idempotent;
        message.budgetMs = static_cast<std::uint32_t>(pending.budget.count());
        message.payload = byte_view(reinterpret_cast<const std::uint8_t *>(pending.text.data()),
                                    pending.text.size());
    }
    if (pending.text.rfind("sheet", 0) == 0) {
        const auto range = pending.answer.missingRange(partsPerRequest);
        message.firstPart = range ? range->first : 0;
        message.partCount = range ? range->count : partsPerRequest;
        pending.rangeEnd = message.firstPart + message.partCount;
    }
    byte_buffer bytes;
    encodeDatagram(message, bytes);
    if (pending.isOrder) {
        m_sentOrders[pending.text] = bytes;
    }
    const std::size_t copies = pending.via == "all" ? copiesViaAllHosts : 1;
    for (std::size_t copy = 0; copy < copies; ++copy) {
        ++m_tally.sent;
        m_network.send(m_address, m_pickHost(pending.via), bytes);
    }
}

void replay_caller::scheduleRetry(std::uint64_t id, milliseconds delay)
{
    m_time.runAfter(delay, [this, id] {
        const auto found = m_pending.find(id);
        if (found == m_pending.end()) {
            return;
        }
        pending_request &pending = found->second;
        const monotonic_time waitingSince = std::max(pending.startedAt, pending.lastProgressAt);
        if (m_time.monotonic() - waitingSince >= requestTimeout) {
            ++m_tally.timeouts;
            const bool isOpen = pending.isOpen;
            completeRequest(id, "timeout");
            if (!isOpen) {
                abandonFlow();
            }
            return;
        }
        if (pending.isRetried) {
            sendPending(pending);
        }
        scheduleRetry(id, retryInterval);
    });
}

void replay_caller::onDatagram(const byte_buffer &bytes)
{
    std::size_t consumed = 0;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(message, decodeDatagram(bytes, consumed));
            const auto pending = m_pending.find(message.requestId);
            if (pending != m_pending.end()) {
                onMessage(pending->second, message);
            }
            return {};
        },
        [] {});
}

void replay_caller::onMessage(pending_request &pending, const datagram &message)
{
    if (message.type == datagram_type::opened) {
        onOpened(pending, message);
    } else if (message.type == datagram_type::answer && !pending.isOpen) {
        onAnswer(pending, message);
    } else if (message.type == datagram_type::refusal) {
        onRefusal(pending, message);
    }
}

void replay_caller::onOpened(pending_request &pending, const datagram &message)
{
    m_token.assign(message.token.begin(), message.token.end());
    if (!pending.isOpen) {
        pending.token = m_token;
        sendPending(pending);
        return;
    }
    m_tally.opened += pending.isRenewal ? 0 : 1;
    completeRequest(pending.id, "opened");
}

void replay_caller::onAnswer(pending_request &pending, const datagram &message)
{
    if (!message.token.empty()) {
        m_token.assign(message.token.begin(), message.token.end());
    }
    pending.lastProgressAt = m_time.monotonic();
    pending.answer.add(message);
    const auto missing = pending.answer.missingRange(partsPerRequest);
    if (missing) {
        if (missing->first >= pending.rangeEnd) {
            sendPending(pending);
        }
        return;
    }
    if (!pending.answer.isComplete() || !isExpectedAnswer(pending, pending.answer.content())) {
        ++m_tally.wrongAnswers;
    }
    ++m_tally.answered;
    ++m_answered;
    m_tally.latenciesMs.push_back((m_time.monotonic() - pending.startedAt).count());
    m_tally.answerTimes.push_back(m_time.monotonic());
    completeRequest(pending.id, "answered");
}

/// Whether an answer belongs to the request and comes from an upstream of its service. Stores the
/// upstream's zone.
bool replay_caller::isExpectedAnswer(const pending_request &pending, const std::string &content)
{
    if (pending.text.rfind("sheet", 0) == 0) {
        std::istringstream words(content.substr(0, content.find('\n')));
        std::string word;
        std::string service;
        words >> word >> word >> word >> service >> word >> m_upstreamZone;
        return service == m_service;
    }
    if (content.rfind(pending.text + " ", 0) != 0) {
        return false;
    }
    std::istringstream words(content.substr(pending.text.size()));
    std::string verb;
    std::string service;
    std::string upstream;
    words >> verb >> service >> upstream >> m_upstreamZone;
    return service == m_service;
}

void replay_caller::onRefusal(pending_request &pending, const datagram &message)
{
    const std::uint64_t id = pending.id;
    switch (message.status) {
    case refusal_status::notRun:
        ++m_tally.refusedNotRun;
        m_tally.ordersNotRun.insert(pending.text);
        completeRequest(id, "notRun");
        renewToken();
        break;
    case refusal_status::unknown:
        ++m_tally.unknown;
        completeRequest(id, "unknown");
        renewToken();
        break;
    case refusal_status::placeAgain:
    case refusal_status::badToken:
        ++m_tally.placeAgain;
        completeRequest(id, "placeAgain");
        abandonFlow();
        break;
    case refusal_status::noService:
        completeRequest(id, "noService");
        break;
    default: {
        const bool isBudgetSpent = m_time.monotonic() - pending.startedAt >= pending.budget;
        if (message.status == refusal_status::overloaded && isBudgetSpent) {
            ++m_tally.overloaded;
            completeRequest(id, "overloaded");
        }
        break;
    }
    }
}

void replay_caller::completeRequest(std::uint64_t id, const std::string &outcome)
{
    const auto found = m_pending.find(id);
    m_tally.outcomes[found->second.text] = outcome;
    const bool isOpen = found->second.isOpen;
    const bool isRenewal = found->second.isRenewal;
    m_pending.erase(found);
    if (!isRenewal && m_load.until > m_time.monotonic()) {
        const milliseconds pause = isOpen && outcome == "opened" ? milliseconds(0) : m_load.pause;
        m_time.runAfter(std::max(pause, outcome == "overloaded" ? minRetryDelay : milliseconds(1)),
                        [this] { continueLoad(); });
    }
}

/// Counts the flow as lost and clears its state.
void replay_caller::abandonFlow()
{
    if (!m_token.empty() && m_upstreamZone.empty()) {
        ++m_tally.lostBeforeFirstAnswer;
    } else if (!m_token.empty()) {
        ++m_tally.brokenFlows;
        ++m_tally.brokenByZone[m_upstreamZone];
    }
    m_token.clear();
    m_upstreamZone.clear();
}

/// Requests a token that names the current gate. The flow itself stays open.
void replay_caller::renewToken()
{
    if (m_token.empty() || isRenewing()) {
        return;
    }
    pending_request pending;
    pending.id = ++m_nextId;
    pending.isOpen = true;
    pending.isRenewal = true;
    pending.token = m_token;
    pending.text = "renew " + m_name;
    pending.startedAt = m_time.monotonic();
    sendPending(pending);
    scheduleRetry(pending.id, retryInterval);
    m_pending.emplace(pending.id, std::move(pending));
}

bool replay_caller::isRenewing() const
{
    return std::any_of(m_pending.begin(), m_pending.end(),
                       [](const auto &item) { return item.second.isRenewal; });
}

void replay_caller::closeFlow()
{
    if (m_token.empty()) {
        return;
    }
    datagram close;
    close.type = datagram_type::close;
    close.token = m_token;
    byte_buffer bytes;
    encodeDatagram(close, bytes);
    m_network.send(m_address, m_pickHost(""), bytes);
    m_token.clear();
    m_upstreamZone.clear();
}

} // namespace figstair
