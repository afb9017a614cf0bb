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

/// Administrative state of a row.
enum class row_state : std::uint8_t {
    in, ///< in service
    draining, ///< keeps its flows, receives no new ones
    out, ///< receives no packets
    retired ///< removed from the sheet; still routed for existing flows
};

/// One row of the table that operators edit. Fields that a kind does not use keep their defaults.
struct table_row
{
    row_kind kind = row_kind::service;
    std::string name;
    std::string service; ///< upstream: the service it belongs to
    std::string zone; ///< host, upstream
    endpoint address; ///< upstream
    std::uint32_t weight = 0; ///< upstream: share of new flows
    std::uint32_t slots = 0; ///< upstream: maximum concurrent requests
    std::uint32_t connections = 0; ///< upstream: maximum concurrent flows
    std::uint32_t coldLimit = 0; ///< upstream: usable slots right after a start
    milliseconds warmup{0}; ///< upstream: time from a start until all slots are usable
    row_state state = row_state::in;
    std::uint32_t id = 0; ///< assigned when the row is accepted, never reused
    wall_time changedAt{}; ///< time of the last change, such as retirement; key: creation
    std::string secret; ///< key: sealed key, hexadecimal
};

/// Identity of a row in the table: kind and name; for an upstream: kind, service and address, so
/// that an upstream keeps its id when it is renamed and gets a new one when its address changes.
std::string rowKey(const table_row &row);

/// Error: a cell has an invalid value.
struct cell_error
{
    std::string column;
    std::string value;
    std::string expected;
};

/// Column names of a sheet, in order.
boost::span<const std::string_view> sheetColumns();

/// Cells of @p row in the order of sheetColumns().
std::vector<std::string> toSheetCells(const table_row &row);

/// Parses cells in the order of sheetColumns(); missing trailing cells count as empty. Fails with
/// cell_error.
boost::leaf::result<table_row> fromSheetCells(boost::span<const std::string> cells);

/// Cells of @p row: the sheet columns, followed by the columns that only the store holds.
std::vector<std::string> toStoredCells(const table_row &row);

/// Parses the output of toStoredCells(). Fails with cell_error.
boost::leaf::result<table_row> fromStoredCells(boost::span<const std::string> cells);

std::string_view toText(row_kind kind);
std::string_view toText(row_state state);

/// True when both rows have equal values in all sheet columns.
bool sameSheetCells(const table_row &a, const table_row &b);

} // namespace figstair
