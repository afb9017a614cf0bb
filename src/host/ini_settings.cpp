#include "figstair/host/ini_settings.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/leaf.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

namespace leaf = boost::leaf;
namespace pt = boost::property_tree;

namespace figstair {
namespace {

constexpr std::size_t maxNameLength = 64;

/// Finds line numbers in a settings file for error messages.
class line_finder
{
public:
    explicit line_finder(const std::string &text)
        : m_text(text)
    {
    }

    /// Returns the line number of key @p name in @p section, or of the section header when @p name
    /// is empty; 0 when absent.
    std::size_t find(const std::string &section, const std::string &name) const
    {
        std::istringstream stream(m_text);
        std::string line;
        std::string currentSection;
        for (std::size_t number = 1; std::getline(stream, line); ++number) {
            boost::algorithm::trim(line);
            if (!line.empty() && line.front() == '[') {
                currentSection = line.substr(1, line.find(']') - 1);
                if (currentSection == section && name.empty()) {
                    return number;
                }
                continue;
            }
            std::string key = line.substr(0, line.find('='));
            boost::algorithm::trim(key);
            if (currentSection == section && key == name) {
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

settings_error unknownKeyError(const std::string &fileName, std::size_t line,
                               const std::string &section, std::string name,
                               const std::string &value)
{
    name.insert(0, section + ".");
    return settings_error{fileName, line, std::move(name), value, "a known key"};
}

bool isKnown(const std::vector<settings_key> &keys, const std::string &section,
             const std::string &name)
{
    return std::any_of(keys.begin(), keys.end(), [&](const settings_key &key) {
        return section == key.section && name == key.name;
    });
}

} // namespace

bool readEndpoint(const std::string &text, endpoint &target)
{
    const auto parsed = parseEndpoint(text);
    if (!parsed) {
        return false;
    }
    target = *parsed;
    return true;
}

bool readMs(const std::string &text, std::int64_t min, std::int64_t max, milliseconds &target)
{
    std::int64_t count = 0;
    if (!readNumber<std::int64_t>(text, min, max, count)) {
        return false;
    }
    target = milliseconds(count);
    return true;
}

bool readEndpoints(const std::string &text, std::vector<endpoint> &target)
{
    std::vector<std::string> parts;
    boost::algorithm::split(parts, text, [](char character) { return character == ','; });
    for (std::string &part : parts) {
        boost::algorithm::trim(part);
        endpoint parsed;
        if (part.empty()) {
            continue;
        }
        if (!readEndpoint(part, parsed)) {
            return false;
        }
        target.push_back(parsed);
    }
    return true;
}

bool readName(const std::string &text, std::string &target)
{
    target = text;
    return !text.empty() && text.size() <= maxNameLength
        && text.find_first_of(" ,=\"") == std::string::npos;
}

std::string toText(const settings_error &error)
{
    return error.fileName + ":" + std::to_string(error.line) + ": key '" + error.key + "' value '"
        + error.value + "': expected " + error.expected;
}

leaf::result<void> readSettings(const std::string &fileName, const std::string &text,
                                const std::vector<settings_key> &keys, unknown_keys unknown)
{
    BOOST_LEAF_AUTO(tree, readIni(fileName, text));
    const line_finder lines(text);
    for (const auto &[section, entries] : tree) {
        if (unknown == unknown_keys::ignored) {
            break;
        }
        if (entries.empty()) {
            return leaf::new_error(settings_error{fileName, lines.find("", section), section,
                                                  entries.data(), "a key inside a section"});
        }
        for (const auto &[name, value] : entries) {
            if (!isKnown(keys, section, name)) {
                return leaf::new_error(unknownKeyError(fileName, lines.find(section, name), section,
                                                       name, value.data()));
            }
        }
    }
    for (const settings_key &key : keys) {
        const std::string path = std::string(key.section) + "." + key.name;
        const auto value = tree.get_optional<std::string>(path);
        if ((!value || value->empty()) && key.isRequired) {
            return leaf::new_error(settings_error{fileName, lines.find(key.section, key.name), path,
                                                  "", key.expected});
        }
        if (value && (key.isRequired || !value->empty()) && !key.read(*value)) {
            return leaf::new_error(settings_error{fileName, lines.find(key.section, key.name), path,
                                                  *value, key.expected});
        }
    }
    return {};
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
