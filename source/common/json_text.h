#pragma once

#include "common/result.h"

#include <string_view>
#include <vector>

/// Divides JSON text into the texts of its values without reading these, so that a value that
/// cannot be read (a number out of range, half of a surrogate pair, bytes that are not UTF-8) does
/// not hide those beside it. The results point into the given text.
namespace almondquay {

/// No entry of the store and no configuration has values of this depth. The library copies and
/// writes nested values recursively, so that deeper ones could exhaust the stack.
constexpr int max_json_depth = 32;

/// The depth to which the arrays and objects of a text are nested.
int greatest_json_depth(std::string_view text);

/// The value of a member of an object. Errors: bad_value.
result<std::string_view> json_member(std::string_view object, std::string_view key);

/// The elements of an array. Errors: bad_value.
result<std::vector<std::string_view>> json_elements(std::string_view array);

} // namespace almondquay
