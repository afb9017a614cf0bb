#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <boost/leaf/result.hpp>

#include "figstair/table/row.h"

namespace figstair {

/// The CSV file that operators edit: its rows, their line numbers, and the table revision that it
/// was exported from.
struct sheet
{
    std::string fileName;
    std::uint64_t baseRevision = 0; ///< from the line "# revision=N"; 0 when absent
    std::vector<table_row> rows;
    std::vector<std::size_t> lines; ///< line number of each row, starting at 1
};

/// Error: a sheet is invalid at the given line and column.
struct sheet_error
{
    std::string fileName;
    std::size_t line = 0;
    std::string column;
    std::string value;
    std::string expected;
};

/// Formats @p error as one line: file:line: column 'x' value 'y': expected z.
std::string toText(const sheet_error &error);

/// Parses a sheet and validates cells, uniqueness of names and addresses, and references between
/// rows. Fails with sheet_error.
boost::leaf::result<sheet> parseSheet(const std::string &fileName, std::string_view text);

/// CSV text of @p rows at @p revision, without retired rows and keys.
std::string formatSheet(std::uint64_t revision, const std::vector<table_row> &rows);

} // namespace figstair
