#include "common/cbor.h"

#include <nlohmann/json.hpp>

namespace almondquay {

namespace {

using json = nlohmann::json;

/// Stops the parser at the first value that is too deep; accepts all others.
class depth_check final : public json::json_sax_t {
public:
    bool null() override { return true; }
    bool boolean(bool /*value*/) override { return true; }
    bool number_integer(number_integer_t /*value*/) override { return true; }
    bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
    bool number_float(number_float_t /*value*/, const string_t& /*text*/) override { return true; }
    bool string(string_t& /*value*/) override { return true; }
    bool binary(binary_t& /*value*/) override { return true; }
    bool start_object(std::size_t /*elements*/) override { return ++depth_ <= max_cbor_depth; }
    bool key(string_t& /*name*/) override { return true; }
    bool end_object() override { return --depth_ >= 0; }
    bool start_array(std::size_t /*elements*/) override { return ++depth_ <= max_cbor_depth; }
    bool end_array() override { return --depth_ >= 0; }
    bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                     const nlohmann::detail::exception& problem) override
    {
        why = problem.what();
        return false;
    }

    std::string why = "values are nested too deeply";

private:
    int depth_ = 0;
};

} // namespace

result<json> parse_cbor(std::string_view bytes)
{
    depth_check check;
    if (!json::sax_parse(bytes.begin(), bytes.end(), &check, json::input_format_t::cbor)) {
        return error{result_code::bad_value, check.why};
    }
    return result<json>(std::in_place_type<json>,
                        json::from_cbor(bytes.begin(), bytes.end(), true, false));
}

} // namespace almondquay
