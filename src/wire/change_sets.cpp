#include "figstair/wire/change_sets.h"

#include <algorithm>

#include <boost/core/span.hpp>
#include <xxhash.h>

namespace figstair {
namespace {

/// Sets that are kept while messages are missing. Two hosts that read the store at the same time
/// may send different sets.
constexpr std::size_t maxIncompleteSets = 3;

/// Appends the slice @p index of @p count slices of @p source to @p target.
template <typename item>
void appendSlice(const std::vector<item> &source, std::size_t index, std::size_t count,
                 std::vector<item> &target)
{
    const auto boundary = [&](std::size_t number) {
        return source.begin() + static_cast<std::ptrdiff_t>(source.size() * number / count);
    };
    target.insert(target.end(), boundary(index), boundary(index + 1));
}

void appendSlice(const route_config &source, std::size_t index, std::size_t count,
                 route_config &target)
{
    target.version = source.version;
    target.idleTimeout = source.idleTimeout;
    appendSlice(source.routes, index, count, target.routes);
    appendSlice(source.services, index, count, target.services);
}

void appendSlice(const config_patch &source, std::size_t index, std::size_t count,
                 config_patch &target)
{
    target.baseVersion = source.baseVersion;
    appendSlice(source.changed, index, count, target.changed);
    appendSlice(source.removedRoutes, index, count, target.removedRoutes);
}

/// Appends the slices of @p change, which has the content type @p config_content.
template <typename config_content>
void appendConfigSlices(const record_change &change, std::size_t count,
                        std::vector<record_change> &slices)
{
    for (std::size_t index = 0; index < count; ++index) {
        record_change slice;
        slice.kind = change.kind;
        slice.revision = change.revision;
        appendSlice(std::get<config_content>(change.content), index, count,
                    slice.content.emplace<config_content>());
        slices.push_back(std::move(slice));
    }
}

/// Appends @p change to @p pieces, in slices of about @p maxBytes if it is a larger configuration.
void appendPieces(const record_change &change, std::size_t maxBytes,
                  std::vector<record_change> &pieces)
{
    const std::size_t bytes = encodedBytes(change).size();
    if (bytes > maxBytes && std::holds_alternative<config_patch>(change.content)) {
        appendConfigSlices<config_patch>(change, bytes / maxBytes + 1, pieces);
    } else if (bytes > maxBytes && std::holds_alternative<route_config>(change.content)) {
        appendConfigSlices<route_config>(change, bytes / maxBytes + 1, pieces);
    } else {
        pieces.push_back(change);
    }
}

template <typename item> void append(std::vector<item> &&source, std::vector<item> &target)
{
    target.insert(target.end(), std::make_move_iterator(source.begin()),
                  std::make_move_iterator(source.end()));
}

void append(route_config &&source, route_config &target)
{
    append(std::move(source.routes), target.routes);
    append(std::move(source.services), target.services);
}

void append(config_patch &&source, config_patch &target)
{
    append(std::move(source.changed), target.changed);
    append(std::move(source.removedRoutes), target.removedRoutes);
}

/// If @p records ends with a slice of the same configuration as @p next, appends @p next to it.
template <typename config_content>
bool joinConfig(record_change &next, std::vector<record_change> &records)
{
    auto *slice = std::get_if<config_content>(&next.content);
    if (slice == nullptr || records.empty()) {
        return false;
    }
    auto *joined = std::get_if<config_content>(&records.back().content);
    if (joined == nullptr) {
        return false;
    }
    append(std::move(*slice), *joined);
    return true;
}

view_changes withoutRecords(const view_changes &changes, std::uint64_t after)
{
    view_changes result;
    result.after = after;
    result.revision = changes.revision;
    result.age = changes.age;
    result.grace = changes.grace;
    result.epoch = changes.epoch;
    return result;
}

/// Appends messages with @p records, which take effect together: a set, or one message if they fit.
void appendSet(const view_changes &header, boost::span<const record_change> records,
               std::size_t maxBytes, std::vector<view_changes> &messages)
{
    std::vector<record_change> pieces;
    for (const record_change &change : records) {
        appendPieces(change, maxBytes, pieces);
    }
    const std::size_t first = messages.size();
    std::uint64_t hash = 0;
    std::size_t size = 0;
    for (record_change &piece : pieces) {
        const byte_buffer bytes = encodedBytes(piece);
        hash = XXH3_64bits_withSeed(bytes.data(), bytes.size(), hash);
        if (messages.size() == first || size + bytes.size() > maxBytes) {
            messages.push_back(header);
            size = 0;
        }
        messages.back().records.push_back(std::move(piece));
        size += bytes.size();
    }
    const auto count = static_cast<unsigned>(messages.size() - first);
    for (unsigned index = 0; index < count; ++index) {
        messages[first + index].part = set_position{hash, index, count};
    }
}

} // namespace

std::vector<view_changes> splitBySize(const view_changes &changes, std::size_t maxBytes)
{
    std::vector<view_changes> messages;
    view_changes message = withoutRecords(changes, changes.after);
    std::size_t size = 0;
    const auto finishAt = [&](std::uint64_t revision) {
        if (!message.records.empty()) {
            message.revision = revision;
            messages.push_back(std::move(message));
        }
        message = withoutRecords(changes, revision);
        size = 0;
    };
    const boost::span<const record_change> records(changes.records);
    for (std::size_t first = 0; first < records.size();) {
        std::size_t next = first;
        std::size_t added = 0;
        while (next < records.size() && records[next].revision <= records[first].revision) {
            added += encodedBytes(records[next]).size();
            ++next;
        }
        const auto group = records.subspan(first, next - first);
        if (!message.records.empty() && size + added > maxBytes) {
            finishAt(message.records.back().revision);
        }
        if (added > maxBytes) {
            message.revision = next == records.size() ? changes.revision : records[first].revision;
            appendSet(message, group, maxBytes, messages);
            finishAt(message.revision);
        } else {
            message.records.insert(message.records.end(), group.begin(), group.end());
            size += added;
        }
        first = next;
    }
    if (!message.records.empty() || messages.empty()) {
        messages.push_back(std::move(message));
    }
    return messages;
}

std::vector<view_changes> splitIntoSet(const view_changes &changes, std::size_t maxBytes)
{
    std::vector<view_changes> messages;
    appendSet(withoutRecords(changes, changes.after), changes.records, maxBytes, messages);
    if (messages.empty()) {
        messages.push_back(changes);
    }
    return messages;
}

changes_assembler::incomplete_set &changes_assembler::findOrAdd(const view_changes &message,
                                                                monotonic_time now)
{
    const auto found = std::find_if(m_sets.begin(), m_sets.end(), [&](const incomplete_set &known) {
        return known.changes.epoch == message.epoch && known.changes.after == message.after
            && known.changes.revision == message.revision
            && known.changes.part.set == message.part.set
            && known.changes.part.count == message.part.count;
    });
    if (found != m_sets.end()) {
        return *found;
    }
    if (m_sets.size() >= maxIncompleteSets) {
        m_sets.pop_front();
    }
    incomplete_set added;
    added.changes = withoutRecords(message, message.after);
    added.changes.part = message.part;
    added.records.resize(message.part.count);
    added.missing = message.part.count;
    added.confirmedAt = now - message.age;
    m_sets.push_back(std::move(added));
    return m_sets.back();
}

changes_assembler::addition changes_assembler::add(view_changes message, monotonic_time now)
{
    incomplete_set &known = findOrAdd(message, now);
    known.confirmedAt = std::min(known.confirmedAt, now - message.age);
    known.graceEnd = std::max(known.graceEnd, now + message.grace);
    auto &slot = known.records[message.part.index];
    const bool isNew = !slot;
    if (isNew) {
        slot = std::move(message.records);
        --known.missing;
    }
    if (known.missing > 0) {
        return {isNew, std::nullopt};
    }
    view_changes whole = withoutRecords(known.changes, known.changes.after);
    whole.age = now - known.confirmedAt;
    whole.grace = known.graceEnd - now;
    for (auto &records : known.records) {
        for (record_change &change : *records) {
            if (!joinConfig<config_patch>(change, whole.records)
                && !joinConfig<route_config>(change, whole.records)) {
                whole.records.push_back(std::move(change));
            }
        }
    }
    discardUpTo({whole.epoch, whole.revision});
    return {isNew, std::move(whole)};
}

void changes_assembler::discardUpTo(const store_position &position)
{
    const auto isReached = [&](const incomplete_set &known) {
        return !(position < store_position{known.changes.epoch, known.changes.revision});
    };
    m_sets.erase(std::remove_if(m_sets.begin(), m_sets.end(), isReached), m_sets.end());
}

std::size_t changes_assembler::missing() const
{
    return m_sets.empty() ? 0 : m_sets.back().missing;
}

} // namespace figstair
