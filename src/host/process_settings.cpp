#include "figstair/host/process_settings.h"

#include <charconv>
#include <fstream>
#include <functional>
#include <limits>
#include <sstream>

#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/leaf.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include "figstair/core/flow_token.h"

namespace leaf = boost::leaf;
namespace pt = boost::property_tree;

namespace figstair {
namespace {

using value_reader = std::function<bool(const std::string &value, process_settings &settings)>;

/// One key that a settings file may have.
struct known_key
{
    const char *section;
    const char *name;
    bool isRequired;
    const char *expected;
    value_reader read;
};

template <typename number>
bool readNumber(const std::string &text, number least, number most, number &target)
{
    number value{};
    const char *end = text.data() + text.size();
    const auto [rest, status] = std::from_chars(text.data(), end, value);
    if (status != std::errc{} || rest != end || value < least || value > most) {
        return false;
    }
    target = value;
    return true;
}

bool readEndpoint(const std::string &text, endpoint &target)
{
    const auto parsed = parseEndpoint(text);
    if (!parsed) {
        return false;
    }
    target = *parsed;
    return true;
}

bool readSeeds(const std::string &text, std::vector<endpoint> &seeds)
{
    std::vector<std::string> parts;
    boost::algorithm::split(parts, text, [](char character) { return character == ','; });
    for (std::string &part : parts) {
        boost::algorithm::trim(part);
        endpoint seed;
        if (part.empty()) {
            continue;
        }
        if (!readEndpoint(part, seed)) {
            return false;
        }
        seeds.push_back(seed);
    }
    return true;
}

bool readMs(const std::string &text, std::int64_t least, std::int64_t most, milliseconds &target)
{
    std::int64_t count = 0;
    if (!readNumber<std::int64_t>(text, least, most, count)) {
        return false;
    }
    target = milliseconds(count);
    return true;
}

bool readName(const std::string &text, std::string &target)
{
    target = text;
    return !text.empty() && text.size() <= 64 && text.find_first_of(" ,=\"") == std::string::npos;
}

const std::vector<known_key> &knownKeys()
{
    constexpr const char *nameText = "a name of 1 to 64 characters without space, comma, = or \"";
    constexpr const char *addressText = "an IP address and port such as 10.0.0.1:7000";
    static const std::vector<known_key> keys{
        {"host", "name", true, nameText,
         [](const std::string &v, process_settings &s) { return readName(v, s.host.self.name); }},
        {"host", "zone", true, nameText,
         [](const std::string &v, process_settings &s) { return readName(v, s.host.self.zone); }},
        {"host", "listen", true, addressText,
         [](const std::string &v, process_settings &s) { return readEndpoint(v, s.listen); }},
        {"host", "peer_listen", true, addressText,
         [](const std::string &v, process_settings &s) { return readEndpoint(v, s.peerListen); }},
        {"host", "status_listen", true, addressText,
         [](const std::string &v, process_settings &s) { return readEndpoint(v, s.statusListen); }},
        {"host", "seeds", false, "addresses of other hosts, separated by commas",
         [](const std::string &v, process_settings &s) { return readSeeds(v, s.host.seeds); }},
        {"security", "peer_key", true, "32 hexadecimal digits",
         [](const std::string &v, process_settings &s) {
             const auto key = parsePeerKey(v);
             s.host.peerSecret = key.value_or(peer_key{});
             return key.has_value();
         }},
        {"platform", "endpoint", true, addressText,
         [](const std::string &v, process_settings &s) { return readEndpoint(v, s.platform); }},
        {"platform", "timeout_ms", false, "a whole number from 50 to 60000",
         [](const std::string &v, process_settings &s) {
             return readMs(v, 50, 60000, s.platformTimeout);
         }},
        {"platform", "poll_ms", false, "a whole number from 50 to 60000",
         [](const std::string &v, process_settings &s) {
             return readMs(v, 50, 60000, s.platformPollInterval);
         }},
        {"membership", "probe_ms", false, "a whole number from 50 to 60000",
         [](const std::string &v, process_settings &s) {
             return readMs(v, 50, 60000, s.host.membership.probeInterval);
         }},
        {"membership", "ack_timeout_ms", false, "a whole number from 10 to 10000",
         [](const std::string &v, process_settings &s) {
             return readMs(v, 10, 10000, s.host.membership.ackTimeout);
         }},
        {"membership", "suspicion_ms", false, "a whole number from 100 to 60000",
         [](const std::string &v, process_settings &s) {
             const bool isRead = readMs(v, 100, 60000, s.host.membership.suspicionTime);
             s.host.freezeTime = s.host.membership.suspicionTime;
             return isRead;
         }},
        {"limits", "order_records", false, "a whole number from 1 to 10000000",
         [](const std::string &v, process_settings &s) {
             return readNumber<std::size_t>(v, 1, 10000000, s.host.maxOrderRecords);
         }},
        {"limits", "order_answer_bytes", false, "a whole number from 1024 to 1073741824",
         [](const std::string &v, process_settings &s) {
             return readNumber<std::size_t>(v, 1024, 1073741824, s.host.maxOrderAnswerBytes);
         }},
        {"limits", "order_window_ms", false, "a whole number from 1000 to 3600000",
         [](const std::string &v, process_settings &s) {
             return readMs(v, 1000, 3600000, s.host.orderWindow);
         }},
        {"limits", "longest_staleness_ms", false, "a whole number from 60000 to 604800000",
         [](const std::string &v, process_settings &s) {
             return readMs(v, 60000, 604800000, s.host.longestStaleness);
         }},
        {"limits", "token_life_ms", false, "a whole number from 60000 to 604800000",
         [](const std::string &v, process_settings &s) {
             return readMs(v, 60000, 604800000, s.host.tokenLife);
         }},
    };
    return keys;
}

/// Finds lines of a settings file for error messages.
class line_finder
{
public:
    explicit line_finder(const std::string &text)
        : m_text(text)
    {
    }

    /// Line of @p name in @p section, or of the section when @p name is empty; 0 when absent.
    std::size_t find(const std::string &section, const std::string &name) const
    {
        std::istringstream stream(m_text);
        std::string line;
        std::string current;
        for (std::size_t number = 1; std::getline(stream, line); ++number) {
            boost::algorithm::trim(line);
            if (!line.empty() && line.front() == '[') {
                current = line.substr(1, line.find(']') - 1);
                if (current == section && name.empty()) {
                    return number;
                }
                continue;
            }
            std::string key = line.substr(0, line.find('='));
            boost::algorithm::trim(key);
            if (current == section && key == name) {
                return number;
            }
        }
        return 0;
    }

private:
    const std::string &m_text;
};

leaf::result<pt::ptree> readIni(const std::string &fileName, const std::string &text)
{
    pt::ptree tree;
    std::istringstream stream(text);
    try {
        pt::read_ini(stream, tree);
    } catch (const pt::ini_parser_error &error) {
        return leaf::new_error(
            settings_error{fileName, error.line(), "", "", "an INI file: " + error.message()});
    }
    return tree;
}

settings_error unknownKey(const std::string &fileName, std::size_t line, const std::string &section,
                          std::string name, const std::string &value)
{
    name.insert(0, section + ".");
    return settings_error{fileName, line, std::move(name), value, "a known key"};
}

bool isKnown(const std::string &section, const std::string &name)
{
    for (const known_key &key : knownKeys()) {
        if (section == key.section && name == key.name) {
            return true;
        }
    }
    return false;
}

} // namespace

std::string toText(const settings_error &error)
{
    return error.fileName + ":" + std::to_string(error.line) + ": key '" + error.key + "' value '"
        + error.value + "': expected " + error.expected;
}

leaf::result<process_settings> parseSettings(const std::string &fileName, const std::string &text)
{
    BOOST_LEAF_AUTO(tree, readIni(fileName, text));
    const line_finder lines(text);
    for (const auto &[section, entries] : tree) {
        if (entries.empty()) {
            return leaf::new_error(settings_error{fileName, lines.find("", section), section,
                                                  entries.data(), "a key inside a section"});
        }
        for (const auto &[name, value] : entries) {
            if (!isKnown(section, name)) {
                return leaf::new_error(
                    unknownKey(fileName, lines.find(section, name), section, name, value.data()));
            }
        }
    }
    process_settings settings;
    for (const known_key &key : knownKeys()) {
        const std::string path = std::string(key.section) + "." + key.name;
        const auto value = tree.get_optional<std::string>(path);
        if (!value && key.isRequired) {
            return leaf::new_error(settings_error{fileName, 0, path, "", key.expected});
        }
        if (value && !key.read(*value, settings)) {
            return leaf::new_error(settings_error{fileName, lines.find(key.section, key.name), path,
                                                  *value, key.expected});
        }
    }
    return settings;
}

leaf::result<std::string> readTextFile(const std::string &fileName)
{
    std::ifstream file(fileName, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) {
        return leaf::new_error(settings_error{fileName, 0, "", "", "a file that can be read"});
    }
    return text.str();
}

} // namespace figstair
