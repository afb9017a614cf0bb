#pragma once

#include <string>
#include <vector>

#include <boost/leaf/result.hpp>

#include "figstair/core/gate/host_settings.h"
#include "figstair/host/ini_settings.h"

namespace figstair {

/// Settings of the host command's INI file.
struct process_settings
{
    host_settings host;
    endpoint listen; ///< UDP address for datagrams
    endpoint peerListen; ///< TCP address for peer links
    endpoint statusListen; ///< HTTP address of the status pages
    endpoint platform; ///< etcd gateway
    milliseconds platformTimeout{1000};
    milliseconds platformPollInterval{500};
};

/// Parses and validates the text of a settings file; rejects unknown keys. Fails with
/// settings_error.
boost::leaf::result<process_settings> parseSettings(const std::string &fileName,
                                                    const std::string &text);

} // namespace figstair
