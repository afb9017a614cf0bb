#pragma once

#include <string>
#include <vector>

#include <boost/program_options.hpp>

#include "figstair/cli/commands.h"

namespace figstair {

/// Reads @p args by @p options with one positional word. Prints the options for --help.
/// Throws boost::program_options::error on a wrong command line.
class command_options
{
public:
    command_options(const arguments &args, boost::program_options::options_description options,
                    const std::string &positional = {}, int positionalCount = 1);

    bool helpWasPrinted() const { return m_helpWasPrinted; }
    bool has(const std::string &name) const { return m_values.count(name) != 0; }

    template <typename value> value get(const std::string &name) const
    {
        return m_values[name].as<value>();
    }

    /// The values of an option that may be given several times; none when it was not given.
    std::vector<std::string> list(const std::string &name) const
    {
        return has(name) ? get<std::vector<std::string>>(name) : std::vector<std::string>();
    }

private:
    boost::program_options::variables_map m_values;
    bool m_helpWasPrinted = false;
};

} // namespace figstair
