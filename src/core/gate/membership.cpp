#include "figstair/core/gate/membership.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

#include "figstair/core/rendezvous.h"

namespace figstair {
namespace {

constexpr std::size_t indirectProbes = 2;
constexpr int retransmitFactor = 3; ///< times log2 of the number of receivers
constexpr milliseconds syncInterval{3000}; ///< between requests for records while views differ
constexpr milliseconds absentProbeInterval{1000};
constexpr milliseconds absentRetention{600000}; ///< records of absent hosts are kept this long
constexpr milliseconds reachRepeatTime{10000}; ///< a changed zone_reach is repeated this long
constexpr std::size_t maxRelayedProbes = 256;
constexpr std::size_t recordsPerSlice = 128;
constexpr std::uint64_t messagesPerOwnRecord = 8; ///< the own record is in every eighth message

/// Hash of one record. Digests XOR the hashes, so that they do not depend on the order.
std::uint64_t recordHash(const member &host)
{
    const std::uint64_t mixed = host.incarnation * 0x9E3779B97F4A7C15ULL
        ^ (std::uint64_t{host.refutation} << 8) ^ static_cast<std::uint64_t>(host.state);
    return XXH3_64bits_withSeed(host.name.data(), host.name.size(), mixed);
}

std::uint32_t sliceOf(const std::string &name, std::uint32_t count)
{
    return static_cast<std::uint32_t>(XXH3_64bits(name.data(), name.size()) % count);
}

/// Digest of the records in slice @p index of @p count.
std::uint64_t sliceDigest(const std::map<std::string, member> &members, std::uint32_t index,
                          std::uint32_t count)
{
    std::uint64_t digest = 0;
    for (const auto &[name, host] : members) {
        digest ^= sliceOf(name, count) == index ? recordHash(host) : 0;
    }
    return digest;
}

} // namespace

membership::membership(member self, const membership_settings &settings, const clock_source &clock,
                       std::uint64_t seed, membership_output &output)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_clock(clock)
    , m_random(seed)
    , m_output(output)
    , m_nextProbe(clock.monotonic())
{
    store(m_self);
}

void membership::addSeed(const endpoint &seed)
{
    if (seed != m_self.address) {
        m_seeds.push_back(seed);
    }
}

void membership::tick()
{
    checkProbes();
    checkSuspects();
    pushIfDue();
    const monotonic_time now = m_clock.monotonic();
    if (now >= m_nextProbe) {
        m_nextProbe = now + m_settings.probeInterval;
        probeNext();
        probeOtherZones();
    }
    if (now >= m_nextAbsentProbe) {
        m_nextAbsentProbe = now + absentProbeInterval;
        probeAbsent();
    }
    updateZoneReachability();
}

void membership::onGossip(datagram_type type, std::uint64_t sequence, const endpoint &from,
                          const gossip_message &message)
{
    for (const member &record : message.updates) {
        merge(record);
    }
    updateFromSender(message, from);
    if (type == datagram_type::ping) {
        sendAck(sequence, from, message.sender);
    } else if (type == datagram_type::ack) {
        onAck(sequence, message.sender);
    } else if (type == datagram_type::pingRequest) {
        const member *target = find(message.target);
        if (target != nullptr && m_relayedProbes.size() < maxRelayedProbes) {
            m_relayedProbes[++m_sequence] = relayed_probe{from, sequence};
            send(datagram_type::ping, m_sequence, target->address, target->name);
        }
    }
}

void membership::mergeMembers(const std::vector<member> &members)
{
    for (const member &record : members) {
        merge(record);
    }
}

void membership::setOwnState(member_state state)
{
    if (m_self.state == state) {
        return;
    }
    m_self.state = state;
    ++m_self.refutation;
    store(m_self);
    queueOwnRecord();
    announce();
}

void membership::announce()
{
    pingRandomHosts(m_settings.announceFanout, true);
}

/// Pings a few hosts of the own zone and, when this host is a bridge and @p includeOtherZones, one
/// bridge of each other zone.
void membership::pingRandomHosts(std::size_t fanout, bool includeOtherZones)
{
    std::vector<const member *> targets;
    for (const auto &[name, host] : m_members) {
        if (name != m_self.name && host.zone == m_self.zone && isPresent(host.state)) {
            targets.push_back(&host);
        }
    }
    std::shuffle(targets.begin(), targets.end(), m_random);
    targets.resize(std::min(targets.size(), fanout));
    if (includeOtherZones && isBridge()) {
        for (const std::string &zone : index().otherZones) {
            const std::vector<const member *> &bridges = bridgesOf(zone);
            if (!bridges.empty()) {
                targets.push_back(bridges[m_random() % bridges.size()]);
            }
        }
    }
    for (const member *target : targets) {
        send(datagram_type::ping, ++m_sequence, target->address, target->name);
    }
}

/// Schedules a push of a changed record, so that all zones receive it within seconds. Only bridges
/// of the record's own zone push it to other zones. Suspicions are not pushed.
void membership::schedulePush(const member &record)
{
    if (record.state == member_state::suspect) {
        return;
    }
    if (!m_isPushScheduled) {
        m_isPushScheduled = true;
        m_pushAt = m_clock.monotonic() + m_settings.pushDelay;
    }
    m_pushToOtherZones = m_pushToOtherZones || record.zone == m_self.zone;
}

void membership::pushIfDue()
{
    if (!m_isPushScheduled || m_clock.monotonic() < m_pushAt) {
        return;
    }
    const bool includeOtherZones = m_pushToOtherZones;
    m_isPushScheduled = false;
    m_pushToOtherZones = false;
    pingRandomHosts(m_settings.pushFanout, includeOtherZones);
}

const member *membership::find(const std::string &name) const
{
    const auto found = m_members.find(name);
    return found == m_members.end() ? nullptr : &found->second;
}

const member *membership::findIncarnation(std::uint64_t incarnation) const
{
    const auto found = m_byIncarnation.find(incarnation);
    return found == m_byIncarnation.end() ? nullptr : find(found->second);
}

const std::vector<const member *> &membership::eligible(const std::string &zone) const
{
    static const std::vector<const member *> none;
    const auto &hosts = index().eligible;
    const auto found = hosts.find(zone);
    return found == hosts.end() ? none : found->second;
}

std::uint64_t membership::eligibleVersion(const std::string &zone) const
{
    const auto &versions = index().eligibleVersion;
    const auto found = versions.find(zone);
    return found == versions.end() ? 0 : found->second;
}

const std::vector<std::string> &membership::eligibleZones() const
{
    return index().eligibleZones;
}

bool membership::zoneReachable(const std::string &zone) const
{
    const auto found = m_zoneReach.find(zone);
    return found == m_zoneReach.end() || found->second.reachable;
}

bool membership::isBridge() const
{
    const std::vector<const member *> &bridges = bridgesOf(m_self.zone);
    return std::any_of(bridges.begin(), bridges.end(),
                       [this](const member *host) { return host->name == m_self.name; });
}

std::size_t membership::presentPeerCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_members.begin(), m_members.end(), [this](const auto &item) {
            return item.first != m_self.name && isPresent(item.second.state);
        }));
}

void membership::merge(const member &record)
{
    if (record.name == m_self.name) {
        refute(record);
        return;
    }
    const auto known = m_members.find(record.name);
    if (known != m_members.end() && !supersedes(record, known->second)) {
        return;
    }
    store(record);
    queueUpdate(record.name);
    schedulePush(record);
}

/// Overrides a record of this host that supersedes its own by a greater refutation number.
void membership::refute(const member &record)
{
    if (record.incarnation == m_self.incarnation && supersedes(record, m_self)) {
        m_self.refutation = record.refutation + 1;
        store(m_self);
        queueOwnRecord();
    }
}

void membership::store(const member &record)
{
    member &stored = m_members[record.name];
    if (stored.incarnation != record.incarnation) {
        m_byIncarnation.erase(stored.incarnation);
    }
    stored = record;
    m_byIncarnation[record.incarnation] = record.name;
    m_stateSince[record.name] = m_clock.monotonic();
    markChanged();
}

/// Merges zone reachability. Of equal versions "reachable" wins.
void membership::mergeReach(const std::vector<zone_reach> &reach)
{
    for (const zone_reach &item : reach) {
        zone_reach &known = m_zoneReach[item.zone];
        const bool isNewer = item.version > known.version
            || (item.version == known.version && item.reachable && !known.reachable);
        if (isNewer) {
            known = item;
            m_reachChangedAt[item.zone] = m_clock.monotonic();
            markChanged();
        }
    }
}

/// Requests the next slice of records. With few members one slice covers all records.
void membership::requestSlice(const member &from)
{
    member_slice slice;
    slice.count = static_cast<std::uint32_t>(m_members.size() / recordsPerSlice + 1);
    slice.index = m_nextSlice++ % slice.count;
    slice.digest = sliceDigest(m_members, slice.index, slice.count);
    m_output.requestMembers(from, slice);
}

std::vector<member> membership::recordsOf(const member_slice &slice) const
{
    std::vector<member> records;
    if (slice.count == 0 || sliceDigest(m_members, slice.index, slice.count) == slice.digest) {
        return records;
    }
    for (const auto &[name, host] : m_members) {
        if (sliceOf(name, slice.count) == slice.index) {
            records.push_back(host);
        }
    }
    return records;
}

/// Number of messages that carry a changed record, as in SWIM: proportional to the logarithm of the
/// number of receivers.
int membership::retransmitLimit() const
{
    // The receivers are the hosts of the own zone and one host of each other zone. m_index is not
    // rebuilt here, so its number of zones may be slightly outdated.
    const std::size_t zones = m_index.otherZones.size() + 1;
    const std::size_t receivers = m_members.size() / zones + zones;
    return retransmitFactor
        * static_cast<int>(std::ceil(std::log2(1.0 + static_cast<double>(receivers))));
}

/// Includes the host's own record in the next messages.
void membership::queueOwnRecord()
{
    m_ownRecordSendsLeft = retransmitLimit();
}

void membership::queueUpdate(const std::string &name)
{
    const auto known =
        std::find_if(m_queuedUpdates.begin(), m_queuedUpdates.end(),
                     [&](const queued_update &update) { return update.name == name; });
    if (known != m_queuedUpdates.end()) {
        m_queuedUpdates.erase(known);
    }
    insertUpdate(queued_update{name, retransmitLimit()});
}

/// Keeps the queue sorted by remaining transmissions, most first, so that new updates go before
/// updates that many hosts have received.
void membership::insertUpdate(const queued_update &update)
{
    const auto position = std::lower_bound(
        m_queuedUpdates.begin(), m_queuedUpdates.end(), update,
        [](const queued_update &a, const queued_update &b) { return a.remaining > b.remaining; });
    m_queuedUpdates.insert(position, update);
}

gossip_message membership::composeMessage(const std::string &receiver)
{
    gossip_message message;
    message.sender = m_self.name;
    message.viewDigest = viewDigest();
    const member *receiverRecord = find(receiver);
    const bool isOwnRecordPending = m_self.state != member_state::alive || m_ownRecordSendsLeft > 0;
    ++m_messagesSent;
    if (receiverRecord == nullptr || isOwnRecordPending
        || m_messagesSent % messagesPerOwnRecord == 0) {
        message.updates.push_back(m_self);
        m_ownRecordSendsLeft -= m_ownRecordSendsLeft > 0 ? 1 : 0;
    }
    if (receiverRecord != nullptr && !mayBeGate(receiverRecord->state)) {
        // Sends the receiver its own record unless that says alive or suspect, so that a receiver
        // that runs can refute a record that calls it dead. A suspect record, like all others about
        // the receiver, is not sent to it.
        message.updates.push_back(*receiverRecord);
    }
    const bool isSameZone = receiverRecord != nullptr && receiverRecord->zone == m_self.zone;
    const std::size_t limit = std::min(m_settings.updatesPerMessage, m_queuedUpdates.size());
    const std::vector<queued_update> sent(
        m_queuedUpdates.begin(), m_queuedUpdates.begin() + static_cast<std::ptrdiff_t>(limit));
    m_queuedUpdates.erase(m_queuedUpdates.begin(),
                          m_queuedUpdates.begin() + static_cast<std::ptrdiff_t>(limit));
    for (queued_update update : sent) {
        const member *record = find(update.name);
        const bool shouldSend = record != nullptr && record->name != m_self.name
            && record->name != receiver && (isSameZone || record->state != member_state::suspect);
        if (shouldSend) {
            message.updates.push_back(*record);
        }
        if (--update.remaining > 0) {
            insertUpdate(update);
        }
    }
    if (isSameZone) {
        for (const auto &[zone, reach] : m_zoneReach) {
            if (shouldSendReach(reach)) {
                message.reach.push_back(reach);
            }
        }
        if (isBridge()) {
            const monotonic_time now = m_clock.monotonic();
            for (const auto &[zone, last] : m_lastContact) {
                if (now - last > 2 * m_settings.probeInterval) {
                    continue;
                }
                message.contacts.push_back(
                    zone_contact{zone, static_cast<std::uint32_t>((now - last).count())});
            }
        }
    }
    return message;
}

/// Whether a message includes @p reach: the zone is unreachable, the value changed recently, or it
/// is due to be repeated for hosts that missed the change.
bool membership::shouldSendReach(const zone_reach &reach) const
{
    const auto since = m_reachChangedAt.find(reach.zone);
    const bool isRecent =
        since != m_reachChangedAt.end() && m_clock.monotonic() - since->second < reachRepeatTime;
    return reach.version > 0
        && (isRecent || !reach.reachable || m_messagesSent % messagesPerOwnRecord == 0);
}

void membership::send(datagram_type type, std::uint64_t sequence, const endpoint &to,
                      const std::string &receiver, const std::string &target)
{
    gossip_message message = composeMessage(receiver);
    message.target = target;
    m_output.sendGossip(type, sequence, to, message);
}

/// Records contact with the sender's zone, merges reachability from a host of the own zone, and
/// requests records when the sender's view differs. Ignores a sender that is unknown or has another
/// address.
void membership::updateFromSender(const gossip_message &message, const endpoint &from)
{
    const member *sender = find(message.sender);
    if (sender == nullptr || sender->address != from) {
        return;
    }
    const monotonic_time now = m_clock.monotonic();
    if (sender->zone == m_self.zone) {
        mergeReach(message.reach);
        for (const zone_contact &contact : message.contacts) {
            monotonic_time &last = m_lastContact[contact.zone];
            last = std::max(last, now - milliseconds(contact.ageMs));
        }
    } else {
        m_lastContact[sender->zone] = now;
    }
    if (message.viewDigest != viewDigest() && now >= m_nextSync) {
        m_nextSync = now + syncInterval;
        requestSlice(*sender);
    }
}

void membership::sendAck(std::uint64_t sequence, const endpoint &from, const std::string &sender)
{
    send(datagram_type::ack, sequence, from, sender);
}

void membership::onAck(std::uint64_t sequence, const std::string &sender)
{
    m_lastAck = m_clock.monotonic();
    const auto relayed = m_relayedProbes.find(sequence);
    if (relayed != m_relayedProbes.end()) {
        send(datagram_type::ack, relayed->second.requesterSequence, relayed->second.requester, "",
             sender);
        m_relayedProbes.erase(relayed);
    }
    m_pendingProbes.erase(sequence);
}

/// Probes the next host of the own zone, in a random order that is reshuffled after each round.
void membership::probeNext()
{
    if (m_probeOrder.empty()) {
        for (const auto &[name, host] : m_members) {
            if (name != m_self.name && host.zone == m_self.zone && isPresent(host.state)) {
                m_probeOrder.push_back(name);
            }
        }
        std::shuffle(m_probeOrder.begin(), m_probeOrder.end(), m_random);
    }
    if (m_probeOrder.empty()) {
        return;
    }
    const member *target = find(m_probeOrder.back());
    m_probeOrder.pop_back();
    if (target != nullptr && isPresent(target->state)) {
        probe(*target);
    }
}

void membership::probe(const member &target)
{
    m_pendingProbes[++m_sequence] = pending_probe{target.name, m_clock.monotonic(), false};
    send(datagram_type::ping, m_sequence, target.address, target.name);
}

/// Requests indirect probes after one ack timeout. After two the target becomes suspect, or left if
/// it was leaving.
void membership::checkProbes()
{
    const monotonic_time now = m_clock.monotonic();
    for (auto item = m_pendingProbes.begin(); item != m_pendingProbes.end();) {
        pending_probe &probe = item->second;
        const milliseconds waited = now - probe.sentAt;
        if (waited >= 2 * m_settings.ackTimeout) {
            const member *target = find(probe.target);
            if (target != nullptr && isPresent(target->state)
                && target->state != member_state::suspect) {
                member record = *target;
                const bool isLeaving = record.state == member_state::leaving;
                record.state = isLeaving ? member_state::left : member_state::suspect;
                merge(record);
            }
            item = m_pendingProbes.erase(item);
            continue;
        }
        if (waited >= m_settings.ackTimeout && !probe.indirectRequested) {
            requestIndirectProbes(item->first, probe);
        }
        ++item;
    }
    while (m_relayedProbes.size() >= maxRelayedProbes) {
        m_relayedProbes.erase(m_relayedProbes.begin());
    }
}

void membership::requestIndirectProbes(std::uint64_t sequence, pending_probe &probe)
{
    probe.indirectRequested = true;
    std::vector<const member *> relays;
    for (const auto &[name, host] : m_members) {
        const bool canRelay = host.zone == m_self.zone && host.state == member_state::alive;
        if (canRelay && name != m_self.name && name != probe.target) {
            relays.push_back(&host);
        }
    }
    std::shuffle(relays.begin(), relays.end(), m_random);
    relays.resize(std::min(relays.size(), indirectProbes));
    for (const member *relay : relays) {
        send(datagram_type::pingRequest, sequence, relay->address, relay->name, probe.target);
    }
}

/// Declares suspects of the own zone dead after the suspicion time and removes records of hosts
/// that have been absent for long.
void membership::checkSuspects()
{
    const monotonic_time now = m_clock.monotonic();
    if (now < m_nextSuspectCheck) {
        return;
    }
    m_nextSuspectCheck = now + m_settings.ackTimeout;
    std::vector<member> expired;
    for (const auto &[name, host] : m_members) {
        const milliseconds age = now - m_stateSince[name];
        if (host.state == member_state::suspect && host.zone == m_self.zone
            && age >= m_settings.suspicionTime) {
            expired.push_back(host);
        }
        if (!isPresent(host.state) && age >= absentRetention) {
            expired.push_back(host);
        }
    }
    for (member &host : expired) {
        if (isPresent(host.state)) {
            host.state = member_state::dead;
            merge(host);
        } else {
            m_byIncarnation.erase(host.incarnation);
            m_stateSince.erase(host.name);
            m_members.erase(host.name);
            markChanged();
        }
    }
}

/// On a bridge, pings the other bridges of the own zone and one bridge of each of the next few
/// zones.
void membership::probeOtherZones()
{
    if (!isBridge()) {
        return;
    }
    const std::vector<const member *> peers = bridgesOf(m_self.zone);
    for (const member *bridge : peers) {
        if (bridge->name != m_self.name) {
            send(datagram_type::ping, ++m_sequence, bridge->address, bridge->name);
        }
    }
    const std::vector<std::string> zones = index().otherZones;
    const std::size_t count = std::min(zones.size(), m_settings.zonesPerBridgeRound);
    for (std::size_t index = 0; index < count; ++index) {
        const std::string &zone = zones[m_bridgeCursor++ % zones.size()];
        const std::vector<const member *> &targets = bridgesOf(zone);
        if (!targets.empty()) {
            const member *target = targets[m_random() % targets.size()];
            send(datagram_type::ping, ++m_sequence, target->address, target->name);
        }
    }
}

/// On a bridge, marks zones as unreachable after too long without contact. The timeout allows for
/// the probe intervals it takes to ping all zones.
void membership::updateZoneReachability()
{
    if (!isBridge()) {
        return;
    }
    const monotonic_time now = m_clock.monotonic();
    const std::vector<std::string> zones = index().otherZones;
    const std::size_t rounds = zones.size() / m_settings.zonesPerBridgeRound;
    const milliseconds timeout =
        m_settings.zoneTimeout + m_settings.probeInterval * static_cast<int>(rounds);
    for (const std::string &zone : zones) {
        const auto contact = m_lastContact.emplace(zone, now).first;
        const bool reachable = now - contact->second < timeout;
        zone_reach &known = m_zoneReach[zone];
        if (known.reachable != reachable) {
            known = zone_reach{zone, known.version + 1, reachable};
            m_reachChangedAt[zone] = now;
            markChanged();
            announce();
        }
    }
}

bool membership::isPresentAt(const endpoint &where) const
{
    return std::any_of(m_members.begin(), m_members.end(), [&](const auto &item) {
        return item.second.address == where && isPresent(item.second.state);
    });
}

/// Pings one absent host at random, because it may have come back: a seed that is not a present
/// member, a host that left or died, or a host of an unreachable zone.
void membership::probeAbsent()
{
    std::vector<endpoint> targets;
    for (const endpoint &seed : m_seeds) {
        if (!isPresentAt(seed)) {
            targets.push_back(seed);
        }
    }
    for (const auto &[name, host] : m_members) {
        const bool unreachable = host.zone != m_self.zone && !zoneReachable(host.zone);
        if (name != m_self.name && (!isPresent(host.state) || unreachable)) {
            targets.push_back(host.address);
        }
    }
    if (!targets.empty()) {
        const endpoint &target = targets[m_random() % targets.size()];
        std::string receiver;
        for (const auto &[name, host] : m_members) {
            if (host.address == target) {
                receiver = name;
            }
        }
        send(datagram_type::ping, ++m_sequence, target, receiver);
    }
}

const membership::zone_index &membership::index() const
{
    if (m_index.version == m_version) {
        return m_index;
    }
    m_index = zone_index{};
    m_index.version = m_version;
    std::map<std::string, std::vector<std::pair<std::uint64_t, const member *>>> bridgeCandidates;
    for (const auto &[name, host] : m_members) {
        if (mayBeGate(host.state) && zoneReachable(host.zone)) {
            m_index.eligible[host.zone].push_back(&host);
            m_index.eligibleVersion[host.zone] += XXH3_64bits(name.data(), name.size());
        }
        auto &scored = bridgeCandidates[host.zone];
        if (mayBeBridge(host.state)) {
            const std::uint64_t key = XXH3_64bits(host.zone.data(), host.zone.size());
            scored.emplace_back(rendezvousScore(key, name), &host);
        }
    }
    for (const auto &[zone, hosts] : m_index.eligible) {
        m_index.eligibleZones.push_back(zone);
    }
    for (auto &[zone, scored] : bridgeCandidates) {
        std::sort(scored.rbegin(), scored.rend());
        scored.resize(std::min(scored.size(), m_settings.bridgesPerZone));
        for (const auto &[score, host] : scored) {
            m_index.bridges[zone].push_back(host);
        }
        if (zone != m_self.zone) {
            m_index.otherZones.push_back(zone);
        }
    }
    return m_index;
}

const std::vector<const member *> &membership::bridgesOf(const std::string &zone) const
{
    static const std::vector<const member *> none;
    const auto &bridges = index().bridges;
    const auto found = bridges.find(zone);
    return found == bridges.end() ? none : found->second;
}

std::uint64_t membership::viewDigest() const
{
    if (!m_viewDigestValid) {
        m_viewDigest = 0;
        for (const auto &[name, host] : m_members) {
            m_viewDigest ^= recordHash(host);
        }
        m_viewDigestValid = true;
    }
    return m_viewDigest;
}

void membership::markChanged()
{
    ++m_version;
    m_viewDigestValid = false;
}

} // namespace figstair
