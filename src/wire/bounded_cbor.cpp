#include "figstair/wire/bounded_cbor.h"

#include <nlohmann/json.hpp>

using nlohmann::json;

namespace figstair {
namespace {

/// Exception id of json::other_error, used for values of the wrong form.
constexpr int jsonErrorId = 501;

/// Visits a value without storing it; stops at the first level that is too deep.
class depth_check : public nlohmann::json_sax<json>
{
public:
    bool isTooDeep() const { return m_isTooDeep; }

    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t &) override { return true; }
    bool string(string_t &) override { return true; }
    bool binary(binary_t &) override { return true; }
    bool start_object(std::size_t) override { return enter(); }
    bool key(string_t &) override { return true; }
    bool end_object() override { return leave(); }
    bool start_array(std::size_t) override { return enter(); }
    bool end_array() override { return leave(); }
    /// The error is reported when the value is stored.
    bool parse_error(std::size_t, const std::string &, const json::exception &) override
    {
        return false;
    }

private:
    bool enter()
    {
        m_isTooDeep = ++m_depth > maxCborDepth;
        return !m_isTooDeep;
    }
    bool leave()
    {
        --m_depth;
        return true;
    }

    std::size_t m_depth = 0;
    bool m_isTooDeep = false;
};

} // namespace

json parseCbor(byte_view bytes)
{
    depth_check check;
    json::sax_parse(bytes.begin(), bytes.end(), &check, json::input_format_t::cbor);
    if (check.isTooDeep()) {
        throw json::other_error::create(jsonErrorId, "value is nested too deeply", nullptr);
    }
    return json::from_cbor(bytes.begin(), bytes.end());
}

} // namespace figstair
