#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boost/leaf/result.hpp>

#include "figstair/core/table_keeper.h"
#include "figstair/store/key_value_store.h"
#include "figstair/table/edit.h"
#include "figstair/table/table.h"

namespace figstair {

/// The newest revision as the platform holds it.
struct table_head
{
    std::uint64_t revision = 0;
    std::string digest;
    std::uint64_t snapshotRevision = 0; ///< 0 when there is none
    std::size_t snapshotParts = 0;
    std::string snapshotDigest;
    std::int64_t modRevision = 0;
};

/// Reports table data on the platform that cannot be read.
struct stored_table_error
{
    std::string key;
    std::string problem;
};

/// Whether an edit became the next revision.
enum class commit_outcome { accepted, conflict };

/// Keeps the operators' table on the platform: a head that one compare-and-swap moves, an entry for
/// each revision, and a snapshot now and then. The swap of the head is the acceptance.
class table_store
{
public:
    explicit table_store(key_value_store &store);

    /// Fails with platform_error or stored_table_error.
    boost::leaf::result<table_head> loadHead();

    /// At most @p limit edits following @p revision, in order. Fails with platform_error or
    /// stored_table_error.
    boost::leaf::result<std::vector<table_edit>> loadEdits(std::uint64_t revision,
                                                           std::size_t limit);

    /// What a host at @p revision lacks, from the snapshot or from edits. Fails like loadEdits().
    boost::leaf::result<table_reply> loadSince(const table_head &head, std::uint64_t revision);

    /// The table at @p revision, or at the head when it is 0. Fails like loadEdits(), or with
    /// chain_error when the stored edits do not form a chain.
    boost::leaf::result<table> loadTable(std::uint64_t revision = 0);

    /// Makes @p edit the successor of @p head. When an answer is lost, finds out whether the edit
    /// took effect. Fails with platform_error when that cannot be done.
    boost::leaf::result<commit_outcome> commit(const table_head &head, const table_edit &edit);

    /// Writes a snapshot of @p current when the last one is old. Fails with platform_error.
    boost::leaf::result<void> saveSnapshotIfDue(const table &current);

private:
    boost::leaf::result<std::vector<stored_value>> writeLargeParts(const table_edit &edit);
    boost::leaf::result<table_edit> readEdit(const stored_value &entry);
    boost::leaf::result<std::string> readParts(const std::string &prefix, std::size_t count);
    boost::leaf::result<void> writeOnce(const std::string &key, const std::string &value);
    boost::leaf::result<std::optional<commit_outcome>>
    tryCommit(const table_head &head, const table_edit &edit,
              const std::vector<stored_value> &puts);
    boost::leaf::result<table_reply> loadSnapshot(const table_head &head);

    key_value_store &m_store;
};

} // namespace figstair
