#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "figstair/core/answer_assembly.h"
#include "figstair/replay/replay_network.h"

namespace figstair {

/// What all callers of a replay saw.
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
    int sent = 0; ///< datagrams, repeats included
    int brokenFlows = 0; ///< established ones: an answer had come
    int lostBeforeFirstAnswer = 0;
    std::map<std::string, int> brokenByZone;
    std::set<std::string> ordersNotRun; ///< texts of orders refused as not run
    std::map<std::string, std::string> outcomes; ///< by request text: the last outcome
    std::vector<std::int64_t> latenciesMs;
    std::vector<monotonic_time> answerTimes;
};

/// One caller: keeps one flow, repeats what is not answered, checks answers.
class replay_caller
{
public:
    /// Gives the address of the host that receives the next datagram.
    using host_picker = std::function<endpoint(const std::string &via)>;

    replay_caller(std::string name, const endpoint &address, timeline &time,
                  replay_network &network, host_picker pickHost, caller_tally &tally);

    /// Opens a flow when there is none.
    void open(const std::string &service);

    /// Sends a request on the flow once it is open. @p via names the receiving host, "all" for a
    /// copy through every host, or is empty for any.
    void request(const std::string &text, bool isOrder, milliseconds budget, const std::string &via,
                 bool repeats);

    /// Sends the very datagram of an earlier request once more, as a late copy of it.
    void sendDuplicate(const std::string &text, const std::string &via);

    /// Keeps making requests until @p until, opening flows as needed.
    /// A flow is closed after @p perFlow requests, or kept when that is 0.
    void startLoad(const std::string &service, const std::string &text, bool isOrder,
                   milliseconds pause, milliseconds budget, monotonic_time until, int perFlow);

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
        bool isRenewal = false; ///< an open for the flow there is
        bool isRetried = true;
        milliseconds budget{0};
        std::string via;
        byte_buffer token;
        monotonic_time startedAt{};
        monotonic_time lastProgressAt{};
        answer_assembly answer;
        std::uint32_t rangeEnd = 0;
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
        int requestsPerFlow = 0; ///< requests until the flow is closed; 0 for no limit
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
    std::string m_upstreamZone;
    std::map<std::uint64_t, pending_request> m_pending;
    std::map<std::string, byte_buffer> m_sentOrders; ///< datagrams by text
    load_plan m_load;
    int m_answered = 0;
};

} // namespace figstair
