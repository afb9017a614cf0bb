#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "figstair/core/gate/answer_assembly.h"
#include "figstair/replay/replay_network.h"

namespace figstair {

/// Results of all callers of a replay.
struct caller_tally
{
    int opened = 0;
    int answered = 0;
    int refusedNotRun = 0;
    int unknown = 0;
    int overloaded = 0;
    int placeAgain = 0;
    int timeouts = 0;
    int wrongAnswers = 0;
    int sent = 0; ///< request and open datagrams, with retries and via=all copies
    int brokenFlows = 0; ///< flows lost after their first answer
    int lostBeforeFirstAnswer = 0;
    std::map<std::string, int> brokenByZone; ///< brokenFlows by the upstream's zone
    std::set<std::string> ordersNotRun; ///< texts of requests refused as not run
    std::map<std::string, std::string> outcomes; ///< last outcome by request text
    std::vector<std::int64_t> latenciesMs;
    std::vector<monotonic_time> answerTimes;
};

/// A simulated caller: keeps one flow, retries unanswered requests and verifies the answers.
class replay_caller
{
public:
    /// Returns the address of the host that receives the next datagram, given the "via" of the
    /// request.
    using host_picker = std::function<endpoint(const std::string &via)>;

    replay_caller(std::string name, const endpoint &address, timeline &time,
                  replay_network &network, host_picker pickHost, caller_tally &tally);

    /// Asks for a new flow to @p service.
    void open(const std::string &service);

    /// Sends a request on the present flow and, if @p repeats, retries it until it completes or
    /// times out. @p via names the receiving host, is "all" for copies through the hosts in turn,
    /// or is empty for any host.
    void request(const std::string &text, bool isOrder, milliseconds budget, const std::string &via,
                 bool repeats);

    /// Sends the datagram of an earlier order again unchanged, as a late duplicate. Throws
    /// trace_problem when no order @p text was sent.
    void sendDuplicate(const std::string &text, const std::string &via);

    /// Sends requests one after another, @p pause apart, until @p until, and opens flows as needed.
    /// A flow is closed after @p perFlow requests; 0 means no limit.
    void startLoad(const std::string &service, const std::string &text, bool isOrder,
                   milliseconds pause, milliseconds budget, monotonic_time until, int perFlow);

    /// Changes the caller's address; its flow continues from there.
    void moveTo(const endpoint &address);

    const std::string &name() const { return m_name; }
    int answered() const { return m_answered; }

private:
    struct pending_request
    {
        std::uint64_t id = 0;
        std::string text;
        bool isOrder = false;
        bool isOpen = false;
        bool isRenewal = false; ///< an open that renews the token of the present flow
        bool isRetried = true;
        milliseconds budget{0};
        std::string via;
        byte_buffer token;
        monotonic_time startedAt{};
        monotonic_time lastProgressAt{};
        answer_assembly answer;
        std::uint32_t rangeEnd = 0; ///< first part after the requested range
    };

    struct load_plan
    {
        std::string service;
        std::string text;
        bool isOrder = false;
        milliseconds pause{0};
        milliseconds budget{0};
        monotonic_time until{};
        int requestsOnFlow = 0;
        int requestsPerFlow = 0; ///< the flow is closed after this many; 0 for no limit
    };

    void listen();
    void onDatagram(const byte_buffer &bytes);
    void onMessage(pending_request &pending, const datagram &message);
    void onOpened(pending_request &pending, const datagram &message);
    void onAnswer(pending_request &pending, const datagram &message);
    void onRefusal(pending_request &pending, const datagram &message);
    bool isExpectedAnswer(const pending_request &pending, const std::string &content);
    void sendPending(pending_request &pending);
    void scheduleRetry(std::uint64_t id, milliseconds delay);
    void completeRequest(std::uint64_t id, const std::string &outcome);
    void abandonFlow();
    void renewToken();
    void closeFlow();
    bool isRenewing() const;
    void continueLoad();

    std::string m_name;
    endpoint m_address;
    timeline &m_time;
    replay_network &m_network;
    host_picker m_pickHost;
    caller_tally &m_tally;
    std::uint64_t m_nextId;
    byte_buffer m_token;
    std::string m_service;
    std::string m_upstreamZone; ///< zone of the flow's upstream; empty before the first answer
    std::map<std::uint64_t, pending_request> m_pending;
    std::map<std::string, byte_buffer> m_sentOrders; ///< last datagram of each order, by text
    load_plan m_load;
    int m_answered = 0;
};

} // namespace figstair
