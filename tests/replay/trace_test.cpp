#include <doctest/doctest.h>

#include "errors.h"
#include "figstair/host/process_settings.h"
#include "figstair/replay/replay_world.h"

using namespace figstair;

namespace {

const std::string sourceDirectory = FIGSTAIR_SOURCE_DIR;

int failuresOf(const std::string &fileName, std::string &report)
{
    const std::string text = valueOf([&] { return readTextFile(fileName); });
    return valueOf([&] {
        return replayTrace(fileName, text, replay_options{},
                           [&](const std::string &line) { report += line + "\n"; });
    });
}

std::string problemOf(const std::string &text)
{
    const auto error = errorOf<trace_error>(
        [&] { return replayTrace("t", text, replay_options{}, [](const std::string &) {}); });
    return error ? toText(*error) : "no error";
}

} // namespace

TEST_CASE("traces: one replayed twice: gives the same report")
{
    std::string first;
    std::string second;
    failuresOf(sourceDirectory + "/tests/traces/host-killed.trace", first);
    failuresOf(sourceDirectory + "/tests/traces/host-killed.trace", second);
    CHECK(first == second);
}

TEST_CASE("traces: a line that cannot be carried out: the error names file, line and problem")
{
    CHECK(problemOf("trace seed=1\nat=5 dance\n") == "t:2: unknown verb 'dance'");
    CHECK(problemOf("trace seed=1\nat=soon open\n") == "t:2: at=soon: expected a time");
    CHECK(problemOf("trace seed=1\n\nat=5 expect what=luck max=0\n")
          == "t:3: what=luck: unknown quantity");
}
