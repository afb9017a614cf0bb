#pragma once

#include <memory>
#include <string>

#include "figstair/host/entry_process_settings.h"
#include "figstair/host/platform_adapter.h"

namespace figstair {

/// A host on a platform: moves packets between its sockets and entry_core.
class entry_process
{
public:
    /// Opens all sockets. Throws boost::system::system_error when an address cannot be used.
    /// @p settingsFile is read again when it changes.
    entry_process(const entry_process_settings &settings, std::string settingsFile,
                  const platform_adapter &adapter);
    ~entry_process();

    /// Serves until the process is told to stop and callers' packets have ceased. Returns the exit
    /// code.
    int run();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace figstair
