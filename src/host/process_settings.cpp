#include "figstair/host/process_settings.h"

#include <boost/leaf.hpp>

#include "figstair/core/gate/flow_token.h"

namespace leaf = boost::leaf;

namespace figstair {
namespace {

std::vector<settings_key> knownKeys(process_settings &s)
{
    constexpr const char *nameText = "a name of 1 to 64 characters without space, comma, = or \"";
    constexpr const char *addressText = "an IP address and port such as 10.0.0.1:7000";
    return {
        {"host", "name", true, nameText,
         [&s](const std::string &v) { return readName(v, s.host.self.name); }},
        {"host", "zone", true, nameText,
         [&s](const std::string &v) { return readName(v, s.host.self.zone); }},
        {"host", "listen", true, addressText,
         [&s](const std::string &v) { return readEndpoint(v, s.listen); }},
        {"host", "peer_listen", true, addressText,
         [&s](const std::string &v) { return readEndpoint(v, s.peerListen); }},
        {"host", "status_listen", true, addressText,
         [&s](const std::string &v) { return readEndpoint(v, s.statusListen); }},
        {"host", "seeds", false, "addresses of other hosts, separated by commas",
         [&s](const std::string &v) { return readEndpoints(v, s.host.seeds); }},
        {"security", "peer_key", true, "32 hexadecimal digits",
         [&s](const std::string &v) {
             const auto key = parsePeerKey(v);
             s.host.peerSecret = key.value_or(peer_key{});
             return key.has_value();
         }},
        {"platform", "endpoint", true, addressText,
         [&s](const std::string &v) { return readEndpoint(v, s.platform); }},
        {"platform", "timeout_ms", false, "a whole number from 50 to 60000",
         [&s](const std::string &v) { return readMs(v, 50, 60000, s.platformTimeout); }},
        {"platform", "poll_ms", false, "a whole number from 50 to 60000",
         [&s](const std::string &v) { return readMs(v, 50, 60000, s.platformPollInterval); }},
        {"membership", "probe_ms", false, "a whole number from 50 to 60000",
         [&s](const std::string &v) {
             return readMs(v, 50, 60000, s.host.membership.probeInterval);
         }},
        {"membership", "ack_timeout_ms", false, "a whole number from 10 to 10000",
         [&s](const std::string &v) { return readMs(v, 10, 10000, s.host.membership.ackTimeout); }},
        {"membership", "suspicion_ms", false, "a whole number from 100 to 60000",
         [&s](const std::string &v) {
             const bool isRead = readMs(v, 100, 60000, s.host.membership.suspicionTime);
             s.host.freezeThreshold = s.host.membership.suspicionTime;
             return isRead;
         }},
        {"limits", "order_records", false, "a whole number from 1 to 10000000",
         [&s](const std::string &v) {
             return readNumber<std::size_t>(v, 1, 10000000, s.host.maxOrderRecords);
         }},
        {"limits", "order_answer_bytes", false, "a whole number from 1024 to 1073741824",
         [&s](const std::string &v) {
             return readNumber<std::size_t>(v, 1024, 1073741824, s.host.maxOrderAnswerBytes);
         }},
        {"limits", "order_window_ms", false, "a whole number from 1000 to 3600000",
         [&s](const std::string &v) { return readMs(v, 1000, 3600000, s.host.orderWindow); }},
        {"limits", "longest_staleness_ms", false, "a whole number from 60000 to 604800000",
         [&s](const std::string &v) { return readMs(v, 60000, 604800000, s.host.maxTableAge); }},
        {"limits", "token_life_ms", false, "a whole number from 60000 to 604800000",
         [&s](const std::string &v) { return readMs(v, 60000, 604800000, s.host.tokenLifetime); }},
    };
}

} // namespace

leaf::result<process_settings> parseSettings(const std::string &fileName, const std::string &text)
{
    process_settings settings;
    BOOST_LEAF_CHECK(readSettings(fileName, text, knownKeys(settings), unknown_keys::rejected));
    return settings;
}

} // namespace figstair
