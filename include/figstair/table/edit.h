#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <boost/leaf/result.hpp>

#include "figstair/table/row.h"

namespace figstair {

/// One row put into or purged from the table.
struct row_change
{
    bool isPurge = false;
    table_row row;
};

/// One accepted change of the table. Edits form a chain: each names the digest it follows.
struct table_edit
{
    std::uint64_t revision = 0; ///< of the table after the edit
    std::string parentDigest; ///< digest of the table before the edit
    std::string editId; ///< chosen by the editor; settles a lost answer
    std::string author;
    wall_time acceptedAt{};
    std::vector<row_change> changes;
};

/// Reports stored or transmitted bytes that are no edit.
struct edit_error
{
    std::string problem;
};

/// Digest of the table after @p edit: a hash over the parent digest and the edit's content.
std::string digestAfter(const table_edit &edit);

/// JSON text of @p edit, as kept on the platform and sent between hosts.
std::string encodeEdit(const table_edit &edit);

/// Reads what encodeEdit() wrote. Fails with edit_error.
boost::leaf::result<table_edit> decodeEdit(const std::string &text);

} // namespace figstair
