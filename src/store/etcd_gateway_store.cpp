#include "figstair/store/etcd_gateway_store.h"

#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>

#include "figstair/store/base64.h"
#include "figstair/store/http_client.h"

namespace leaf = boost::leaf;
using nlohmann::json;

namespace figstair {
namespace {

leaf::error_id fail(const std::string &call, const std::string &problem)
{
    return leaf::new_error(platform_error{call, problem});
}

/// Parses one element of "kvs". Throws json::exception or std::logic_error when it is malformed.
stored_value valueFromJson(const json &item)
{
    stored_value value;
    value.key = fromBase64(item.at("key").get<std::string>()).value_or("");
    const auto bytes = fromBase64(item.value("value", std::string()));
    if (!bytes) {
        throw json::other_error::create(501, "value is not base64", &item);
    }
    value.value = *bytes;
    value.modRevision = std::stoll(item.at("mod_revision").get<std::string>());
    return value;
}

/// Applies @p read to the parsed body and converts exceptions to platform_error.
template <typename reader>
auto readBody(const std::string &call, const std::string &body, reader read)
    -> leaf::result<decltype(read(json()))>
{
    try {
        return read(json::parse(body));
    } catch (const json::exception &error) {
        return fail(call, std::string("unexpected response: ") + error.what());
    } catch (const std::logic_error &error) {
        return fail(call, std::string("unexpected number in response: ") + error.what());
    }
}

} // namespace

etcd_gateway_store::etcd_gateway_store(const endpoint &address, milliseconds timeout)
    : m_endpoint(address)
    , m_timeout(timeout)
{
}

leaf::result<std::optional<stored_value>> etcd_gateway_store::get(const std::string &key)
{
    BOOST_LEAF_AUTO(values, range(key, std::string(), 1));
    if (values.empty()) {
        return std::optional<stored_value>();
    }
    return std::optional<stored_value>(std::move(values.front()));
}

leaf::result<std::vector<stored_value>>
etcd_gateway_store::range(const std::string &first, const std::string &end, std::size_t limit)
{
    json request{{"key", toBase64(first)}, {"limit", std::to_string(limit)}};
    if (!end.empty()) {
        request["range_end"] = toBase64(end);
    }
    BOOST_LEAF_AUTO(body, post("/v3/kv/range", request.dump()));
    return readBody("range", body, [](const json &response) {
        std::vector<stored_value> values;
        for (const json &item : response.value("kvs", json::array())) {
            values.push_back(valueFromJson(item));
        }
        return values;
    });
}

leaf::result<bool> etcd_gateway_store::putIfUnchanged(const std::string &key,
                                                      std::int64_t modRevision,
                                                      const std::vector<stored_value> &puts)
{
    json operations = json::array();
    for (const stored_value &put : puts) {
        operations.push_back(
            {{"request_put", {{"key", toBase64(put.key)}, {"value", toBase64(put.value)}}}});
    }
    const json compare{{"key", toBase64(key)},
                       {"target", "MOD"},
                       {"result", "EQUAL"},
                       {"mod_revision", std::to_string(modRevision)}};
    const json request{{"compare", json::array({compare})}, {"success", operations}};
    BOOST_LEAF_AUTO(body, post("/v3/kv/txn", request.dump()));
    return readBody("txn", body,
                    [](const json &response) { return response.value("succeeded", false); });
}

leaf::result<std::string> etcd_gateway_store::post(const std::string &path, const std::string &body)
{
    return leaf::try_handle_some([&] { return httpPost(m_endpoint, path, body, m_timeout); },
                                 [&](const http_error &error) -> leaf::result<std::string> {
                                     return fail(path, error.problem);
                                 });
}

} // namespace figstair
