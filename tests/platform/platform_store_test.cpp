#include "platform/platform_store.h"

#include <optional>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "figstair/store/base64.h"
#include "platform/scripted_http_server.h"

using namespace figstair;
using nlohmann::json;

namespace {

constexpr milliseconds timeout{2000};

json upstreamItem(const std::string &key, std::uint64_t revision)
{
    const json entry{{"service", "s"},   {"address", "10.0.0.9:8080"}, {"zone", "z"},
                     {"concurrency", 4}, {"state", "ready"},           {"warmup-left-ms", 0}};
    return json{{"key", key}, {"value", toBase64(entry.dump())}, {"revision", revision}};
}

/// A store client whose calls block until the reply arrives.
struct store_client
{
    explicit store_client(scripted_http_server::script answers, milliseconds callTimeout = timeout)
        : server(std::move(answers))
        , store(io, server.address(), callTimeout)
    {
    }

    template <typename value, typename caller> store_reply<value> reply(caller call)
    {
        std::optional<store_reply<value>> result;
        call([&](store_reply<value> received) {
            result = std::move(received);
            io.stop();
        });
        io.restart();
        io.run();
        REQUIRE(result.has_value());
        return *result;
    }
    store_reply<store_records> list()
    {
        return reply<store_records>([&](auto handler) { store.list(handler); });
    }
    store_reply<store_records> watch(std::uint64_t revision)
    {
        return reply<store_records>(
            [&](auto handler) { store.watch(revision, milliseconds(100), handler); });
    }

    boost::asio::io_context io;
    scripted_http_server server;
    platform::platform_store store;
};

template <typename value> store_error::reason reasonOf(const store_reply<value> &reply)
{
    REQUIRE(std::holds_alternative<store_error>(reply));
    return std::get<store_error>(reply).code;
}

} // namespace

TEST_CASE("platform_store: a listing of two pages: both are read, with the revision of the first")
{
    store_client client([](const received_request &request) {
        const bool isFirstPage = request.target.find("after=") == std::string::npos;
        const json body{{"items", {upstreamItem(isFirstPage ? "servers/i-01" : "servers/i-02", 5)}},
                        {"truncated", isFirstPage},
                        {"store-revision", isFirstPage ? 30 : 33}};
        return scripted_answer{200, body.dump()};
    });
    const auto reply = client.list();
    const auto &records = std::get<store_records>(reply);
    CHECK(records.records.size() == 2);
    CHECK(records.revision == 30);
    CHECK(client.server.requests().at(1).target.find("after=servers") != std::string::npos);
    CHECK(client.server.connections() == 1);
    CHECK(client.store.takeCallCount() == 2);
}

TEST_CASE("platform_store: a watch: sends the revision, decodes changes and removals")
{
    store_client client([](const received_request &) {
        const json body{{"events",
                         {upstreamItem("servers/i-01", 41),
                          json{{"key", "servers/i-02"}, {"revision", 42}, {"removed", true}}}},
                        {"store-revision", 42}};
        return scripted_answer{200, body.dump()};
    });
    const auto reply = client.watch(40);
    const auto &records = std::get<store_records>(reply);
    REQUIRE(records.records.size() == 2);
    CHECK(std::holds_alternative<record_change::removed>(records.records[1].content));
    CHECK(records.revision == 42);
    const std::string target = client.server.requests().at(0).target;
    CHECK(target.find("after=40") != std::string::npos);
    CHECK(target.find("wait-ms=100") != std::string::npos);
}

namespace {

/// Answers every call with an empty listing that has @p epoch in the header for epochs.
scripted_answer answerOfEpoch(const std::string &epoch, unsigned status = 200)
{
    const json body{{"items", json::array()},
                    {"events", json::array()},
                    {"truncated", false},
                    {"store-revision", 30},
                    {"lease", 5}};
    return scripted_answer{status, body.dump(), {{"Store-Era", epoch}}};
}

} // namespace

TEST_CASE("platform_store: any answer: its epoch is noted, and stated with the records read")
{
    std::string epoch = "3";
    unsigned status = 200;
    store_client client([&](const received_request &) { return answerOfEpoch(epoch, status); });
    CHECK(client.store.epoch() == 0);
    CHECK(std::get<store_records>(client.list()).epoch == 3);
    epoch = "4";
    CHECK(std::get<store_records>(client.watch(30)).epoch == 4);
    epoch = "5";
    client.reply<std::monostate>([&](auto handler) { client.store.renewLease(5, handler); });
    CHECK(client.store.epoch() == 5);
    epoch = "6";
    status = 410;
    CHECK(reasonOf(client.watch(30)) == store_error::reason::historyGone);
    CHECK(client.store.epoch() == 6);
    SUBCASE("no number: as the last one")
    {
        status = 200;
        epoch = "new";
        CHECK(std::get<store_records>(client.list()).epoch == 6);
    }
    SUBCASE("a late answer of an earlier epoch: stated with its records")
    {
        status = 200;
        epoch = "5";
        CHECK(std::get<store_records>(client.list()).epoch == 5);
        CHECK(client.store.epoch() == 6);
    }
}

TEST_CASE("platform_store: restored between two pages of a listing: fails")
{
    int pages = 0;
    store_client client([&](const received_request &) {
        const json body{{"items", {upstreamItem("servers/i-01", 5)}},
                        {"truncated", ++pages == 1},
                        {"store-revision", 30}};
        return scripted_answer{200, body.dump(), {{"Store-Era", std::to_string(pages)}}};
    });
    CHECK(reasonOf(client.list()) == store_error::reason::historyGone);
}

TEST_CASE("platform_store: HTTP statuses: map to distinct errors")
{
    unsigned status = 0;
    store_client client([&](const received_request &) { return scripted_answer{status, "{}"}; });
    status = 410;
    CHECK(reasonOf(client.watch(1)) == store_error::reason::historyGone);
    status = 503;
    CHECK(reasonOf(client.list()) == store_error::reason::refused);
    status = 429;
    CHECK(reasonOf(client.list()) == store_error::reason::refused);
    status = 412;
    CHECK(reasonOf(client.reply<std::monostate>(
              [&](auto handler) { client.store.offerKey(shared_key{}, handler); }))
          == store_error::reason::conflict);
    status = 404;
    CHECK(reasonOf(client.reply<std::monostate>(
              [&](auto handler) { client.store.renewLease(5, handler); }))
          == store_error::reason::leaseGone);
    status = 200;
    CHECK(reasonOf(client.list()) == store_error::reason::malformed);
}

TEST_CASE("platform_store: connection closed without an answer: the next call reconnects")
{
    int calls = 0;
    store_client client([&](const received_request &) {
        scripted_answer answer{200, R"({"items":[],"truncated":false,"store-revision":3})"};
        answer.closesConnection = ++calls == 1;
        return answer;
    });
    CHECK(reasonOf(client.list()) == store_error::reason::unreachable);
    CHECK(std::holds_alternative<store_records>(client.list()));
    CHECK(client.server.connections() == 2);
}

TEST_CASE("platform_store: no answer: fails after the timeout, the next call succeeds")
{
    int calls = 0;
    store_client client(
        [&](const received_request &) {
            scripted_answer answer{200, R"({"items":[],"truncated":false,"store-revision":3})"};
            answer.sendsNoAnswer = ++calls == 1;
            return answer;
        },
        milliseconds(150));
    CHECK(reasonOf(client.list()) == store_error::reason::unreachable);
    CHECK(std::holds_alternative<store_records>(client.list()));
}

TEST_CASE("platform_store: no listener: unreachable")
{
    boost::asio::io_context io;
    endpoint unusedAddress;
    {
        const scripted_http_server server(
            [](const received_request &) { return scripted_answer{}; });
        unusedAddress = server.address();
    }
    platform::platform_store store(io, unusedAddress, timeout);
    std::optional<store_reply<store_records>> reply;
    store.list([&](store_reply<store_records> received) { reply = std::move(received); });
    io.run();
    REQUIRE(reply.has_value());
    CHECK(reasonOf(*reply) == store_error::reason::unreachable);
}

TEST_CASE("platform_store: a lease and an announcement under it: bodies follow the protocol")
{
    store_client client([](const received_request &request) {
        return scripted_answer{200,
                               request.target == "/figstair/kv-lease" ? R"({"lease":7,"ttl-ms":9})"
                                                                      : R"({"revision":5})"};
    });
    const auto lease = client.reply<std::uint64_t>(
        [&](auto handler) { client.store.grantLease(milliseconds(9000), handler); });
    CHECK(std::get<std::uint64_t>(lease) == 7);
    const host_record host{"h", "z", *parseEndpoint("10.0.0.1:7720"), 3};
    const auto done = client.reply<std::monostate>(
        [&](auto handler) { client.store.announce(host, 7, handler); });
    CHECK(std::holds_alternative<std::monostate>(done));
    const auto requests = client.server.requests();
    CHECK(json::parse(requests.at(0).body).at("ttl-ms") == 9000);
    const json put = json::parse(requests.at(1).body).at("put").at(0);
    CHECK(put.at("lease") == 7);
    CHECK(put.at("key") == "figstair/hosts/h");
}

TEST_CASE("platform_store: marks of evacuations: removed only from a zone that is in use")
{
    store_client client([](const received_request &) {
        return scripted_answer{200, R"({"revision":8})"};
    });
    client.reply<std::monostate>(
        [&](auto handler) { client.store.markEvacuated("north", handler); });
    client.reply<std::monostate>(
        [&](auto handler) { client.store.removeEvacuationMark("north", handler); });
    const auto requests = client.server.requests();
    const json marked = json::parse(requests.at(0).body);
    CHECK(marked.at("put").at(0).at("key") == "figstair/ev/north");
    const json removed = json::parse(requests.at(1).body);
    CHECK(removed.at("remove") == json::array({"figstair/ev/north"}));
    CHECK(removed.at("precondition")
          == json::array({json{{"key", "op/evacuate/north"}, {"revision", 0}}}));
}
