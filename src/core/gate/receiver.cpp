#include "figstair/core/gate/receiver.h"

#include <boost/leaf.hpp>

namespace leaf = boost::leaf;

namespace figstair {
namespace {

/// Limits on forwarding between hosts, which may disagree about the gate of an upstream.
constexpr std::uint32_t maxOpenHops = 8;
constexpr std::uint32_t maxRequestHops = 3;
constexpr milliseconds retryDelay{200}; ///< sent to callers with temporary refusals

} // namespace

receiver::receiver(host_context &context, gate_role &gateRole)
    : m_context(context)
    , m_gateRole(gateRole)
    , m_placement(context.currentTable, context.members)
{
}

void receiver::onOpen(const endpoint &caller, const datagram &message)
{
    if (message.token.empty()) {
        openFlow(caller, message);
        return;
    }
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(token, m_context.keys.verify(message.token));
            const upstream_entry *upstream = m_context.currentTable.upstream(token.upstreamId);
            if (flowHasEnded(token, upstream)) {
                m_context.refuse(caller, message.requestId, refusal_status::placeAgain);
                return {};
            }
            forward(caller, message, datagram_type::forwardOpen,
                    m_context.gateMap.gateOf(*upstream));
            return {};
        },
        [&](const token_error &error) { refuseToken(caller, message, error); }, [] {});
}

void receiver::openFlow(const endpoint &caller, const datagram &message)
{
    const service_entry *service = m_context.currentTable.serviceByName(message.service);
    if (service == nullptr || service->state != row_state::in) {
        const bool hasTable = m_context.currentTable.revision() > 0;
        m_context.refuse(caller, message.requestId,
                         hasTable ? refusal_status::noService : refusal_status::tryAgain);
        return;
    }
    if (m_context.keys.empty()) {
        m_context.refuse(caller, message.requestId, refusal_status::tryAgain, retryDelay);
        return;
    }
    datagram open = message;
    open.caller = caller;
    open.hopsLeft = maxOpenHops;
    open.payload = byte_view();
    m_gateRole.forwardOpen(
        open, m_placement.draw(*service, m_context.settings.candidatesPerOpen, m_context.random));
}

void receiver::onRequest(const endpoint &caller, const datagram &message)
{
    m_context.output.count(counter::requestsReceived, 1);
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(token, m_context.keys.verify(message.token));
            if (token.callerHash != addressHash(caller)) {
                rebind(caller, message, token);
                return {};
            }
            const upstream_entry *upstream = m_context.currentTable.upstream(token.upstreamId);
            if (message.kind == request_kind::idempotent && flowHasEnded(token, upstream)) {
                m_context.refuse(caller, message.requestId, refusal_status::placeAgain);
                return {};
            }
            const member *target = targetOf(message, token, upstream);
            if (target == nullptr) {
                m_context.refuse(caller, message.requestId, refusal_status::tryAgain, retryDelay);
                return {};
            }
            forward(caller, message, datagram_type::forwardRequest, target);
            return {};
        },
        [&](const token_error &error) { refuseToken(caller, message, error); }, [] {});
}

void receiver::onClose(const endpoint &caller, const datagram &message)
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(token, m_context.keys.verify(message.token));
            const upstream_entry *upstream = m_context.currentTable.upstream(token.upstreamId);
            const member *gate =
                upstream == nullptr ? nullptr : m_context.gateMap.gateOf(*upstream);
            if (gate != nullptr) {
                forward(caller, message, datagram_type::forwardClose, gate);
            }
            return {};
        },
        [&](const token_error &error) { refuseToken(caller, message, error); }, [] {});
}

/// Orders go to the gate that issued their token, because it holds their records, if it is present
/// and reachable. Everything else goes to the current gate.
const member *receiver::targetOf(const datagram &message, const flow_token &token,
                                 const upstream_entry *upstream) const
{
    if (message.kind == request_kind::order) {
        const member *tokenGate = m_context.members.findIncarnation(token.gateIncarnation);
        if (tokenGate != nullptr && isPresent(tokenGate->state)
            && m_context.members.zoneReachable(tokenGate->zone)) {
            return tokenGate;
        }
    }
    return upstream == nullptr ? &m_context.members.self() : m_context.gateMap.gateOf(*upstream);
}

/// Whether the token has expired, or its upstream was removed, taken out or given to another
/// service.
bool receiver::flowHasEnded(const flow_token &token, const upstream_entry *upstream) const
{
    return upstream == nullptr || upstream->serviceId != token.serviceId
        || upstream->state == row_state::out || m_context.currentTable.isZoneOut(upstream->zone)
        || m_context.clock.wall() >= token.issuedAt + m_context.settings.tokenLifetime;
}

void receiver::forward(const endpoint &caller, const datagram &message, datagram_type type,
                       const member *target)
{
    if (target == nullptr) {
        m_context.refuse(caller, message.requestId, refusal_status::tryAgain, retryDelay);
        return;
    }
    datagram forwarded = message;
    forwarded.type = type;
    forwarded.caller = caller;
    forwarded.hopsLeft = maxRequestHops;
    forwarded.traceId = traceIdOf(message);
    forwarded.spanId = m_context.random();
    span_record span;
    span.traceId = forwarded.traceId;
    span.spanId = forwarded.spanId;
    span.parentId = message.spanId;
    span.name = "receive";
    span.start = m_context.clock.wall();
    m_context.output.recordSpan(span);
    if (target->name != m_context.settings.self.name) {
        m_context.output.count(counter::requestsForwarded, 1);
        m_context.sendToHost(*target, forwarded);
    } else if (type == datagram_type::forwardRequest) {
        m_gateRole.onRequest(forwarded);
    } else if (type == datagram_type::forwardOpen) {
        m_gateRole.onOpen(forwarded);
    } else {
        m_gateRole.onClose(forwarded);
    }
}

void receiver::refuseToken(const endpoint &caller, const datagram &message,
                           const token_error &error)
{
    m_context.output.count(counter::badTokens, 1);
    // A key that is unknown here may be newer than this host's table: the caller should retry.
    const bool isUnknownKey = error.reason == token_error::problem::unknownKey;
    m_context.refuse(caller, message.requestId,
                     isUnknownKey ? refusal_status::tryAgain : refusal_status::badToken,
                     isUnknownKey ? retryDelay : milliseconds(0));
}

/// Answers a request from a new caller address with a token bound to that address. The request is
/// not forwarded and gets no answer until the caller has proved, by using the token, that it
/// receives at the address. Opens and closes are not checked in this way.
void receiver::rebind(const endpoint &caller, const datagram &message, flow_token token)
{
    token.callerHash = addressHash(caller);
    const flow_token_bytes bytes = m_context.keys.mint(token, m_context.clock.wall());
    datagram opened;
    opened.type = datagram_type::opened;
    opened.requestId = message.requestId;
    opened.token = bytes;
    m_context.send(caller, opened);
}

std::uint64_t receiver::traceIdOf(const datagram &message)
{
    return message.traceId != 0 ? message.traceId : m_context.random();
}

} // namespace figstair
