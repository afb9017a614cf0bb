#pragma once

#include <map>
#include <stdexcept>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include "figstair/core/endpoint.h"
#include "standins.h"

namespace standins {

/// Parses "--name value" words; throws boost::program_options::error if one is unknown or missing.
inline boost::program_options::variables_map
readOptions(const standin_words &words, const boost::program_options::options_description &options)
{
    namespace po = boost::program_options;
    po::variables_map values;
    po::store(po::command_line_parser(words).options(options).run(), values);
    po::notify(values);
    return values;
}

/// Parses ADDRESS:PORT; throws std::runtime_error if @p text is not one.
inline figstair::endpoint requireEndpoint(const std::string &text)
{
    const auto where = figstair::parseEndpoint(text);
    if (!where) {
        throw std::runtime_error("expected ADDRESS:PORT, got: " + text);
    }
    return *where;
}

/// Splits "/path?a=1&b=2" into its parameters; the path has the empty key.
inline std::map<std::string, std::string> parseTarget(const std::string &target)
{
    std::map<std::string, std::string> parameters;
    const std::size_t mark = target.find('?');
    parameters[""] = target.substr(0, mark);
    std::size_t position = mark == std::string::npos ? target.size() : mark + 1;
    while (position < target.size()) {
        const std::size_t end = std::min(target.find('&', position), target.size());
        const std::string item = target.substr(position, end - position);
        const std::size_t equals = item.find('=');
        parameters[item.substr(0, equals)] =
            equals == std::string::npos ? "" : item.substr(equals + 1);
        position = end + 1;
    }
    return parameters;
}

} // namespace standins
