#include "figstair/table/row.h"

#include <array>
#include <charconv>
#include <limits>
#include <optional>

#include <boost/leaf.hpp>

namespace leaf = boost::leaf;

namespace figstair {
namespace {

enum column : std::size_t {
    kindColumn,
    nameColumn,
    serviceColumn,
    zoneColumn,
    addressColumn,
    weightColumn,
    slotsColumn,
    connectionsColumn,
    coldLimitColumn,
    warmupColumn,
    stateColumn,
    sheetColumnCount,
    idColumn = sheetColumnCount,
    changedAtColumn,
    secretColumn,
    storedColumnCount
};

constexpr std::array<std::string_view, storedColumnCount> columnNames{
    "kind",        "name",       "service", "zone",  "address", "weight",     "slots",
    "connections", "cold_limit", "warm_ms", "state", "id",      "changed_at", "secret"};

constexpr std::array<std::string_view, 5> kindNames{"service", "zone", "host", "upstream", "key"};
constexpr std::array<std::string_view, 4> stateNames{"in", "draining", "out", "retired"};

constexpr std::size_t maxNameLength = 64;
constexpr std::uint32_t maxWeight = 1000;
constexpr std::uint32_t maxSlots = 100000;
constexpr std::uint32_t maxConnections = 10000000;
constexpr std::uint32_t maxWarmupMs = 3600000;

/// Parses the cells of one row; absent cells count as empty.
class cell_reader
{
public:
    explicit cell_reader(boost::span<const std::string> cells)
        : m_cells(cells)
    {
    }

    std::string text(std::size_t index) const
    {
        return index < m_cells.size() ? m_cells[index] : std::string();
    }

    leaf::error_id fail(std::size_t index, std::string expected) const
    {
        return leaf::new_error(
            cell_error{std::string(columnNames[index]), text(index), std::move(expected)});
    }

    leaf::result<std::string> name(std::size_t index) const
    {
        std::string value = text(index);
        const bool hasValidCharacters = value.find_first_not_of("abcdefghijklmnopqrstuvwxyz"
                                                                "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                                                "0123456789-_.")
            == std::string::npos;
        if (value.empty() || value.size() > maxNameLength || !hasValidCharacters) {
            return fail(index, "a name of 1 to 64 letters, digits, '-', '_' or '.'");
        }
        return value;
    }

    template <typename number>
    leaf::result<number> numberInRange(std::size_t index, number minValue, number maxValue) const
    {
        const std::string value = text(index);
        number parsed{};
        const char *end = value.data() + value.size();
        const auto [rest, status] = std::from_chars(value.data(), end, parsed);
        if (status != std::errc{} || rest != end || parsed < minValue || parsed > maxValue) {
            return fail(index,
                        "a whole number from " + std::to_string(minValue) + " to "
                            + std::to_string(maxValue));
        }
        return parsed;
    }

    template <std::size_t size>
    leaf::result<std::size_t> oneOf(std::size_t index,
                                    const std::array<std::string_view, size> &names,
                                    std::string expected) const
    {
        const std::string value = text(index);
        for (std::size_t position = 0; position < size; ++position) {
            if (names[position] == value) {
                return position;
            }
        }
        return fail(index, std::move(expected));
    }

    leaf::result<void> expectEmpty(std::size_t index) const
    {
        if (!text(index).empty()) {
            return fail(index, "an empty cell for this kind of row");
        }
        return {};
    }

private:
    boost::span<const std::string> m_cells;
};

leaf::result<void> readUpstreamCells(const cell_reader &reader, table_row &row)
{
    BOOST_LEAF_ASSIGN(row.service, reader.name(serviceColumn));
    const auto address = parseEndpoint(reader.text(addressColumn));
    if (!address || address->port == 0) {
        return reader.fail(addressColumn, "an IP address and port such as 10.0.0.7:9000");
    }
    row.address = *address;
    BOOST_LEAF_ASSIGN(row.weight, reader.numberInRange<std::uint32_t>(weightColumn, 0, maxWeight));
    BOOST_LEAF_ASSIGN(row.slots, reader.numberInRange<std::uint32_t>(slotsColumn, 1, maxSlots));
    BOOST_LEAF_ASSIGN(row.connections,
                      reader.numberInRange<std::uint32_t>(connectionsColumn, 1, maxConnections));
    BOOST_LEAF_ASSIGN(row.coldLimit,
                      reader.numberInRange<std::uint32_t>(coldLimitColumn, 1, row.slots));
    BOOST_LEAF_AUTO(warmup, reader.numberInRange<std::uint32_t>(warmupColumn, 0, maxWarmupMs));
    row.warmup = milliseconds(warmup);
    return {};
}

leaf::result<void> requireEmpty(const cell_reader &reader, std::size_t first, std::size_t last)
{
    for (std::size_t index = first; index <= last; ++index) {
        BOOST_LEAF_CHECK(reader.expectEmpty(index));
    }
    return {};
}

leaf::result<void> checkState(const cell_reader &reader, const table_row &row)
{
    const bool isAllowed = row.kind == row_kind::upstream
        ? row.state != row_state::retired
        : (row.state == row_state::in || (row.kind == row_kind::zone && row.state == row_state::out)
           || (row.kind == row_kind::host && row.state == row_state::out));
    if (!isAllowed) {
        return reader.fail(stateColumn, "a state that this kind of row can have");
    }
    return {};
}

leaf::result<table_row> readSheetCells(const cell_reader &reader)
{
    table_row row;
    BOOST_LEAF_AUTO(kind,
                    reader.oneOf(kindColumn, kindNames, "service, zone, host, upstream or key"));
    row.kind = static_cast<row_kind>(kind);
    BOOST_LEAF_ASSIGN(row.name, reader.name(nameColumn));
    if (row.kind == row_kind::host || row.kind == row_kind::upstream) {
        BOOST_LEAF_ASSIGN(row.zone, reader.name(zoneColumn));
    } else {
        BOOST_LEAF_CHECK(reader.expectEmpty(zoneColumn));
    }
    if (row.kind == row_kind::upstream) {
        BOOST_LEAF_CHECK(readUpstreamCells(reader, row));
    } else {
        BOOST_LEAF_CHECK(reader.expectEmpty(serviceColumn));
        BOOST_LEAF_CHECK(requireEmpty(reader, addressColumn, warmupColumn));
    }
    BOOST_LEAF_AUTO(state, reader.oneOf(stateColumn, stateNames, "in, draining or out"));
    row.state = static_cast<row_state>(state);
    return row;
}

std::string numberOrEmpty(const table_row &row, std::uint64_t value)
{
    return row.kind == row_kind::upstream ? std::to_string(value) : std::string();
}

} // namespace

std::string rowKey(const table_row &row)
{
    std::string key(toText(row.kind));
    key += ' ';
    if (row.kind == row_kind::upstream) {
        return key + row.service + "/" + toString(row.address);
    }
    return key + row.name;
}

boost::span<const std::string_view> sheetColumns()
{
    return {columnNames.data(), sheetColumnCount};
}

std::vector<std::string> toSheetCells(const table_row &row)
{
    const bool isUpstream = row.kind == row_kind::upstream;
    return {std::string(toText(row.kind)),
            row.name,
            row.service,
            row.zone,
            isUpstream ? toString(row.address) : std::string(),
            numberOrEmpty(row, row.weight),
            numberOrEmpty(row, row.slots),
            numberOrEmpty(row, row.connections),
            numberOrEmpty(row, row.coldLimit),
            numberOrEmpty(row, static_cast<std::uint64_t>(row.warmup.count())),
            std::string(toText(row.state))};
}

leaf::result<table_row> fromSheetCells(boost::span<const std::string> cells)
{
    const cell_reader reader(cells);
    BOOST_LEAF_AUTO(row, readSheetCells(reader));
    if (row.kind == row_kind::key) {
        return reader.fail(kindColumn, "a kind other than key; keys change by 'table rotate-key'");
    }
    BOOST_LEAF_CHECK(checkState(reader, row));
    return row;
}

std::vector<std::string> toStoredCells(const table_row &row)
{
    std::vector<std::string> cells = toSheetCells(row);
    cells.push_back(std::to_string(row.id));
    cells.push_back(std::to_string(row.changedAt.time_since_epoch().count()));
    cells.push_back(row.secret);
    return cells;
}

leaf::result<table_row> fromStoredCells(boost::span<const std::string> cells)
{
    const cell_reader reader(cells);
    BOOST_LEAF_AUTO(row, readSheetCells(reader));
    BOOST_LEAF_ASSIGN(row.id,
                      reader.numberInRange<std::uint32_t>(
                          idColumn, 0, std::numeric_limits<std::uint32_t>::max()));
    BOOST_LEAF_AUTO(changedAt,
                    reader.numberInRange<std::int64_t>(changedAtColumn, 0,
                                                       std::numeric_limits<std::int64_t>::max()));
    row.changedAt = wall_time(milliseconds(changedAt));
    row.secret = reader.text(secretColumn);
    return row;
}

std::string_view toText(row_kind kind)
{
    return kindNames[static_cast<std::size_t>(kind)];
}

std::string_view toText(row_state state)
{
    return stateNames[static_cast<std::size_t>(state)];
}

bool sameSheetCells(const table_row &a, const table_row &b)
{
    return toSheetCells(a) == toSheetCells(b);
}

} // namespace figstair
