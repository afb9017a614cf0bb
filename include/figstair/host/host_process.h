#pragma once

#include <memory>

#include "figstair/host/process_settings.h"

namespace figstair {

/// Runs one host until it has stopped: sockets, timers, peer links and status pages around a
/// host_core. SIGTERM or SIGINT starts a planned stop; a second signal ends the process at once.
class host_process
{
public:
    /// Throws std::exception when an address cannot be used.
    explicit host_process(const process_settings &settings);
    ~host_process();

    /// Returns the exit code of the process.
    int run();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace figstair
