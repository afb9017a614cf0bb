#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <boost/leaf/result.hpp>

#include "figstair/table/edit.h"
#include "figstair/table/sheet.h"
#include "figstair/table/table.h"

namespace figstair {

/// Reports rows that another operator changed since the sheet was taken.
struct edit_conflict
{
    std::uint64_t baseRevision = 0;
    std::uint64_t currentRevision = 0;
    std::vector<std::string> rowKeys;
};

/// Reports an address that may still receive packets of another service's flows.
struct address_in_quarantine
{
    std::string address;
    std::string service;
    milliseconds remaining{0};
};

/// Turns a sheet into the changes of one edit.
class change_planner
{
public:
    /// @p quarantine is how long a removed upstream's address stays reserved for its service.
    change_planner(wall_time now, milliseconds quarantine);

    /// Changes that bring @p current to what @p wanted says, given that the sheet was taken from
    /// @p base. Rows changed only by others since then are left alone. Fails with edit_conflict or
    /// address_in_quarantine. Assigned ids start above every id in use.
    boost::leaf::result<std::vector<row_change>> plan(const sheet &wanted, const table &base,
                                                      const table &current) const;

    /// A new key row, and purges of keys too old for any token to carry.
    std::vector<row_change> planKeyRotation(const table &current, std::string sealedKey) const;

private:
    boost::leaf::result<void> checkAddresses(const std::vector<row_change> &changes,
                                             const table &current) const;
    void addPurges(const table &current, std::vector<row_change> &changes) const;

    wall_time m_now;
    milliseconds m_quarantine;
};

} // namespace figstair
