#pragma once

#include <string>
#include <vector>

namespace figstair {

/// Exit codes of the program, as listed in docs/OPERATIONS.md.
enum exit_code : int {
    exitSuccess = 0,
    exitDiffers = 1, ///< table diff: there are differences; replay: an expectation failed;
                     ///< explain: nothing names the flow; status: no host wrote a line
    exitUsage = 2, ///< the command line is wrong
    exitBadInput = 3, ///< a file, a sheet or a trace is wrong
    exitConflict = 4, ///< another operator changed the same rows, or an address is reserved
    exitPlatform = 5, ///< the platform gave no usable answer
    exitUnreachable = 6 ///< a host gave no answer in time
};

using arguments = std::vector<std::string>;

// Each runs one subcommand with the words behind its name and returns an exit code.

int runHost(const arguments &args);
int runEntry(const arguments &args);
int runTable(const arguments &args);
int runStatus(const arguments &args);
int runExplain(const arguments &args);
int runReplay(const arguments &args);

} // namespace figstair
