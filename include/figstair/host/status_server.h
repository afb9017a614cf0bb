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

/// Body and type of an HTTP answer.
struct status_page
{
    unsigned status = 200;
    std::string contentType = "text/plain";
    std::string body;
};

/// Serves read-only pages over HTTP.
class status_server
{
public:
    using page_source = std::function<status_page(const std::string &target)>;

    /// Listens at @p address; port 0 lets the system choose. Throws boost::system::system_error
    /// when the address cannot be used.
    status_server(boost::asio::io_context &io, const endpoint &address, page_source source);
    ~status_server();

    std::uint16_t port() const;
    void close();

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace figstair
