#include "figstair/store/table_store.h"

#include <algorithm>
#include <cstdio>

#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>

namespace leaf = boost::leaf;
using nlohmann::json;

namespace figstair {
namespace {

constexpr char headKey[] = "figstair/head";
constexpr char revisionPrefix[] = "figstair/revision/";
constexpr char revisionEnd[] = "figstair/revision0";
constexpr std::size_t maxInlineBytes = std::size_t{128} << 10U;
constexpr std::size_t partBytes = std::size_t{512} << 10U;
constexpr std::uint64_t minRevisionsPerSnapshot = 64;

/// The snapshot interval grows by one revision per this many rows, so that the edits since a
/// snapshot come near its size before the next one is written.
constexpr std::size_t rowsPerSnapshotRevision = 4;

constexpr std::size_t maxEditsPerRead = 32;
constexpr int maxCommitAttempts = 10;

std::string revisionKey(std::uint64_t revision)
{
    char digits[32];
    std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(revision));
    return revisionPrefix + std::string(digits);
}

std::string partKey(const std::string &prefix, std::size_t part)
{
    return prefix + "/" + std::to_string(part);
}

std::string editPrefix(const std::string &editId)
{
    return "figstair/edit/" + editId;
}

std::string snapshotPrefix(std::uint64_t revision)
{
    return "figstair/snapshot/" + std::to_string(revision);
}

std::size_t partCount(std::size_t size)
{
    return (size + partBytes - 1) / partBytes;
}

std::string encodeHead(const table_head &head, const std::string &editId)
{
    return json{{"revision", head.revision},
                {"digest", head.digest},
                {"edit", editId},
                {"snapshot", head.snapshotRevision},
                {"snapshot_parts", head.snapshotParts},
                {"snapshot_digest", head.snapshotDigest}}
        .dump();
}

leaf::error_id fail(const std::string &key, const std::string &problem)
{
    return leaf::new_error(stored_table_error{key, problem});
}

/// Applies @p read to the parsed value and converts exceptions to stored_table_error.
template <typename reader>
auto readValue(const std::string &key, const std::string &value, reader read)
    -> leaf::result<decltype(read(json()))>
{
    try {
        return read(json::parse(value));
    } catch (const json::exception &error) {
        return fail(key, error.what());
    }
}

struct revision_entry
{
    std::string editId;
    std::size_t parts = 0;
    std::string text;
};

leaf::result<revision_entry> decodeEntry(const stored_value &stored)
{
    return readValue(stored.key, stored.value, [](const json &value) {
        return revision_entry{value.at("edit").get<std::string>(),
                              value.at("parts").get<std::size_t>(),
                              value.at("text").get<std::string>()};
    });
}

leaf::result<std::vector<table_row>> decodeRows(const std::string &key, const std::string &text)
{
    using row_cells = std::vector<std::vector<std::string>>;
    BOOST_LEAF_AUTO(cells,
                    readValue(key, text, [](const json &value) { return value.get<row_cells>(); }));
    std::vector<table_row> rows;
    for (const std::vector<std::string> &row : cells) {
        BOOST_LEAF_AUTO(decoded, fromStoredCells(row));
        rows.push_back(std::move(decoded));
    }
    return rows;
}

} // namespace

table_store::table_store(key_value_store &store)
    : m_store(store)
{
}

leaf::result<table_head> table_store::loadHead()
{
    BOOST_LEAF_AUTO(stored, m_store.get(headKey));
    if (!stored) {
        return table_head{};
    }
    const std::int64_t modRevision = stored->modRevision;
    return readValue(headKey, stored->value, [modRevision](const json &value) {
        table_head head;
        head.revision = value.at("revision").get<std::uint64_t>();
        head.digest = value.at("digest").get<std::string>();
        head.snapshotRevision = value.at("snapshot").get<std::uint64_t>();
        head.snapshotParts = value.at("snapshot_parts").get<std::size_t>();
        head.snapshotDigest = value.at("snapshot_digest").get<std::string>();
        head.modRevision = modRevision;
        return head;
    });
}

leaf::result<std::vector<table_edit>> table_store::loadEdits(std::uint64_t revision,
                                                             std::size_t limit)
{
    BOOST_LEAF_AUTO(entries, m_store.range(revisionKey(revision + 1), revisionEnd, limit));
    std::vector<table_edit> edits;
    for (const stored_value &entry : entries) {
        BOOST_LEAF_AUTO(edit, readEdit(entry));
        edits.push_back(std::move(edit));
    }
    return edits;
}

leaf::result<table_reply> table_store::loadSince(const table_head &head, std::uint64_t revision)
{
    const bool isFarBehind = head.snapshotRevision > revision + maxEditsPerRead
        || (revision == 0 && head.snapshotRevision > 0);
    if (isFarBehind) {
        return loadSnapshot(head);
    }
    table_reply reply;
    reply.baseRevision = revision;
    BOOST_LEAF_ASSIGN(reply.edits, loadEdits(revision, maxEditsPerRead));
    return reply;
}

leaf::result<table_reply> table_store::loadSnapshot(const table_head &head)
{
    const std::string prefix = snapshotPrefix(head.snapshotRevision);
    BOOST_LEAF_AUTO(text, readParts(prefix, head.snapshotParts));
    table_reply reply;
    reply.isSnapshot = true;
    reply.revision = head.snapshotRevision;
    reply.digest = head.snapshotDigest;
    BOOST_LEAF_ASSIGN(reply.rows, decodeRows(prefix, text));
    return reply;
}

leaf::result<table> table_store::loadTable(std::uint64_t revision)
{
    BOOST_LEAF_AUTO(head, loadHead());
    const std::uint64_t target = revision == 0 ? head.revision : revision;
    table result;
    if (head.snapshotRevision > 0 && head.snapshotRevision <= target) {
        BOOST_LEAF_AUTO(snapshot, loadSnapshot(head));
        BOOST_LEAF_CHECK(result.restore(snapshot.revision, snapshot.digest, snapshot.rows));
    }
    while (result.revision() < target) {
        const std::uint64_t missing = target - result.revision();
        BOOST_LEAF_AUTO(
            edits, loadEdits(result.revision(), std::min<std::uint64_t>(missing, maxEditsPerRead)));
        if (edits.empty()) {
            return fail(revisionKey(result.revision() + 1), "absent");
        }
        for (const table_edit &edit : edits) {
            BOOST_LEAF_CHECK(result.apply(edit));
        }
    }
    return result;
}

leaf::result<commit_outcome> table_store::commit(const table_head &head, const table_edit &edit)
{
    BOOST_LEAF_AUTO(puts, writeLargeParts(edit));
    table_head next = head;
    next.revision = edit.revision;
    next.digest = digestAfter(edit);
    puts.push_back(stored_value{headKey, encodeHead(next, edit.editId), 0});
    std::string problem;
    for (int attempt = 0; attempt < maxCommitAttempts; ++attempt) {
        const auto outcome = leaf::try_handle_all([&]() { return tryCommit(head, edit, puts); },
                                                  [&](const platform_error &error) {
                                                      problem = error.problem;
                                                      return std::optional<commit_outcome>();
                                                  },
                                                  [] { return std::optional<commit_outcome>(); });
        if (outcome) {
            return *outcome;
        }
    }
    return leaf::new_error(platform_error{"txn",
                                          problem + "; whether edit " + edit.editId
                                              + " was accepted could not be determined"});
}

/// Attempts one swap of the head. Repeating it is idempotent: if an earlier attempt took effect but
/// its response was lost, later ones fail and the revision's entry contains this edit's id.
leaf::result<std::optional<commit_outcome>>
table_store::tryCommit(const table_head &head, const table_edit &edit,
                       const std::vector<stored_value> &puts)
{
    BOOST_LEAF_AUTO(isAccepted, m_store.putIfUnchanged(headKey, head.modRevision, puts));
    if (isAccepted) {
        return std::optional(commit_outcome::accepted);
    }
    BOOST_LEAF_AUTO(stored, m_store.get(revisionKey(edit.revision)));
    if (!stored) {
        return std::optional(commit_outcome::conflict);
    }
    BOOST_LEAF_AUTO(entry, decodeEntry(*stored));
    const bool isOwn = entry.editId == edit.editId;
    return std::optional(isOwn ? commit_outcome::accepted : commit_outcome::conflict);
}

leaf::result<std::vector<stored_value>> table_store::writeLargeParts(const table_edit &edit)
{
    const std::string text = encodeEdit(edit);
    const bool isInline = text.size() <= maxInlineBytes;
    const std::size_t parts = isInline ? 0 : partCount(text.size());
    for (std::size_t part = 0; part < parts; ++part) {
        BOOST_LEAF_CHECK(writeOnce(partKey(editPrefix(edit.editId), part),
                                   text.substr(part * partBytes, partBytes)));
    }
    const json entry{{"edit", edit.editId}, {"parts", parts}, {"text", isInline ? text : ""}};
    return std::vector<stored_value>{{revisionKey(edit.revision), entry.dump(), 0}};
}

/// Writes a key that has only one writer; if it exists already, it has this value.
leaf::result<void> table_store::writeOnce(const std::string &key, const std::string &value)
{
    BOOST_LEAF_CHECK(m_store.putIfUnchanged(key, 0, {stored_value{key, value, 0}}));
    return {};
}

leaf::result<table_edit> table_store::readEdit(const stored_value &stored)
{
    BOOST_LEAF_AUTO(entry, decodeEntry(stored));
    if (entry.parts > 0) {
        BOOST_LEAF_ASSIGN(entry.text, readParts(editPrefix(entry.editId), entry.parts));
    }
    return leaf::try_handle_some(
        [&]() -> leaf::result<table_edit> { return decodeEdit(entry.text); },
        [&](const edit_error &error) -> leaf::result<table_edit> {
            return fail(stored.key, error.problem);
        });
}

leaf::result<std::string> table_store::readParts(const std::string &prefix, std::size_t count)
{
    std::string text;
    for (std::size_t part = 0; part < count; ++part) {
        BOOST_LEAF_AUTO(stored, m_store.get(partKey(prefix, part)));
        if (!stored) {
            return fail(partKey(prefix, part), "absent");
        }
        text += stored->value;
    }
    return text;
}

leaf::result<void> table_store::saveSnapshotIfDue(const table &current)
{
    BOOST_LEAF_AUTO(head, loadHead());
    const std::vector<table_row> tableRows = current.rows();
    const std::uint64_t interval = std::max<std::uint64_t>(
        minRevisionsPerSnapshot, tableRows.size() / rowsPerSnapshotRevision);
    if (head.revision != current.revision()
        || current.revision() < head.snapshotRevision + interval) {
        return {};
    }
    json rows = json::array();
    for (const table_row &row : tableRows) {
        rows.push_back(toStoredCells(row));
    }
    const std::string text = rows.dump();
    const std::size_t parts = partCount(text.size());
    for (std::size_t part = 0; part < parts; ++part) {
        BOOST_LEAF_CHECK(writeOnce(partKey(snapshotPrefix(current.revision()), part),
                                   text.substr(part * partBytes, partBytes)));
    }
    table_head next = head;
    next.snapshotRevision = current.revision();
    next.snapshotParts = parts;
    next.snapshotDigest = current.digest();
    // If another edit moved the head meanwhile, a snapshot is written after a later edit instead.
    BOOST_LEAF_CHECK(m_store.putIfUnchanged(headKey, head.modRevision,
                                            {stored_value{headKey, encodeHead(next, ""), 0}}));
    return {};
}

} // namespace figstair
