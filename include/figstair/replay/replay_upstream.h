#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "figstair/replay/replay_network.h"
#include "figstair/table/row.h"

namespace figstair {

/// An upstream of a replay: serves work in its slots, needs time to warm up after a start, and
/// counts what it is asked to do. It does not deduplicate.
class replay_upstream
{
public:
    replay_upstream(const table_row &row, milliseconds serviceTime, std::uint64_t seed,
                    timeline &time, replay_network &network);

    const table_row &row() const { return m_row; }

    /// Loses all work in hand and starts cold, with or without telling so in its reports.
    void restart(bool isAnnounced);
    void setDraining(bool isDraining) { m_isDraining = isDraining; }
    void setRefusing(bool isRefusing) { m_isRefusing = isRefusing; }

    /// Says in reports that so many slots are in use, whatever is true; negative for the truth.
    void setReportedInUse(int inUse) { m_reportedInUse = inUse; }
    void setSilent(bool isSilent) { m_isSilent = isSilent; }
    void setDroppingAnswers(bool isDropping) { m_isDroppingAnswers = isDropping; }

    /// Runs of each order by its text.
    const std::map<std::string, int> &orderRuns() const { return m_orderRuns; }
    int foreign() const { return m_foreign; }
    int overruns() const { return m_overruns; }
    int sheds() const { return m_sheds; }
    int expired() const { return m_expired; }
    std::size_t peak() const { return m_peak; }
    std::uint64_t served() const { return m_served; }

    /// Packets received after @p time.
    int packetsSince(monotonic_time time) const;

    /// Takes another service's name, as when the address is given away.
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
