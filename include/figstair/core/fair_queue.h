#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <unordered_map>

namespace figstair {

/// A bounded queue that serves callers round-robin, however many items each has queued.
class fair_queue
{
public:
    explicit fair_queue(std::size_t capacity);

    /// Adds @p item for @p caller. When the queue is full, returns the item that was dropped for
    /// it: the newest item of the caller with the most items, or @p item itself when no other
    /// caller has more items than @p caller would have.
    std::optional<std::uint64_t> push(std::uint64_t caller, std::uint64_t item);

    /// The item that pop() would return, without removing it.
    std::optional<std::uint64_t> front() const;

    /// Removes and returns the oldest item of the next caller; nothing when the queue is empty.
    std::optional<std::uint64_t> pop();

    /// Removes one item; returns false when it is not queued.
    bool remove(std::uint64_t caller, std::uint64_t item);

    /// Number of items that would be served before an item that @p caller added now.
    std::size_t aheadOf(std::uint64_t caller) const;

    std::size_t size() const { return m_size; }
    std::size_t capacity() const { return m_capacity; }

private:
    struct caller_items
    {
        std::deque<std::uint64_t> items;
        std::list<std::uint64_t>::iterator rotationPosition;
    };

    void removeIfEmpty(std::uint64_t caller);

    std::size_t m_capacity;
    std::size_t m_size = 0;
    std::unordered_map<std::uint64_t, caller_items> m_callers;
    std::list<std::uint64_t> m_callerRotation;
};

} // namespace figstair
