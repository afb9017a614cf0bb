#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "figstair/core/endpoint.h"

namespace boost::asio {
class io_context;
}

namespace figstair {

/// Status, content type and body of an HTTP response.
struct status_page
{
    unsigned status = 200;
    std::string contentType = "text/plain";
    std::string body;
};

/// Serves read-only pages over HTTP, one request per connection.
class status_server
{
public:
    using page_source = std::function<status_page(const std::string &target)>;

    /// Listens on @p address; port 0 lets the system choose a port. Throws
    /// boost::system::system_error when the address cannot be used.
    status_server(boost::asio::io_context &io, const endpoint &address, page_source source);
    ~status_server();

    /// The port that the server listens on.
    std::uint16_t port() const;
    void close();

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace figstair
