#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include <netinet/in.h>
#include <nlohmann/json.hpp>

#include "event_loop.h"

namespace review {

/// Stand-in for the platform's store: keys, revisions, leases, conditional writes and watches over
/// HTTP/1.1. Loses nothing and answers each call after 4 ms.
class store
{
public:
    /// Listens at @p address. Throws std::runtime_error if that fails.
    store(event_loop &loop, const sockaddr_in &address);

    /// Writes by the operator, a target or another writer. Returns the new revision.
    std::uint64_t put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    /// While the store is down it answers each call of a host with 503, and takes no writes.
    void setDown(bool isDown);
    bool isDown() const { return m_isDown; }
    /// The value of @p key, or an empty text.
    std::string value(const std::string &key) const;

private:
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t createRevision = 0;
        std::uint64_t lease = 0;
    };
    struct lease
    {
        double life = 0;
        double endsAt = 0;
    };
    struct request
    {
        std::string method;
        std::string path;
        std::map<std::string, std::string> query;
        std::string body;
    };
    struct connection
    {
        int descriptor = -1;
        std::string input;
    };
    struct waiting_watch
    {
        std::uint64_t connection = 0;
        std::string prefix;
        std::uint64_t after = 0;
    };

    void accept();
    void read(std::uint64_t number);
    void close(std::uint64_t number);
    void takeRequests(std::uint64_t number);
    void handle(std::uint64_t number, const request &call);
    void reply(std::uint64_t number, int status, const nlohmann::json &body);
    void transact(std::uint64_t number, const nlohmann::json &body);
    void startWatch(std::uint64_t number, const request &call);
    nlohmann::json eventsAfter(const std::string &prefix, std::uint64_t after) const;
    nlohmann::json toJson(const std::string &key, const item &what) const;
    std::uint64_t write(const std::string &key, const std::string &value, std::uint64_t lease);
    void noteChange(nlohmann::json event);
    void endLease(std::uint64_t number);
    void expireLeases();

    event_loop &m_loop;
    bool m_isDown = false;
    int m_listener = -1;
    std::map<std::string, item> m_items;
    std::map<std::uint64_t, lease> m_leases;
    std::deque<nlohmann::json> m_history; ///< all events, in the order of their revisions
    std::map<std::uint64_t, connection> m_connections;
    std::map<std::uint64_t, waiting_watch> m_watches;
    std::uint64_t m_revision = 1;
    std::uint64_t m_nextLease = 1000;
    std::uint64_t m_nextConnection = 1;
    std::uint64_t m_nextWatch = 1;
};

} // namespace review
