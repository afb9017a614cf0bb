#include <iostream>

#include "command_options.h"
#include "figstair/cli/commands.h"

namespace figstair {

int runReplay(const arguments &words)
{
    (void)words;
    std::cerr << "replay: not built yet\n";
    return exitUsage;
}

} // namespace figstair
