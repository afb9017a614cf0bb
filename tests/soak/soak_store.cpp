#include "soak_store.h"

#include <boost/beast/core.hpp>
#include <boost/beast/core/detail/base64.hpp>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using nlohmann::json;

namespace soak {
namespace {

constexpr milliseconds answerDelay{4}; // latency of the platform's store
constexpr milliseconds watchPollInterval{10};
constexpr milliseconds leaseSweepInterval{100};
constexpr std::size_t maxPageItems = 500; // items in one range page or watch answer

int hexValue(char digit)
{
    return std::isdigit(static_cast<unsigned char>(digit)) != 0 ? digit - '0'
                                                                : (digit | 0x20) - 'a' + 10;
}

std::string decodePercent(const std::string &text)
{
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            decoded += static_cast<char>(hexValue(text[at + 1]) * 16 + hexValue(text[at + 2]));
            at += 2;
        } else {
            decoded += text[at];
        }
    }
    return decoded;
}

/// Decoded query parameters of a request target.
std::map<std::string, std::string> parseQuery(const std::string &target)
{
    std::map<std::string, std::string> parameters;
    std::size_t at = target.find('?');
    while (at != std::string::npos && at + 1 < target.size()) {
        const std::size_t end = std::min(target.find('&', at + 1), target.size());
        const std::string item = target.substr(at + 1, end - at - 1);
        const std::size_t equals = std::min(item.find('='), item.size());
        parameters[decodePercent(item.substr(0, equals))] =
            equals < item.size() ? decodePercent(item.substr(equals + 1)) : "";
        at = end < target.size() ? end : std::string::npos;
    }
    return parameters;
}

std::uint64_t trailingNumber(const std::string &path)
{
    return std::strtoull(path.c_str() + path.rfind('/') + 1, nullptr, 10);
}

} // namespace

std::string toBase64(const std::string &bytes)
{
    std::string text(beast::detail::base64::encoded_size(bytes.size()), '\0');
    text.resize(beast::detail::base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

/// One HTTP connection from a host.
class soak_store::session : public std::enable_shared_from_this<session>
{
public:
    session(soak_store &store, tcp::socket socket)
        : m_store(store)
        , m_stream(std::move(socket))
        , m_timer(m_stream.get_executor())
    {
    }

    void read()
    {
        m_request = {};
        http::async_read(m_stream, m_buffer, m_request,
                         [self = shared_from_this()](beast::error_code error, std::size_t) {
                             if (!error) {
                                 ++self->m_store.m_calls;
                                 self->m_receivedAt = soak_clock::now();
                                 self->scheduleAnswer(answerDelay);
                             }
                         });
    }

private:
    void scheduleAnswer(milliseconds time)
    {
        m_timer.expires_after(time);
        m_timer.async_wait([self = shared_from_this()](beast::error_code) { self->answer(); });
    }

    void answer()
    {
        if (m_store.m_fault == store_fault::silent) {
            scheduleAnswer(watchPollInterval * 5); // checks again: the fault may have ended
            return;
        }
        reply result;
        if (m_store.m_fault == store_fault::unavailable) {
            result.status = 503;
        } else {
            result = m_store.handle(std::string(m_request.method_string()),
                                    std::string(m_request.target()), m_request.body());
        }
        if (m_store.m_fault == store_fault::losesAnswers) {
            m_stream.close();
            return;
        }
        const std::string target(m_request.target());
        const auto parameters = parseQuery(target);
        const auto wait = parameters.find("wait-ms");
        if (result.isWaiting && wait != parameters.end()
            && soak_clock::now() - m_receivedAt < milliseconds(std::stoll(wait->second))) {
            scheduleAnswer(watchPollInterval);
            return;
        }
        m_response = {};
        m_response.result(result.status);
        m_response.set(http::field::content_type, "application/json");
        m_response.set("Store-Era", std::to_string(m_store.m_epoch));
        m_response.body() = result.body.is_null() ? "{}" : result.body.dump();
        m_response.keep_alive(true);
        m_response.prepare_payload();
        http::async_write(m_stream, m_response,
                          [self = shared_from_this()](beast::error_code error, std::size_t) {
                              if (!error) {
                                  self->read();
                              }
                          });
    }

    soak_store &m_store;
    beast::tcp_stream m_stream;
    asio::steady_timer m_timer;
    beast::flat_buffer m_buffer;
    http::request<http::string_body> m_request;
    http::response<http::string_body> m_response;
    soak_clock::time_point m_receivedAt;
};

soak_store::soak_store(asio::io_context &io, const tcp::endpoint &listenAddress)
    : m_acceptor(io, listenAddress)
    , m_timer(io)
{
    accept();
    expireLeases();
}

void soak_store::accept()
{
    m_acceptor.async_accept([this](beast::error_code error, tcp::socket socket) {
        if (!error) {
            std::make_shared<session>(*this, std::move(socket))->read();
            accept();
        }
    });
}

void soak_store::expireLeases()
{
    for (auto lease = m_state.leases.begin(); lease != m_state.leases.end();) {
        if (soak_clock::now() < lease->second.second) {
            ++lease;
            continue;
        }
        std::vector<std::string> ended;
        for (const auto &[key, what] : m_state.items) {
            if (what.lease == lease->first) {
                ended.push_back(key);
            }
        }
        for (const std::string &key : ended) {
            remove(key);
        }
        lease = m_state.leases.erase(lease);
    }
    m_timer.expires_after(leaseSweepInterval);
    m_timer.async_wait([this](beast::error_code error) {
        if (!error) {
            expireLeases();
        }
    });
}

std::uint64_t soak_store::write(const std::string &key, const std::string &base64,
                                std::uint64_t lease)
{
    m_state.items[key] = item{base64, ++m_state.revision, lease};
    m_history.push_back({m_state.revision, key});
    return m_state.revision;
}

std::uint64_t soak_store::put(const std::string &key, const std::string &value)
{
    return write(key, toBase64(value), 0);
}

std::uint64_t soak_store::remove(const std::string &key)
{
    m_state.items.erase(key);
    m_history.push_back({++m_state.revision, key});
    return m_state.revision;
}

void soak_store::dropHistory()
{
    m_history.clear();
    m_historyFrom = m_state.revision;
}

void soak_store::takeCopy()
{
    m_copy = m_state;
}

void soak_store::restore()
{
    const auto isOfHosts = [](const std::string &key) { return key.rfind("figstair/", 0) == 0; };
    const state lost = std::exchange(m_state, m_copy);
    ++m_epoch;
    dropHistory();
    for (const auto &[key, what] : lost.items) {
        if (!isOfHosts(key) && what.revision > m_copy.revision) {
            write(key, what.value, 0);
        }
    }
    for (const auto &[key, what] : m_copy.items) {
        if (!isOfHosts(key) && lost.items.count(key) == 0) {
            remove(key);
        }
    }
}

json soak_store::toJson(const std::string &key, const item &what) const
{
    return json{{"key", key},
                {"value", what.value},
                {"revision", what.revision},
                {"create-revision", what.revision},
                {"lease", what.lease}};
}

soak_store::reply soak_store::range(const std::map<std::string, std::string> &parameters) const
{
    const auto after = parameters.find("after");
    json items = json::array();
    auto next = after == parameters.end() ? m_state.items.begin()
                                          : m_state.items.upper_bound(after->second);
    for (; next != m_state.items.end() && items.size() < maxPageItems; ++next) {
        items.push_back(toJson(next->first, next->second));
    }
    return {200,
            json{{"items", items},
                 {"truncated", next != m_state.items.end()},
                 {"store-revision", m_state.revision}}};
}

soak_store::reply soak_store::watch(const std::map<std::string, std::string> &parameters) const
{
    const std::uint64_t after = std::stoull(parameters.at("after"));
    if (after < m_historyFrom || after > m_state.revision) {
        return {410, nullptr};
    }
    json events = json::array();
    std::uint64_t reached = m_state.revision;
    for (const change &what : m_history) {
        if (what.revision <= after) {
            continue;
        }
        if (events.size() >= maxPageItems) {
            reached = what.revision - 1;
            break;
        }
        const auto found = m_state.items.find(what.key);
        if (found == m_state.items.end()) {
            events.push_back(
                json{{"key", what.key}, {"revision", what.revision}, {"removed", true}});
        } else if (found->second.revision == what.revision) {
            events.push_back(toJson(what.key, found->second));
        } // otherwise a later event reports the newer state
    }
    return {200, json{{"events", events}, {"store-revision", reached}}, events.empty()};
}

soak_store::reply soak_store::transact(const json &body)
{
    for (const json &row : body.at("precondition")) {
        const auto found = m_state.items.find(row.at("key").get<std::string>());
        const std::uint64_t revision = found == m_state.items.end() ? 0 : found->second.revision;
        if (revision != row.at("revision").get<std::uint64_t>()) {
            return {412, json{{"items", json::array()}}};
        }
    }
    for (const json &row : body.at("put")) {
        const auto lease = row.value("lease", std::uint64_t{0});
        if (lease != 0 && m_state.leases.count(lease) == 0) {
            return {404, nullptr};
        }
        write(row.at("key").get<std::string>(), row.at("value").get<std::string>(), lease);
    }
    for (const json &key : body.at("remove")) {
        remove(key.get<std::string>());
    }
    return {200, json{{"revision", m_state.revision}}};
}

soak_store::reply soak_store::handle(const std::string &method, const std::string &target,
                                     const std::string &body)
{
    const std::string path = target.substr(0, target.find('?'));
    const auto startsWith = [&](const char *prefix) { return path.rfind(prefix, 0) == 0; };
    if (path == "/figstair/kv-range") {
        return range(parseQuery(target));
    }
    if (path == "/figstair/kv-watch") {
        return watch(parseQuery(target));
    }
    if (path == "/figstair/kv-txn") {
        return transact(json::parse(body));
    }
    if (path == "/figstair/kv-lease") {
        const milliseconds life(json::parse(body).at("ttl-ms").get<std::int64_t>());
        m_state.leases[m_state.nextLease] = {life, soak_clock::now() + life};
        return {200, json{{"lease", m_state.nextLease++}, {"ttl-ms", life.count()}}};
    }
    const auto lease = m_state.leases.find(trailingNumber(path));
    if (lease == m_state.leases.end()) {
        return {404, nullptr};
    }
    if (startsWith("/figstair/kv-keep/")) {
        lease->second.second = soak_clock::now() + lease->second.first;
    } else if (method == "DELETE") {
        lease->second.second = soak_clock::now();
    }
    return {200, json::object()};
}

} // namespace soak
