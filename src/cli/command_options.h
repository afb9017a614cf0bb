#pragma once

#include <string>
#include <vector>

#include <boost/program_options.hpp>

#include "figstair/cli/commands.h"

namespace figstair {

/// Parses the arguments of a subcommand. @p positional names the option that positional arguments
/// set, at most @p positionalCount of them (-1 for any number). For --help it prints the options
/// and checks no required ones. Throws boost::program_options::error on an invalid command line.
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

    /// Returns all values of an option that can be repeated; empty when it is absent.
    std::vector<std::string> list(const std::string &name) const
    {
        return has(name) ? get<std::vector<std::string>>(name) : std::vector<std::string>();
    }

private:
    boost::program_options::variables_map m_values;
    bool m_helpWasPrinted = false;
};

} // namespace figstair
