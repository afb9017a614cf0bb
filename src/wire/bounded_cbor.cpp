#include "figstair/wire/bounded_cbor.h"

#include <optional>
#include <vector>

#include <cbor.h>
#include <nlohmann/json.hpp>

using nlohmann::json;

namespace figstair {
namespace {

/// Exception id of json::other_error, used for values of the wrong form.
constexpr int jsonErrorId = 501;

/// What libcbor's decoder reports about one data item.
struct item_head
{
    std::optional<std::size_t> itemsInside; ///< of an array or map: keys and values
    bool isAllowed = true;
};

cbor_callbacks headCallbacks()
{
    cbor_callbacks callbacks = cbor_empty_callbacks;
    callbacks.array_start = [](void *head, std::size_t count) {
        static_cast<item_head *>(head)->itemsInside = count;
    };
    callbacks.map_start = [](void *head, std::size_t count) {
        // As many entries as this do not fit into a message; it only must not overflow.
        const bool isCountable = count <= SIZE_MAX / 2;
        static_cast<item_head *>(head)->itemsInside = isCountable ? count * 2 : SIZE_MAX;
    };
    const cbor_simple_callback refuse = [](void *head) {
        static_cast<item_head *>(head)->isAllowed = false;
    };
    callbacks.byte_string_start = refuse;
    callbacks.string_start = refuse;
    callbacks.indef_array_start = refuse;
    callbacks.indef_map_start = refuse;
    callbacks.indef_break = refuse;
    callbacks.tag = [](void *head, std::uint64_t) {
        static_cast<item_head *>(head)->isAllowed = false;
    };
    return callbacks;
}

/// Whether @p bytes begin with a value without tags and without items of indefinite length, in at
/// most maxCborDepth levels. Does not recurse.
bool isBounded(byte_view bytes)
{
    static const cbor_callbacks callbacks = headCallbacks();
    std::vector<std::size_t> itemsLeft; // of each open array or map
    do {
        item_head head;
        const cbor_decoder_result result =
            cbor_stream_decode(bytes.data(), bytes.size(), &callbacks, &head);
        if (result.status != CBOR_DECODER_FINISHED || !head.isAllowed) {
            return false;
        }
        bytes = bytes.subspan(result.read);
        if (!itemsLeft.empty()) {
            --itemsLeft.back();
        }
        if (head.itemsInside) {
            itemsLeft.push_back(*head.itemsInside);
        }
        if (itemsLeft.size() > maxCborDepth) {
            return false;
        }
        while (!itemsLeft.empty() && itemsLeft.back() == 0) {
            itemsLeft.pop_back();
        }
    } while (!itemsLeft.empty());
    return true;
}

} // namespace

json parseCbor(byte_view bytes)
{
    if (!isBounded(bytes)) {
        throw json::other_error::create(
            jsonErrorId, "value is truncated, nested too deeply, tagged or of indefinite length",
            nullptr);
    }
    return json::from_cbor(bytes.begin(), bytes.end());
}

} // namespace figstair
