#pragma once

#include <string>
#include <vector>

// Stand-ins for what surrounds figstair. Each runs until SIGTERM, or for a bounded time.

using standin_words = std::vector<std::string>;

int runPlatform(const standin_words &words);
int runFabric(const standin_words &words);
int runUpstreams(const standin_words &words);
int runCallers(const standin_words &words);
int runPorts(const standin_words &words);
int runJudge(const standin_words &words);
int runGet(const standin_words &words);
