#include <iostream>
#include <map>

#include <glog/logging.h>
#include <sodium.h>

#include "standins.h"

int main(int argumentCount, char **argumentValues)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argumentValues[0]);
    if (sodium_init() < 0) {
        return 1;
    }
    const standin_words words(argumentValues + 1, argumentValues + argumentCount);
    const std::string command = words.empty() ? "" : words.front();
    const standin_words rest(words.begin() + (words.empty() ? 0 : 1), words.end());
    static const std::map<std::string, int (*)(const standin_words &)> actions{
        {"platform", runPlatform},
        {"fabric", runFabric},
        {"upstreams", runUpstreams},
        {"callers", runCallers},
        {"ports", runPorts},
        {"judge", runJudge},
        {"get", runGet}};
    try {
        const auto action = actions.find(command);
        if (action != actions.end()) {
            return action->second(rest);
        }
    } catch (const std::exception &error) {
        std::cerr << "figstair-standin " << command << ": " << error.what() << "\n";
        return 2;
    }
    std::cerr << "figstair-standin platform|fabric|upstreams|callers|ports|judge|get [options]\n";
    return 2;
}
