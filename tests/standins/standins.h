#pragma once

#include <string>
#include <vector>

// Commands of figstair-standin, which simulate the systems around figstair. Each takes its command
// line words and returns the exit code. Servers run until SIGTERM or SIGINT.

using standin_words = std::vector<std::string>;

int runPlatform(const standin_words &words);
int runFabric(const standin_words &words);
int runUpstreams(const standin_words &words);
int runCallers(const standin_words &words);
int runPorts(const standin_words &words);
int runJudge(const standin_words &words);
int runGet(const standin_words &words);
