#include "figstair/table/sheet.h"

#include <charconv>
#include <set>
#include <sstream>

#include <boost/leaf.hpp>
#include <boost/tokenizer.hpp>

namespace leaf = boost::leaf;

namespace figstair {
namespace {

constexpr std::size_t maxSheetLineBytes = 4096;
constexpr std::string_view revisionPrefix = "# revision=";

/// Parses a sheet line by line and tracks the line number for error messages.
class sheet_parser
{
public:
    explicit sheet_parser(const std::string &fileName) { m_sheet.fileName = fileName; }

    leaf::result<sheet> parse(std::string_view text)
    {
        std::istringstream stream{std::string(text)};
        std::string line;
        while (std::getline(stream, line)) {
            ++m_line;
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            BOOST_LEAF_CHECK(readLine(line));
        }
        if (m_columnIndices.empty()) {
            return fail("", "", "a header line such as kind,name,service,...");
        }
        BOOST_LEAF_CHECK(checkReferences());
        return std::move(m_sheet);
    }

private:
    leaf::error_id fail(std::string column, std::string value, std::string expected) const
    {
        return leaf::new_error(sheet_error{m_sheet.fileName, m_line, std::move(column),
                                           std::move(value), std::move(expected)});
    }

    leaf::result<void> readLine(const std::string &line)
    {
        if (line.size() > maxSheetLineBytes) {
            return fail("", line.substr(0, 32) + "...", "a line of at most 4096 bytes");
        }
        if (line.rfind(revisionPrefix, 0) == 0) {
            return readRevision(line.substr(revisionPrefix.size()));
        }
        if (line.empty() || line.front() == '#') {
            return {};
        }
        BOOST_LEAF_AUTO(cells, splitCells(line));
        if (m_columnIndices.empty()) {
            return readHeader(cells);
        }
        return readRow(cells);
    }

    leaf::result<void> readRevision(const std::string &text)
    {
        const char *end = text.data() + text.size();
        const auto [rest, status] = std::from_chars(text.data(), end, m_sheet.baseRevision);
        if (status != std::errc{} || rest != end) {
            return fail("revision", text, "a whole number");
        }
        return {};
    }

    leaf::result<std::vector<std::string>> splitCells(const std::string &line) const
    {
        using separator = boost::escaped_list_separator<char>;
        try {
            const boost::tokenizer<separator> cells(line, separator('\\', ',', '"'));
            return std::vector<std::string>(cells.begin(), cells.end());
        } catch (const boost::escaped_list_error &) {
            return fail("", line.substr(0, 32), "cells whose escapes are \\\\, \\n or \\\"");
        }
    }

    leaf::result<void> readHeader(const std::vector<std::string> &cells)
    {
        const auto knownColumns = sheetColumns();
        for (std::size_t index = 0; index < cells.size(); ++index) {
            const auto found = std::find(knownColumns.begin(), knownColumns.end(), cells[index]);
            if (found == knownColumns.end()) {
                return fail("header", cells[index], "a known column name");
            }
            if (std::find(m_columnIndices.begin(), m_columnIndices.end(),
                          found - knownColumns.begin())
                != m_columnIndices.end()) {
                return fail("header", cells[index], "each column once");
            }
            m_columnIndices.push_back(found - knownColumns.begin());
        }
        if (cells.size() != knownColumns.size()) {
            return fail("header", std::to_string(cells.size()) + " columns",
                        std::to_string(knownColumns.size()) + " columns");
        }
        return {};
    }

    leaf::result<void> readRow(const std::vector<std::string> &cells)
    {
        if (cells.size() > m_columnIndices.size()) {
            return fail("", std::to_string(cells.size()) + " cells",
                        std::to_string(m_columnIndices.size()) + " cells");
        }
        std::vector<std::string> orderedCells(sheetColumns().size());
        for (std::size_t index = 0; index < cells.size(); ++index) {
            orderedCells[static_cast<std::size_t>(m_columnIndices[index])] = cells[index];
        }
        BOOST_LEAF_AUTO(row, rowFromCells(orderedCells));
        BOOST_LEAF_CHECK(checkDuplicates(row));
        m_sheet.rows.push_back(std::move(row));
        m_sheet.lines.push_back(m_line);
        return {};
    }

    leaf::result<table_row> rowFromCells(const std::vector<std::string> &cells) const
    {
        return leaf::try_handle_some(
            [&]() -> leaf::result<table_row> { return fromSheetCells(cells); },
            [&](const cell_error &error) -> leaf::result<table_row> {
                return fail(error.column, error.value, error.expected);
            });
    }

    leaf::result<void> checkDuplicates(const table_row &row)
    {
        const std::string name = std::string(toText(row.kind)) + " " + row.service + "/" + row.name;
        if (!m_names.insert(name).second) {
            return fail("name", row.name, "a name used once");
        }
        if (row.kind == row_kind::upstream && !m_addresses.insert(row.address).second) {
            return fail("address", toString(row.address), "an address used once");
        }
        return {};
    }

    leaf::result<void> checkReferences()
    {
        for (std::size_t index = 0; index < m_sheet.rows.size(); ++index) {
            const table_row &row = m_sheet.rows[index];
            m_line = m_sheet.lines[index];
            if (!row.zone.empty() && m_names.count("zone /" + row.zone) == 0) {
                return fail("zone", row.zone, "the name of a zone row");
            }
            if (!row.service.empty() && m_names.count("service /" + row.service) == 0) {
                return fail("service", row.service, "the name of a service row");
            }
        }
        return {};
    }

    sheet m_sheet;
    std::size_t m_line = 0;
    std::vector<std::ptrdiff_t> m_columnIndices;
    std::set<std::string> m_names;
    std::set<endpoint> m_addresses;
};

} // namespace

std::string toText(const sheet_error &error)
{
    return error.fileName + ":" + std::to_string(error.line) + ": column '" + error.column
        + "' value '" + error.value + "': expected " + error.expected;
}

leaf::result<sheet> parseSheet(const std::string &fileName, std::string_view text)
{
    return sheet_parser(fileName).parse(text);
}

std::string formatSheet(std::uint64_t revision, const std::vector<table_row> &rows)
{
    std::string text(revisionPrefix);
    text += std::to_string(revision) + "\n";
    const auto columns = sheetColumns();
    for (std::size_t index = 0; index < columns.size(); ++index) {
        text += (index == 0 ? "" : ",") + std::string(columns[index]);
    }
    text += "\n";
    for (const table_row &row : rows) {
        if (row.kind == row_kind::key || row.state == row_state::retired) {
            continue;
        }
        const std::vector<std::string> cells = toSheetCells(row);
        for (std::size_t index = 0; index < cells.size(); ++index) {
            text += (index == 0 ? "" : ",") + cells[index];
        }
        text += "\n";
    }
    return text;
}

} // namespace figstair
