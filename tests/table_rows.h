#pragma once

#include <string>
#include <vector>

#include "figstair/table/sheet.h"
#include "figstair/table/table.h"

// Builders of table rows and sheets for tests.
inline figstair::table_row namedRow(figstair::row_kind kind, const std::string &name,
                                    std::uint32_t id = 0)
{
    figstair::table_row row;
    row.kind = kind;
    row.name = name;
    row.id = id;
    return row;
}

inline figstair::table_row upstreamRow(const std::string &name, const std::string &service,
                                       const std::string &zone, const std::string &address,
                                       std::uint32_t id = 0)
{
    figstair::table_row row = namedRow(figstair::row_kind::upstream, name, id);
    row.service = service;
    row.zone = zone;
    row.address = *figstair::parseEndpoint(address);
    row.weight = 1;
    row.slots = 4;
    row.connections = 100;
    row.coldLimit = 1;
    row.warmup = figstair::milliseconds(1000);
    return row;
}

inline figstair::sheet sheetOf(std::vector<figstair::table_row> rows)
{
    figstair::sheet result;
    result.rows = std::move(rows);
    return result;
}
