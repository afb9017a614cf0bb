#include "figstair/host/store_session.h"

#include <algorithm>
#include <set>
#include <tuple>

#include <sodium.h>

namespace figstair {
namespace {

/// Ranking key that selects the hosts which read the store for the others.
constexpr std::uint64_t readerRankingKey = 1;

/// For this long after its first view a host does not consider itself the first in the ranking, as
/// it may not have heard from the others yet. Otherwise, when all hosts start together, each of
/// them would watch the store for the others' announcements.
constexpr milliseconds settleTime{1200};

/// Interval at which the rank is recomputed from all hosts; it is read for each packet.
constexpr milliseconds rankInterval{50};

/// Number of changes kept for hosts that missed them, and how many records and routes they may
/// have. A route takes about 200 bytes.
constexpr std::size_t maxHistoryLength = 64;
constexpr std::size_t maxHistorySize = 20000;

/// The lease of an announcement is renewed this many times per TTL.
constexpr int renewalsPerTtl = 3;

/// Interval of requests to seeds while a host that has just started cannot reach the store.
constexpr milliseconds seedRequestInterval{250};

/// Interval between writes of evacuation marks, in which the change comes back from the store.
constexpr milliseconds markInterval{500};

/// A host that is not the first in the ranking writes an evacuation mark that is due for this long,
/// if the store answered it within the last maxMarkReadAge.
constexpr milliseconds markTakeoverDelay{2000};
constexpr milliseconds maxMarkReadAge{2500};

/// A host that lacks changes of other hosts for this long logs it. Relayed changes arrive within
/// milliseconds, and are requested again a few times a second.
constexpr milliseconds behindLogDelay{1000};

/// Interval between log lines about relayed changes that could not be applied.
constexpr milliseconds refusalLogInterval{1000};

/// Base delay after a failed announcement; a random delay of up to the same length is added.
constexpr milliseconds announcementRetryDelay{1000};

/// The changes that lead from the view @p before, which has all up to revision @p after, to
/// @p listing. All have the listing's revision: which of them came first is not known.
std::vector<record_change> changesByListing(boost::span<const record_change> before,
                                            const store_records &listing, std::uint64_t after)
{
    using record_key = std::tuple<record_kind, std::string, std::uint64_t, std::uint64_t>;
    const auto keyOf = [](const record_change &change, std::uint64_t keyHash) {
        return change.kind == record_kind::upstream
            ? record_key(change.kind, std::string(), change.upstreamId, keyHash)
            : record_key(change.kind, change.name, 0, 0);
    };
    std::set<record_key> listed;
    std::vector<record_change> changes;
    for (const record_change &change : listing.records) {
        listed.insert(keyOf(change, change.keyHash));
        listed.insert(keyOf(change, 0)); // for a view that does not know the key
        if (change.revision > after && change.revision <= listing.revision) {
            changes.push_back(change);
        }
    }
    for (const record_change &known : before) {
        const bool mayBeRemoved =
            known.kind != record_kind::config && known.kind != record_kind::key;
        if (mayBeRemoved && known.revision <= listing.revision
            && listed.count(keyOf(known, known.keyHash)) == 0) {
            changes.push_back(known);
            changes.back().content = record_change::removed{};
        }
    }
    for (record_change &change : changes) {
        change.revision = listing.revision;
    }
    return changes;
}

/// Number of records in @p changes, and of the routes in them.
std::size_t sizeInHistory(boost::span<const record_change> changes)
{
    std::size_t size = changes.size();
    for (const record_change &change : changes) {
        if (const auto *config = std::get_if<route_config>(&change.content)) {
            size += config->routes.size();
        } else if (const auto *patch = std::get_if<config_patch>(&change.content)) {
            size += patch->changed.routes.size() + patch->removedRoutes.size();
        }
    }
    return size;
}

} // namespace

store_session::store_session(std::unique_ptr<fleet_store> store, entry_core &core,
                             const clock_source &clock, const host_record &self,
                             milliseconds announcementTtl, std::vector<endpoint> seeds,
                             std::uint64_t seed, environment &sessionEnvironment)
    : m_store(std::move(store))
    , m_core(core)
    , m_clock(clock)
    , m_self(self)
    , m_announcementTtl(announcementTtl)
    , m_seeds(std::move(seeds))
    , m_environment(sessionEnvironment)
    , m_feed(seed)
    , m_random(seed)
{
}

unsigned store_session::rank()
{
    const monotonic_time now = m_clock.monotonic();
    if (now - m_rankUpdatedAt >= rankInterval) {
        m_rankUpdatedAt = now;
        m_rank = m_core.roster().rankOf(readerRankingKey, now);
    }
    return now - m_firstLoadedAt < settleTime ? std::max(m_rank, 1U) : m_rank;
}

void store_session::tick()
{
    const monotonic_time now = m_clock.monotonic();
    m_feed.onStoreEpoch(m_store->epoch(), now);
    startCall(m_feed.nextCall(now, rank()));
    if (!m_feed.isLoaded() && now >= m_nextSeedRequest && !m_isStoreReachable) {
        requestViewFromSeeds(now);
    }
    if (m_feed.takeDuePull(now)) {
        m_environment.sendToPeer(
            m_newerPeer,
            view_pull{m_feed.position().revision, m_self.peerAddress, m_feed.position().epoch});
        m_newerPeerZone.clear();
    }
    if (m_feed.isLoaded() && !m_isAnnouncementPending && !m_isWithdrawn
        && now >= m_nextAnnouncement) {
        continueAnnouncing();
    }
    updateMarks(now);
    updateBehind(now);
    m_environment.count(entry_counter::storeCalls, m_store->takeCallCount());
}

void store_session::updateMarks(monotonic_time now)
{
    const std::optional<mark_task> task = m_core.directory().dueMark(now);
    if (!task) {
        m_markDueSince = now;
        return;
    }
    const milliseconds delay = rank() == 0 ? milliseconds::zero() : markTakeoverDelay;
    if (!m_feed.isLoaded() || m_isWithdrawn || m_isMarkPending || now < m_nextMark
        || now - m_markDueSince < delay || m_feed.lastReadAge(now) > maxMarkReadAge) {
        return;
    }
    m_isMarkPending = true;
    const auto onDone = [this, task = *task](const store_reply<std::monostate> &reply) {
        onMarkWritten(task, reply);
    };
    if (task->isRemoval) {
        m_store->removeEvacuationMark(task->zone, onDone);
    } else {
        m_store->markEvacuated(task->zone, onDone);
    }
}

void store_session::onMarkWritten(const mark_task &task, const store_reply<std::monostate> &reply)
{
    m_isMarkPending = false;
    m_nextMark = m_clock.monotonic() + markInterval;
    const auto *error = std::get_if<store_error>(&reply);
    // A conflict: the zone is evacuated again.
    if (error != nullptr && error->code != store_error::reason::conflict) {
        recordFailure("evacuation_mark", *error);
    }
    m_environment.logEvent(
        "evacuation_mark_write",
        {{"zone", task.zone},
         {"removed", task.isRemoval ? "1" : "0"},
         {"outcome", error == nullptr ? std::string("done") : std::string(toText(error->code))}});
}

monotonic_time store_session::nextDeadline()
{
    const monotonic_time next = m_feed.nextDeadline(m_clock.monotonic(), rank());
    return m_isAnnouncementPending || m_isWithdrawn || !m_feed.isLoaded()
        ? next
        : std::min(next, m_nextAnnouncement);
}

void store_session::startCall(const feed_call &call)
{
    if (call.operation == feed_call::kind::list) {
        m_store->list([this](store_reply<store_records> reply) { onListed(std::move(reply)); });
    } else if (call.operation == feed_call::kind::watch) {
        m_store->watch(call.afterRevision, call.maxWait,
                       [this, after = call.afterRevision](store_reply<store_records> reply) {
                           onWatched(after, std::move(reply));
                       });
    }
}

void store_session::recordFailure(const char *call, const store_error &error)
{
    m_environment.count(entry_counter::storeFailures, 1);
    if (m_isStoreReachable) {
        m_isStoreReachable = false;
        m_environment.logEvent(
            "store_lost",
            {{"call", call},
             {"reason", std::string(toText(error.code))},
             {"problem", error.problem},
             {"view_epoch", std::to_string(m_feed.position().epoch)},
             {"view_revision", std::to_string(m_feed.position().revision)},
             {"view_age_ms",
              m_feed.isLoaded() ? std::to_string(m_feed.age(m_clock.monotonic()).count())
                                : std::string("none")}});
    }
}

void store_session::recordReadFailure(const char *call, const store_error &error)
{
    ++m_readFailures;
    m_environment.count(entry_counter::storeBytesDiscarded, error.progress.receivedBytes);
    m_environment.logEvent(
        "store_read_failed",
        {{"call", call},
         {"reason", std::string(toText(error.code))},
         {"problem", error.problem},
         {"failures", std::to_string(m_readFailures)},
         {"ms", std::to_string((m_clock.monotonic() - m_feed.calledAt()).count())},
         {"received_bytes", std::to_string(error.progress.receivedBytes)},
         {"expected_bytes", std::to_string(error.progress.expectedBytes)}});
    recordFailure(call, error);
}

void store_session::updateBehind(monotonic_time now)
{
    if (m_behindSince && !(m_feed.position() < m_missedPosition)) {
        const milliseconds lag = now - *m_behindSince;
        m_environment.observe(entry_distribution::viewBehind, lag);
        if (m_isBehindLogged) {
            m_environment.logEvent("view_caught_up",
                                   {{"ms", std::to_string(lag.count())},
                                    {"revision", std::to_string(m_feed.position().revision)},
                                    {"config", std::to_string(m_core.configVersion())}});
        }
        m_behindSince.reset();
        m_isBehindLogged = false;
    }
    if (!m_behindSince && !m_feed.isUpToDate()) {
        m_behindSince = now;
        m_missedPosition = m_feed.newestPosition();
    }
    if (m_behindSince && !m_isBehindLogged && now - *m_behindSince >= behindLogDelay) {
        m_isBehindLogged = true;
        m_environment.logEvent("view_behind",
                               {{"epoch", std::to_string(m_feed.position().epoch)},
                                {"revision", std::to_string(m_feed.position().revision)},
                                {"missed_epoch", std::to_string(m_missedPosition.epoch)},
                                {"missed_revision", std::to_string(m_missedPosition.revision)},
                                {"config", std::to_string(m_core.configVersion())},
                                {"messages_missing", std::to_string(m_assembler.missing())},
                                {"read_failures", std::to_string(m_readFailures)}});
    }
}

void store_session::recordSuccess()
{
    m_readFailures = 0;
    if (!m_isStoreReachable) {
        m_isStoreReachable = true;
        m_environment.logEvent("store_regained",
                               {{"view_epoch", std::to_string(m_feed.position().epoch)},
                                {"view_revision", std::to_string(m_feed.position().revision)}});
    }
}

void store_session::recordRestoration(const store_position &view)
{
    m_environment.count(entry_counter::storeRestorations, 1);
    m_environment.logEvent("store_restored",
                           {{"view_epoch", std::to_string(view.epoch)},
                            {"view_revision", std::to_string(view.revision)},
                            {"epoch", std::to_string(m_feed.position().epoch)},
                            {"revision", std::to_string(m_feed.position().revision)}});
}

/// Tells the core how current its view is, unless changes that the view counts as known could not
/// be applied.
void store_session::confirmView()
{
    if (!m_feed.needsListing()) {
        m_core.onViewConfirmed(m_feed.confirmedAt());
    }
}

void store_session::applyChanges(const std::vector<record_change> &records)
{
    m_core.keepLapsedUntil(m_feed.lapseGraceEnd());
    for (const record_change &change : records) {
        if (const auto *key = std::get_if<shared_key>(&change.content)) {
            m_environment.adoptKey(key->key);
        } else {
            m_core.onRecordChange(change);
        }
        if (const auto *patch = std::get_if<config_patch>(&change.content)) {
            if (m_core.configVersion() < patch->changed.version) {
                m_feed.requireListing();
            }
        }
        const bool isOwn = change.kind == record_kind::host && change.name == m_self.name;
        if (isOwn && std::holds_alternative<record_change::removed>(change.content)
            && m_isAnnounced) {
            loseAnnouncement();
        }
    }
}

std::vector<record_change>
store_session::recordsToRelay(const std::vector<record_change> &records) const
{
    std::vector<record_change> relayed = records;
    const route_config *previous = &m_core.config();
    for (std::size_t index = 0; index < records.size(); ++index) {
        const auto *current = std::get_if<route_config>(&records[index].content);
        if (current != nullptr && m_core.hasConfig() && current->version > previous->version) {
            relayed[index].content = patchBetween(*previous, *current);
            previous = current;
        }
    }
    return relayed;
}

void store_session::addToHistory(std::uint64_t after, std::uint64_t revision,
                                 std::vector<record_change> records)
{
    m_historySize += sizeInHistory(records);
    m_history.push_back(kept_change{after, revision, std::move(records)});
    // The newest change is always kept: other hosts are about to ask for it.
    while (m_history.size() > maxHistoryLength
           || (m_historySize > maxHistorySize && m_history.size() > 1)) {
        m_historySize -= sizeInHistory(m_history.front().records);
        m_history.pop_front();
    }
}

void store_session::sendToPeers(const view_changes &changes)
{
    const std::vector<view_changes> messages = splitBySize(changes, viewChangesPartBytes);
    if (messages.size() > 1) {
        m_environment.logEvent("changes_split",
                               {{"after", std::to_string(changes.after)},
                                {"revision", std::to_string(changes.revision)},
                                {"messages", std::to_string(messages.size())}});
    }
    for (const view_changes &message : messages) {
        m_environment.relay(message);
    }
}

void store_session::onListed(store_reply<store_records> reply)
{
    const monotonic_time now = m_clock.monotonic();
    if (const auto *error = std::get_if<store_error>(&reply)) {
        m_feed.onFailed(false, now);
        recordReadFailure("list", *error);
        return;
    }
    const auto &listing = std::get<store_records>(reply);
    const bool isFirst = !m_feed.isLoaded();
    const store_position previous = m_feed.position();
    if (!m_feed.onListed({listing.epoch, listing.revision}, now)) {
        return;
    }
    recordSuccess();
    if (isFirst) {
        applyView(listing);
    } else if (previous.epoch < listing.epoch) {
        recordRestoration(previous);
        m_core.onStoreRestored();
        applyView(listing);
    } else {
        applyNewerListing(listing, previous.revision);
    }
    announceIfMissing(listing.records);
    m_environment.logEvent("view_listed",
                           {{"epoch", std::to_string(listing.epoch)},
                            {"revision", std::to_string(listing.revision)},
                            {"records", std::to_string(listing.records.size())},
                            {"first", isFirst ? "1" : "0"}});
    offerKeyIfMissing(listing.records);
    confirmView();
    tick();
}

void store_session::applyView(const store_records &view)
{
    if (m_firstLoadedAt == monotonic_time{}) {
        m_firstLoadedAt = m_clock.monotonic();
    }
    m_history.clear();
    m_historySize = 0;
    applyRecords(view);
}

void store_session::applyNewerListing(const store_records &listing, std::uint64_t after)
{
    const std::vector<record_change> relayed =
        recordsToRelay(changesByListing(m_core.snapshot(), listing, after));
    applyRecords(listing);
    if (listing.revision <= after) {
        return;
    }
    const monotonic_time now = m_clock.monotonic();
    const milliseconds grace = std::max(milliseconds::zero(), m_feed.lapseGraceEnd() - now);
    const view_changes changes{after, listing.revision, m_feed.lastReadAge(now),
                               grace, relayed,          listing.epoch};
    addToHistory(after, listing.revision, relayed);
    if (m_feed.mayRelay(rank())) {
        sendToPeers(changes);
    }
}

void store_session::applyRecords(const store_records &listing)
{
    m_core.keepLapsedUntil(m_feed.lapseGraceEnd());
    for (const record_change &change : listing.records) {
        if (const auto *key = std::get_if<shared_key>(&change.content)) {
            m_environment.adoptKey(key->key);
        }
    }
    m_core.onListing(listing.records, listing.revision);
}

void store_session::offerKeyIfMissing(const std::vector<record_change> &listing)
{
    const bool hasKey = std::any_of(listing.begin(), listing.end(), [](const auto &change) {
        return std::holds_alternative<shared_key>(change.content);
    });
    if (hasKey) {
        return;
    }
    // A store that was restored may lack the key that the hosts use.
    shared_key key{m_environment.key()};
    if (key.key == peer_key{}) {
        randombytes_buf(key.key.data(), key.key.size());
    }
    m_store->offerKey(key, [this, key](store_reply<std::monostate> reply) {
        const auto *error = std::get_if<store_error>(&reply);
        if (error == nullptr) {
            m_environment.adoptKey(key.key);
        } else if (error->code != store_error::reason::conflict) {
            recordFailure("offer_key", *error);
        }
    });
}

void store_session::onWatched(std::uint64_t after, store_reply<store_records> reply)
{
    const monotonic_time now = m_clock.monotonic();
    if (const auto *error = std::get_if<store_error>(&reply)) {
        const bool isHistoryGone = error->code == store_error::reason::historyGone;
        m_feed.onFailed(isHistoryGone, now);
        if (isHistoryGone) {
            m_environment.logEvent("view_history_gone", {{"revision", std::to_string(after)}});
        } else {
            recordReadFailure("watch", *error);
        }
        tick();
        return;
    }
    auto &events = std::get<store_records>(reply);
    const std::uint64_t known = m_feed.position().revision;
    if (!m_feed.onWatched({events.epoch, events.revision}, now)) {
        tick();
        return;
    }
    recordSuccess();
    // Other hosts may have relayed some of the changes since the call was made.
    events.records.erase(
        std::remove_if(events.records.begin(), events.records.end(),
                       [&](const record_change &change) { return change.revision <= known; }),
        events.records.end());
    after = std::min(std::max(after, known), events.revision);
    const std::vector<record_change> relayed = recordsToRelay(events.records);
    applyChanges(events.records);
    confirmView();
    if (events.revision > after) {
        addToHistory(after, events.revision, relayed);
    }
    // Relayed even without changes, because it confirms the other hosts' views.
    const milliseconds grace = std::max(milliseconds::zero(), m_feed.lapseGraceEnd() - now);
    const view_changes changes{after, events.revision, m_feed.lastReadAge(now),
                               grace, relayed,         events.epoch};
    if (m_feed.mayRelay(rank())) {
        sendToPeers(changes);
    }
    tick();
}

void store_session::onFreeze(milliseconds gap)
{
    m_feed.onFreeze(gap);
    if (m_peerMessagesReadAt) {
        *m_peerMessagesReadAt -= gap;
    }
}

milliseconds store_session::maxMessageDelay() const
{
    return m_peerMessagesReadAt ? m_clock.monotonic() - *m_peerMessagesReadAt
                                : milliseconds::zero();
}

void store_session::onRelayedChanges(view_changes changes)
{
    const monotonic_time now = m_clock.monotonic();
    changes.age += maxMessageDelay();
    if (changes.part.count > 1
        && m_feed.position() < store_position{changes.epoch, changes.revision}) {
        changes_assembler::addition added = m_assembler.add(std::move(changes), now);
        if (added.isNew) {
            m_feed.onPartReceived(now);
        }
        if (!added.whole) {
            return;
        }
        changes = std::move(*added.whole);
    }
    const std::uint64_t before = m_feed.position().revision;
    if (m_feed.onRelayedChanges(changes.after, {changes.epoch, changes.revision}, changes.age,
                                changes.grace, now)) {
        m_assembler.discardUpTo(m_feed.position());
        applyChanges(changes.records);
        addToHistory(std::max(before, changes.after), changes.revision, std::move(changes.records));
    } else {
        recordRefusedRelay(changes);
    }
    confirmView();
}

void store_session::recordRefusedRelay(const view_changes &changes)
{
    const store_position &view = m_feed.position();
    const bool isOtherEpoch = changes.epoch != view.epoch;
    if (!m_feed.isLoaded() || (!isOtherEpoch && changes.after <= view.revision)) {
        return; // nothing new
    }
    m_environment.count(
        isOtherEpoch ? entry_counter::relaysOfOtherEpoch : entry_counter::relaysWithGap, 1);
    const monotonic_time now = m_clock.monotonic();
    if (now < m_nextRefusalLog) {
        return;
    }
    m_nextRefusalLog = now + refusalLogInterval;
    m_environment.logEvent("relay_refused",
                           {{"reason", isOtherEpoch ? "other_epoch" : "gap"},
                            {"epoch", std::to_string(view.epoch)},
                            {"revision", std::to_string(view.revision)},
                            {"relayed_epoch", std::to_string(changes.epoch)},
                            {"relayed_after", std::to_string(changes.after)},
                            {"relayed_revision", std::to_string(changes.revision)}});
}

void store_session::onPull(const view_pull &pull)
{
    if (pull.epoch != m_feed.position().epoch) {
        return;
    }
    // The history has no gaps: it has all changes from the one that follows the requested revision.
    const auto first = std::find_if(m_history.begin(), m_history.end(), [&](const auto &change) {
        return change.after <= pull.after && pull.after < change.revision;
    });
    if (first == m_history.end()) {
        return;
    }
    const monotonic_time now = m_clock.monotonic();
    view_changes changes{pull.after,           pull.after, m_feed.lastReadAge(now),
                         milliseconds::zero(), {},         pull.epoch};
    for (auto change = first; change != m_history.end(); ++change) {
        if (change->after > changes.revision) {
            break;
        }
        changes.records.insert(changes.records.end(), change->records.begin(),
                               change->records.end());
        changes.revision = change->revision;
    }
    for (const view_changes &part : splitBySize(changes, viewChangesPartBytes)) {
        m_environment.sendToPeer(pull.replyTo, part);
    }
}

void store_session::requestViewFromSeeds(monotonic_time now)
{
    m_nextSeedRequest = now + seedRequestInterval;
    m_seedNonce = m_random();
    for (const endpoint &seed : m_seeds) {
        m_environment.sendUnsigned(seed, view_request{m_seedNonce, m_self.name});
    }
}

void store_session::onViewRequest(const endpoint &from, const view_request &request)
{
    const auto &peers = m_core.roster().peers();
    const auto known = peers.find(request.hostName);
    if (!m_feed.isLoaded() || known == peers.end() || known->second.entry.peerAddress != from) {
        // The view contains the shared key, so only hosts listed in the store get it.
        m_environment.count(entry_counter::peerMessagesRejected, 1);
        return;
    }
    view_changes view;
    view.revision = m_feed.position().revision;
    view.epoch = m_feed.position().epoch;
    view.age = m_feed.age(m_clock.monotonic());
    view.records = m_core.snapshot();
    for (view_changes &message : splitIntoSet(view, viewChangesPartBytes)) {
        m_environment.sendUnsigned(from,
                                   view_snapshot{request.nonce, m_environment.key(), view.revision,
                                                 view.age, std::move(message.records), view.epoch,
                                                 message.part});
    }
}

void store_session::onSnapshot(const view_snapshot &snapshot)
{
    if (m_feed.isLoaded() || snapshot.nonce != m_seedNonce || m_seedNonce == 0) {
        return;
    }
    const monotonic_time now = m_clock.monotonic();
    view_changes view;
    view.revision = snapshot.revision;
    view.age = snapshot.age + maxMessageDelay();
    view.records = snapshot.records;
    view.epoch = snapshot.epoch;
    view.part = snapshot.part;
    if (snapshot.part.count > 1) {
        m_nextSeedRequest = now + seedRequestInterval; // the others may be on their way
        changes_assembler::addition added = m_assembler.add(std::move(view), now);
        if (!added.whole) {
            return;
        }
        view = std::move(*added.whole);
    }
    m_environment.adoptKey(snapshot.key);
    m_feed.onSnapshot({view.epoch, view.revision}, view.age, now);
    applyView(store_records{view.records, view.revision, view.epoch});
    m_environment.logEvent("view_from_seed",
                           {{"epoch", std::to_string(snapshot.epoch)},
                            {"revision", std::to_string(snapshot.revision)},
                            {"records", std::to_string(view.records.size())},
                            {"age_ms", std::to_string(view.age.count())}});
}

void store_session::onPeerReport(const peer_report &report)
{
    const store_position position{report.viewEpoch, report.viewRevision};
    const bool isAhead = m_feed.position() < position;
    // Prefers hosts of the own zone: traffic between zones is slower and costs more, and a host of
    // the own zone that reads the store has the newer view soon as well.
    if (isAhead && (report.sender.zone == m_self.zone || m_newerPeerZone != m_self.zone)) {
        m_newerPeer = report.sender.peerAddress;
        m_newerPeerZone = report.sender.zone;
    }
    m_feed.onPeerView(position, report.viewAge + maxMessageDelay(), m_clock.monotonic());
    confirmView();
}

void store_session::announceIfMissing(const std::vector<record_change> &listing)
{
    const bool isListed = std::any_of(listing.begin(), listing.end(), [this](const auto &change) {
        const auto *host = std::get_if<host_record>(&change.content);
        return host != nullptr && host->name == m_self.name
            && host->incarnation == m_self.incarnation;
    });
    if (!isListed && m_isAnnounced) {
        loseAnnouncement();
    }
}

void store_session::loseAnnouncement()
{
    // The lease is not ended: after a restoration its id may be that of another host's lease.
    m_isAnnounced = false;
    m_leaseId = 0;
    m_nextAnnouncement = m_clock.monotonic();
}

void store_session::onAnnouncementFailed(const char *call, const store_error &error)
{
    m_isAnnouncementPending = false;
    if (error.code == store_error::reason::leaseGone) {
        loseAnnouncement();
        return;
    }
    recordFailure(call, error);
    m_nextAnnouncement = m_clock.monotonic() + announcementRetryDelay
        + milliseconds(m_random() % static_cast<unsigned>(announcementRetryDelay.count()));
}

void store_session::continueAnnouncing()
{
    m_isAnnouncementPending = true;
    if (m_leaseId == 0) {
        m_store->grantLease(m_announcementTtl, [this](store_reply<std::uint64_t> reply) {
            if (const auto *error = std::get_if<store_error>(&reply)) {
                onAnnouncementFailed("grant_lease", *error);
                return;
            }
            m_leaseId = std::get<std::uint64_t>(reply);
            continueAnnouncing();
        });
        return;
    }
    const auto onDone = [this](const char *call, const store_reply<std::monostate> &reply) {
        if (const auto *error = std::get_if<store_error>(&reply)) {
            onAnnouncementFailed(call, *error);
            return;
        }
        m_isAnnouncementPending = false;
        // A renewal succeeds as well if the announcement was lost while it was pending.
        m_nextAnnouncement = m_clock.monotonic()
            + (m_isAnnounced ? m_announcementTtl / renewalsPerTtl : milliseconds::zero());
    };
    if (!m_isAnnounced) {
        const auto onAnnounced = [this, onDone](const store_reply<std::monostate> &reply) {
            m_isAnnounced = std::holds_alternative<std::monostate>(reply);
            onDone("announce", reply);
        };
        m_store->announce(m_self, m_leaseId, onAnnounced);
    } else {
        m_store->renewLease(m_leaseId, [onDone](const store_reply<std::monostate> &reply) {
            onDone("renew_lease", reply);
        });
    }
}

void store_session::withdraw()
{
    m_isWithdrawn = true;
    if (m_leaseId == 0) {
        return;
    }
    m_store->endLease(m_leaseId, [this](const store_reply<std::monostate> &reply) {
        if (const auto *error = std::get_if<store_error>(&reply)) {
            recordFailure("end_lease", *error);
        }
    });
    m_leaseId = 0;
}

} // namespace figstair
