#include "figstair/core/gate/gate_role.h"

#include <algorithm>

#include <boost/leaf.hpp>

namespace leaf = boost::leaf;

namespace figstair {
namespace {

constexpr std::size_t maxWaitingOpens = 4096;
constexpr milliseconds retryDelay{200}; ///< sent to callers with temporary refusals
constexpr milliseconds reconcileInterval{5000}; ///< when neither table nor members change

/// The token of @p message, or nothing when it is invalid.
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
    , m_openRetries(context.settings.openRetryRatio, context.settings.openRetryBurst)
{
}

bool gate_role::isGateOf(const upstream_entry &upstream) const
{
    const member *gate = m_context.gateMap.gateOf(upstream);
    return gate != nullptr && gate->name == m_context.settings.self.name;
}

bool gate_role::mayReceivePackets(const upstream_entry &upstream) const
{
    return upstream.state != row_state::out && !m_context.currentTable.isZoneOut(upstream.zone);
}

/// The gate object of an upstream, created when needed. Returns nullptr when this host is not its
/// gate, admits nothing, or the upstream may not receive packets.
upstream_gate *gate_role::gateFor(const upstream_entry &upstream)
{
    if (!m_admitting || !mayReceivePackets(upstream) || !isGateOf(upstream)) {
        return nullptr;
    }
    std::unique_ptr<upstream_gate> &entry = m_upstreamGates[upstream.id];
    if (entry == nullptr) {
        const std::uint64_t correlation = m_context.random();
        entry = std::make_unique<upstream_gate>(upstream, m_context.settings.gate, m_context.clock,
                                                m_ledger, *this, m_context.output, correlation);
        m_upstreamIdByAddress[upstream.address] = upstream.id;
        m_context.output.count(counter::gateTakeovers, 1);
        entry->tick();
    }
    return entry.get();
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
    const upstream_entry *upstream = m_context.currentTable.upstream(message.upstreamId);
    if (!candidates) {
        return;
    }
    if (upstream == nullptr) {
        candidates->recordAnswer(message.upstreamId, candidate::refused);
        forwardOpen(message, *candidates);
        return;
    }
    decideOpen(message, std::move(*candidates), *upstream);
}

/// Accepts the flow when this upstream has the least load answered so far, and that load is low or
/// no other candidate can be asked. Otherwise forwards the open. At most two answers are compared.
void gate_role::decideOpen(const datagram &message, candidate_list candidates,
                           const upstream_entry &upstream)
{
    upstream_gate *gate = gateFor(upstream);
    if (gate != nullptr && gate->isUnknown()) {
        queueOpen(message, upstream.id);
        return;
    }
    if (gate == nullptr || !gate->admitsFlow()) {
        candidates.recordAnswer(upstream.id, candidate::refused);
        forwardOpen(message, candidates);
        return;
    }
    const std::uint16_t ownLoad = gate->load();
    candidates.recordAnswer(upstream.id, ownLoad);
    const candidate *leastLoadedCandidate = candidates.leastLoaded();
    const bool canAskAnother =
        candidates.answeredCount() < 2 && candidates.nextUnasked() != nullptr;
    const bool isChosen = leastLoadedCandidate->upstreamId == upstream.id;
    if (isChosen && (ownLoad < m_context.settings.lowLoadPerMille || !canAskAnother)) {
        acceptFlow(message, upstream, m_context.random());
        return;
    }
    forwardOpen(message, candidates);
}

void gate_role::forwardOpen(const datagram &message, const candidate_list &candidates)
{
    const candidate *next = candidates.answeredCount() < 2 ? candidates.nextUnasked() : nullptr;
    const bool isRetry = next != nullptr && candidates.refusedCount() > 0;
    if (next == nullptr) {
        next = candidates.leastLoaded();
    }
    const upstream_entry *upstream =
        next == nullptr ? nullptr : m_context.currentTable.upstream(next->upstreamId);
    const member *gate = upstream == nullptr ? nullptr : m_context.gateMap.gateOf(*upstream);
    if (gate == nullptr || message.hopsLeft == 0 || (isRetry && !m_openRetries.tryAcquire())) {
        m_context.output.count(counter::opensRefused, 1);
        m_context.refuse(message.caller, message.requestId, refusal_status::overloaded, retryDelay);
        return;
    }
    const byte_buffer encoded = candidates.encode();
    datagram forwarded = message;
    forwarded.type = datagram_type::forwardOpen;
    forwarded.candidates = encoded;
    forwarded.upstreamId = upstream->id;
    forwarded.hopsLeft = message.hopsLeft - 1;
    if (gate->name == m_context.settings.self.name) {
        onOpen(forwarded);
    } else {
        m_context.sendToHost(*gate, forwarded);
    }
}

void gate_role::acceptFlow(const datagram &message, const upstream_entry &upstream,
                           std::uint64_t nonce)
{
    const flow_token_bytes bytes = mintToken(upstream, nonce, addressHash(message.caller));
    m_upstreamGates.at(upstream.id)->addFlow(nonce);
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
    m_lastTokenIssuedAt[upstream.id] = token.issuedAt;
    return m_context.keys.mint(token, token.issuedAt);
}

/// Answers an open that carries a token with a new token for the same flow, issued by this host.
void gate_role::renewFlow(const datagram &message, const flow_token &token)
{
    const upstream_entry *upstream = m_context.currentTable.upstream(token.upstreamId);
    if (upstream == nullptr || !mayReceivePackets(*upstream)) {
        m_context.refuse(message.caller, message.requestId, refusal_status::placeAgain);
        return;
    }
    if (gateFor(*upstream) != nullptr) {
        acceptFlow(message, *upstream, token.nonce);
    } else if (!forwardToGate(message, *upstream)) {
        m_context.refuse(message.caller, message.requestId, refusal_status::overloaded, retryDelay);
    }
}

/// Holds an open until the upstream's first report or the timeout.
void gate_role::queueOpen(const datagram &message, std::uint32_t upstreamId)
{
    if (m_waitingOpens.size() >= maxWaitingOpens) {
        m_context.refuse(message.caller, message.requestId, refusal_status::overloaded, retryDelay);
        return;
    }
    waiting_open waiting;
    encodeDatagram(message, waiting.message);
    waiting.upstreamId = upstreamId;
    waiting.deadline = m_context.clock.monotonic() + m_context.settings.firstReportTimeout;
    m_waitingOpens.push_back(std::move(waiting));
}

void gate_role::retryWaitingOpens()
{
    std::vector<waiting_open> opens = std::move(m_waitingOpens);
    m_waitingOpens.clear();
    const monotonic_time now = m_context.clock.monotonic();
    for (waiting_open &open : opens) {
        const auto gate = m_upstreamGates.find(open.upstreamId);
        const bool isStillUnknown = gate != m_upstreamGates.end() && gate->second->isUnknown();
        if (isStillUnknown && now < open.deadline) {
            m_waitingOpens.push_back(std::move(open));
            continue;
        }
        std::size_t consumed = 0;
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(message, decodeDatagram(open.message, consumed));
                if (isStillUnknown) {
                    auto candidates = candidate_list::decode(message.candidates);
                    candidates->recordAnswer(open.upstreamId, candidate::refused);
                    forwardOpen(message, *candidates);
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
    const upstream_entry *upstream = m_context.currentTable.upstream(token->upstreamId);
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
        gate->submit(makeWorkRequest(message, token));
    } else if (!forwardToGate(message, upstream)) {
        m_context.refuse(message.caller, message.requestId, refusal_status::overloaded, retryDelay);
    }
}

/// Forwards to the gate of @p upstream. Returns false when this host sees no other host as the gate
/// or no hop is left.
bool gate_role::forwardToGate(const datagram &message, const upstream_entry &upstream)
{
    const member *gate = m_context.gateMap.gateOf(upstream);
    if (gate == nullptr || gate->name == m_context.settings.self.name || message.hopsLeft == 0) {
        return false;
    }
    datagram forwarded = message;
    forwarded.hopsLeft = message.hopsLeft - 1;
    m_context.sendToHost(*gate, forwarded);
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
        m_context.refuse(message.caller, message.requestId, refusal_status::tryAgain, retryDelay);
        return;
    }
    const bool isOwnToken = token.gateIncarnation == m_context.members.self().incarnation;
    const wall_time now = m_context.clock.wall();
    const bool isFresh = now < token.issuedAt + m_context.settings.orderWindow;
    const upstream_entry *upstream = m_context.currentTable.upstream(token.upstreamId);
    if (upstream != nullptr && isGateOf(*upstream)) {
        m_gateSince.emplace(token.upstreamId, m_context.clock.monotonic());
    }
    if (!isOwnToken || !isFresh) {
        resolveOrderWithoutRunning(message, token);
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
        m_context.refuse(message.caller, message.requestId, refusal_status::tryAgain, retryDelay);
        return;
    }
    m_context.output.count(counter::ordersAccepted, 1);
    gate->submit(makeWorkRequest(message, token));
}

/// Answers a repeated order from its record: repeats a refusal, or sends the stored parts of an
/// answer. Parts that did not fit into the ledger are not sent. A pending order gets the parts that
/// have arrived so far, if any.
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

/// Resolves an order that has no record, without running it: its token names another gate or is
/// older than orderWindow. Refuses it as notRun when the records of the token's gate have been
/// imported, for now when they may still arrive, and else as unknown. An order whose token names
/// this process and is too old is thus reported as unknown.
void gate_role::resolveOrderWithoutRunning(const datagram &message, const flow_token &token)
{
    const bool hasGateRecords = m_ledger.hasImported(token.gateIncarnation, token.upstreamId);
    if (!hasGateRecords && mayReceiveRecords(token)) {
        m_context.refuse(message.caller, message.requestId, refusal_status::tryAgain, retryDelay);
        return;
    }
    const order_state state = hasGateRecords ? order_state::notRun : order_state::unknown;
    if (!hasGateRecords) {
        m_context.output.logEvent("order_unknown",
                                  {{"reason", "records of its gate are not here"},
                                   {"upstream_id", std::to_string(token.upstreamId)},
                                   {"gate", std::to_string(token.gateIncarnation)}});
    }
    const order_key key{token.nonce, message.requestId};
    const wall_time now = m_context.clock.wall();
    if (m_ledger.add(key, token.upstreamId, state, now + recordLifetime()) == nullptr) {
        m_context.refuse(message.caller, message.requestId, refusal_status::tryAgain, retryDelay);
        return;
    }
    m_context.refuse(message.caller, message.requestId,
                     hasGateRecords ? refusal_status::notRun : refusal_status::unknown);
}

/// Whether the records of the gate that the token names, or its member record, may still arrive.
bool gate_role::mayReceiveRecords(const flow_token &token) const
{
    const bool isOwn = token.gateIncarnation == m_context.members.self().incarnation;
    const milliseconds tokenAge = m_context.clock.wall() - token.issuedAt;
    if (!isOwn && tokenAge < m_context.settings.recordHandoverTimeout) {
        return true; // the gate issued the token recently; its member record may not be here yet
    }
    const auto since = m_gateSince.find(token.upstreamId);
    return !isOwn && since != m_gateSince.end()
        && m_context.clock.monotonic() - since->second < m_context.settings.recordHandoverTimeout;
}

/// Refuses an order permanently: its record prevents every later copy from being run. When no
/// record can be stored, the refusal makes no statement about other copies.
void gate_role::refuseNewOrder(const datagram &message, const flow_token &token)
{
    const order_key key{token.nonce, message.requestId};
    const bool isRecorded =
        m_ledger.add(key, token.upstreamId, order_state::notRun, recordExpiry(token)) != nullptr;
    m_context.refuse(message.caller, message.requestId,
                     isRecorded ? refusal_status::notRun : refusal_status::tryAgain, retryDelay);
}

/// A record is kept beyond the time in which @p token admits new orders.
wall_time gate_role::recordExpiry(const flow_token &token) const
{
    return token.issuedAt + recordLifetime();
}

milliseconds gate_role::recordLifetime() const
{
    return m_context.settings.orderWindow + m_context.settings.orderRecordMargin;
}

work_request gate_role::makeWorkRequest(const datagram &message, const flow_token &token) const
{
    work_request work;
    work.kind = message.kind;
    work.caller = message.caller;
    work.callerHash = token.callerHash;
    work.key = order_key{token.nonce, message.requestId};
    work.service = m_context.currentTable.service(token.serviceId)->name;
    work.firstPart = message.firstPart;
    work.partCount = message.partCount;
    work.budget = milliseconds(std::min(message.budgetMs, m_context.settings.maxBudgetMs));
    work.traceId = message.traceId;
    work.parentSpan = message.spanId;
    work.payload.assign(message.payload.begin(), message.payload.end());
    const milliseconds tokenAge = m_context.clock.wall() - token.issuedAt;
    work.renewToken = token.gateIncarnation != m_context.members.self().incarnation
        || tokenAge > m_context.settings.tokenLifetime / 2;
    return work;
}

void gate_role::onClose(const datagram &message)
{
    const auto token = readToken(m_context.keys, message);
    if (!token) {
        return;
    }
    const auto gate = m_upstreamGates.find(token->upstreamId);
    if (gate != m_upstreamGates.end()) {
        gate->second->removeFlow(token->nonce);
    }
}

void gate_role::onUpstreamDatagram(const endpoint &from, const datagram &message)
{
    const auto id = m_upstreamIdByAddress.find(from);
    const auto gate = id == m_upstreamIdByAddress.end() ? m_upstreamGates.end()
                                                        : m_upstreamGates.find(id->second);
    if (gate == m_upstreamGates.end()) {
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
    if (m_reconciledMembersVersion != m_context.members.version()
        || m_reconciledRevision != m_context.currentTable.revision() || now >= m_nextReconcile) {
        m_nextReconcile = now + reconcileInterval;
        reconcileGates();
        expireTokenTimes();
    }
    for (const auto &[id, gate] : m_upstreamGates) {
        gate->tick();
    }
    retryWaitingOpens();
    m_ledger.expire(m_context.clock.wall());
}

void gate_role::reconcileGates()
{
    m_reconciledMembersVersion = m_context.members.version();
    m_reconciledRevision = m_context.currentTable.revision();
    const monotonic_time now = m_context.clock.monotonic();
    for (auto item = m_gateSince.begin(); item != m_gateSince.end();) {
        const upstream_entry *upstream = m_context.currentTable.upstream(item->first);
        const bool isGate = upstream != nullptr && isGateOf(*upstream);
        item = isGate ? std::next(item) : m_gateSince.erase(item);
    }
    for (auto item = m_upstreamGates.begin(); item != m_upstreamGates.end();) {
        upstream_gate &gate = *item->second;
        const upstream_entry *upstream = m_context.currentTable.upstream(item->first);
        bool shouldRemove = false;
        if (upstream == nullptr || !mayReceivePackets(*upstream)) {
            gate.failAllRequests();
            shouldRemove = true;
        } else {
            gate.update(*upstream);
            const bool isIdle = now - gate.lastActivity() >= m_context.settings.gateIdleTimeout;
            shouldRemove = !gate.hasWork() && (!isGateOf(*upstream) || isIdle);
        }
        if (shouldRemove) {
            m_upstreamIdByAddress.erase(gate.upstream().address);
            item = m_upstreamGates.erase(item);
        } else {
            ++item;
        }
    }
}

void gate_role::onFreeze()
{
    for (const auto &[id, gate] : m_upstreamGates) {
        gate->resetPhase();
    }
    m_waitingOpens.clear();
}

bool gate_role::isIdle() const
{
    return m_waitingOpens.empty()
        && std::none_of(m_upstreamGates.begin(), m_upstreamGates.end(),
                        [](const auto &item) { return item.second->hasWork(); });
}

void gate_role::expireTokenTimes()
{
    const wall_time now = m_context.clock.wall();
    for (auto item = m_lastTokenIssuedAt.begin(); item != m_lastTokenIssuedAt.end();) {
        item = now >= item->second + recordLifetime() ? m_lastTokenIssuedAt.erase(item)
                                                      : std::next(item);
    }
}

std::vector<order_handover> gate_role::handovers() const
{
    std::vector<order_handover> batches;
    std::set<std::uint32_t> upstreams = m_ledger.importedUpstreams();
    for (const auto &[id, issuedAt] : m_lastTokenIssuedAt) {
        upstreams.insert(id);
    }
    for (const std::uint32_t id : upstreams) {
        order_handover batch;
        batch.gateIncarnations = m_ledger.importedIncarnations(id);
        batch.gateIncarnations.push_back(m_context.members.self().incarnation);
        batch.upstreamId = id;
        batch.records = m_ledger.settledRecords(id);
        batches.push_back(std::move(batch));
    }
    return batches;
}

std::vector<order_handover> gate_role::handoversToCurrentGates() const
{
    std::vector<order_handover> batches;
    for (const std::uint32_t id : m_ledger.importedUpstreams()) {
        const upstream_entry *upstream = m_context.currentTable.upstream(id);
        const member *gate = upstream == nullptr ? nullptr : m_context.gateMap.gateOf(*upstream);
        const auto handedOver = m_recordsHandedOverTo.find(id);
        const bool isHandedOver = gate != nullptr && handedOver != m_recordsHandedOverTo.end()
            && handedOver->second == gate->incarnation;
        if (gate == nullptr || gate->name == m_context.settings.self.name || isHandedOver) {
            continue;
        }
        batches.push_back(
            order_handover{m_ledger.importedIncarnations(id), id, m_ledger.settledRecords(id)});
    }
    return batches;
}

void gate_role::onRecordsHandedOver(std::uint32_t upstreamId, std::uint64_t gateIncarnation)
{
    m_recordsHandedOverTo[upstreamId] = gateIncarnation;
}

bool gate_role::importHandover(const order_handover &batch)
{
    m_recordsHandedOverTo.erase(batch.upstreamId);
    return m_ledger.importRecords(batch.gateIncarnations, batch.upstreamId, batch.records,
                                  m_context.clock.wall() + recordLifetime());
}

void gate_role::sendToUpstream(const upstream_entry &upstream, const datagram &message)
{
    m_context.sendToUpstream(upstream.address, message);
}

void gate_role::sendToCaller(const endpoint &caller, const datagram &message)
{
    m_context.send(caller, message);
}

byte_buffer gate_role::renewedToken(const work_request &request, std::uint32_t upstreamId)
{
    const upstream_entry *upstream = m_context.currentTable.upstream(upstreamId);
    if (upstream == nullptr) {
        return {};
    }
    const flow_token_bytes bytes = mintToken(*upstream, request.key.flowNonce, request.callerHash);
    return {bytes.begin(), bytes.end()};
}

} // namespace figstair
