#pragma once

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/verb.hpp>

#include "figstair/core/clock_source.h"
#include "figstair/core/endpoint.h"

namespace figstair {

/// An HTTP response, whatever its status.
struct http_response
{
    unsigned status = 0;
    std::string body;
};

/// Reports an HTTP call without a response.
struct http_error
{
    std::string address;
    std::string problem;
};

using http_reply = std::variant<http_response, http_error>;

/// A connection that is kept open between calls and opened anew after each failure. Calls are sent
/// one after the other in the order they were made.
class http_connection
{
public:
    http_connection(boost::asio::io_context &io, const endpoint &address);
    ~http_connection();
    http_connection(const http_connection &) = delete;
    http_connection &operator=(const http_connection &) = delete;

    /// Sends a call with JSON text @p body, or none, and gives up when @p timeout is over. After a
    /// failure the server may have received the call all the same.
    void send(boost::beast::http::verb method, const std::string &path, const std::string &body,
              milliseconds timeout, std::function<void(http_reply)> handler);

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace figstair
