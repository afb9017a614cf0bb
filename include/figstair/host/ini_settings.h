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

/// Reports an invalid entry of a settings file.
struct settings_error
{
    std::string fileName;
    std::size_t line = 0; ///< counted from 1; 0 when unknown, as for a missing key
    std::string key; ///< section.key
    std::string value;
    std::string expected;
};

/// Formats the error as "file:line: key 'x' value 'y': expected z".
std::string toText(const settings_error &error);

/// One key of a settings file. @c read parses and stores a value and returns whether it is valid.
struct settings_key
{
    const char *section;
    const char *name;
    bool isRequired;
    const char *expected; ///< description of a valid value, for error messages
    std::function<bool(const std::string &value)> read;
};

/// How keys that are not in the list are handled.
enum class unknown_keys : std::uint8_t { rejected, ignored };

/// Parses the text of an INI file and passes each value to its key's @c read. Fails with
/// settings_error.
boost::leaf::result<void> readSettings(const std::string &fileName, const std::string &text,
                                       const std::vector<settings_key> &keys, unknown_keys unknown);

/// Reads a whole file. Fails with settings_error when it cannot be read.
boost::leaf::result<std::string> readTextFile(const std::string &fileName);

// Each function below parses @p text into @p target and returns whether it is valid. Bounds are
// inclusive.

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
/// Endpoints separated by commas; empty elements are skipped.
bool readEndpoints(const std::string &text, std::vector<endpoint> &target);
/// A name of 1 to 64 characters without space, comma, equals sign or double quote.
bool readName(const std::string &text, std::string &target);

} // namespace figstair
