#include "figstair/core/receiver.h"

#include <boost/leaf.hpp>

namespace leaf = boost::leaf;

namespace figstair {
namespace {

constexpr std::uint32_t openHops = 8;
constexpr std::uint32_t requestHops = 3;
constexpr milliseconds shortRetry{200};

} // namespace

receiver::receiver(host_context &context, gate_role &gates)
    : m_context(context)
    , m_gates(gates)
    , m_placement(context.rows, context.members)
{
}

void receiver::onOpen(const endpoint &caller, const datagram &message)
{
    if (message.token.empty()) {
        openNew(caller, message);
        return;
    }
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(token, m_context.keys.verify(message.token));
            const upstream_entry *upstream = m_context.rows.upstream(token.upstreamId);
            if (flowHasEnded(token, upstream)) {
                m_context.refuse(caller, message.requestId, refusal_status::placeAgain);
                return {};
            }
            passOn(caller, message, datagram_type::forwardOpen, m_context.gates.gateOf(*upstream));
            return {};
        },
        [&](const token_error &error) { refuseToken(caller, message, error); }, [] {});
}

void receiver::openNew(const endpoint &caller, const datagram &message)
{
    const service_entry *service = m_context.rows.serviceByName(message.service);
    if (service == nullptr || service->state != row_state::in) {
        const bool isKnownTable = m_context.rows.revision() > 0;
        m_context.refuse(caller, message.requestId,
                         isKnownTable ? refusal_status::noService : refusal_status::tryAgain);
        return;
    }
    if (m_context.keys.empty()) {
        m_context.refuse(caller, message.requestId, refusal_status::tryAgain, shortRetry);
        return;
    }
    datagram open = message;
    open.caller = caller;
    open.hopsLeft = openHops;
    open.payload = byte_view();
    m_gates.passOpenOn(open,
                       m_placement.draw(*service, m_context.settings.candidates, m_context.random));
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
            const upstream_entry *upstream = m_context.rows.upstream(token.upstreamId);
            if (message.kind == request_kind::idempotent && flowHasEnded(token, upstream)) {
                m_context.refuse(caller, message.requestId, refusal_status::placeAgain);
                return {};
            }
            const member *target = targetOf(message, token, upstream);
            if (target == nullptr) {
                m_context.refuse(caller, message.requestId, refusal_status::tryAgain, shortRetry);
                return {};
            }
            passOn(caller, message, datagram_type::forwardRequest, target);
            return {};
        },
        [&](const token_error &error) { refuseToken(caller, message, error); }, [] {});
}

void receiver::onClose(const endpoint &caller, const datagram &message)
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(token, m_context.keys.verify(message.token));
            const upstream_entry *upstream = m_context.rows.upstream(token.upstreamId);
            const member *gate = upstream == nullptr ? nullptr : m_context.gates.gateOf(*upstream);
            if (gate != nullptr) {
                passOn(caller, message, datagram_type::forwardClose, gate);
            }
            return {};
        },
        [&](const token_error &error) { refuseToken(caller, message, error); }, [] {});
}

/// Orders go to the gate that holds their records, when it still takes part; all else to the
/// present gate.
const member *receiver::targetOf(const datagram &message, const flow_token &token,
                                 const upstream_entry *upstream) const
{
    if (message.kind == request_kind::order) {
        const member *named = m_context.members.findIncarnation(token.gateIncarnation);
        if (named != nullptr && isPresent(named->state)
            && m_context.members.zoneReachable(named->zone)) {
            return named;
        }
    }
    return upstream == nullptr ? &m_context.members.self() : m_context.gates.gateOf(*upstream);
}

bool receiver::flowHasEnded(const flow_token &token, const upstream_entry *upstream) const
{
    return upstream == nullptr || upstream->serviceId != token.serviceId
        || upstream->state == row_state::out || m_context.rows.isZoneOut(upstream->zone)
        || m_context.clock.wall() >= token.issuedAt + m_context.settings.tokenLife;
}

void receiver::passOn(const endpoint &caller, const datagram &message, datagram_type type,
                      const member *target)
{
    if (target == nullptr) {
        m_context.refuse(caller, message.requestId, refusal_status::tryAgain, shortRetry);
        return;
    }
    datagram onward = message;
    onward.type = type;
    onward.caller = caller;
    onward.hopsLeft = requestHops;
    onward.traceId = traceOf(message);
    onward.spanId = m_context.random();
    span_record span;
    span.traceId = onward.traceId;
    span.spanId = onward.spanId;
    span.parentId = message.spanId;
    span.name = "receive";
    span.start = m_context.clock.wall();
    m_context.output.recordSpan(span);
    if (target->name != m_context.settings.self.name) {
        m_context.output.count(counter::requestsForwarded, 1);
        m_context.sendToHost(*target, onward);
    } else if (type == datagram_type::forwardRequest) {
        m_gates.onRequest(onward);
    } else if (type == datagram_type::forwardOpen) {
        m_gates.onOpen(onward);
    } else {
        m_gates.onClose(onward);
    }
}

void receiver::refuseToken(const endpoint &caller, const datagram &message,
                           const token_error &error)
{
    m_context.output.count(counter::badTokens, 1);
    // A key that is not known here may be known elsewhere: the caller is asked to repeat.
    const bool mayBeNew = error.reason == token_error::problem::unknownKey;
    m_context.refuse(caller, message.requestId,
                     mayBeNew ? refusal_status::tryAgain : refusal_status::badToken,
                     mayBeNew ? shortRetry : milliseconds(0));
}

/// Gives a caller at a new address a token bound to that address. Nothing else is sent there until
/// the caller has shown that it receives at it.
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

std::uint64_t receiver::traceOf(const datagram &message)
{
    return message.traceId != 0 ? message.traceId : m_context.random();
}

} // namespace figstair
