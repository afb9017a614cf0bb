#pragma once

#include <memory>

#include "entry/entry_doubles.h"
#include "figstair/host/store_session.h"

namespace figstair {

/// A host that has started and serves callers, for inputs of a fuzzer.
class fuzzed_host
{
public:
    fuzzed_host();
    ~fuzzed_host();

    entry_core &core() { return m_core; }
    store_session &session() { return *m_session; }
    void advance(milliseconds time);

    /// Serves some callers for half a second of simulated time, reports to other hosts and sends
    /// them its view, so that whatever the input left behind is used.
    void work();

    /// The shared key of the simulated hosts.
    static constexpr peer_key key{1, 2, 3};

    static constexpr std::uint32_t routeAddress = 0x0A000001;
    static constexpr std::uint16_t routePort = 443;

private:
    class silent_store;
    class silent_environment;

    void open(std::uint16_t port);

    fake_clock m_clock;
    silent_output m_output;
    entry_core m_core;
    std::unique_ptr<silent_environment> m_environment;
    std::unique_ptr<store_session> m_session;
};

} // namespace figstair
