#pragma once

#include <charconv>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <boost/leaf/result.hpp>

#include "figstair/core/clock_source.h"
#include "figstair/core/endpoint.h"

namespace figstair {

/// Reports a place in a settings file that cannot be accepted.
struct settings_error
{
    std::string fileName;
    std::size_t line = 0; ///< 0 when the key is missing
    std::string key; ///< section.key
    std::string value;
    std::string expected;
};

/// One line of text: file:line: key 'x' value 'y': expected z.
std::string toText(const settings_error &error);

/// One key that a settings file may have. @c read takes a value and returns whether it is valid.
struct settings_key
{
    const char *section;
    const char *name;
    bool isRequired;
    const char *expected;
    std::function<bool(const std::string &value)> read;
};

/// What a file does with keys that are not listed.
enum class unknown_keys : std::uint8_t { rejected, ignored };

/// Reads the INI file's text by its keys. Fails with settings_error.
boost::leaf::result<void> readSettings(const std::string &fileName, const std::string &text,
                                       const std::vector<settings_key> &keys, unknown_keys unknown);

/// Reads a file. Fails with settings_error when it cannot be read.
boost::leaf::result<std::string> readTextFile(const std::string &fileName);

// Each reads one value and returns whether it is valid.

template <typename number>
bool readNumber(const std::string &text, number min, number max, number &target)
{
    number value{};
    const char *end = text.data() + text.size();
    const auto [rest, status] = std::from_chars(text.data(), end, value);
    if (status != std::errc{} || rest != end || value < min || value > max) {
        return false;
    }
    target = value;
    return true;
}

bool readMs(const std::string &text, std::int64_t min, std::int64_t max, milliseconds &target);
bool readEndpoint(const std::string &text, endpoint &target);
bool readEndpoints(const std::string &text, std::vector<endpoint> &target);
bool readName(const std::string &text, std::string &target);

} // namespace figstair
