#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "figstair/replay/replay_network.h"
#include "figstair/table/row.h"

namespace figstair {

/// A simulated upstream: runs work, warms up after a restart and counts what it receives. It does
/// not deduplicate orders, so that a duplicate execution shows in orderRuns().
class replay_upstream
{
public:
    /// Starts warm. Work takes 50% to 150% of @p serviceTime, and twice that while cold.
    replay_upstream(const table_row &row, milliseconds serviceTime, std::uint64_t seed,
                    timeline &time, replay_network &network);

    const table_row &row() const { return m_row; }

    /// Starts the warm-up again. An announced restart also changes the start ID, drops running work
    /// and shows the cold phase in reports; an unannounced one does none of these.
    void restart(bool isAnnounced);

    /// Reports the draining phase.
    void setDraining(bool isDraining) { m_isDraining = isDraining; }

    /// Refuses all work as overloaded.
    void setRefusing(bool isRefusing) { m_isRefusing = isRefusing; }

    /// Reports @p inUse slots in use whatever the load; negative for the true number.
    void setReportedInUse(int inUse) { m_reportedInUse = inUse; }

    /// Receives packets but handles and answers none.
    void setSilent(bool isSilent) { m_isSilent = isSilent; }

    /// Runs work but sends no answers.
    void setDroppingAnswers(bool isDropping) { m_isDroppingAnswers = isDropping; }

    /// Number of executions of each order, by text.
    const std::map<std::string, int> &orderRuns() const { return m_orderRuns; }

    /// Work for another service.
    int foreign() const { return m_foreign; }

    /// Work that was started beyond the current capacity.
    int overruns() const { return m_overruns; }

    /// Work that was refused as overloaded.
    int sheds() const { return m_sheds; }

    /// Work that arrived with no budget left.
    int expired() const { return m_expired; }

    /// Highest number of units of work running at the same time.
    std::size_t peak() const { return m_peak; }

    /// Work that was completed.
    std::uint64_t served() const { return m_served; }

    /// Number of packets received after @p time.
    int packetsSince(monotonic_time time) const;

    /// Makes this address serve another service, as when an address is reassigned.
    void setService(const std::string &service) { m_row.service = service; }

private:
    struct running_work
    {
        std::uint64_t startId = 0;
    };

    void onDatagram(const endpoint &from, const byte_buffer &bytes);
    void onWork(const endpoint &from, const datagram &message);
    void refuse(const endpoint &to, std::uint64_t requestId);
    void finishWork(const endpoint &to, std::uint64_t requestId, const std::string &answer,
                    std::uint32_t first, std::uint32_t count);
    void send(const endpoint &to, datagram message);
    std::string makeAnswer(const std::string &text, bool isOrder);

    /// Units of work that the upstream can run at the same time without overload: grows linearly
    /// during warm-up from the cold limit to all slots.
    std::uint32_t currentCapacity() const;

    table_row m_row;
    milliseconds m_serviceTime;
    timeline &m_time;
    replay_network &m_network;
    std::mt19937_64 m_random;
    std::uint64_t m_startId = 1;
    monotonic_time m_startedAt;
    bool m_isAnnounced = true;
    bool m_isDraining = false;
    bool m_isRefusing = false;
    bool m_isSilent = false;
    bool m_isDroppingAnswers = false;
    int m_reportedInUse = -1;
    std::map<std::uint64_t, running_work> m_running;
    std::map<std::string, int> m_orderRuns;
    std::vector<monotonic_time> m_packetTimes;
    int m_foreign = 0;
    int m_overruns = 0;
    int m_sheds = 0;
    int m_expired = 0;
    std::size_t m_peak = 0;
    std::uint64_t m_served = 0;
};

} // namespace figstair
