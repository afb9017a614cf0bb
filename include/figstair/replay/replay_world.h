#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "figstair/replay/replay_caller.h"
#include "figstair/replay/replay_host.h"
#include "figstair/replay/replay_network.h"
#include "figstair/replay/replay_platform.h"
#include "figstair/replay/replay_upstream.h"
#include "figstair/replay/trace.h"

namespace figstair {

/// Options of a replay.
struct replay_options
{
    bool printsEvents = false; ///< print the hosts' log events to standard error
    std::optional<std::uint64_t> seed; ///< overrides the seed of the trace
};

/// Runs one trace in virtual time and checks the outcomes that it expects. Runs once.
class replay_world
{
public:
    /// @p print receives one line for each checked outcome and a summary line at the end.
    replay_world(const replay_options &options, std::function<void(const std::string &line)> print);

    /// Returns the number of failed outcomes. Throws trace_problem for an event that cannot be
    /// executed. @p currentLine is set to the line of each event before it runs.
    int run(const std::vector<trace_event> &events, std::size_t &currentLine);

private:
    using verb_handler = void (replay_world::*)(const trace_event &event);
    using quantity_reader = std::function<double(const trace_event &event)>;

    static const std::map<std::string, verb_handler> &setupVerbs();
    static const std::map<std::string, verb_handler> &timedVerbs();

    // Setup lines.
    void configure(const trace_event &event);
    void addZone(const trace_event &event);
    void addService(const trace_event &event);
    void addHost(const trace_event &event);
    void addUpstream(const trace_event &event);
    void addCaller(const trace_event &event);

    // Timed events.
    void openFlow(const trace_event &event);
    void sendRequest(const trace_event &event);
    void duplicateOrder(const trace_event &event);
    void startLoad(const trace_event &event);
    void moveCaller(const trace_event &event);
    void changeHost(const trace_event &event);
    void changeUpstream(const trace_event &event);
    void changeNetwork(const trace_event &event);
    void changePlatform(const trace_event &event);
    void editRow(const trace_event &event);
    void expect(const trace_event &event);

    void startSimulation();
    void printSummary();
    std::string gateOf(const std::string &upstreamName);
    void tick();
    void pollPlatform(replay_host &host);
    endpoint pickHost(const std::string &via);
    table_row &rowOf(const trace_event &event);
    replay_host &hostOf(const trace_event &event);
    replay_upstream &upstreamOf(const trace_event &event, const std::string &key);
    std::vector<replay_caller *> matchingCallers(const std::string &pattern);
    double quantity(const trace_event &event, const std::string &name);
    double hostQuantity(const trace_event &event, const std::string &name, bool &isKnown);
    double upstreamQuantity(const trace_event &event, const std::string &name, bool &isKnown);
    double callerQuantity(const trace_event &event, const std::string &name, bool &isKnown);
    void checkBounds(const trace_event &event, const std::string &name, double value);

    replay_options m_options;
    std::function<void(const std::string &line)> m_print;
    timeline m_time;
    std::uint64_t m_seed = 1;
    milliseconds m_tickInterval{50};
    milliseconds m_pollInterval{500};
    milliseconds m_orderWindow{300000};
    std::unique_ptr<replay_network> m_network;
    std::unique_ptr<replay_platform> m_platform;
    std::mt19937_64 m_random;
    std::vector<table_row> m_rows;
    std::map<std::string, std::unique_ptr<replay_host>> m_hosts;
    std::map<std::string, std::unique_ptr<replay_upstream>> m_upstreams;
    std::map<std::string, std::unique_ptr<replay_caller>> m_callers;
    std::map<std::string, std::string> m_aliases;
    std::vector<std::string> m_listedHosts;
    std::vector<endpoint> m_seeds;
    caller_tally m_tally;
    monotonic_time m_nextPoll{};
    std::size_t m_viaAllIndex = 0;
    int m_failures = 0;
};

/// Replays the trace @p text. Returns the number of failed outcomes. Fails with trace_error, which
/// names @p fileName, when a line cannot be parsed or executed.
boost::leaf::result<int> replayTrace(const std::string &fileName, const std::string &text,
                                     const replay_options &options,
                                     const std::function<void(const std::string &line)> &print);

} // namespace figstair
