#include "figstair/table/sheet.h"

#include <random>

#include <doctest/doctest.h>

#include "errors.h"
#include "figstair/host/process_settings.h"

using namespace figstair;

namespace {

const std::string header =
    "kind,name,service,zone,address,weight,slots,connections,cold_limit,warm_ms,state\n";
const std::string baseSheet = header + "service,desk,,,,,,,,,in\nzone,z1,,,,,,,,,in\n";

std::string errorText(const std::string &text)
{
    const auto error = errorOf<sheet_error>([&] { return parseSheet("t.csv", text); });
    return error ? toText(*error) : "no error";
}

std::string fileText(const std::string &name)
{
    return valueOf([&] { return readTextFile(std::string(FIGSTAIR_SOURCE_DIR) + "/" + name); });
}

} // namespace

TEST_CASE("sheet: the samples in deploy: are valid and read back as written")
{
    for (const std::string name : {"deploy/gruber.csv", "deploy/guild.csv"}) {
        const sheet parsed = valueOf([&] { return parseSheet(name, fileText(name)); });
        CHECK(parsed.rows.size() > 25);
        const std::string text = formatSheet(7, parsed.rows);
        const sheet reparsed = valueOf([&] { return parseSheet(name, text); });
        CHECK(reparsed.baseRevision == 7);
        REQUIRE(reparsed.rows.size() == parsed.rows.size());
        for (std::size_t index = 0; index < parsed.rows.size(); ++index) {
            CHECK(sameSheetCells(parsed.rows[index], reparsed.rows[index]));
        }
    }
}

TEST_CASE("sheet: an invalid cell: the error names file, line, column and value")
{
    CHECK(errorText(baseSheet + "upstream,u1,desk,z1,10.0.0.1:9,x,4,9,1,0,in\n")
          == "t.csv:4: column 'weight' value 'x': expected a whole number from 0 to 1000");
    CHECK(errorText(baseSheet + "upstream,u1,desk,z1,10.0.0.300:9,1,4,9,1,0,in\n")
          == "t.csv:4: column 'address' value '10.0.0.300:9': expected an IP address and port such "
             "as 10.0.0.7:9000");
    CHECK(errorText(baseSheet + "upstream,u1,desk,z1,10.0.0.1:9,1,4,9,5,0,in\n")
          == "t.csv:4: column 'cold_limit' value '5': expected a whole number from 1 to 4");
    CHECK(errorText(baseSheet + "upstream,u1,desk,z9,10.0.0.1:9,1,4,9,1,0,in\n")
          == "t.csv:4: column 'zone' value 'z9': expected the name of a zone row");
    CHECK(errorText(baseSheet + "zone,z1,,,,,,,,,in\n")
          == "t.csv:4: column 'name' value 'z1': expected a name used once");
    CHECK(errorText(baseSheet + "zone,z2,,,,,,,,,gone\n")
          == "t.csv:4: column 'state' value 'gone': expected in, draining or out");
    CHECK(errorText(baseSheet + "zone,z2,,,,,,,,,draining\n")
          == "t.csv:4: column 'state' value 'draining': expected a state that this kind of row can "
             "have");
    CHECK(errorText("kind,name,colour\n")
          == "t.csv:1: column 'header' value 'colour': expected a known column name");
    CHECK(errorText("")
          == "t.csv:0: column '' value '': expected a header line such as "
             "kind,name,service,...");
}

TEST_CASE("sheet: text changed at random: is parsed or refused with a line number")
{
    const std::string validText = fileText("deploy/gruber.csv");
    std::mt19937_64 random(7);
    int refused = 0;
    for (int round = 0; round < 2000; ++round) {
        std::string text = validText;
        for (int change = 0; change < 3; ++change) {
            text[random() % text.size()] = static_cast<char>(random() % 127 + 1);
        }
        const auto error = errorOf<sheet_error>([&] { return parseSheet("t.csv", text); });
        refused += error ? 1 : 0;
        CHECK((!error || error->line > 0));
    }
    CHECK(refused > 0);
}
