#pragma once

#include <string>
#include <vector>

#include <boost/leaf/result.hpp>

#include "figstair/core/host_settings.h"

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

/// Reports a place in a settings file that cannot be accepted.
struct settings_error
{
    std::string fileName;
    std::size_t line = 0; ///< 0 when the key is missing
    std::string key; ///< section.key
    std::string value;
    std::string expected;
};

/// One line of text: file:line: key 'x' value 'y': expected z.
std::string toText(const settings_error &error);

/// Reads and checks a settings file's text. Fails with settings_error.
boost::leaf::result<process_settings> parseSettings(const std::string &fileName,
                                                    const std::string &text);

/// Reads a file. Fails with settings_error when it cannot be read.
boost::leaf::result<std::string> readTextFile(const std::string &fileName);

} // namespace figstair
