#include "figstair/store/fleet_store.h"

namespace figstair {

std::string_view toText(store_error::reason code)
{
    switch (code) {
    case store_error::reason::unreachable:
        return "unreachable";
    case store_error::reason::refused:
        return "refused";
    case store_error::reason::historyGone:
        return "history_gone";
    case store_error::reason::leaseGone:
        return "lease_gone";
    case store_error::reason::conflict:
        return "conflict";
    case store_error::reason::malformed:
        return "malformed";
    }
    return "unknown";
}

} // namespace figstair
