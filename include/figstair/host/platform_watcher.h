#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include "figstair/core/gate/table_keeper.h"
#include "figstair/store/key_value_store.h"

namespace figstair {

/// Polls the platform for its newest table revision on a separate thread, so that a slow platform
/// does not delay the event loop.
class platform_watcher
{
public:
    /// Result of one poll.
    struct observation
    {
        bool failed = false;
        std::string problem;
        std::uint64_t headRevision = 0;
        std::string headDigest;
        bool hasReply = false;
        table_reply reply; ///< changes after the host's own revision
    };
    using observer = std::function<void(observation)>;

    /// Calls @p onObservation on the watcher's thread after each poll. @p store must outlive
    /// this object.
    platform_watcher(key_value_store &store, milliseconds interval, observer onObservation);
    ~platform_watcher();

    /// Sets whether to poll, and after which revision changes are loaded.
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
