#include "common/json_text.h"

#include <algorithm>
#include <string>

#include <simdjson.h>

namespace almondquay {

namespace {

namespace ondemand = simdjson::ondemand;

/// The text with blanks in place of bytes that the parser refuses inside of strings. These have no
/// meaning for the structure, and all others stay in place.
simdjson::padded_string structure_of(std::string_view text)
{
    simdjson::padded_string copy(text);
    std::ranges::replace_if(
        copy.data(), copy.data() + copy.size(),
        [](char c) {
            return static_cast<unsigned char>(c) < ' ' || static_cast<signed char>(c) < 0;
        },
        ' ');
    return copy;
}

std::string_view same_place(std::string_view found, const simdjson::padded_string& copy,
                            std::string_view text)
{
    return text.substr(static_cast<std::size_t>(found.data() - copy.data()), found.size());
}

error to_error(simdjson::error_code problem)
{
    return {result_code::bad_value, simdjson::error_message(problem)};
}

} // namespace

int greatest_json_depth(std::string_view text)
{
    int depth = 0;
    int greatest = 0;
    bool is_string = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (c == '"') {
            is_string = !is_string;
        } else if (is_string) {
            i += c == '\\' ? 1 : 0;
        } else {
            depth += c == '[' || c == '{' ? 1 : 0;
            depth -= (c == ']' || c == '}') && depth > 0 ? 1 : 0;
            greatest = std::max(greatest, depth);
        }
    }
    return greatest;
}

result<std::string_view> json_member(std::string_view object, std::string_view key)
{
    const auto copy = structure_of(object);
    ondemand::parser parser;
    ondemand::document document;
    std::string_view found;
    auto problem = parser.iterate(copy).get(document);
    if (problem == simdjson::SUCCESS) {
        problem = simdjson::to_json_string(document.find_field(key)).get(found);
    }
    if (problem != simdjson::SUCCESS) {
        return to_error(problem);
    }
    return same_place(found, copy, object);
}

result<std::vector<std::string_view>> json_elements(std::string_view array)
{
    const auto copy = structure_of(array);
    ondemand::parser parser;
    ondemand::document document;
    ondemand::array elements;
    auto problem = parser.iterate(copy).get(document);
    if (problem == simdjson::SUCCESS) {
        problem = document.get_array().get(elements);
    }
    if (problem != simdjson::SUCCESS) {
        return to_error(problem);
    }
    std::vector<std::string_view> all;
    for (auto element : elements) {
        std::string_view found;
        problem = simdjson::to_json_string(element).get(found);
        if (problem != simdjson::SUCCESS) {
            return to_error(problem);
        }
        all.push_back(same_place(found, copy, array));
    }
    return all;
}

} // namespace almondquay
