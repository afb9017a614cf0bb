#include "figstair/host/platform_watcher.h"

#include <boost/leaf.hpp>

#include "figstair/store/table_store.h"

namespace leaf = boost::leaf;

namespace figstair {

platform_watcher::platform_watcher(key_value_store &store, milliseconds interval,
                                   observer onObservation)
    : m_store(store)
    , m_interval(interval)
    , m_onObservation(std::move(onObservation))
    , m_thread([this] { run(); })
{
}

platform_watcher::~platform_watcher()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_isStopping = true;
    }
    m_stopCondition.notify_all();
    m_thread.join();
}

void platform_watcher::setWatching(bool isWatching, std::uint64_t ownRevision)
{
    m_isWatching = isWatching;
    m_ownRevision = ownRevision;
}

void platform_watcher::run()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_isStopping) {
        if (m_isWatching) {
            lock.unlock();
            m_onObservation(poll(m_ownRevision));
            lock.lock();
        }
        m_stopCondition.wait_for(lock, m_interval, [this] { return m_isStopping; });
    }
}

platform_watcher::observation platform_watcher::poll(std::uint64_t ownRevision)
{
    const auto failure = [](std::string problem) {
        observation result;
        result.failed = true;
        result.problem = std::move(problem);
        return result;
    };
    return leaf::try_handle_all(
        [&]() -> leaf::result<observation> {
            table_store store(m_store);
            observation result;
            BOOST_LEAF_AUTO(head, store.loadHead());
            result.headRevision = head.revision;
            result.headDigest = head.digest;
            if (head.revision > ownRevision) {
                BOOST_LEAF_ASSIGN(result.reply, store.loadSince(head, ownRevision));
                result.hasReply = true;
            }
            return result;
        },
        [&](const platform_error &error) { return failure(error.call + ": " + error.problem); },
        [&](const stored_table_error &error) { return failure(error.key + ": " + error.problem); },
        [&] { return failure("stored table cannot be read"); });
}

} // namespace figstair
