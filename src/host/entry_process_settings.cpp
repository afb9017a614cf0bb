#include "figstair/host/entry_process_settings.h"

#include <cmath>

#include <boost/leaf.hpp>

namespace leaf = boost::leaf;

namespace figstair {
namespace {

/// Metrics port when the file sets none; must match deploy/system.toml.
constexpr std::uint16_t defaultMetricsPort = 9464;

/// Parses seconds, with an optional fraction, between @p min and @p max inclusive.
bool readSeconds(const std::string &text, double min, double max, milliseconds &target)
{
    double seconds = 0;
    if (!readNumber(text, min, max, seconds)) {
        return false;
    }
    target = milliseconds(std::llround(seconds * 1000));
    return true;
}

/// Parses a port range such as "7720,7735" and returns its first port, which is used for peer
/// messages.
bool readPortRange(const std::string &text, std::uint16_t &target)
{
    return readNumber<std::uint16_t>(text.substr(0, text.find(',')), 1, 65535, target);
}

/// Parses an IP address without a port.
bool readAddress(const std::string &text, endpoint &target)
{
    return readEndpoint(text + ":0", target);
}

/// Parses the setting of a part that can be switched.
bool readPartMode(const std::string &text, part_mode &target)
{
    if (text == "auto") {
        target = part_mode::automatic;
    } else if (text == "on") {
        target = part_mode::on;
    } else if (text == "off") {
        target = part_mode::off;
    } else {
        return false;
    }
    return true;
}

std::vector<settings_key> knownKeys(entry_process_settings &s)
{
    constexpr const char *nameText = "a name of 1 to 64 characters without space, comma, = or \"";
    constexpr const char *addressText = "an IP address and port such as 10.0.0.1:7000";
    constexpr const char *modeText = "auto, on or off";
    return {
        {"host", "name", true, nameText,
         [&s](const std::string &v) { return readName(v, s.core.self.name); }},
        {"host", "zone", true, nameText,
         [&s](const std::string &v) { return readName(v, s.core.self.zone); }},
        {"host", "listen", true, addressText,
         [&s](const std::string &v) { return readEndpoint(v, s.listen); }},
        {"host", "readiness_listen", true, addressText,
         [&s](const std::string &v) { return readEndpoint(v, s.readinessListen); }},
        {"host", "internal_address", true, "an IP address such as 10.0.0.1",
         [&s](const std::string &v) {
             const bool isRead = readAddress(v, s.core.self.peerAddress);
             s.metricsListen = s.core.self.peerAddress;
             s.metricsListen.port = defaultMetricsPort;
             return isRead;
         }},
        {"host", "internal_ports", true, "the first and the last port, separated by a comma",
         [&s](const std::string &v) { return readPortRange(v, s.core.self.peerAddress.port); }},
        {"host", "seeds", false, "addresses of other hosts, separated by commas",
         [&s](const std::string &v) {
             // The platform lists seeds with the port of another service; all hosts use the same
             // port for peer messages.
             const bool isRead = readEndpoints(v, s.seeds);
             for (endpoint &seed : s.seeds) {
                 seed.port = s.core.self.peerAddress.port;
             }
             return isRead;
         }},
        {"host", "cpu_share", false, "a share of a processor core from 0.001 to 1024",
         [&s](const std::string &v) {
             double share = 0;
             const bool isRead = readNumber(v, 0.001, 1024.0, share);
             s.core.self.cpuMillicores = static_cast<unsigned>(std::lround(share * 1000));
             return isRead;
         }},
        {"host", "link_mbps", false, "megabits per second from 0.1 to 1000000",
         [&s](const std::string &v) {
             return readNumber<double>(v, 0.1, 1000000, s.core.linkMbps);
         }},
        {"host", "metrics_port", false, "a port from 0 (off) to 65535",
         [&s](const std::string &v) {
             return readNumber<std::uint16_t>(v, 0, 65535, s.metricsListen.port);
         }},
        {"host", "grace_s", false, "seconds from 0.1 to 3600",
         [&s](const std::string &v) { return readSeconds(v, 0.1, 3600, s.gracePeriod); }},
        {"host", "most_flows", false, "a whole number from 1000 to 10000000",
         [&s](const std::string &v) {
             return readNumber<std::size_t>(v, 1000, 10000000, s.core.maxFlows);
         }},
        {"host", "leave_when_isolated", false, modeText,
         [&s](const std::string &v) { return readPartMode(v, s.core.leaveWhenIsolated); }},
        {"store", "endpoint", true, addressText,
         [&s](const std::string &v) { return readEndpoint(v, s.store); }},
        {"store", "timeout_ms", false, "a whole number from 50 to 60000",
         [&s](const std::string &v) { return readMs(v, 50, 60000, s.storeTimeout); }},
        {"store", "announcement_life_ms", false, "a whole number from 1000 to 600000",
         [&s](const std::string &v) { return readMs(v, 1000, 600000, s.announcementTtl); }},
        {"upstreams", "heartbeat_ms", false, "a whole number from 10 to 600000",
         [&s](const std::string &v) { return readMs(v, 10, 600000, s.core.heartbeat); }},
        {"upstreams", "flow_life_s", false, "seconds from 1 to 86400",
         [&s](const std::string &v) { return readSeconds(v, 1, 86400, s.core.flowLife); }},
        {"upstreams", "cold_overshoot", false, "a number from 1 to 100",
         [&s](const std::string &v) {
             return readNumber<double>(v, 1, 100, s.core.coldOvershoot);
         }},
        {"upstreams", "cold_slack", false, "a number from 0 to 1000000",
         [&s](const std::string &v) {
             return readNumber<double>(v, 0, 1000000, s.core.coldSlack);
         }},
        {"upstreams", "reset_dead_flows", false, modeText,
         [&s](const std::string &v) { return readPartMode(v, s.core.resetDeadFlows); }},
        {"placement", "by_work", false, modeText,
         [&s](const std::string &v) { return readPartMode(v, s.core.placementByWork); }},
    };
}

} // namespace

leaf::result<entry_process_settings> parseEntrySettings(const std::string &fileName,
                                                        const std::string &text)
{
    entry_process_settings settings;
    BOOST_LEAF_CHECK(readSettings(fileName, text, knownKeys(settings), unknown_keys::ignored));
    return settings;
}

} // namespace figstair
