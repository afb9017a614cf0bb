#include "figstair/table/edit.h"

#include <array>

#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>
#include <sodium.h>

namespace leaf = boost::leaf;
using nlohmann::json;

namespace figstair {
namespace {

constexpr std::size_t digestBytes = 16;

json toJson(const row_change &change)
{
    return json{{"op", change.isPurge ? "purge" : "put"}, {"row", toStoredCells(change.row)}};
}

json toJson(const table_edit &edit)
{
    json changes = json::array();
    for (const row_change &change : edit.changes) {
        changes.push_back(toJson(change));
    }
    return json{{"revision", edit.revision},
                {"parent", edit.parentDigest},
                {"edit", edit.editId},
                {"author", edit.author},
                {"at", edit.acceptedAt.time_since_epoch().count()},
                {"changes", std::move(changes)}};
}

leaf::result<row_change> changeFromJson(const json &value)
{
    row_change change;
    change.isPurge = value.at("op").get<std::string>() == "purge";
    const auto cells = value.at("row").get<std::vector<std::string>>();
    BOOST_LEAF_ASSIGN(change.row, fromStoredCells(cells));
    return change;
}

leaf::result<table_edit> editFromJson(const json &value)
{
    table_edit edit;
    edit.revision = value.at("revision").get<std::uint64_t>();
    edit.parentDigest = value.at("parent").get<std::string>();
    edit.editId = value.at("edit").get<std::string>();
    edit.author = value.at("author").get<std::string>();
    edit.acceptedAt = wall_time(milliseconds(value.at("at").get<std::int64_t>()));
    for (const json &item : value.at("changes")) {
        BOOST_LEAF_AUTO(change, changeFromJson(item));
        edit.changes.push_back(std::move(change));
    }
    return edit;
}

} // namespace

std::string digestAfter(const table_edit &edit)
{
    const std::string text = encodeEdit(edit);
    std::array<unsigned char, digestBytes> digest{};
    crypto_generichash(digest.data(), digest.size(),
                       reinterpret_cast<const unsigned char *>(text.data()), text.size(), nullptr,
                       0);
    std::string hex(digestBytes * 2 + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), digest.data(), digest.size());
    hex.pop_back();
    return hex;
}

std::string encodeEdit(const table_edit &edit)
{
    return toJson(edit).dump();
}

leaf::result<table_edit> decodeEdit(const std::string &text)
{
    return leaf::try_handle_some(
        [&]() -> leaf::result<table_edit> {
            try {
                return editFromJson(json::parse(text));
            } catch (const json::exception &error) {
                return leaf::new_error(edit_error{error.what()});
            }
        },
        [](const cell_error &error) -> leaf::result<table_edit> {
            return leaf::new_error(edit_error{"column " + error.column + " value '" + error.value
                                              + "': expected " + error.expected});
        });
}

} // namespace figstair
