#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <boost/leaf/result.hpp>

#include "figstair/table/edit.h"
#include "figstair/table/sheet.h"
#include "figstair/table/table.h"

namespace figstair {

/// Error: another operator has changed rows of the sheet since it was exported.
struct edit_conflict
{
    std::uint64_t baseRevision = 0;
    std::uint64_t currentRevision = 0;
    std::vector<std::string> rowKeys;
};

/// Error: the address may still receive packets for flows of another service.
struct address_in_quarantine
{
    std::string address;
    std::string service;
    milliseconds remaining{0};
};

/// Computes the row changes of one edit from a sheet.
class change_planner
{
public:
    /// @p quarantine: time for which the address of a removed upstream stays reserved.
    change_planner(wall_time now, milliseconds quarantine);

    /// Returns the changes that turn @p current into @p wanted, a sheet exported from @p base. Rows
    /// that only others have changed since @p base keep their current values. New rows get ids
    /// above all ids in use. Fails with edit_conflict or address_in_quarantine.
    boost::leaf::result<std::vector<row_change>> plan(const sheet &wanted, const table &base,
                                                      const table &current) const;

    /// Returns a new key row, and purges of expired rows. Keys expire once no valid token can use
    /// them.
    std::vector<row_change> planKeyRotation(const table &current, std::string sealedKey) const;

private:
    boost::leaf::result<void> checkAddresses(const std::vector<row_change> &changes,
                                             const table &current) const;
    void addPurges(const table &current, std::vector<row_change> &changes) const;

    wall_time m_now;
    milliseconds m_quarantine;
};

} // namespace figstair
