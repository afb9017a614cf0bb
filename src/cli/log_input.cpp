#include "log_input.h"

#include <fstream>
#include <iostream>

namespace figstair {

bool readLogs(const std::vector<std::string> &names, log_contents &contents)
{
    for (const std::string &name : names) {
        std::ifstream file(name);
        if (!file) {
            std::cerr << name << ": cannot be read\n";
            return false;
        }
        readLog(name, file, contents);
    }
    if (names.empty()) {
        readLog("standard input", std::cin, contents);
    }
    for (const bad_line &line : contents.badLines) {
        std::cerr << line.fileName << ":" << line.number << ": skipped: " << line.problem << "\n";
    }
    return true;
}

} // namespace figstair
