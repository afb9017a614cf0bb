#pragma once

#include <memory>
#include <string>

#include "figstair/host/entry_process_settings.h"
#include "figstair/host/platform_adapter.h"

namespace figstair {

/// Runs one host on a platform: sockets, timers, HTTP servers and the store session around an
/// entry_core.
class entry_process
{
public:
    /// Opens all sockets. Throws boost::system::system_error when an address cannot be used.
    /// @p settingsFile is reloaded when its modification time changes and on SIGHUP. @p adapter
    /// must outlive this object.
    entry_process(const entry_process_settings &settings, std::string settingsFile,
                  const platform_adapter &adapter);
    ~entry_process();

    /// Serves until SIGTERM or SIGINT arrives and then either callers' packets have ceased or the
    /// grace period is nearly over. Returns the exit code.
    int run();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace figstair
