#pragma once

#include <string>

#include <boost/leaf/result.hpp>

#include "figstair/store/http_connection.h"

namespace figstair {

/// Posts @p body as JSON and blocks for at most @p timeout. Returns the body of a response with
/// status 200. Fails with http_error; the server may still have processed the request.
boost::leaf::result<std::string> httpPost(const endpoint &address, const std::string &path,
                                          const std::string &body, milliseconds timeout);

/// Sends a GET request and blocks for at most @p timeout. Returns the body of a response with
/// status 200. Fails with http_error.
boost::leaf::result<std::string> httpGet(const endpoint &address, const std::string &path,
                                         milliseconds timeout);

} // namespace figstair
