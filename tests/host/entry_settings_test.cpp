#include <doctest/doctest.h>

#include "errors.h"
#include "figstair/host/entry_process_settings.h"

using namespace figstair;

namespace {

const std::string validSettings = "[host]\nname = h1\nzone = z1\nlisten = 10.0.0.1:8172\n"
                                  "readiness_listen = 10.0.0.1:8167\ninternal_address = 10.0.0.1\n"
                                  "internal_ports = 7720,7735\ngrace_s = 6\n"
                                  "[store]\nendpoint = 10.0.0.2:8169\n"
                                  "[upstreams]\nheartbeat_ms = 1200\nflow_life_s = 60\n"
                                  "cold_overshoot = 1.5\ncold_slack = 5\n";

std::string errorText(const std::string &text)
{
    const auto error = errorOf<settings_error>([&] { return parseEntrySettings("e.ini", text); });
    return error ? toText(*error) : "no error";
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_CASE("entry settings: a valid file: all values are read")
{
    const auto settings = valueOf([] { return parseEntrySettings("e.ini", validSettings); });
    CHECK(settings.core.self.name == "h1");
    CHECK(toString(settings.core.self.peerAddress) == "10.0.0.1:7720");
    CHECK(settings.gracePeriod == milliseconds(6000));
    CHECK(settings.core.heartbeat == milliseconds(1200));
    CHECK(settings.core.coldOvershoot == doctest::Approx(1.5));
    CHECK(settings.metricsListen.port != 0);
}

TEST_CASE("entry settings: placement by work: auto by default, on, off, and nothing else")
{
    const auto modeOf = [](const std::string &text) {
        return valueOf([&] { return parseEntrySettings("e.ini", validSettings + text); })
            .core.placementByWork;
    };
    CHECK(modeOf("") == part_mode::automatic);
    CHECK(modeOf("[placement]\nby_work = auto\n") == part_mode::automatic);
    CHECK(modeOf("[placement]\nby_work = on\n") == part_mode::on);
    CHECK(modeOf("[placement]\nby_work = off\n") == part_mode::off);
    CHECK(errorText(validSettings + "[placement]\nby_work = yes\n")
          == "e.ini:17: key 'placement.by_work' value 'yes': expected auto, on or off");
}

TEST_CASE("entry settings: empty optional values and unknown keys: accepted")
{
    CHECK(errorText(replaced(validSettings, "grace_s = 6", "grace_s = ")) == "no error");
    CHECK(errorText(validSettings + "[later]\ncolour = red\n") == "no error");
}

TEST_CASE("entry settings: an invalid value: the error names file, line, key and expected value")
{
    CHECK(errorText(replaced(validSettings, "listen = 10.0.0.1:8172", "listen = here"))
          == "e.ini:4: key 'host.listen' value 'here': expected an IP address and port such as "
             "10.0.0.1:7000");
    CHECK(errorText(replaced(validSettings, "name = h1", "name = "))
          == "e.ini:2: key 'host.name' value '': expected a name of 1 to 64 characters without "
             "space, comma, = or \"");
    CHECK(errorText(replaced(validSettings, "cold_slack = 5", "cold_slack = many"))
          == "e.ini:15: key 'upstreams.cold_slack' value 'many': expected a number from 0 to "
             "1000000");
    CHECK(errorText(replaced(validSettings, "internal_ports = 7720,7735", "internal_ports = x"))
          == "e.ini:7: key 'host.internal_ports' value 'x': expected the first and the last port, "
             "separated by a comma");
}

TEST_CASE("entry settings: leave_when_isolated: auto by default, other words are refused")
{
    const auto modeOf = [](const std::string &line) {
        const std::string text = replaced(validSettings, "grace_s = 6\n", line);
        return valueOf([&] { return parseEntrySettings("e.ini", text); }).core.leaveWhenIsolated;
    };
    CHECK(modeOf("") == part_mode::automatic);
    CHECK(modeOf("leave_when_isolated = auto\n") == part_mode::automatic);
    CHECK(modeOf("leave_when_isolated = on\n") == part_mode::on);
    CHECK(modeOf("leave_when_isolated = off\n") == part_mode::off);
    CHECK(errorText(replaced(validSettings, "grace_s = 6", "leave_when_isolated = yes"))
          == "e.ini:8: key 'host.leave_when_isolated' value 'yes': expected auto, on or off");
}
