#include "store.h"

#include <cerrno>
#include <cstdlib>
#include <stdexcept>
#include <utility>

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

using nlohmann::json;

namespace review {
namespace {

constexpr double answerSeconds = 0.004;
constexpr double leaseCheckSeconds = 0.1;
/// A large answer waits this long for a host that does not read.
constexpr int maxSendWaitMs = 500;

const char *const base64Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string toBase64(const std::string &bytes)
{
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        unsigned group = 0;
        for (std::size_t index = 0; index < 3; ++index) {
            const bool isPresent = at + index < bytes.size();
            group = group << 8U | (isPresent ? std::uint8_t(bytes[at + index]) : 0U);
        }
        for (std::size_t index = 0; index < 4; ++index) {
            const bool isPadding = at + index > bytes.size();
            text += isPadding ? '=' : base64Digits[group >> (18 - 6 * index) & 63U];
        }
    }
    return text;
}

std::string fromBase64(const std::string &text)
{
    std::string bytes;
    unsigned group = 0;
    unsigned bits = 0;
    for (const char digit : text) {
        const std::size_t value = std::string(base64Digits).find(digit);
        if (value == std::string::npos) {
            continue;
        }
        group = group << 6U | unsigned(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += char(group >> bits & 255U);
        }
    }
    return bytes;
}

std::string decodePercent(const std::string &text)
{
    std::string plain;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            plain += char(std::strtoul(text.substr(at + 1, 2).c_str(), nullptr, 16));
            at += 2;
        } else {
            plain += text[at];
        }
    }
    return plain;
}

bool startsWith(const std::string &text, const std::string &prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

store::store(event_loop &loop, const sockaddr_in &address)
    : m_loop(loop)
    , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
{
    const int on = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || listen(m_listener, 64) != 0) {
        throw std::runtime_error("the store cannot listen");
    }
    m_loop.watch(m_listener, [this] { accept(); });
    m_loop.after(leaseCheckSeconds, [this] { expireLeases(); });
}

void store::accept()
{
    const int descriptor = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0) {
        return;
    }
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const std::uint64_t number = m_nextConnection++;
    m_connections[number].descriptor = descriptor;
    m_loop.watch(descriptor, [this, number] { read(number); });
}

void store::close(std::uint64_t number)
{
    const auto found = m_connections.find(number);
    if (found != m_connections.end()) {
        m_loop.unwatch(found->second.descriptor);
        ::close(found->second.descriptor);
        m_connections.erase(found);
    }
}

void store::read(std::uint64_t number)
{
    char bytes[65536];
    connection &from = m_connections[number];
    const ssize_t size = recv(from.descriptor, bytes, sizeof bytes, 0);
    if (size <= 0) {
        close(number);
        return;
    }
    from.input.append(bytes, std::size_t(size));
    takeRequests(number);
}

void store::takeRequests(std::uint64_t number)
{
    for (auto found = m_connections.find(number); found != m_connections.end();
         found = m_connections.find(number)) {
        std::string &input = found->second.input;
        const std::size_t headEnd = input.find("\r\n\r\n");
        if (headEnd == std::string::npos) {
            return;
        }
        const std::string head = input.substr(0, headEnd + 2);
        std::size_t bodySize = 0;
        const std::size_t lengthAt = head.find("\r\nContent-Length:");
        if (lengthAt != std::string::npos) {
            bodySize = std::strtoul(head.c_str() + lengthAt + 17, nullptr, 10);
        }
        if (input.size() < headEnd + 4 + bodySize) {
            return;
        }
        request call;
        call.method = head.substr(0, head.find(' '));
        const std::size_t targetAt = call.method.size() + 1;
        const std::string target = head.substr(targetAt, head.find(' ', targetAt) - targetAt);
        call.body = input.substr(headEnd + 4, bodySize);
        input.erase(0, headEnd + 4 + bodySize);
        call.path = target.substr(0, target.find('?'));
        std::size_t at = call.path.size();
        while (at < target.size()) {
            const std::size_t end = std::min(target.find('&', at + 1), target.size());
            const std::string pair = target.substr(at + 1, end - at - 1);
            const std::size_t equals = std::min(pair.find('='), pair.size());
            call.query[pair.substr(0, equals)] =
                equals < pair.size() ? decodePercent(pair.substr(equals + 1)) : std::string();
            at = end;
        }
        m_loop.after(answerSeconds, [this, number, call] { handle(number, call); });
    }
}

void store::reply(std::uint64_t number, int status, const json &body)
{
    const auto found = m_connections.find(number);
    if (found == m_connections.end()) {
        return;
    }
    const std::string content = body.dump();
    const std::string text = "HTTP/1.1 " + std::to_string(status)
        + " Status\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(content.size()) + "\r\n\r\n" + content;
    const int descriptor = found->second.descriptor;
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t count = send(descriptor, &text[sent], text.size() - sent, MSG_NOSIGNAL);
        if (count > 0) {
            sent += std::size_t(count);
            continue;
        }
        pollfd state{descriptor, POLLOUT, 0};
        if (errno != EAGAIN || poll(&state, 1, maxSendWaitMs) <= 0) {
            close(number);
            return;
        }
    }
}

void store::handle(std::uint64_t number, const request &call)
{
    const std::string keepPath = "/figstair/kv-keep/";
    const std::string endPath = "/figstair/kv-lease-end/";
    if (m_isDown) {
        reply(number, 503, json::object());
        return;
    }
    const auto parameter = [&](const char *name) {
        const auto found = call.query.find(name);
        return found == call.query.end() ? std::string() : found->second;
    };
    if (call.path == "/figstair/kv-range") {
        json items = json::array();
        bool isTruncated = false;
        for (const auto &[key, what] : m_items) {
            if (!startsWith(key, parameter("prefix")) || key <= parameter("after")) {
                continue;
            }
            isTruncated = items.size() == 500;
            if (isTruncated) {
                break;
            }
            items.push_back(toJson(key, what));
        }
        reply(number, 200,
              {{"items", items}, {"truncated", isTruncated}, {"store-revision", m_revision}});
    } else if (call.path == "/figstair/kv-key") {
        const auto found = m_items.find(parameter("key"));
        json body = found == m_items.end() ? json::object() : toJson(found->first, found->second);
        body["store-revision"] = m_revision;
        reply(number, found == m_items.end() ? 404 : 200, body);
    } else if (call.path == "/figstair/kv-watch") {
        startWatch(number, call);
    } else if (call.path == "/figstair/kv-txn") {
        transact(number, json::parse(call.body));
    } else if (call.path == "/figstair/kv-lease") {
        const auto life = json::parse(call.body).at("ttl-ms").get<std::uint64_t>();
        m_leases[++m_nextLease] = lease{double(life) / 1000, m_loop.now() + double(life) / 1000};
        reply(number, 200, {{"lease", m_nextLease}, {"ttl-ms", life}});
    } else if (startsWith(call.path, keepPath)) {
        const auto found = m_leases.find(std::stoull(call.path.substr(keepPath.size())));
        if (found == m_leases.end()) {
            reply(number, 404, json::object());
            return;
        }
        found->second.endsAt = m_loop.now() + found->second.life;
        reply(number, 200, {{"ttl-ms", std::uint64_t(found->second.life * 1000)}});
    } else if (startsWith(call.path, endPath)) {
        endLease(std::stoull(call.path.substr(endPath.size())));
        reply(number, 200, json::object());
    } else {
        reply(number, 404, json::object());
    }
}

void store::transact(std::uint64_t number, const json &body)
{
    json conflicts = json::array();
    for (const json &row : body.value("precondition", json::array())) {
        const auto found = m_items.find(row.at("key").get<std::string>());
        const std::uint64_t revision = found == m_items.end() ? 0 : found->second.revision;
        if (revision != row.at("revision").get<std::uint64_t>()) {
            conflicts.push_back(found == m_items.end()
                                    ? json{{"key", row.at("key")}, {"revision", 0}}
                                    : toJson(found->first, found->second));
        }
    }
    if (!conflicts.empty()) {
        reply(number, 412, {{"items", conflicts}});
        return;
    }
    for (const json &row : body.value("put", json::array())) {
        const std::uint64_t lease = row.value("lease", std::uint64_t{0});
        if (lease != 0 && m_leases.count(lease) == 0) {
            reply(number, 404, json::object());
            return;
        }
    }
    for (const json &row : body.value("put", json::array())) {
        write(row.at("key").get<std::string>(), fromBase64(row.at("value").get<std::string>()),
              row.value("lease", std::uint64_t{0}));
    }
    for (const json &key : body.value("remove", json::array())) {
        remove(key.get<std::string>());
    }
    reply(number, 200, {{"revision", m_revision}});
}

void store::startWatch(std::uint64_t number, const request &call)
{
    const std::string prefix = call.query.at("prefix");
    const std::uint64_t after = std::stoull(call.query.at("after"));
    const json events = eventsAfter(prefix, after);
    if (!events.empty()) {
        reply(number, 200, {{"events", events}, {"store-revision", m_revision}});
        return;
    }
    const std::uint64_t watch = m_nextWatch++;
    m_watches[watch] = waiting_watch{number, prefix, after};
    m_loop.after(std::stod(call.query.at("wait-ms")) / 1000, [this, watch] {
        const auto found = m_watches.find(watch);
        if (found != m_watches.end()) {
            reply(found->second.connection, 200,
                  {{"events", json::array()}, {"store-revision", m_revision}});
            m_watches.erase(found);
        }
    });
}

json store::eventsAfter(const std::string &prefix, std::uint64_t after) const
{
    json events = json::array();
    for (const json &event : m_history) {
        if (event.at("revision").get<std::uint64_t>() > after
            && startsWith(event.at("key").get<std::string>(), prefix)) {
            events.push_back(event);
        }
    }
    return events;
}

json store::toJson(const std::string &key, const item &what) const
{
    return {{"key", key},
            {"value", toBase64(what.value)},
            {"revision", what.revision},
            {"create-revision", what.createRevision},
            {"lease", what.lease}};
}

void store::noteChange(json event)
{
    m_history.push_back(std::move(event));
    // Waiting watches are answered at once.
    for (auto watch = m_watches.begin(); watch != m_watches.end();) {
        const json events = eventsAfter(watch->second.prefix, watch->second.after);
        if (events.empty()) {
            ++watch;
            continue;
        }
        const std::uint64_t number = watch->second.connection;
        watch = m_watches.erase(watch);
        reply(number, 200, {{"events", events}, {"store-revision", m_revision}});
    }
}

std::uint64_t store::write(const std::string &key, const std::string &value, std::uint64_t lease)
{
    item &what = m_items[key];
    what.value = value;
    what.revision = ++m_revision;
    what.createRevision = what.createRevision == 0 ? m_revision : what.createRevision;
    what.lease = lease;
    noteChange(toJson(key, what));
    return m_revision;
}

std::uint64_t store::put(const std::string &key, const std::string &value)
{
    return write(key, value, 0);
}

void store::setDown(bool isDown)
{
    m_isDown = isDown;
    if (isDown) {
        for (const auto &[number, watch] : std::exchange(m_watches, {})) {
            reply(watch.connection, 503, json::object());
        }
    }
}

std::string store::value(const std::string &key) const
{
    const auto found = m_items.find(key);
    return found == m_items.end() ? std::string() : found->second.value;
}

void store::remove(const std::string &key)
{
    if (m_items.erase(key) > 0) {
        ++m_revision;
        noteChange({{"key", key}, {"revision", m_revision}, {"removed", true}});
    }
}

void store::endLease(std::uint64_t number)
{
    m_leases.erase(number);
    for (auto item = m_items.begin(); item != m_items.end();) {
        const std::string key = item->first;
        const bool isEnded = item->second.lease == number;
        ++item;
        if (isEnded) {
            remove(key);
        }
    }
}

void store::expireLeases()
{
    for (auto item = m_leases.begin(); item != m_leases.end();) {
        const std::uint64_t number = item->first;
        if (m_isDown) {
            // Leases pause while the store is down.
            item->second.endsAt += leaseCheckSeconds;
        }
        const bool isOver = item->second.endsAt <= m_loop.now();
        ++item;
        if (isOver) {
            endLease(number);
        }
    }
    m_loop.after(leaseCheckSeconds, [this] { expireLeases(); });
}

} // namespace review
