#include <algorithm>

#include "figstair/store/base64.h"
#include "fuzz/fuzzed_host.h"
#include "platform/record_format.h"

using namespace figstair;

/// A host gets a record of the store: the first line of the input is its key, the rest its value.
// The name is that of libFuzzer. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(data, data + size);
    const std::size_t end = std::min(text.find('\n'), text.size());
    const std::string value = text.substr(std::min(end + 1, text.size()));
    const std::string encoded = toBase64(value);
    if (const auto change = platform::decodeItem({text.substr(0, end), 101, false, encoded})) {
        fuzzed_host host;
        host.core().onRecordChange(*change);
        host.work();
    }
    return 0;
}
