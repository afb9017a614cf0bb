#include <csignal>
#include <iostream>
#include <map>
#include <memory>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include "figstair/host/asio_endpoint.h"
#include "figstair/store/base64.h"
#include "standin_tools.h"

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace po = boost::program_options;
using asio::ip::tcp;
using figstair::fromBase64;
using figstair::toBase64;
using nlohmann::json;

namespace {

/// Fault that the platform injects.
struct platform_mode
{
    std::string name = "ok"; ///< ok, down, garbage, error, lose-answers
    std::chrono::milliseconds delay{0};
};

/// In-memory key-value store with compare-and-swap; requests and answers have the JSON form of
/// etcd's HTTP gateway.
class memory_store
{
public:
    json range(const json &request) const
    {
        const std::string first = text(request, "key");
        const std::string end = text(request, "range_end");
        const std::size_t limit = std::stoul(request.value("limit", std::string("0")));
        json values = json::array();
        for (auto item = m_values.lower_bound(first); item != m_values.end(); ++item) {
            const bool isInRange = end.empty() ? item->first == first : item->first < end;
            if (!isInRange || (limit > 0 && values.size() >= limit)) {
                break;
            }
            values.push_back({{"key", toBase64(item->first)},
                              {"value", toBase64(item->second.value)},
                              {"mod_revision", std::to_string(item->second.modRevision)}});
        }
        return json{{"kvs", values}, {"count", std::to_string(values.size())}};
    }

    json transact(const json &request)
    {
        for (const json &compare : request.at("compare")) {
            const auto found = m_values.find(text(compare, "key"));
            const std::int64_t actual = found == m_values.end() ? 0 : found->second.modRevision;
            if (std::to_string(actual) != compare.at("mod_revision").get<std::string>()) {
                return json{{"succeeded", false}};
            }
        }
        ++m_revision;
        for (const json &operation : request.at("success")) {
            const json &put = operation.at("request_put");
            m_values[text(put, "key")] = entry{text(put, "value"), m_revision};
        }
        return json{{"succeeded", true}};
    }

    void save() { m_saved = m_values; }
    void restore() { m_values = m_saved; }

private:
    struct entry
    {
        std::string value;
        std::int64_t modRevision = 0;
    };

    static std::string text(const json &object, const char *name)
    {
        return fromBase64(object.value(name, std::string())).value_or("");
    }

    std::map<std::string, entry> m_values;
    std::map<std::string, entry> m_saved;
    std::int64_t m_revision = 0;
};

struct platform_state
{
    memory_store store;
    platform_mode mode;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
};

class platform_session : public std::enable_shared_from_this<platform_session>
{
public:
    platform_session(tcp::socket socket, platform_state &state)
        : m_stream(std::move(socket))
        , m_timer(m_stream.get_executor())
        , m_state(state)
    {
    }

    void run()
    {
        m_parser.body_limit(std::size_t{16} << 20U);
        http::async_read(m_stream, m_buffer, m_parser,
                         [self = shared_from_this()](beast::error_code error, std::size_t) {
                             if (!error) {
                                 self->handle();
                             }
                         });
    }

private:
    void handle()
    {
        const std::string target(m_parser.get().target());
        if (target.rfind("/standin", 0) == 0) {
            control(target);
            write();
            return;
        }
        if (m_state.mode.name == "down") {
            return;
        }
        m_response.body() = answer(target, m_parser.get().body());
        if (m_state.mode.name == "lose-answers") {
            return;
        }
        m_timer.expires_after(m_state.mode.delay);
        m_timer.async_wait([self = shared_from_this()](beast::error_code) { self->write(); });
    }

    std::string answer(const std::string &target, const std::string &body)
    {
        if (m_state.mode.name == "garbage") {
            return "{\"kvs\":[{\"key\":17";
        }
        if (m_state.mode.name == "error") {
            m_response.result(http::status::internal_server_error);
            return "";
        }
        const json request = json::parse(body, nullptr, false);
        if (target == "/v3/kv/range") {
            ++m_state.reads;
            return m_state.store.range(request).dump();
        }
        if (target == "/v3/kv/txn") {
            ++m_state.writes;
            return m_state.store.transact(request).dump();
        }
        m_response.result(http::status::not_found);
        return "";
    }

    void control(const std::string &target)
    {
        auto parameters = standins::parseTarget(target);
        if (parameters.count("mode") != 0) {
            m_state.mode.name = parameters["mode"];
            m_state.mode.delay = std::chrono::milliseconds(
                parameters.count("delay") != 0 ? std::stoi(parameters["delay"]) : 0);
        }
        if (parameters[""] == "/standin/save") {
            m_state.store.save();
        } else if (parameters[""] == "/standin/restore") {
            m_state.store.restore();
        }
        m_response.body() =
            json{{"reads", m_state.reads}, {"writes", m_state.writes}, {"mode", m_state.mode.name}}
                .dump();
    }

    void write()
    {
        m_response.keep_alive(false);
        m_response.prepare_payload();
        http::async_write(m_stream, m_response,
                          [self = shared_from_this()](beast::error_code, std::size_t) {
                              beast::error_code ignored;
                              self->m_stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
                          });
    }

    beast::tcp_stream m_stream;
    asio::steady_timer m_timer;
    platform_state &m_state;
    beast::flat_buffer m_buffer;
    http::request_parser<http::string_body> m_parser;
    http::response<http::string_body> m_response;
};

void accept(tcp::acceptor &acceptor, platform_state &state)
{
    acceptor.async_accept([&](beast::error_code error, tcp::socket socket) {
        if (!error) {
            std::make_shared<platform_session>(std::move(socket), state)->run();
            accept(acceptor, state);
        }
    });
}

} // namespace

int runPlatform(const standin_words &words)
{
    po::options_description options;
    options.add_options()("listen", po::value<std::string>()->required());
    const auto values = standins::readOptions(words, options);
    asio::io_context io;
    platform_state state;
    const auto where = standins::requireEndpoint(values["listen"].as<std::string>());
    tcp::acceptor acceptor(io, figstair::toAsio<tcp::endpoint>(where), true);
    accept(acceptor, state);
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](beast::error_code, int) { io.stop(); });
    io.run();
    return 0;
}
