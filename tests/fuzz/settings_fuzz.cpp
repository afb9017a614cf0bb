#include <boost/leaf.hpp>

#include "figstair/host/entry_process_settings.h"

using namespace figstair;
namespace leaf = boost::leaf;

/// The input is a settings file.
// The name is that of libFuzzer. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_CHECK(parseEntrySettings("settings.ini", std::string(data, data + size)));
            return {};
        },
        [](const settings_error &error) { (void)toText(error); }, [] {});
    return 0;
}
