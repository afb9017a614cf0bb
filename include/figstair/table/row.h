#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <boost/core/span.hpp>
#include <boost/leaf/result.hpp>

#include "figstair/core/clock_source.h"
#include "figstair/core/endpoint.h"

namespace figstair {

enum class row_kind : std::uint8_t { service, zone, host, upstream, key };

/// What operators allow a row to be used for.
enum class row_state : std::uint8_t {
    in, ///< in service
    draining, ///< keeps its flows, gets no new ones
    out, ///< gets no packets
    retired ///< removed from the sheet; still routed for flows that began before
};

/// One row of the operators' sheet. Fields that a kind does not use keep their defaults.
struct table_row
{
    row_kind kind = row_kind::service;
    std::string name;
    std::string service; ///< upstream: the service it belongs to
    std::string zone; ///< host, upstream
    endpoint address; ///< upstream
    std::uint32_t weight = 0; ///< upstream: share of new flows
    std::uint32_t slots = 0; ///< upstream: requests it serves at one time
    std::uint32_t connections = 0; ///< upstream: flows it holds at one time
    std::uint32_t coldLimit = 0; ///< upstream: slots it bears just after a start
    milliseconds warmup{0}; ///< upstream: time from a start to full slots
    row_state state = row_state::in;
    std::uint32_t id = 0; ///< assigned on acceptance, never used again
    wall_time changedAt{}; ///< key: creation; upstream: retirement
    std::string secret; ///< key: sealed key, hexadecimal
};

/// Identifies a row among all rows: kind and name; for an upstream kind, service and address, so
/// that an upstream keeps its id under another name and never keeps it at another address.
std::string rowKey(const table_row &row);

/// Reports a cell that cannot be read.
struct cell_error
{
    std::string column;
    std::string value;
    std::string expected;
};

/// Names of the columns of a sheet, in order.
boost::span<const std::string_view> sheetColumns();

/// Cells of @p row in the order of sheetColumns().
std::vector<std::string> toSheetCells(const table_row &row);

/// Reads cells in the order of sheetColumns(); missing trailing cells count as empty. Fails with
/// cell_error.
boost::leaf::result<table_row> fromSheetCells(boost::span<const std::string> cells);

/// Cells of @p row with the columns that only the platform holds behind the sheet's.
std::vector<std::string> toStoredCells(const table_row &row);

/// Reads what toStoredCells() wrote. Fails with cell_error.
boost::leaf::result<table_row> fromStoredCells(boost::span<const std::string> cells);

std::string_view toText(row_kind kind);
std::string_view toText(row_state state);

/// True when both rows hold the same values in the sheet's columns.
bool sameSheetCells(const table_row &a, const table_row &b);

} // namespace figstair
