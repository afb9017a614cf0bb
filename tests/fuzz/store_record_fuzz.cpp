#include <algorithm>

#include <nlohmann/json.hpp>

#include "figstair/store/base64.h"
#include "fuzz/fuzzed_host.h"
#include "platform/record_format.h"

using namespace figstair;
using nlohmann::json;

/// A host gets a record of the store: the first line of the input is its key, the rest its value.
// The name is that of libFuzzer. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(data, data + size);
    const std::size_t end = std::min(text.find('\n'), text.size());
    const std::string value = text.substr(std::min(end + 1, text.size()));
    try {
        const json item{
            {"key", text.substr(0, end)}, {"value", toBase64(value)}, {"revision", 101}};
        if (const auto change = platform::decodeItem(item)) {
            fuzzed_host host;
            host.core().onRecordChange(*change);
            host.work();
        }
    } catch (const json::exception &) {
        // platform_store reports these as a malformed answer.
    }
    return 0;
}
