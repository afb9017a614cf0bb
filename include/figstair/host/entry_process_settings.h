#pragma once

#include "figstair/core/entry_settings.h"
#include "figstair/host/ini_settings.h"

namespace figstair {

/// Everything a host on the platform is told by its INI file.
struct entry_process_settings
{
    entry_settings core;
    endpoint listen; ///< callers' packets
    endpoint readinessListen;
    endpoint metricsListen; ///< port 0: not served
    endpoint store;
    std::vector<endpoint> seeds; ///< other hosts' addresses for messages between hosts
    milliseconds storeTimeout{900}; ///< how long one call to the store may take
    milliseconds announcementTtl{45000}; ///< how long the store keeps a silent host's announcement
    milliseconds gracePeriod{6000}; ///< time from the request to stop until the process is killed
};

/// Reads and checks a settings file's text; keys that are not known are ignored. Fails with
/// settings_error.
boost::leaf::result<entry_process_settings> parseEntrySettings(const std::string &fileName,
                                                               const std::string &text);

} // namespace figstair
