#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "figstair/core/fleet_records.h"

namespace figstair {

/// Reports a call to the store that gave no usable answer.
struct store_error
{
    enum class reason : std::uint8_t {
        unreachable, ///< no answer; the call may have been carried out, or may be later
        refused, ///< the store says that nothing was done
        historyGone, ///< the changes asked for are no longer kept
        leaseGone, ///< the lease has ended
        conflict, ///< a condition did not hold
        malformed ///< an answer that cannot be read
    };
    reason code = reason::unreachable;
    std::string problem;
};

std::string_view toText(store_error::reason code);

/// Records as of a revision, or the changes up to it.
struct store_records
{
    std::vector<record_change> records;
    std::uint64_t revision = 0;
};

template <typename value> using store_reply = std::variant<value, store_error>;
template <typename value> using store_handler = std::function<void(store_reply<value>)>;

/// The platform's store as figstair uses it. Calls do not block; each handler is called once, from
/// the loop that the store was made with.
class fleet_store
{
public:
    virtual ~fleet_store() = default;

    /// All records. The revision is that before the first of them was read.
    virtual void list(store_handler<store_records> handler) = 0;

    /// The changes after @p revision, as soon as there are any, or none once @p wait is over.
    virtual void watch(std::uint64_t revision, milliseconds wait,
                       store_handler<store_records> handler) = 0;

    /// Grants a lease of about @p ttl; the reply is its id.
    virtual void grantLease(milliseconds ttl, store_handler<std::uint64_t> handler) = 0;
    virtual void renewLease(std::uint64_t lease, store_handler<std::monostate> handler) = 0;
    virtual void endLease(std::uint64_t lease, store_handler<std::monostate> handler) = 0;

    /// Writes the announcement of @p host under @p lease.
    virtual void announce(const host_record &host, std::uint64_t lease,
                          store_handler<std::monostate> handler) = 0;

    /// Writes @p key as the hosts' shared key if there is none.
    virtual void offerKey(const shared_key &key, store_handler<std::monostate> handler) = 0;

    /// Calls made since the last question.
    virtual std::uint64_t takeCallCount() = 0;
};

} // namespace figstair
