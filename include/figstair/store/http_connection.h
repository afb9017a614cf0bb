#pragma once

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/verb.hpp>

#include "figstair/core/clock_source.h"
#include "figstair/core/endpoint.h"

namespace figstair {

/// An HTTP response with any status.
struct http_response
{
    unsigned status = 0;
    std::string body;
    boost::beast::http::fields headers;
};

/// How far an HTTP request came that got no complete response.
struct http_progress
{
    std::size_t receivedBytes = 0; ///< of the response's body
    std::size_t expectedBytes = 0; ///< size of that body; 0: not known
};

/// Reports an HTTP request that got no response.
struct http_error
{
    std::string address;
    std::string problem;
    http_progress progress = {};
};

using http_reply = std::variant<http_response, http_error>;

/// An HTTP connection that is kept open between requests and reopened after each failure. Requests
/// are sent one at a time in the order they were made. If bytes came that belong to no request,
/// such as a second copy of a response, the next request opens a new connection.
class http_connection
{
public:
    http_connection(boost::asio::io_context &io, const endpoint &address);
    ~http_connection();
    http_connection(const http_connection &) = delete;
    http_connection &operator=(const http_connection &) = delete;

    /// Queues a request; @p body is JSON text and is not sent with GET. @p timeout starts
    /// when the request leaves the queue, includes connecting, and ends with the first bytes of the
    /// response. The rest may take as long as its size requires: the request fails if nothing
    /// arrives for one second, or if the response is slower than 64 KB a second. @p handler is
    /// called once from the event loop; the handlers of queued requests are dropped when this
    /// object is destroyed. After a failure the server may still have processed the request.
    void send(boost::beast::http::verb method, const std::string &path, const std::string &body,
              milliseconds timeout, std::function<void(http_reply)> handler);

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace figstair
