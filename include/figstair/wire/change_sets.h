#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "figstair/core/view/store_position.h"
#include "figstair/wire/entry_message.h"

namespace figstair {

/// Splits @p changes into consecutive messages without revision gaps, each of about @p maxBytes
/// when encoded. Changes of one revision that are larger form a set of messages, see set_position.
/// Configurations are split by their routes. Equal changes are always split in the same way.
std::vector<view_changes> splitBySize(const view_changes &changes, std::size_t maxBytes);

/// Splits @p changes into one message, or a set if they are larger than @p maxBytes when encoded.
/// Unlike splitBySize(), applies to records in any order of revisions, such as those of a view.
std::vector<view_changes> splitIntoSet(const view_changes &changes, std::size_t maxBytes);

/// Joins the messages of a set, whichever hosts they come from and in whichever order. Keeps what
/// arrived, so that a repetition of the set only has to fill the gaps.
class changes_assembler
{
public:
    struct addition
    {
        bool isNew = false; ///< the message had not arrived before
        std::optional<view_changes> whole; ///< the changes of the set, if it is complete now
    };

    /// Adds @p message, which is part of a set.
    addition add(view_changes message, monotonic_time now);

    /// Discards the sets that do not lead beyond @p position.
    void discardUpTo(const store_position &position);

    /// Number of messages that are missing of the newest set; 0: there is no incomplete set.
    std::size_t missing() const;

private:
    struct incomplete_set
    {
        view_changes changes; ///< without records
        std::vector<std::optional<std::vector<record_change>>> records; ///< by index of the message
        std::size_t missing = 0;
        monotonic_time confirmedAt{}; ///< when the store last answered a sender, the earliest
        monotonic_time graceEnd{};
    };

    incomplete_set &findOrAdd(const view_changes &message, monotonic_time now);

    std::deque<incomplete_set> m_sets;
};

} // namespace figstair
