#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <boost/leaf/result.hpp>

#include "figstair/table/row.h"

namespace figstair {

/// Puts one row into the table or purges it.
struct row_change
{
    bool isPurge = false;
    table_row row;
};

/// One accepted change of the table. Edits form a hash chain: each names the digest of the table
/// that it applies to.
struct table_edit
{
    std::uint64_t revision = 0; ///< of the table after the edit
    std::string parentDigest; ///< digest of the table before the edit
    std::string editId; ///< chosen by the writer; identifies the edit after a lost reply
    std::string author;
    wall_time acceptedAt{};
    std::vector<row_change> changes;
};

/// Error: stored or received bytes are not a valid edit.
struct edit_error
{
    std::string problem;
};

/// Digest of the table after @p edit: a hash of the parent digest and the content of the edit,
/// hexadecimal.
std::string digestAfter(const table_edit &edit);

/// JSON text of @p edit, as stored on the platform and sent between hosts.
std::string encodeEdit(const table_edit &edit);

/// Decodes the output of encodeEdit(). Fails with edit_error.
boost::leaf::result<table_edit> decodeEdit(const std::string &text);

} // namespace figstair
