#include "fuzz/fuzzed_host.h"
#include "platform/packet_format.h"

using namespace figstair;

/// A host gets the packets that follow each other in the input, each after a byte with its size and
/// one with the milliseconds since the last one.
// The name is that of libFuzzer. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    fuzzed_host host;
    byte_view rest(data, size);
    while (rest.size() > 2) {
        const std::size_t packetSize = std::min<std::size_t>(rest[0], rest.size() - 2);
        host.advance(milliseconds(rest[1]));
        const byte_view bytes = rest.subspan(2, packetSize);
        if (const auto packet = platform::decodePacket(bytes)) {
            host.core().onPacket(*packet, bytes);
        }
        rest = rest.subspan(2 + packetSize);
    }
    host.work();
    return 0;
}
