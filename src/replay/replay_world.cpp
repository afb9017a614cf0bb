#include "figstair/replay/replay_world.h"

#include <algorithm>
#include <sstream>

#include <boost/leaf.hpp>

namespace leaf = boost::leaf;

namespace figstair {
namespace {

constexpr peer_key replaySecret{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16};
constexpr int hostPort = 7000;
constexpr int upstreamPort = 9000;
constexpr int callerPort = 5000;
constexpr std::size_t seedCount = 3;
constexpr milliseconds defaultBudget{3000};
const std::string gatePrefix = "gate:";

endpoint makeAddress(int network, std::size_t number, int port)
{
    const std::string text = "10." + std::to_string(network) + "." + std::to_string(number / 200)
        + "." + std::to_string(number % 200 + 1) + ":" + std::to_string(port);
    return *parseEndpoint(text);
}

/// Returns the value of "text"; a trace writes spaces as "+".
std::string requestText(const trace_event &event, const std::string &fallback = {})
{
    std::string text = event.text("text", fallback);
    std::replace(text.begin(), text.end(), '+', ' ');
    return text;
}

/// Converts a time of the trace to the virtual clock, which starts at 1 s.
monotonic_time traceTime(milliseconds at)
{
    return monotonic_time(milliseconds(1000)) + at;
}

} // namespace

replay_world::replay_world(const replay_options &options,
                           std::function<void(const std::string &line)> print)
    : m_options(options)
    , m_print(std::move(print))
{
}

int replay_world::run(const std::vector<trace_event> &events, std::size_t &currentLine)
{
    bool hasStarted = false;
    for (const trace_event &event : events) {
        currentLine = event.line;
        const bool isTimed = event.has("at");
        const auto &verbs = isTimed ? timedVerbs() : setupVerbs();
        const auto verb = verbs.find(event.verb);
        if (verb == verbs.end()) {
            throw trace_problem{"unknown verb '" + event.verb + "'"};
        }
        if (isTimed && !hasStarted) {
            startSimulation();
            hasStarted = true;
        }
        if (isTimed) {
            m_time.runUntil(traceTime(event.at));
        }
        (this->*verb->second)(event);
    }
    printSummary();
    return m_failures;
}

void replay_world::printSummary()
{
    std::vector<std::int64_t> &latencies = m_tally.latenciesMs;
    std::sort(latencies.begin(), latencies.end());
    const auto at = [&](std::size_t percent) {
        return latencies.empty() ? 0 : latencies[(latencies.size() - 1) * percent / 100];
    };
    std::ostringstream line;
    line << "opened=" << m_tally.opened << " answered=" << m_tally.answered
         << " not_run=" << m_tally.refusedNotRun << " unknown=" << m_tally.unknown
         << " overloaded=" << m_tally.overloaded << " place_again=" << m_tally.placeAgain
         << " broken_flows=" << m_tally.brokenFlows << " timeouts=" << m_tally.timeouts
         << " p50_ms=" << at(50) << " p99_ms=" << at(99);
    m_print(line.str());
}

const std::map<std::string, replay_world::verb_handler> &replay_world::setupVerbs()
{
    static const std::map<std::string, verb_handler> verbs{
        {"trace", &replay_world::configure},      {"zone", &replay_world::addZone},
        {"service", &replay_world::addService},   {"host", &replay_world::addHost},
        {"upstream", &replay_world::addUpstream}, {"caller", &replay_world::addCaller}};
    return verbs;
}

const std::map<std::string, replay_world::verb_handler> &replay_world::timedVerbs()
{
    static const std::map<std::string, verb_handler> verbs{
        {"open", &replay_world::openFlow},
        {"copy", &replay_world::duplicateOrder},
        {"request", &replay_world::sendRequest},
        {"load", &replay_world::startLoad},
        {"move", &replay_world::moveCaller},
        {"host", &replay_world::changeHost},
        {"upstream", &replay_world::changeUpstream},
        {"network", &replay_world::changeNetwork},
        {"platform", &replay_world::changePlatform},
        {"edit", &replay_world::editRow},
        {"expect", &replay_world::expect}};
    return verbs;
}

void replay_world::configure(const trace_event &event)
{
    m_seed = m_options.seed.value_or(static_cast<std::uint64_t>(numberOf(event, "seed", 1)));
    m_tickInterval = milliseconds(static_cast<int>(numberOf(event, "tick_ms", 50)));
    m_pollInterval = milliseconds(static_cast<int>(numberOf(event, "poll_ms", 500)));
    m_orderWindow =
        milliseconds(static_cast<std::int64_t>(numberOf(event, "order_window_ms", 300000)));
    const milliseconds latency(static_cast<int>(numberOf(event, "latency_ms", 1)));
    m_random.seed(m_seed);
    m_network = std::make_unique<replay_network>(m_time, m_seed + 1, latency);
    m_platform = std::make_unique<replay_platform>(replaySecret);
}

void replay_world::addZone(const trace_event &event)
{
    table_row row;
    row.kind = row_kind::zone;
    row.name = event.text("name");
    m_rows.push_back(row);
}

void replay_world::addService(const trace_event &event)
{
    table_row row;
    row.kind = row_kind::service;
    row.name = event.text("name");
    m_rows.push_back(row);
}

void replay_world::addHost(const trace_event &event)
{
    if (m_network == nullptr) {
        throw trace_problem{"the 'trace' line must come first"};
    }
    host_settings settings;
    settings.self.name = event.text("name");
    settings.self.zone = event.text("zone");
    settings.self.address = makeAddress(0, m_hosts.size(), hostPort);
    settings.peerSecret = replaySecret;
    settings.seeds = m_seeds;
    settings.orderWindow = m_orderWindow;
    settings.maxTableAge = milliseconds(static_cast<std::int64_t>(
        numberOf(event, "staleness_ms", static_cast<double>(settings.maxTableAge.count()))));
    settings.maxOrderRecords = static_cast<std::size_t>(numberOf(event, "order_records", 60000));
    if (m_seeds.size() < seedCount) {
        m_seeds.push_back(settings.self.address);
    }
    const auto findHost = [this](const endpoint &address) -> replay_host * {
        for (const auto &[name, host] : m_hosts) {
            if (host->address() == address) {
                return host.get();
            }
        }
        return nullptr;
    };
    const std::string name = settings.self.name;
    auto host =
        std::make_unique<replay_host>(settings, m_random() & 0xFFFF, m_time, *m_network, findHost);
    host->setPrintsEvents(m_options.printsEvents);
    if (event.text("starts", "yes") == "yes") {
        host->start();
        m_listedHosts.push_back(name);
    }
    m_hosts.emplace(name, std::move(host));
}

void replay_world::addUpstream(const trace_event &event)
{
    table_row row;
    row.kind = row_kind::upstream;
    row.name = event.text("name");
    row.service = event.text("service");
    row.zone = event.text("zone");
    row.address = makeAddress(1, m_upstreams.size(), upstreamPort);
    row.weight = static_cast<std::uint32_t>(numberOf(event, "weight", 1));
    row.slots = static_cast<std::uint32_t>(numberOf(event, "slots", 4));
    row.connections = static_cast<std::uint32_t>(numberOf(event, "connections", 2000));
    row.coldLimit = static_cast<std::uint32_t>(numberOf(event, "cold", 1));
    row.warmup = milliseconds(static_cast<int>(numberOf(event, "warm_ms", 2000)));
    const milliseconds serviceTime(static_cast<int>(numberOf(event, "service_ms", 20)));
    m_upstreams[row.name] =
        std::make_unique<replay_upstream>(row, serviceTime, m_random(), m_time, *m_network);
    if (event.text("listed", "yes") == "yes") {
        m_rows.push_back(row);
    }
}

void replay_world::addCaller(const trace_event &event)
{
    const auto count = static_cast<int>(numberOf(event, "count", 1));
    for (int index = 0; index < count; ++index) {
        const std::string name =
            event.text("name") + (count > 1 ? std::to_string(index) : std::string());
        const endpoint address = makeAddress(2, m_callers.size(), callerPort);
        m_callers[name] = std::make_unique<replay_caller>(
            name, address, m_time, *m_network,
            [this](const std::string &via) { return pickHost(via); }, m_tally);
    }
}

void replay_world::startSimulation()
{
    m_platform->accept(m_rows, m_time.wall());
    tick();
}

void replay_world::tick()
{
    const bool isPolling = m_time.monotonic() >= m_nextPoll;
    if (isPolling) {
        m_nextPoll = m_time.monotonic() + m_pollInterval;
    }
    for (const auto &[name, host] : m_hosts) {
        host->tick();
        if (isPolling && host->isRunning() && !host->isFrozen() && host->core().watchesPlatform()) {
            pollPlatform(*host);
        }
    }
    m_time.runAfter(m_tickInterval, [this] { tick(); });
}

void replay_world::pollPlatform(replay_host &host)
{
    if (m_platform->isDown() || m_network->isCutFromPlatform(host.address())) {
        return;
    }
    table_reply reply;
    reply.baseRevision = host.core().currentTable().revision();
    reply.edits = m_platform->editsAfter(reply.baseRevision);
    const table &newest = m_platform->newest();
    host.core().onTableReply(reply);
    host.core().onPlatformHead(newest.revision(), newest.digest());
}

/// Returns the address of the host that receives a datagram: the host named @p via, the listed
/// hosts in turn for "all", or a random listed host when it is empty.
endpoint replay_world::pickHost(const std::string &via)
{
    if (!via.empty() && via != "all") {
        return m_hosts.at(via)->address();
    }
    const std::size_t index = via == "all" ? m_viaAllIndex++ : m_random();
    return m_hosts.at(m_listedHosts[index % m_listedHosts.size()])->address();
}

void replay_world::openFlow(const trace_event &event)
{
    for (replay_caller *caller : matchingCallers(event.text("caller"))) {
        caller->open(event.text("service"));
    }
}

void replay_world::sendRequest(const trace_event &event)
{
    const milliseconds budget(
        static_cast<int>(numberOf(event, "budget_ms", static_cast<double>(defaultBudget.count()))));
    for (replay_caller *caller : matchingCallers(event.text("caller"))) {
        const std::string text = requestText(event);
        const bool isPattern = event.text("caller").back() == '*';
        caller->request(isPattern ? text + "-" + caller->name() : text,
                        event.text("kind") == "order", budget, event.text("via"),
                        event.text("repeats", "yes") == "yes");
    }
}

void replay_world::duplicateOrder(const trace_event &event)
{
    const std::string text = requestText(event);
    for (replay_caller *caller : matchingCallers(event.text("caller"))) {
        caller->sendDuplicate(text, event.text("via"));
    }
}

void replay_world::startLoad(const trace_event &event)
{
    const milliseconds pause(static_cast<int>(numberOf(event, "pause_ms", 20)));
    const milliseconds budget(
        static_cast<int>(numberOf(event, "budget_ms", static_cast<double>(defaultBudget.count()))));
    const monotonic_time until =
        traceTime(milliseconds(static_cast<std::int64_t>(numberOf(event, "until"))));
    const std::string text = requestText(event, "ask");
    const auto perFlow = static_cast<int>(numberOf(event, "per_flow", 0));
    std::size_t index = 0;
    for (replay_caller *caller : matchingCallers(event.text("caller"))) {
        // Staggers the starts so that callers do not send in lockstep.
        m_time.runAfter(
            milliseconds(static_cast<int>(index++ % 50)),
            [=, service = event.text("service"), isOrder = event.text("kind") == "order"] {
                caller->startLoad(service, text, isOrder, pause, budget, until, perFlow);
            });
    }
}

void replay_world::moveCaller(const trace_event &event)
{
    for (replay_caller *caller : matchingCallers(event.text("caller"))) {
        caller->moveTo(makeAddress(3, m_callers.size(), callerPort));
    }
}

void replay_world::changeHost(const trace_event &event)
{
    replay_host &host = hostOf(event);
    const std::string action = event.text("do");
    const auto listed = std::find(m_listedHosts.begin(), m_listedHosts.end(), host.name());
    if (action == "kill") {
        host.kill();
    } else if (action == "start") {
        host.start();
        if (listed == m_listedHosts.end()) {
            m_listedHosts.push_back(host.name());
        }
    } else if (action == "freeze") {
        host.freeze();
    } else if (action == "thaw") {
        host.thaw();
    } else if (action == "stop") {
        host.stop();
    } else if (action == "unlist" && listed != m_listedHosts.end()) {
        m_listedHosts.erase(listed);
    } else {
        throw trace_problem{"do=" + action + ": expected kill, start, freeze, thaw, stop, unlist"};
    }
}

void replay_world::changeUpstream(const trace_event &event)
{
    replay_upstream &upstream = upstreamOf(event, "name");
    const std::string action = event.text("do");
    if (action == "restart") {
        upstream.restart(event.text("announced", "yes") == "yes");
    } else if (action == "drain") {
        upstream.setDraining(true);
    } else if (action == "refuse") {
        upstream.setRefusing(event.text("on", "yes") == "yes");
    } else if (action == "silence") {
        upstream.setSilent(event.text("on", "yes") == "yes");
    } else if (action == "lose-answers") {
        upstream.setDroppingAnswers(event.text("on", "yes") == "yes");
    } else if (action == "lie") {
        upstream.setReportedInUse(static_cast<int>(numberOf(event, "in_use")));
    } else if (action == "become") {
        upstream.setService(event.text("service"));
    } else {
        throw trace_problem{
            "do=" + action
            + ": expected restart, drain, refuse, silence, lose-answers, lie, become"};
    }
}

void replay_world::changeNetwork(const trace_event &event)
{
    if (event.has("cut")) {
        m_network->cut(event.text("cut"), event.text("from"));
    }
    if (event.has("heal")) {
        m_network->heal(event.text("heal"), event.text("from"));
    }
    if (event.has("loss")) {
        m_network->setLoss(numberOf(event, "loss"));
    }
    if (event.has("duplicates")) {
        m_network->setDuplicates(numberOf(event, "duplicates"));
    }
    if (event.has("duplicates_to_upstreams")) {
        m_network->setDuplicatesToUpstreams(numberOf(event, "duplicates_to_upstreams"));
    }
    if (event.has("jitter_ms")) {
        m_network->setJitter(milliseconds(static_cast<int>(numberOf(event, "jitter_ms"))));
    }
}

void replay_world::changePlatform(const trace_event &event)
{
    const std::string action = event.text("do");
    if (action == "down" || action == "up") {
        m_platform->setDown(action == "down");
    } else if (action == "rotate-key") {
        m_platform->rotateKey(m_time.wall());
    } else if (action == "roll-back") {
        m_platform->rollBack(static_cast<std::uint64_t>(numberOf(event, "to")));
    } else {
        throw trace_problem{"do=" + action + ": expected down, up, rotate-key, roll-back"};
    }
}

void replay_world::editRow(const trace_event &event)
{
    if (event.text("do") == "add") {
        m_rows.push_back(upstreamOf(event, "name").row());
    } else if (event.text("do") == "remove") {
        const table_row row = rowOf(event);
        m_rows.erase(
            std::remove_if(m_rows.begin(), m_rows.end(),
                           [&](const table_row &item) { return rowKey(item) == rowKey(row); }),
            m_rows.end());
    } else {
        table_row &row = rowOf(event);
        const std::string state = event.text("state", std::string(toText(row.state)));
        for (const row_state candidate : {row_state::in, row_state::out, row_state::draining}) {
            if (toText(candidate) == state) {
                row.state = candidate;
            }
        }
        row.weight = static_cast<std::uint32_t>(numberOf(event, "weight", row.weight));
        row.slots = static_cast<std::uint32_t>(numberOf(event, "slots", row.slots));
    }
    m_platform->accept(m_rows, m_time.wall());
}

table_row &replay_world::rowOf(const trace_event &event)
{
    for (table_row &row : m_rows) {
        if (toText(row.kind) == event.text("kind") && row.name == event.text("name")) {
            return row;
        }
    }
    throw trace_problem{"no row " + event.text("kind") + " " + event.text("name")};
}

/// Returns the host under "name", which may be an alias. "gate:UPSTREAM" selects the gate of that
/// upstream according to most hosts; "as=ALIAS" defines an alias for later lines.
replay_host &replay_world::hostOf(const trace_event &event)
{
    std::string name = event.text("name");
    if (m_aliases.count(name) != 0) {
        name = m_aliases.at(name);
    }
    if (name.rfind(gatePrefix, 0) == 0) {
        name = gateOf(name.substr(gatePrefix.size()));
    }
    if (event.has("as")) {
        m_aliases[event.text("as")] = name;
    }
    const auto found = m_hosts.find(name);
    if (found == m_hosts.end()) {
        throw trace_problem{"no host " + event.text("name")};
    }
    return *found->second;
}

/// Returns the name of the host that most running hosts take for the gate of the upstream; empty
/// when none of them knows one.
std::string replay_world::gateOf(const std::string &upstreamName)
{
    std::map<std::string, int> votes;
    for (const auto &[name, host] : m_hosts) {
        if (!host->isRunning()) {
            continue;
        }
        for (const auto &[id, entry] : host->core().currentTable().upstreams()) {
            const member *gate =
                entry.name == upstreamName ? host->core().gateMap().gateOf(entry) : nullptr;
            if (gate != nullptr) {
                ++votes[gate->name];
            }
        }
    }
    const auto most =
        std::max_element(votes.begin(), votes.end(),
                         [](const auto &a, const auto &b) { return a.second < b.second; });
    return most == votes.end() ? std::string() : most->first;
}

replay_upstream &replay_world::upstreamOf(const trace_event &event, const std::string &key)
{
    const auto found = m_upstreams.find(event.text(key));
    if (found == m_upstreams.end()) {
        throw trace_problem{"no upstream " + event.text(key)};
    }
    return *found->second;
}

/// Returns the callers with this name, or with this prefix when @p pattern ends in "*". Throws
/// trace_problem when there is none.
std::vector<replay_caller *> replay_world::matchingCallers(const std::string &pattern)
{
    std::vector<replay_caller *> found;
    const bool isPrefix = !pattern.empty() && pattern.back() == '*';
    const std::string prefix = pattern.substr(0, pattern.size() - (isPrefix ? 1 : 0));
    for (const auto &[name, caller] : m_callers) {
        if (isPrefix ? name.rfind(prefix, 0) == 0 : name == prefix) {
            found.push_back(caller.get());
        }
    }
    if (found.empty()) {
        throw trace_problem{"no caller " + pattern};
    }
    return found;
}

void replay_world::expect(const trace_event &event)
{
    if (event.has("outcome")) {
        const std::string text = requestText(event);
        const std::string actual =
            m_tally.outcomes.count(text) != 0 ? m_tally.outcomes[text] : "none";
        const std::string allowed = "," + event.text("outcome") + ",";
        const bool isAllowed = allowed.find("," + actual + ",") != std::string::npos;
        m_failures += isAllowed ? 0 : 1;
        m_print((isAllowed ? "held   line " : "FAILED line ") + std::to_string(event.line) + " '"
                + text + "' outcome " + actual + " allowed " + event.text("outcome"));
        return;
    }
    checkBounds(event, event.text("what"), quantity(event, event.text("what")));
}

void replay_world::checkBounds(const trace_event &event, const std::string &name, double value)
{
    const bool meetsMin = !event.has("min") || value >= numberOf(event, "min");
    const bool meetsMax = !event.has("max") || value <= numberOf(event, "max");
    if (!event.has("min") && !event.has("max")) {
        throw trace_problem{"expect needs min, max or outcome"};
    }
    const bool isWithinBounds = meetsMin && meetsMax;
    m_failures += isWithinBounds ? 0 : 1;
    std::ostringstream line;
    line << (isWithinBounds ? "held   line " : "FAILED line ") << event.line << " " << name << " = "
         << value << (event.has("min") ? " min " + event.text("min") : "")
         << (event.has("max") ? " max " + event.text("max") : "");
    m_print(line.str());
}

/// Returns the measured value that an "expect" line names. Throws trace_problem for an unknown
/// name.
double replay_world::quantity(const trace_event &event, const std::string &name)
{
    bool isKnown = true;
    double value = callerQuantity(event, name, isKnown);
    if (!isKnown) {
        isKnown = true;
        value = upstreamQuantity(event, name, isKnown);
    }
    if (!isKnown) {
        isKnown = true;
        value = hostQuantity(event, name, isKnown);
    }
    if (!isKnown) {
        throw trace_problem{"what=" + name + ": unknown quantity"};
    }
    return value;
}

double replay_world::callerQuantity(const trace_event &event, const std::string &name,
                                    bool &isKnown)
{
    if (name == "broken_flows") {
        const std::string except = event.text("except_zone");
        int broken = m_tally.brokenFlows;
        if (m_tally.brokenByZone.count(except) != 0) {
            broken -= m_tally.brokenByZone.at(except);
        }
        return broken;
    }
    if (name == "answered_by") {
        int answered = 0;
        for (const replay_caller *caller : matchingCallers(event.text("caller"))) {
            answered += caller->answered();
        }
        return answered;
    }
    if (name == "answered_between") {
        const monotonic_time first =
            traceTime(milliseconds(static_cast<std::int64_t>(numberOf(event, "from"))));
        const monotonic_time last =
            traceTime(milliseconds(static_cast<std::int64_t>(numberOf(event, "to"))));
        return static_cast<double>(
            std::count_if(m_tally.answerTimes.begin(), m_tally.answerTimes.end(),
                          [&](monotonic_time at) { return at >= first && at < last; }));
    }
    const std::map<std::string, int> values{{"answered", m_tally.answered},
                                            {"opened", m_tally.opened},
                                            {"unknown", m_tally.unknown},
                                            {"not_run", m_tally.refusedNotRun},
                                            {"overloaded", m_tally.overloaded},
                                            {"place_again", m_tally.placeAgain},
                                            {"timeouts", m_tally.timeouts},
                                            {"wrong_answers", m_tally.wrongAnswers},
                                            {"sent", m_tally.sent}};
    const auto found = values.find(name);
    isKnown = found != values.end();
    return isKnown ? found->second : 0;
}

double replay_world::upstreamQuantity(const trace_event &event, const std::string &name,
                                      bool &isKnown)
{
    std::map<std::string, int> runs;
    for (const auto &[upstreamName, upstream] : m_upstreams) {
        for (const auto &[order, count] : upstream->orderRuns()) {
            runs[order] += count;
        }
    }
    if (name == "runs_most") {
        int maxRuns = 0;
        for (const auto &[order, count] : runs) {
            maxRuns = std::max(maxRuns, count);
        }
        return maxRuns;
    }
    if (name == "false_not_run") {
        return static_cast<double>(
            std::count_if(m_tally.ordersNotRun.begin(), m_tally.ordersNotRun.end(),
                          [&](const std::string &order) { return runs.count(order) != 0; }));
    }
    using reader = std::function<double(const replay_upstream &)>;
    const milliseconds since(static_cast<std::int64_t>(numberOf(event, "since", 0)));
    const std::map<std::string, reader> readers{
        {"foreign", [](const replay_upstream &item) { return item.foreign(); }},
        {"overruns", [](const replay_upstream &item) { return item.overruns(); }},
        {"sheds", [](const replay_upstream &item) { return item.sheds(); }},
        {"expired", [](const replay_upstream &item) { return item.expired(); }},
        {"served", [](const replay_upstream &item) { return static_cast<double>(item.served()); }},
        {"packets",
         [since](const replay_upstream &item) { return item.packetsSince(traceTime(since)); }}};
    const auto found = readers.find(name);
    isKnown = found != readers.end() || name == "peak";
    double sum = 0;
    for (const auto &[upstreamName, upstream] : m_upstreams) {
        const bool isSelected = upstreamName == event.text("upstream", upstreamName)
            && upstream->row().zone == event.text("zone", upstream->row().zone)
            && upstream->row().service == event.text("service", upstream->row().service);
        if (isSelected && name == "peak") {
            sum = std::max(sum, static_cast<double>(upstream->peak()));
        } else if (isSelected && isKnown) {
            sum += found->second(*upstream);
        }
    }
    return sum;
}

double replay_world::hostQuantity(const trace_event &event, const std::string &name, bool &isKnown)
{
    std::vector<const replay_host *> hosts;
    for (const auto &[hostName, host] : m_hosts) {
        if (hostName == event.text("host", hostName)) {
            hosts.push_back(host.get());
        }
    }
    if (name == "stopped") {
        return static_cast<double>(
            std::count_if(hosts.begin(), hosts.end(),
                          [](const replay_host *host) { return host->hasStopped(); }));
    }
    if (name == "serving") {
        return static_cast<double>(
            std::count_if(hosts.begin(), hosts.end(), [](const replay_host *host) {
                return host->isRunning() && host->core().lifecycleState() == "serving";
            }));
    }
    if (name == "least_revision") {
        double lowest = -1;
        for (const replay_host *host : hosts) {
            if (host->isRunning()) {
                const auto revision = static_cast<double>(host->core().currentTable().revision());
                lowest = lowest < 0 ? revision : std::min(lowest, revision);
            }
        }
        return lowest;
    }
    isKnown = false;
    double sum = 0;
    for (std::size_t index = 0; index < static_cast<std::size_t>(counter::count); ++index) {
        const auto which = static_cast<counter>(index);
        if (toText(which) == name) {
            isKnown = true;
            for (const replay_host *host : hosts) {
                sum += static_cast<double>(host->counterValue(which));
            }
        }
    }
    return sum;
}

leaf::result<int> replayTrace(const std::string &fileName, const std::string &text,
                              const replay_options &options,
                              const std::function<void(const std::string &line)> &print)
{
    BOOST_LEAF_AUTO(events, parseTrace(fileName, text));
    std::size_t line = 0;
    try {
        return replay_world(options, print).run(events, line);
    } catch (const trace_problem &problem) {
        return leaf::new_error(trace_error{fileName, line, problem.problem});
    }
}

} // namespace figstair
