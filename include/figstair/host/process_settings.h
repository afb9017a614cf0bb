#pragma once

#include <string>
#include <vector>

#include <boost/leaf/result.hpp>

#include "figstair/core/host_settings.h"
#include "figstair/host/ini_settings.h"

namespace figstair {

/// Everything a host process is told by its INI file.
struct process_settings
{
    host_settings host;
    endpoint listen;
    endpoint peerListen;
    endpoint statusListen;
    endpoint platform;
    milliseconds platformTimeout{1000};
    milliseconds platformPollInterval{500};
};

/// Reads and checks a settings file's text. Fails with settings_error.
boost::leaf::result<process_settings> parseSettings(const std::string &fileName,
                                                    const std::string &text);

} // namespace figstair
