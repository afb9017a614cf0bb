#pragma once

#include "figstair/core/flow/entry_settings.h"
#include "figstair/host/ini_settings.h"

namespace figstair {

/// Settings of the entry command's INI file.
struct entry_process_settings
{
    entry_settings core;
    endpoint listen; ///< UDP address for callers' packets
    endpoint readinessListen; ///< HTTP address of the readiness check
    endpoint metricsListen; ///< HTTP address of the metrics; port 0 disables them
    endpoint store; ///< address of the platform's store
    std::vector<endpoint> seeds; ///< other hosts' addresses for peer messages
    milliseconds storeTimeout{900}; ///< for one call to the store
    milliseconds announcementTtl{45000}; ///< lease duration of the host's record in the store
    milliseconds gracePeriod{6000}; ///< from SIGTERM until the platform kills the process
};

/// Parses and validates the text of a settings file; ignores unknown keys. Fails with
/// settings_error.
boost::leaf::result<entry_process_settings> parseEntrySettings(const std::string &fileName,
                                                               const std::string &text);

} // namespace figstair
