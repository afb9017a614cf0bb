#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <boost/leaf/result.hpp>

#include "figstair/table/row.h"

namespace figstair {

/// The operators' CSV file: rows with the line each came from, and the revision it was taken from.
struct sheet
{
    std::string fileName;
    std::uint64_t baseRevision = 0; ///< from the line "# revision=N"; 0 when absent
    std::vector<table_row> rows;
    std::vector<std::size_t> lines; ///< line of each row, 1 for the first line
};

/// Reports a place in a sheet that cannot be accepted.
struct sheet_error
{
    std::string fileName;
    std::size_t line = 0;
    std::string column;
    std::string value;
    std::string expected;
};

/// One line of text: file:line: column 'x' value 'y': expected z.
std::string toText(const sheet_error &error);

/// Reads and checks a sheet: cells, duplicate rows and addresses, references between rows. Fails
/// with sheet_error.
boost::leaf::result<sheet> parseSheet(const std::string &fileName, std::string_view text);

/// Text of a sheet holding @p rows that are neither retired nor keys.
std::string formatSheet(std::uint64_t revision, const std::vector<table_row> &rows);

} // namespace figstair
