#pragma once

#include <string>
#include <vector>

namespace figstair {

/// Exit codes of the program, as listed in docs/OPERATIONS.md.
enum exit_code : int {
    exitSuccess = 0,
    exitDiffers = 1, ///< table diff: the tables differ; replay: an expectation failed; explain: no
                     ///< log line names the flow; status: no log lines of a host, or no spans;
                     ///< config check: warnings or differences, but no errors
    exitUsage = 2, ///< invalid command line
    exitBadInput = 3, ///< a settings file, sheet, configuration, trace or log is unreadable or
                      ///< invalid
    exitConflict = 4, ///< another operator changed the same rows, or an address is in quarantine
    exitPlatform = 5, ///< a request to the platform failed or its response is invalid
    exitUnreachable = 6 ///< a host did not respond, or a revision was not in force, in time
};

using arguments = std::vector<std::string>;

// Each runs one subcommand with the arguments after its name and returns an exit_code.

int runHost(const arguments &args);
int runEntry(const arguments &args);
int runTable(const arguments &args);
int runConfig(const arguments &args);
int runStatus(const arguments &args);
int runExplain(const arguments &args);
int runReplay(const arguments &args);

} // namespace figstair
