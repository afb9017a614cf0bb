#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include "figstair/core/table_keeper.h"
#include "figstair/store/key_value_store.h"

namespace figstair {

/// Reads the platform's newest revision now and then on a thread of its own, so that a slow
/// platform delays nothing else.
class platform_watcher
{
public:
    /// What one look at the platform gave.
    struct observation
    {
        bool failed = false;
        std::string problem;
        std::uint64_t headRevision = 0;
        std::string headDigest;
        bool hasReply = false;
        table_reply reply; ///< what lies beyond the own revision
    };
    using observer = std::function<void(observation)>;

    /// Calls @p onObservation on the watcher's thread.
    platform_watcher(key_value_store &store, milliseconds interval, observer onObservation);
    ~platform_watcher();

    /// Says whether to watch, and from which revision on.
    void setWatching(bool isWatching, std::uint64_t ownRevision);

private:
    void run();
    observation poll(std::uint64_t ownRevision);

    key_value_store &m_store;
    milliseconds m_interval;
    observer m_onObservation;
    std::mutex m_mutex;
    std::condition_variable m_stopCondition;
    bool m_isStopping = false;
    std::atomic<bool> m_isWatching{false};
    std::atomic<std::uint64_t> m_ownRevision{0};
    std::thread m_thread;
};

} // namespace figstair
