#include "platform/record_format.h"

#include <algorithm>

#include <boost/leaf.hpp>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "figstair/store/base64.h"
#include "figstair/wire/entry_message.h"

using namespace figstair;
using nlohmann::json;

namespace {

std::optional<record_change> decodedItem(const std::string &key, const std::string &value)
{
    const std::string text = toBase64(value);
    return platform::decodeItem({key, 5, false, text});
}

record_change decoded(const std::string &key, const std::string &value)
{
    const auto change = decodedItem(key, value);
    REQUIRE(change.has_value());
    return *change;
}

json validUpstream()
{
    return json{{"service", "s"},
                {"address", "10.0.0.9:8080"},
                {"zone", "z"},
                {"version", "v1"},
                {"concurrency", 4},
                {"state", "ready"},
                {"warmup-left-ms", 1500},
                {"seq", 4},
                {"born", 1700000000123}};
}

bool isReadable(const json &entry)
{
    return std::holds_alternative<upstream_record>(
        decoded("servers/i-00000000000000ff", entry.dump()).content);
}

/// The findings in a file with a configuration, as "PLACE: TEXT" and one a line.
std::string problemsOf(const std::string &text)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string> {
            BOOST_LEAF_CHECK(platform::decodeConfigFile(text));
            return std::string();
        },
        [](const undecodable_config &error) {
            std::string lines;
            for (const config_finding &finding : error.findings) {
                CHECK(finding.severity == finding_severity::error);
                lines += finding.place + ": " + finding.text + "\n";
            }
            return lines;
        },
        [] { return std::string("unexpected error"); });
}

} // namespace

TEST_CASE("record_format: an entry of an upstream: all used fields are read")
{
    const record_change change = decoded("servers/i-7f3a91c2", validUpstream().dump());
    CHECK(change.kind == record_kind::upstream);
    CHECK(change.upstreamId == 0x7f3a91c2);
    CHECK(change.revision == 5);
    const auto &entry = std::get<upstream_record>(change.content);
    CHECK(entry.service == "s");
    CHECK(entry.slots == 4);
    CHECK_FALSE(entry.isDraining);
    CHECK(entry.coldFor == milliseconds(1500));
    CHECK(entry.startedAtMs == 1700000000123);
    CHECK(entry.sequence == 4);
}

TEST_CASE("record_format: an entry with a missing or invalid field: is unreadable, not an error")
{
    CHECK(isReadable(validUpstream()));
    for (const char *field : {"service", "address", "zone", "version", "concurrency", "state",
                              "warmup-left-ms", "seq"}) {
        json entry = validUpstream();
        entry.erase(field);
        CHECK_FALSE(isReadable(entry));
        entry[field] = json::array({1});
        CHECK_FALSE(isReadable(entry));
        entry[field] = nullptr;
        CHECK_FALSE(isReadable(entry));
    }
    json entry = validUpstream();
    entry["state"] = "resting";
    CHECK_FALSE(isReadable(entry));
    entry = validUpstream();
    entry["concurrency"] = 0;
    CHECK_FALSE(isReadable(entry));
    entry["concurrency"] = -3;
    CHECK_FALSE(isReadable(entry));
    entry = validUpstream();
    entry["address"] = "nowhere";
    CHECK_FALSE(isReadable(entry));
    CHECK_FALSE(std::holds_alternative<upstream_record>(
        decoded("servers/i-1", std::string("\xff\x00{", 3)).content));
}

// Guards against an entry of another writer whose content is quoted in a reason that is too large
// for a message between hosts, which then lack all changes that follow.
TEST_CASE("record_format: an unreadable entry: the reason is short plain text, whatever the entry")
{
    constexpr std::size_t maxMessagePart = 1024;
    const std::string longNumber = "{\"concurrency\":" + std::string(200'000, '9');
    const std::string deep = std::string(300'000, '[');
    const std::string control = "{\"state\":\"\n\x1b[2J\xff\xfe";
    for (const std::string &text : {longNumber + "}", longNumber + "e", deep, control}) {
        const record_change change = decoded("servers/i-1", text);
        const auto &problem = std::get<record_change::unreadable>(change.content).problem;
        CHECK_FALSE(problem.empty());
        CHECK(problem.size() <= 160);
        CHECK(std::all_of(problem.begin(), problem.end(),
                          [](char character) { return character >= ' ' && character <= '~'; }));
        const view_changes changes{1, 5, {}, {}, {change}};
        CHECK(encodeEntryMessage(peer_key{}, changes).size() <= maxMessagePart);
    }
}

TEST_CASE("record_format: an entry with names longer than any key: is unreadable")
{
    for (const char *field : {"service", "zone"}) {
        json entry = validUpstream();
        entry[field] = std::string(200, 'z');
        CHECK(isReadable(entry));
        entry[field] = std::string(201, 'z');
        CHECK_FALSE(isReadable(entry));
    }
}

TEST_CASE("record_format: an address that no packet can be sent to: the entry is unreadable")
{
    for (const char *address : {"10.0.0.9:0", "0.0.0.0:80", "224.0.0.1:80", "255.255.255.255:80",
                                "[::]:80", "[ff02::1]:80", "10.0.0.9:65536", "10.0.0.9:-1"}) {
        CAPTURE(address);
        json entry = validUpstream();
        entry["address"] = address;
        CHECK_FALSE(isReadable(entry));
    }
}

TEST_CASE("record_format: keys that figstair does not use: are ignored")
{
    CHECK_FALSE(decodedItem("servers/old/i-1", "{}").has_value());
    CHECK_FALSE(decodedItem("status/x", "1").has_value());
    CHECK_FALSE(decodedItem("servers/not hex!", "{}").has_value());
    CHECK_FALSE(decodedItem("op/other", "{}").has_value());
}

TEST_CASE("record_format: a configuration: routes with one service and with weights")
{
    const json config{
        {"version", 12},
        {"routes",
         {{{"name", "a"},
           {"host", "198.18.0.1"},
           {"prefix", "/8443/"},
           {"service", "s"},
           {"aim-ms", 250},
           {"priority", 2},
           {"timeout-ms", 4000}},
          {{"name", "b"},
           {"host", "198.18.0.1"},
           {"prefix", "/80/"},
           {"weighted-backends",
            {{{"service", "s"}, {"weight", 90}}, {{"service", "t"}, {"weight", 10}}}}}}},
        {"services",
         {{{"name", "s"}, {"max-conns", 2000}, {"warmup-s", 2.5}, {"warmup-per-s", 3.5}}}},
        {"limits", {{"idle-timeout-ms", 15000}}}};
    const record_change change = decoded("op/config", config.dump());
    const auto &content = std::get<route_config>(change.content);
    CHECK(content.version == 12);
    REQUIRE(content.routes.size() == 2);
    CHECK(content.routes[0].address == 0xC6120001);
    CHECK(content.routes[0].port == 8443);
    CHECK(content.routes[0].latencyTarget == milliseconds(250));
    CHECK(content.routes[1].services.size() == 2);
    CHECK(content.services.at(0).warmup == milliseconds(2500));
    CHECK(content.services.at(0).coldRequestsPerSecond == doctest::Approx(3.5));
    CHECK(content.idleTimeout == milliseconds(15000));
}

TEST_CASE("record_format: an invalid configuration: is unreadable")
{
    for (const char *text :
         {"", "[]", "{\"version\":1}", "{\"version\":\"x\",\"routes\":[],\"services\":[]}",
          "{\"version\":1,\"routes\":[{\"name\":\"a\",\"host\":\"x\"}],\"services\":[]}",
          "{\"version\":1e30,\"routes\":[],\"services\":[]}",
          "{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"s\",\"warmup-s\":1e300}]}",
          "{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"s\",\"warmup-per-s\":1e300}]}",
          "{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"s\",\"warmup-per-s\":-1}]}"}) {
        CAPTURE(text);
        CHECK(
            std::holds_alternative<record_change::unreadable>(decoded("op/config", text).content));
    }
}

// An author who sees only the first error of a file needs as many runs as it has errors.
TEST_CASE("record_format: a file with several errors: each is found, with its place")
{
    const std::string text = R"({"version": -1, "routes": [
        {"name": "a", "host": "198.18.0.1.2", "prefix": "/443/", "service": "s"},
        {"name": "b", "host": "198.18.0.1", "prefix": "/443/", "service": "s"},
        {"name": 3, "host": "198.18.0.1", "prefix": "/80/", "service": "s"},
        {"name": "d", "host": "198.18.0.1", "prefix": "/81/", "service": "s", "aim-ms": "soon"}
        ], "services": [{"name": "s", "warmup-per-s": -1}],
        "limits": {"idle-timeout-ms": -1}})";
    CHECK(problemsOf(text)
          == "version: version is not an unsigned integer\n"
             "routes/a: host is not an IPv4 address\n"
             "routes[2]: name is not a text\n"
             "routes/d: aim-ms is not a number\n"
             "services/s: warmup-per-s is not a number within its bounds\n"
             "limits: idle-timeout-ms is out of range\n");
    const record_change change = decoded("op/config", text);
    CHECK(std::get<record_change::unreadable>(change.content).problem
          == "version: version is not an unsigned integer");
    CHECK(problemsOf("{\"version\": 1, \"services\": null}") == "routes: is missing\n");
    CHECK(problemsOf("{\"version\": 1, \"routes\": [], \"services\": []}").empty());
    CHECK(problemsOf("{\n,}").find("at line 2, column 1") != std::string::npos);
}

TEST_CASE("record_format: an evacuation: names its zone, whatever the value")
{
    const record_change change = decoded("op/evacuate/north-1", "?");
    CHECK(change.kind == record_kind::evacuation);
    CHECK(change.name == "north-1");
    CHECK(std::holds_alternative<zone_evacuation>(change.content));
}

TEST_CASE("record_format: the mark of an evacuation: names its zone, and its key is no longer than "
          "that of the evacuation")
{
    const std::string key = platform::evacuationMarkRecordKey("north-1");
    const record_change change = decoded(key, "{}");
    CHECK(change.kind == record_kind::evacuationMark);
    CHECK(change.name == "north-1");
    CHECK(std::holds_alternative<evacuation_mark>(change.content));
    CHECK(key.size() <= platform::evacuationRecordKey("north-1").size());
}

TEST_CASE("record_format: a host announcement and the shared key: read back as written")
{
    host_record host{"h", "z", *parseEndpoint("10.0.0.1:7720"), 17};
    const record_change change = decoded(platform::hostRecordKey("h"), platform::encodeHost(host));
    const auto &result = std::get<host_record>(change.content);
    CHECK(result.name == "h");
    CHECK(result.zone == "z");
    CHECK(result.incarnation == 17);
    CHECK((result.peerAddress == host.peerAddress));
    shared_key key;
    key.key[3] = 200;
    const record_change keyChange =
        decoded(std::string(platform::peerKeyRecordKey()), platform::encodeSharedKey(key));
    CHECK(std::get<shared_key>(keyChange.content).key == key.key);
}

TEST_CASE("record_format: a removal: has no content")
{
    const auto change = platform::decodeItem({"servers/i-ff", 9, true, std::nullopt});
    REQUIRE(change.has_value());
    CHECK(std::holds_alternative<record_change::removed>(change->content));
    CHECK(change->upstreamId == 0xff);
}
