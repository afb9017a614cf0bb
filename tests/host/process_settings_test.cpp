#include "figstair/host/process_settings.h"

#include <doctest/doctest.h>

#include "errors.h"

using namespace figstair;

namespace {

const std::string validSettings = "[host]\nname = h1\nzone = z1\nlisten = 127.0.0.1:0\n"
                                  "peer_listen = 127.0.0.1:0\nstatus_listen = 127.0.0.1:0\n"
                                  "[security]\npeer_key = 00112233445566778899aabbccddeeff\n"
                                  "[platform]\nendpoint = 127.0.0.1:2379\n";

std::string errorText(const std::string &text)
{
    const auto error = errorOf<settings_error>([&] { return parseSettings("h.ini", text); });
    return error ? toText(*error) : "no error";
}

} // namespace

TEST_CASE("settings: the deployment samples: valid")
{
    for (const std::string name : {"deploy/gruber-1.ini", "deploy/guild-1.ini"}) {
        const std::string text =
            valueOf([&] { return readTextFile(std::string(FIGSTAIR_SOURCE_DIR) + "/" + name); });
        CHECK(errorText(text) == "no error");
    }
}

TEST_CASE("settings: an invalid file: the error names file, line, key, value and expected value")
{
    CHECK(errorText(validSettings) == "no error");
    CHECK(errorText(validSettings + "colour = red\n")
          == "h.ini:11: key 'platform.colour' value 'red': expected a known key");
    CHECK(errorText(validSettings + "timeout_ms = soon\n")
          == "h.ini:11: key 'platform.timeout_ms' value 'soon': expected a whole number from 50 to "
             "60000");
    CHECK(errorText("[host]\nname = h1\n")
          == "h.ini:0: key 'host.zone' value '': expected a name of 1 to 64 characters without "
             "space, comma, = or \"");
    CHECK(errorText(validSettings + "[limits]\norder_records = 0\n")
          == "h.ini:12: key 'limits.order_records' value '0': expected a whole number from 1 to "
             "10000000");
}
