#include "store.h"

#include <boost/beast/core.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/http.hpp>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using nlohmann::json;

namespace review {
namespace {

constexpr milliseconds answerTime{4};
constexpr milliseconds watchInterval{4};
constexpr milliseconds leaseInterval{100};
constexpr std::size_t maxItems = 500; // of a page

std::string toBase64(const std::string &bytes)
{
    std::string text(beast::detail::base64::encoded_size(bytes.size()), '\0');
    text.resize(beast::detail::base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::string decodePercent(const std::string &text)
{
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
            at += 2;
        } else {
            decoded += text[at];
        }
    }
    return decoded;
}

std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> query;
    std::size_t at = target.find('?');
    while (at != std::string::npos && at + 1 < target.size()) {
        const std::size_t end = std::min(target.find('&', at + 1), target.size());
        const std::string part = target.substr(at + 1, end - at - 1);
        const std::size_t equals = std::min(part.find('='), part.size());
        query[decodePercent(part.substr(0, equals))] =
            equals < part.size() ? decodePercent(part.substr(equals + 1)) : "";
        at = end < target.size() ? end : std::string::npos;
    }
    return query;
}

bool startsWith(const std::string &text, const std::string &prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

/// One connection of a host.
class store::session : public std::enable_shared_from_this<session>
{
public:
    session(store &owner, tcp::socket socket)
        : m_store(owner)
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
                                 self->m_receivedAt = steady::now();
                                 self->m_cutsSeen = self->m_store.m_cuts;
                                 self->answerIn(answerTime);
                             }
                         });
    }

private:
    void answerIn(milliseconds time)
    {
        m_timer.expires_after(time);
        m_timer.async_wait([self = shared_from_this()](beast::error_code) { self->answer(); });
    }

    void answer()
    {
        const std::string target(m_request.target());
        if (target.find("/kv-watch") != std::string::npos && m_cutsSeen != m_store.m_cuts) {
            m_stream.close();
            return;
        }
        const reply result =
            m_store.handle(std::string(m_request.method_string()), target, m_request.body());
        const auto query = queryOf(target);
        const auto wait = query.find("wait-ms");
        if (result.mayWait && wait != query.end()
            && steady::now() - m_receivedAt < milliseconds(std::stoll(wait->second))) {
            answerIn(watchInterval);
            return;
        }
        m_response = {};
        m_response.result(result.status);
        m_response.set(http::field::content_type, "application/json");
        m_response.body() = result.body.dump();
        m_response.keep_alive(true);
        m_response.prepare_payload();
        http::async_write(m_stream, m_response,
                          [self = shared_from_this()](beast::error_code error, std::size_t) {
                              if (!error) {
                                  self->read();
                              }
                          });
    }

    store &m_store;
    beast::tcp_stream m_stream;
    asio::steady_timer m_timer;
    beast::flat_buffer m_buffer;
    http::request<http::string_body> m_request;
    http::response<http::string_body> m_response;
    steady::time_point m_receivedAt;
    std::uint64_t m_cutsSeen = 0;
};

store::store(asio::io_context &io, const tcp::endpoint &address)
    : m_acceptor(io, address)
    , m_timer(io)
{
    accept();
    endLeases();
}

void store::accept()
{
    m_acceptor.async_accept([this](beast::error_code error, tcp::socket socket) {
        if (!error) {
            std::make_shared<session>(*this, std::move(socket))->read();
            accept();
        }
    });
}

void store::endLeases()
{
    for (auto next = m_leases.begin(); next != m_leases.end();) {
        if (steady::now() < next->second.end) {
            ++next;
            continue;
        }
        std::vector<std::string> ended;
        for (const auto &[key, what] : m_items) {
            if (what.lease == next->first) {
                ended.push_back(key);
            }
        }
        for (const std::string &key : ended) {
            remove(key);
        }
        next = m_leases.erase(next);
    }
    m_timer.expires_after(leaseInterval);
    m_timer.async_wait([this](beast::error_code error) {
        if (!error) {
            endLeases();
        }
    });
}

json store::toJson(const std::string &key, const item &what) const
{
    return json{{"key", key},
                {"value", what.value},
                {"revision", what.revision},
                {"create-revision", what.createRevision},
                {"lease", what.lease}};
}

void store::write(const std::string &key, const std::string &base64, std::uint64_t lease)
{
    const auto found = m_items.find(key);
    const std::uint64_t created =
        found == m_items.end() ? m_revision + 1 : found->second.createRevision;
    m_items[key] = item{base64, ++m_revision, created, lease};
    m_events.push_back({m_revision, toJson(key, m_items[key])});
}

void store::put(const std::string &key, const std::string &value)
{
    write(key, toBase64(value), 0);
}

void store::remove(const std::string &key)
{
    if (m_items.erase(key) > 0) {
        ++m_revision;
        m_events.push_back(
            {m_revision, json{{"key", key}, {"revision", m_revision}, {"removed", true}}});
    }
}

void store::silenceWatches()
{
    m_silentFrom = m_revision;
}

void store::dropHistory()
{
    m_silentFrom.reset();
    m_events.clear();
    m_historyFrom = m_revision;
    ++m_cuts;
}

store::reply store::range(const std::map<std::string, std::string> &query) const
{
    const auto prefix = query.find("prefix");
    const auto after = query.find("after");
    json items = json::array();
    auto next = after == query.end() ? m_items.lower_bound("") : m_items.upper_bound(after->second);
    for (; next != m_items.end() && items.size() < maxItems; ++next) {
        if (prefix == query.end() || startsWith(next->first, prefix->second)) {
            items.push_back(toJson(next->first, next->second));
        }
    }
    return {200,
            json{{"items", items},
                 {"truncated", next != m_items.end()},
                 {"store-revision", m_revision}}};
}

store::reply store::watch(const std::map<std::string, std::string> &query) const
{
    const std::uint64_t after = std::stoull(query.at("after"));
    const std::string &prefix = query.at("prefix");
    if (after < m_historyFrom) {
        return {410, json::object()};
    }
    json events = json::array();
    const std::uint64_t reached = m_silentFrom.value_or(m_revision);
    for (const event &what : m_events) {
        if (what.revision > after && what.revision <= reached
            && startsWith(what.content.at("key").get<std::string>(), prefix)) {
            events.push_back(what.content);
        }
    }
    const bool isEmpty = events.empty();
    return {200, json{{"events", std::move(events)}, {"store-revision", reached}}, isEmpty};
}

store::reply store::transact(const json &body)
{
    json conflicts = json::array();
    bool isMet = true;
    for (const json &row : body.value("precondition", json::array())) {
        const auto key = row.at("key").get<std::string>();
        const auto found = m_items.find(key);
        const std::uint64_t revision = found == m_items.end() ? 0 : found->second.revision;
        isMet = isMet && revision == row.at("revision").get<std::uint64_t>();
        if (found != m_items.end()) {
            conflicts.push_back(toJson(key, found->second));
        }
    }
    if (!isMet) {
        return {412, json{{"items", conflicts}}};
    }
    for (const json &row : body.value("put", json::array())) {
        const auto lease = row.value("lease", std::uint64_t{0});
        if (lease != 0 && m_leases.count(lease) == 0) {
            return {404, json::object()};
        }
    }
    for (const json &row : body.value("put", json::array())) {
        write(row.at("key").get<std::string>(), row.at("value").get<std::string>(),
              row.value("lease", std::uint64_t{0}));
    }
    for (const json &key : body.value("remove", json::array())) {
        remove(key.get<std::string>());
    }
    return {200, json{{"revision", m_revision}}};
}

store::reply store::handle(const std::string &method, const std::string &target,
                           const std::string &body)
{
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/figstair/kv-range") {
        return range(queryOf(target));
    }
    if (path == "/figstair/kv-watch") {
        return watch(queryOf(target));
    }
    if (path == "/figstair/kv-txn") {
        return transact(json::parse(body));
    }
    if (path == "/figstair/kv-lease") {
        const milliseconds life(json::parse(body).at("ttl-ms").get<std::int64_t>());
        m_leases[m_nextLease] = {life, steady::now() + life};
        return {200, json{{"lease", m_nextLease++}, {"ttl-ms", life.count()}}};
    }
    const auto found =
        m_leases.find(std::strtoull(path.c_str() + path.rfind('/') + 1, nullptr, 10));
    if (found == m_leases.end()) {
        return {404, json::object()};
    }
    if (method == "DELETE") {
        found->second.end = steady::now();
    } else {
        found->second.end = steady::now() + found->second.life;
    }
    return {200, json{{"ttl-ms", found->second.life.count()}}};
}

} // namespace review
