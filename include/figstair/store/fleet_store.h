#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "figstair/core/view/fleet_records.h"
#include "figstair/store/http_connection.h"

namespace figstair {

/// Reports a failed call to the store.
struct store_error
{
    enum class reason : std::uint8_t {
        unreachable, ///< no response; the call may have taken effect or still may
        refused, ///< the store rejected the call; nothing was changed
        historyGone, ///< the store no longer has the requested changes
        leaseGone, ///< the lease has expired
        conflict, ///< a condition of the call did not hold
        malformed ///< the response cannot be parsed
    };
    reason code = reason::unreachable;
    std::string problem;
    http_progress progress = {}; ///< of the call, if it got no complete response
};

std::string_view toText(store_error::reason code);

/// All records as of a revision, or the changes up to it.
struct store_records
{
    std::vector<record_change> records;
    std::uint64_t revision = 0;
    std::uint64_t epoch = 0; ///< of the store that the revisions count in; see store_position
};

template <typename value> using store_reply = std::variant<value, store_error>;
template <typename value> using store_handler = std::function<void(store_reply<value>)>;

/// Asynchronous interface to the platform's store. Calls do not block; each handler is called once,
/// from the event loop that the store was created with.
class fleet_store
{
public:
    virtual ~fleet_store() = default;

    /// Reads all records of one epoch. The reply's revision is the one from before the first record
    /// was read.
    virtual void list(store_handler<store_records> handler) = 0;

    /// Long poll for the changes after @p revision: replies as soon as there are any, or with none
    /// after @p wait.
    virtual void watch(std::uint64_t revision, milliseconds wait,
                       store_handler<store_records> handler) = 0;

    /// Requests a lease of about @p ttl; the reply is its id.
    virtual void grantLease(milliseconds ttl, store_handler<std::uint64_t> handler) = 0;
    /// Extends @p lease by its TTL; fails with leaseGone when it has expired.
    virtual void renewLease(std::uint64_t lease, store_handler<std::monostate> handler) = 0;
    /// Ends @p lease, which removes the records written under it.
    virtual void endLease(std::uint64_t lease, store_handler<std::monostate> handler) = 0;

    /// Writes the record of @p host under @p lease; the store removes it when the lease ends.
    virtual void announce(const host_record &host, std::uint64_t lease,
                          store_handler<std::monostate> handler) = 0;

    /// Writes @p key as the hosts' shared key; fails with a conflict when there is one.
    virtual void offerKey(const shared_key &key, store_handler<std::monostate> handler) = 0;

    /// Writes the evacuation_mark of @p zone.
    virtual void markEvacuated(const std::string &zone, store_handler<std::monostate> handler) = 0;
    /// Removes the evacuation_mark of @p zone; fails with a conflict if the zone is evacuated.
    virtual void removeEvacuationMark(const std::string &zone,
                                      store_handler<std::monostate> handler) = 0;

    /// The newest epoch that any answer stated, errors included; 0: none did.
    virtual std::uint64_t epoch() const = 0;

    /// Returns the number of calls made since the last invocation.
    virtual std::uint64_t takeCallCount() = 0;
};

} // namespace figstair
