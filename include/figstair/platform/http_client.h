#pragma once

#include <string>

#include <boost/leaf/result.hpp>

#include "figstair/core/clock_source.h"
#include "figstair/core/endpoint.h"

namespace figstair {

/// Reports an HTTP call without a response of status 200.
struct http_error
{
    std::string where;
    std::string problem;
};

/// Sends JSON text and waits at most @p timeout for the response's body. Fails with http_error; the
/// request may have been received all the same.
boost::leaf::result<std::string> httpPost(const endpoint &where, const std::string &path,
                                          const std::string &body, milliseconds timeout);

/// Waits at most @p timeout for the response's body. Fails with http_error.
boost::leaf::result<std::string> httpGet(const endpoint &where, const std::string &path,
                                         milliseconds timeout);

} // namespace figstair
