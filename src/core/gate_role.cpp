#include "figstair/core/gate_role.h"

#include <algorithm>

#include <boost/leaf.hpp>

namespace leaf = boost::leaf;

namespace figstair {
namespace {

constexpr std::size_t maxWaitingOpens = 4096;
constexpr milliseconds shortRetry{200};
constexpr milliseconds reviewInterval{5000};

/// The token in @p message, or nothing when it is not accepted.
std::optional<flow_token> readToken(const token_keys &keys, const datagram &message)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<flow_token>> {
            BOOST_LEAF_AUTO(token, keys.verify(message.token));
            return std::optional<flow_token>(token);
        },
        []() -> std::optional<flow_token> { return std::nullopt; });
}

} // namespace

gate_role::gate_role(host_context &context)
    : m_context(context)
    , m_ledger(context.settings.maxOrderRecords, context.settings.maxOrderAnswerBytes)
    , m_openRetries(context.settings.openRetryShare, context.settings.openRetriesKept)
{
}

bool gate_role::isGateOf(const upstream_entry &upstream) const
{
    const member *gate = m_context.gates.gateOf(upstream);
    return gate != nullptr && gate->name == m_context.settings.self.name;
}

bool gate_role::mayReceivePackets(const upstream_entry &upstream) const
{
    return upstream.state != row_state::out && !m_context.rows.isZoneOut(upstream.zone);
}

/// The gate object of an upstream; nothing when this host is not its gate.
upstream_gate *gate_role::gateFor(const upstream_entry &upstream)
{
    if (!m_admitting || !mayReceivePackets(upstream) || !isGateOf(upstream)) {
        return nullptr;
    }
    std::unique_ptr<upstream_gate> &slot = m_gates[upstream.id];
    if (slot == nullptr) {
        const std::uint64_t correlation = m_context.random();
        slot = std::make_unique<upstream_gate>(upstream, m_context.settings.gate, m_context.clock,
                                               m_ledger, *this, m_context.output, correlation);
        m_upstreamAt[upstream.address] = upstream.id;
        m_context.output.count(counter::gateTakeovers, 1);
        slot->tick();
    }
    return slot.get();
}

void gate_role::onOpen(const datagram &message)
{
    if (!message.token.empty()) {
        const auto token = readToken(m_context.keys, message);
        if (token) {
            renewFlow(message, *token);
        }
        return;
    }
    auto candidates = candidate_list::decode(message.candidates);
    const upstream_entry *upstream = m_context.rows.upstream(message.upstreamId);
    if (!candidates) {
        return;
    }
    if (upstream == nullptr) {
        candidates->note(message.upstreamId, candidate::refused);
        passOpenOn(message, *candidates);
        return;
    }
    decideOpen(message, std::move(*candidates), *upstream);
}

void gate_role::decideOpen(const datagram &message, candidate_list candidates,
                           const upstream_entry &upstream)
{
    upstream_gate *gate = gateFor(upstream);
    if (gate != nullptr && gate->isUnknown()) {
        waitForReport(message, upstream.id);
        return;
    }
    if (gate == nullptr || !gate->admitsFlow()) {
        candidates.note(upstream.id, candidate::refused);
        passOpenOn(message, candidates);
        return;
    }
    const std::uint16_t ownLoad = gate->load();
    candidates.note(upstream.id, ownLoad);
    const candidate *least = candidates.leastLoaded();
    const bool mayCompare = candidates.answered() < 2 && candidates.nextToAsk() != nullptr;
    const bool isChosen = least->upstreamId == upstream.id;
    if (isChosen && (ownLoad < m_context.settings.lowLoad || !mayCompare)) {
        acceptFlow(message, upstream, m_context.random());
        return;
    }
    passOpenOn(message, candidates);
}

void gate_role::passOpenOn(const datagram &message, const candidate_list &candidates)
{
    const candidate *next = candidates.answered() < 2 ? candidates.nextToAsk() : nullptr;
    const bool isRetry = next != nullptr && candidates.refusals() > 0;
    if (next == nullptr) {
        next = candidates.leastLoaded();
    }
    const upstream_entry *upstream =
        next == nullptr ? nullptr : m_context.rows.upstream(next->upstreamId);
    const member *gate = upstream == nullptr ? nullptr : m_context.gates.gateOf(*upstream);
    if (gate == nullptr || message.hopsLeft == 0 || (isRetry && !m_openRetries.take())) {
        m_context.output.count(counter::opensRefused, 1);
        m_context.refuse(message.caller, message.requestId, refusal_status::overloaded, shortRetry);
        return;
    }
    const byte_buffer encoded = candidates.encode();
    datagram onward = message;
    onward.type = datagram_type::forwardOpen;
    onward.candidates = encoded;
    onward.upstreamId = upstream->id;
    onward.hopsLeft = message.hopsLeft - 1;
    if (gate->name == m_context.settings.self.name) {
        onOpen(onward);
    } else {
        m_context.sendToHost(*gate, onward);
    }
}

void gate_role::acceptFlow(const datagram &message, const upstream_entry &upstream,
                           std::uint64_t nonce)
{
    const flow_token_bytes bytes = mintToken(upstream, nonce, addressHash(message.caller));
    m_gates.at(upstream.id)->addFlow(nonce);
    m_openRetries.onSuccess();
    m_context.output.count(counter::flowsOpened, 1);
    datagram opened;
    opened.type = datagram_type::opened;
    opened.requestId = message.requestId;
    opened.token = bytes;
    opened.traceId = message.traceId;
    m_context.send(message.caller, opened);
}

flow_token_bytes gate_role::mintToken(const upstream_entry &upstream, std::uint64_t nonce,
                                      std::uint64_t callerHash)
{
    flow_token token;
    token.serviceId = upstream.serviceId;
    token.upstreamId = upstream.id;
    token.gateIncarnation = m_context.members.self().incarnation;
    token.issuedAt = m_context.clock.wall();
    token.nonce = nonce;
    token.callerHash = callerHash;
    m_lastToken[upstream.id] = token.issuedAt;
    return m_context.keys.mint(token, token.issuedAt);
}

/// Answers an open that carries a token: the same flow, with this host as its gate.
void gate_role::renewFlow(const datagram &message, const flow_token &token)
{
    const upstream_entry *upstream = m_context.rows.upstream(token.upstreamId);
    if (upstream == nullptr || !mayReceivePackets(*upstream)) {
        m_context.refuse(message.caller, message.requestId, refusal_status::placeAgain);
        return;
    }
    if (gateFor(*upstream) != nullptr) {
        acceptFlow(message, *upstream, token.nonce);
    } else if (!passToGate(message, *upstream)) {
        m_context.refuse(message.caller, message.requestId, refusal_status::overloaded, shortRetry);
    }
}

void gate_role::waitForReport(const datagram &message, std::uint32_t upstreamId)
{
    if (m_waitingOpens.size() >= maxWaitingOpens) {
        m_context.refuse(message.caller, message.requestId, refusal_status::overloaded, shortRetry);
        return;
    }
    waiting_open waiting;
    encodeDatagram(message, waiting.message);
    waiting.upstreamId = upstreamId;
    waiting.until = m_context.clock.monotonic() + m_context.settings.takeoverPatience;
    m_waitingOpens.push_back(std::move(waiting));
}

void gate_role::retryWaitingOpens()
{
    std::vector<waiting_open> opens = std::move(m_waitingOpens);
    m_waitingOpens.clear();
    const monotonic_time now = m_context.clock.monotonic();
    for (waiting_open &open : opens) {
        const auto gate = m_gates.find(open.upstreamId);
        const bool stillUnknown = gate != m_gates.end() && gate->second->isUnknown();
        if (stillUnknown && now < open.until) {
            m_waitingOpens.push_back(std::move(open));
            continue;
        }
        std::size_t consumed = 0;
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(message, decodeDatagram(open.message, consumed));
                if (stillUnknown) {
                    auto candidates = candidate_list::decode(message.candidates);
                    candidates->note(open.upstreamId, candidate::refused);
                    passOpenOn(message, *candidates);
                } else {
                    onOpen(message);
                }
                return {};
            },
            [] {});
    }
}

void gate_role::onRequest(const datagram &message)
{
    const auto token = readToken(m_context.keys, message);
    if (!token) {
        m_context.output.count(counter::badTokens, 1);
        return;
    }
    if (message.kind == request_kind::order) {
        onOrder(message, *token);
        return;
    }
    const upstream_entry *upstream = m_context.rows.upstream(token->upstreamId);
    if (upstream == nullptr || upstream->serviceId != token->serviceId
        || !mayReceivePackets(*upstream)) {
        m_context.refuse(message.caller, message.requestId, refusal_status::placeAgain);
        return;
    }
    onIdempotent(message, *token, *upstream);
}

void gate_role::onIdempotent(const datagram &message, const flow_token &token,
                             const upstream_entry &upstream)
{
    upstream_gate *gate = gateFor(upstream);
    if (gate != nullptr) {
        gate->accept(makeWork(message, token));
    } else if (!passToGate(message, upstream)) {
        m_context.refuse(message.caller, message.requestId, refusal_status::overloaded, shortRetry);
    }
}

/// Forwards to the host that this host takes for the gate. Returns false when there is none.
bool gate_role::passToGate(const datagram &message, const upstream_entry &upstream)
{
    const member *gate = m_context.gates.gateOf(upstream);
    if (gate == nullptr || gate->name == m_context.settings.self.name || message.hopsLeft == 0) {
        return false;
    }
    datagram onward = message;
    onward.hopsLeft = message.hopsLeft - 1;
    m_context.sendToHost(*gate, onward);
    return true;
}

void gate_role::onOrder(const datagram &message, const flow_token &token)
{
    const order_key key{token.nonce, message.requestId};
    order_record *record = m_ledger.find(key);
    if (record != nullptr) {
        answerRecordedOrder(message, *record);
        return;
    }
    if (!m_admitting && !m_leaving) {
        m_context.refuse(message.caller, message.requestId, refusal_status::tryAgain, shortRetry);
        return;
    }
    const bool isOwnToken = token.gateIncarnation == m_context.members.self().incarnation;
    const wall_time now = m_context.clock.wall();
    const bool isFresh = now < token.issuedAt + m_context.settings.orderWindow;
    const upstream_entry *upstream = m_context.rows.upstream(token.upstreamId);
    if (upstream != nullptr && isGateOf(*upstream)) {
        m_gateSince.emplace(token.upstreamId, m_context.clock.monotonic());
    }
    if (!isOwnToken || !isFresh) {
        settleForeignOrder(message, token);
        return;
    }
    upstream_gate *gate = upstream == nullptr || upstream->serviceId != token.serviceId || m_leaving
        ? nullptr
        : gateFor(*upstream);
    if (gate == nullptr) {
        refuseNewOrder(message, token);
        return;
    }
    if (m_ledger.add(key, token.upstreamId, order_state::pending, recordExpiry(token)) == nullptr) {
        m_context.refuse(message.caller, message.requestId, refusal_status::tryAgain, shortRetry);
        return;
    }
    m_context.output.count(counter::ordersAccepted, 1);
    gate->accept(makeWork(message, token));
}

void gate_role::answerRecordedOrder(const datagram &message, order_record &record)
{
    m_context.output.count(counter::ordersRepeated, 1);
    if (record.state == order_state::notRun || record.state == order_state::unknown) {
        const bool wasRefused = record.state == order_state::notRun;
        m_context.refuse(message.caller, message.requestId,
                         wasRefused ? refusal_status::notRun : refusal_status::unknown);
        return;
    }
    for (const auto &[number, payload] : record.parts) {
        datagram answer;
        answer.type = datagram_type::answer;
        answer.requestId = message.requestId;
        answer.part = number;
        answer.partTotal = record.partTotal;
        answer.digest = record.digest;
        answer.payload = payload;
        m_context.send(message.caller, answer);
    }
}

/// Settles an order that only another gate could have run. It is not run here; whether it was run
/// there is known only with that gate's records.
void gate_role::settleForeignOrder(const datagram &message, const flow_token &token)
{
    const bool isComplete = m_ledger.inherits(token.gateIncarnation, token.upstreamId);
    if (!isComplete && mayInheritSoon(token)) {
        m_context.refuse(message.caller, message.requestId, refusal_status::tryAgain, shortRetry);
        return;
    }
    const order_state state = isComplete ? order_state::notRun : order_state::unknown;
    if (!isComplete) {
        m_context.output.logEvent("order_unknown",
                                  {{"reason", "records of its gate are not here"},
                                   {"upstream_id", std::to_string(token.upstreamId)},
                                   {"gate", std::to_string(token.gateIncarnation)}});
    }
    const order_key key{token.nonce, message.requestId};
    const wall_time now = m_context.clock.wall();
    if (m_ledger.add(key, token.upstreamId, state, now + recordLife()) == nullptr) {
        m_context.refuse(message.caller, message.requestId, refusal_status::tryAgain, shortRetry);
        return;
    }
    m_context.refuse(message.caller, message.requestId,
                     isComplete ? refusal_status::notRun : refusal_status::unknown);
}

/// Whether the records of the token's gate, or word of the gate itself, may still be on the way.
bool gate_role::mayInheritSoon(const flow_token &token) const
{
    const bool isOwn = token.gateIncarnation == m_context.members.self().incarnation;
    const milliseconds tokenAge = m_context.clock.wall() - token.issuedAt;
    if (!isOwn && tokenAge < m_context.settings.inheritancePatience) {
        return true; // its gate served a moment ago and may be too new to be known here
    }
    const auto since = m_gateSince.find(token.upstreamId);
    return !isOwn && since != m_gateSince.end()
        && m_context.clock.monotonic() - since->second < m_context.settings.inheritancePatience;
}

/// Refuses an order for good: the record keeps every later copy from being run.
void gate_role::refuseNewOrder(const datagram &message, const flow_token &token)
{
    const order_key key{token.nonce, message.requestId};
    const bool isRecorded =
        m_ledger.add(key, token.upstreamId, order_state::notRun, recordExpiry(token)) != nullptr;
    m_context.refuse(message.caller, message.requestId,
                     isRecorded ? refusal_status::notRun : refusal_status::tryAgain, shortRetry);
}

wall_time gate_role::recordExpiry(const flow_token &token) const
{
    return token.issuedAt + recordLife();
}

milliseconds gate_role::recordLife() const
{
    return m_context.settings.orderWindow + m_context.settings.orderMargin;
}

work_request gate_role::makeWork(const datagram &message, const flow_token &token) const
{
    work_request work;
    work.kind = message.kind;
    work.caller = message.caller;
    work.callerHash = token.callerHash;
    work.key = order_key{token.nonce, message.requestId};
    work.service = m_context.rows.service(token.serviceId)->name;
    work.firstPart = message.firstPart;
    work.partCount = message.partCount;
    work.budget = milliseconds(std::min(message.budgetMs, m_context.settings.maxBudgetMs));
    work.traceId = message.traceId;
    work.parentSpan = message.spanId;
    work.payload.assign(message.payload.begin(), message.payload.end());
    const milliseconds tokenAge = m_context.clock.wall() - token.issuedAt;
    work.renewToken = token.gateIncarnation != m_context.members.self().incarnation
        || tokenAge > m_context.settings.tokenLife / 2;
    return work;
}

void gate_role::onClose(const datagram &message)
{
    const auto token = readToken(m_context.keys, message);
    if (!token) {
        return;
    }
    const auto gate = m_gates.find(token->upstreamId);
    if (gate != m_gates.end()) {
        gate->second->removeFlow(token->nonce);
    }
}

void gate_role::onUpstream(const endpoint &from, const datagram &message)
{
    const auto id = m_upstreamAt.find(from);
    const auto gate = id == m_upstreamAt.end() ? m_gates.end() : m_gates.find(id->second);
    if (gate == m_gates.end()) {
        m_context.output.count(counter::lateAnswers, 1);
        return;
    }
    if (message.type == datagram_type::answer) {
        gate->second->onAnswer(message);
    } else if (message.type == datagram_type::refusal) {
        gate->second->onRefusal(message);
    } else if (message.type == datagram_type::report && message.hasReport) {
        gate->second->onReport(message.report);
        retryWaitingOpens();
    }
}

void gate_role::tick()
{
    const monotonic_time now = m_context.clock.monotonic();
    if (m_reviewedMembers != m_context.members.version()
        || m_reviewedRevision != m_context.rows.revision() || now >= m_nextReview) {
        m_nextReview = now + reviewInterval;
        review();
        forgetOldTokens();
    }
    for (const auto &[id, gate] : m_gates) {
        gate->tick();
    }
    retryWaitingOpens();
    m_ledger.expire(m_context.clock.wall());
}

void gate_role::review()
{
    m_reviewedMembers = m_context.members.version();
    m_reviewedRevision = m_context.rows.revision();
    const monotonic_time now = m_context.clock.monotonic();
    for (auto item = m_gateSince.begin(); item != m_gateSince.end();) {
        const upstream_entry *upstream = m_context.rows.upstream(item->first);
        const bool isGate = upstream != nullptr && isGateOf(*upstream);
        item = isGate ? std::next(item) : m_gateSince.erase(item);
    }
    for (auto item = m_gates.begin(); item != m_gates.end();) {
        upstream_gate &gate = *item->second;
        const upstream_entry *upstream = m_context.rows.upstream(item->first);
        bool isOver = false;
        if (upstream == nullptr || !mayReceivePackets(*upstream)) {
            gate.abandon();
            isOver = true;
        } else {
            gate.update(*upstream);
            const bool isIdle = now - gate.lastUse() >= m_context.settings.gateIdleTime;
            isOver = !gate.hasWork() && (!isGateOf(*upstream) || isIdle);
        }
        if (isOver) {
            m_upstreamAt.erase(gate.upstream().address);
            item = m_gates.erase(item);
        } else {
            ++item;
        }
    }
}

void gate_role::onFreeze()
{
    for (const auto &[id, gate] : m_gates) {
        gate->distrust();
    }
    m_waitingOpens.clear();
}

bool gate_role::isIdle() const
{
    return m_waitingOpens.empty()
        && std::none_of(m_gates.begin(), m_gates.end(),
                        [](const auto &item) { return item.second->hasWork(); });
}

void gate_role::forgetOldTokens()
{
    const wall_time now = m_context.clock.wall();
    for (auto item = m_lastToken.begin(); item != m_lastToken.end();) {
        item = now >= item->second + recordLife() ? m_lastToken.erase(item) : std::next(item);
    }
}

std::vector<order_handover> gate_role::handovers() const
{
    std::vector<order_handover> batches;
    std::set<std::uint32_t> upstreams = m_ledger.inheritedUpstreams();
    for (const auto &[id, issuedAt] : m_lastToken) {
        upstreams.insert(id);
    }
    for (const std::uint32_t id : upstreams) {
        order_handover batch;
        batch.gateIncarnations = m_ledger.inheritedFrom(id);
        batch.gateIncarnations.push_back(m_context.members.self().incarnation);
        batch.upstreamId = id;
        batch.records = m_ledger.recordsOf(id);
        batches.push_back(std::move(batch));
    }
    return batches;
}

std::vector<order_handover> gate_role::misplacedInheritance() const
{
    std::vector<order_handover> batches;
    for (const std::uint32_t id : m_ledger.inheritedUpstreams()) {
        const upstream_entry *upstream = m_context.rows.upstream(id);
        const member *gate = upstream == nullptr ? nullptr : m_context.gates.gateOf(*upstream);
        const auto passed = m_inheritancePassedTo.find(id);
        const bool isPassed = gate != nullptr && passed != m_inheritancePassedTo.end()
            && passed->second == gate->incarnation;
        if (gate == nullptr || gate->name == m_context.settings.self.name || isPassed) {
            continue;
        }
        batches.push_back(order_handover{m_ledger.inheritedFrom(id), id, m_ledger.recordsOf(id)});
    }
    return batches;
}

void gate_role::onInheritancePassed(std::uint32_t upstreamId, std::uint64_t gateIncarnation)
{
    m_inheritancePassedTo[upstreamId] = gateIncarnation;
}

bool gate_role::inherit(const order_handover &batch)
{
    m_inheritancePassedTo.erase(batch.upstreamId);
    return m_ledger.inherit(batch.gateIncarnations, batch.upstreamId, batch.records,
                            m_context.clock.wall() + recordLife());
}

void gate_role::toUpstream(const upstream_entry &upstream, const datagram &message)
{
    m_context.sendToUpstream(upstream.address, message);
}

void gate_role::toCaller(const endpoint &caller, const datagram &message)
{
    m_context.send(caller, message);
}

byte_buffer gate_role::renewedToken(const work_request &request, std::uint32_t upstreamId)
{
    const upstream_entry *upstream = m_context.rows.upstream(upstreamId);
    if (upstream == nullptr) {
        return {};
    }
    const flow_token_bytes bytes = mintToken(*upstream, request.key.flowNonce, request.callerHash);
    return {bytes.begin(), bytes.end()};
}

} // namespace figstair
