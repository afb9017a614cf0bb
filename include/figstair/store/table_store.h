#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boost/leaf/result.hpp>

#include "figstair/core/gate/table_keeper.h"
#include "figstair/store/key_value_store.h"
#include "figstair/table/edit.h"
#include "figstair/table/table.h"

namespace figstair {

/// The stored head: the newest revision and the newest snapshot.
struct table_head
{
    std::uint64_t revision = 0;
    std::string digest;
    std::uint64_t snapshotRevision = 0; ///< 0 when there is none
    std::size_t snapshotParts = 0;
    std::string snapshotDigest;
    std::int64_t modRevision = 0; ///< of the head's key, for compare-and-swap
};

/// Reports stored table data that is missing or cannot be parsed.
struct stored_table_error
{
    std::string key;
    std::string problem;
};

/// Whether an edit became the next revision, or another edit did (conflict).
enum class commit_outcome { accepted, conflict };

/// Stores the operators' table on the platform: a head that is updated by compare-and-swap, an
/// entry for each revision, and periodic snapshots. An edit is accepted when the swap of the head
/// succeeds.
class table_store
{
public:
    explicit table_store(key_value_store &store);

    /// Fails with platform_error or stored_table_error.
    boost::leaf::result<table_head> loadHead();

    /// Returns at most @p limit edits that follow @p revision, in order. Fails with platform_error
    /// or stored_table_error.
    boost::leaf::result<std::vector<table_edit>> loadEdits(std::uint64_t revision,
                                                           std::size_t limit);

    /// Returns what a host at @p revision is missing: the snapshot when it is far behind, otherwise
    /// a limited number of edits. Fails like loadEdits().
    boost::leaf::result<table_reply> loadSince(const table_head &head, std::uint64_t revision);

    /// Returns the table at @p revision, or at the head when @p revision is 0. Fails like
    /// loadEdits(), or with chain_error when the stored edits do not form a chain.
    boost::leaf::result<table> loadTable(std::uint64_t revision = 0);

    /// Tries to make @p edit the successor of @p head. When a response is lost, checks whether the
    /// edit took effect. Fails with platform_error when this cannot be determined.
    boost::leaf::result<commit_outcome> commit(const table_head &head, const table_edit &edit);

    /// Writes a snapshot of @p current if the last one is old and @p current is still the head.
    /// Fails with platform_error or stored_table_error.
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
