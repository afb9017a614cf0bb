#include "figstair/host/line_output.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

using namespace figstair;

namespace {

/// A pipe that is read only by readAll().
struct unread_pipe
{
    unread_pipe()
    {
        REQUIRE(pipe(ends) == 0);
        REQUIRE(fcntl(ends[0], F_SETFL, O_NONBLOCK) == 0);
    }
    ~unread_pipe()
    {
        close(ends[0]);
        close(ends[1]);
    }

    std::string readAll() const
    {
        std::string text;
        char part[4096];
        ssize_t count = 0;
        while ((count = read(ends[0], part, sizeof part)) > 0) {
            text.append(part, static_cast<std::size_t>(count));
        }
        return text;
    }
    static void send(line_output &output, const std::string &line)
    {
        output.send(google::GLOG_INFO, "", "", 0, google::LogMessageTime(), line.data(),
                    line.size());
    }

    int ends[2]{};
};

} // namespace

TEST_CASE_FIXTURE(unread_pipe, "line_output: lines flushed: written whole and in order")
{
    line_output output(ends[1]);
    send(output, "one");
    send(output, "two");
    output.flush();
    CHECK(readAll() == "one\ntwo\n");
}

TEST_CASE_FIXTURE(unread_pipe, "line_output: no reader: does not block, counts dropped lines")
{
    line_output output(ends[1]);
    const std::string line(999, 'x');
    for (int count = 0; count < 1000; ++count) {
        send(output, line);
        output.flush();
    }
    const std::uint64_t dropped = output.takeDroppedCount();
    CHECK(dropped > 0);
    CHECK(output.takeDroppedCount() == 0);
    std::size_t read = readAll().size();
    for (int round = 0; round < 100; ++round) {
        output.flush();
        read += readAll().size();
    }
    CHECK(read == (1000 - dropped) * 1000);
}
