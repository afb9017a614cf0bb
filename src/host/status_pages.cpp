#include "figstair/host/status_pages.h"

#include <charconv>

#include <nlohmann/json.hpp>

#include "figstair/core/hex_text.h"
#include "figstair/table/sheet.h"

using nlohmann::json;

namespace figstair {
namespace {

constexpr std::string_view tracePrefix = "/trace?id=";
constexpr int hexBase = 16;

json toJson(const member &host)
{
    return json{{"name", host.name},
                {"zone", host.zone},
                {"state", toText(host.state)},
                {"address", toString(host.address)},
                {"peer_port", host.peerPort},
                {"status_port", host.statusPort},
                {"incarnation", host.incarnation}};
}

json toJson(const upstream_gate &gate)
{
    return json{{"upstream", gate.upstream().name},
                {"id", gate.upstream().id},
                {"phase", gate.phase()},
                {"limit", gate.concurrencyLimit()},
                {"running", gate.runningCount()},
                {"waiting", gate.waitingCount()},
                {"flows", gate.flowCount()}};
}

} // namespace

status_pages::status_pages(const host_core &core, const metrics &hostMetrics, const span_log &spans)
    : m_core(core)
    , m_metrics(hostMetrics)
    , m_spans(spans)
{
}

status_page status_pages::page(const std::string &target) const
{
    if (target == "/metrics") {
        return {200, "text/plain; version=0.0.4", m_metrics.toPrometheus()};
    }
    if (target == "/status") {
        return {200, "application/json", statusJson()};
    }
    if (target == "/table") {
        const table &rows = m_core.currentTable();
        return {200, "text/csv", formatSheet(rows.revision(), rows.rows())};
    }
    if (target.rfind(tracePrefix, 0) == 0) {
        std::uint64_t traceId = 0;
        const char *first = target.data() + tracePrefix.size();
        const char *last = target.data() + target.size();
        const auto [rest, status] = std::from_chars(first, last, traceId, hexBase);
        if (status == std::errc{} && rest == last) {
            return {200, "application/json", traceJson(traceId)};
        }
        return {400, "text/plain", "id: expected a hexadecimal number\n"};
    }
    return {404, "text/plain", "pages: /status /metrics /table /trace?id=HEX\n"};
}

std::string status_pages::statusJson() const
{
    json members = json::array();
    for (const member &host : m_core.memberRecords()) {
        members.push_back(toJson(host));
    }
    json gates = json::array();
    for (const auto &[id, gate] : m_core.gateRole().upstreamGates()) {
        gates.push_back(toJson(*gate));
    }
    json counters = json::object();
    for (std::size_t index = 0; index < static_cast<std::size_t>(counter::count); ++index) {
        const auto which = static_cast<counter>(index);
        counters[std::string(toText(which))] = m_metrics.value(which);
    }
    const member &self = m_core.members().self();
    return json{{"host", self.name},
                {"zone", self.zone},
                {"life", m_core.lifecycleState()},
                {"revision", m_core.currentTable().revision()},
                {"digest", m_core.currentTable().digest()},
                {"confirmed_age_ms", m_core.tableKeeper().confirmedAge().count()},
                {"is_bridge", m_core.members().isBridge()},
                {"order_records", m_core.gateRole().ledger().size()},
                {"members", std::move(members)},
                {"gates", std::move(gates)},
                {"counters", std::move(counters)}}
        .dump(1);
}

std::string status_pages::traceJson(std::uint64_t traceId) const
{
    json spans = json::array();
    for (const span_record &span : m_spans.find(traceId)) {
        spans.push_back({{"trace", toHex(span.traceId)},
                         {"span", toHex(span.spanId)},
                         {"parent", toHex(span.parentId)},
                         {"host", m_core.members().self().name},
                         {"name", span.name},
                         {"start_ms", span.start.time_since_epoch().count()},
                         {"duration_ms", span.duration.count()},
                         {"upstream_id", span.upstreamId}});
    }
    return spans.dump(1);
}

} // namespace figstair
