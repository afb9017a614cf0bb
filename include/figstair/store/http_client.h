#pragma once

#include <string>

#include <boost/leaf/result.hpp>

#include "figstair/store/http_connection.h"

namespace figstair {

/// Sends JSON text and waits at most @p timeout for the body of a response of status 200. Fails
/// with http_error; the request may have been received all the same.
boost::leaf::result<std::string> httpPost(const endpoint &address, const std::string &path,
                                          const std::string &body, milliseconds timeout);

/// Waits at most @p timeout for the body of a response of status 200. Fails with http_error.
boost::leaf::result<std::string> httpGet(const endpoint &address, const std::string &path,
                                         milliseconds timeout);

} // namespace figstair
