#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

namespace review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// The platform's key-value store, as PROTOCOL.md describes it: items with revisions, watches,
/// conditional writes and leases over HTTP. It is never slow and never loses an answer.
class store
{
public:
    store(boost::asio::io_context &io, const boost::asio::ip::tcp::endpoint &address);

    /// Writes on behalf of an operator or a target.
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

    /// Watches hear nothing of later changes until dropHistory().
    void silenceWatches();

    /// Cuts waiting watches, and answers those from earlier revisions with 410 from now on.
    void dropHistory();

private:
    struct item
    {
        std::string value; ///< base64
        std::uint64_t revision = 0;
        std::uint64_t createRevision = 0;
        std::uint64_t lease = 0;
    };
    struct lease
    {
        milliseconds life{0};
        steady::time_point end;
    };
    struct event
    {
        std::uint64_t revision = 0;
        nlohmann::json content;
    };
    struct reply
    {
        unsigned status = 200;
        nlohmann::json body = nlohmann::json::object();
        bool mayWait = false; ///< a watch without events
    };
    class session;

    void accept();
    void endLeases();
    void write(const std::string &key, const std::string &base64, std::uint64_t lease);
    reply handle(const std::string &method, const std::string &target, const std::string &body);
    reply range(const std::map<std::string, std::string> &query) const;
    reply watch(const std::map<std::string, std::string> &query) const;
    reply transact(const nlohmann::json &body);
    nlohmann::json toJson(const std::string &key, const item &what) const;

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_timer;
    std::map<std::string, item> m_items;
    std::map<std::uint64_t, lease> m_leases;
    std::deque<event> m_events;
    std::uint64_t m_historyFrom = 0; ///< the history has all later revisions
    std::uint64_t m_cuts = 0; ///< of waiting watches
    std::optional<std::uint64_t> m_silentFrom; ///< revision that watches do not pass
    std::uint64_t m_revision = 1;
    std::uint64_t m_nextLease = 1;
};

} // namespace review
