#include "command_options.h"

#include <iostream>

namespace po = boost::program_options;

namespace figstair {

command_options::command_options(const arguments &args, po::options_description options,
                                 const std::string &positional, int positionalCount)
{
    options.add_options()("help", "print this help");
    po::positional_options_description positions;
    if (!positional.empty()) {
        positions.add(positional.c_str(), positionalCount);
    }
    po::store(po::command_line_parser(args).options(options).positional(positions).run(), m_values);
    if (has("help")) {
        std::cout << options;
        m_helpWasPrinted = true;
        return;
    }
    po::notify(m_values);
}

} // namespace figstair
