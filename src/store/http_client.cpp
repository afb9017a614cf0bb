#include "figstair/store/http_client.h"

#include <boost/beast/http/status.hpp>
#include <boost/leaf.hpp>

namespace leaf = boost::leaf;
namespace http = boost::beast::http;

namespace figstair {
namespace {

leaf::result<std::string> call(const endpoint &address, http::verb method, const std::string &path,
                               const std::string &body, milliseconds timeout)
{
    boost::asio::io_context io;
    http_connection connection(io, address);
    http_reply reply = http_error{toString(address), "no response"};
    connection.send(method, path, body, timeout, [&](http_reply result) {
        reply = std::move(result);
        io.stop();
    });
    io.run();
    if (auto *error = std::get_if<http_error>(&reply)) {
        return leaf::new_error(std::move(*error));
    }
    auto &response = std::get<http_response>(reply);
    if (response.status != static_cast<unsigned>(http::status::ok)) {
        return leaf::new_error(
            http_error{toString(address), "status " + std::to_string(response.status)});
    }
    return std::move(response.body);
}

} // namespace

leaf::result<std::string> httpPost(const endpoint &address, const std::string &path,
                                   const std::string &body, milliseconds timeout)
{
    return call(address, http::verb::post, path, body, timeout);
}

leaf::result<std::string> httpGet(const endpoint &address, const std::string &path,
                                  milliseconds timeout)
{
    return call(address, http::verb::get, path, std::string(), timeout);
}

} // namespace figstair
