#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

namespace soak {

using soak_clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Fault that the store currently injects.
enum class store_fault : std::uint8_t {
    none,
    unavailable, ///< answers 503 without executing the request
    silent, ///< reads requests and does not answer while the fault lasts
    losesAnswers ///< executes the request and closes the connection instead of answering
};

/// Fake of the platform's store: keys with revisions, leases, watches and conditional writes over
/// HTTP, as the platform documentation specifies. Shares no code with the hosts.
class soak_store
{
public:
    soak_store(boost::asio::io_context &io, const boost::asio::ip::tcp::endpoint &listenAddress);

    /// Writes directly, on behalf of an operator or an upstream, whatever the fault. Returns the
    /// new revision.
    std::uint64_t put(const std::string &key, const std::string &value);
    std::uint64_t remove(const std::string &key);

    void setFault(store_fault fault) { m_fault = fault; }
    /// Drops the change history: watches from older revisions get 410.
    void dropHistory();

    /// Keeps a copy of the present state for restore().
    void takeCopy();
    /// Returns to the state of the last copy and starts a new epoch: writes of the hosts since then
    /// are lost, those of operators and upstreams are repeated, and revisions are assigned again.
    void restore();
    std::uint64_t calls() const { return m_calls; }

private:
    struct item
    {
        std::string value; ///< base64
        std::uint64_t revision = 0;
        std::uint64_t lease = 0;
    };
    struct change
    {
        std::uint64_t revision = 0;
        std::string key;
    };
    struct state
    {
        std::map<std::string, item> items;
        std::map<std::uint64_t, std::pair<milliseconds, soak_clock::time_point>> leases;
        std::uint64_t revision = 1;
        std::uint64_t nextLease = 1;
    };
    class session;
    struct reply
    {
        unsigned status = 200;
        nlohmann::json body;
        bool isWaiting = false; ///< a watch that has no events yet
    };

    void accept();
    void expireLeases();
    reply handle(const std::string &method, const std::string &target, const std::string &body);
    reply range(const std::map<std::string, std::string> &parameters) const;
    reply watch(const std::map<std::string, std::string> &parameters) const;
    reply transact(const nlohmann::json &body);
    std::uint64_t write(const std::string &key, const std::string &base64, std::uint64_t lease);
    nlohmann::json toJson(const std::string &key, const item &what) const;

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_timer;
    state m_state;
    state m_copy;
    std::uint64_t m_epoch = 1;
    std::deque<change> m_history;
    std::uint64_t m_historyFrom = 0; ///< the history holds all changes after this revision
    std::uint64_t m_calls = 0;
    store_fault m_fault = store_fault::none;
};

std::string toBase64(const std::string &bytes);

} // namespace soak
