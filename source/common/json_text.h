#pragma once

#include "common/result.h"

#include <string_view>
#include <vector>

/// Divides JSON text into the texts of its values without reading these, so that a value that
/// cannot be read (a number out of range, half of a surrogate pair, bytes that are not UTF-8) does
/// not hide those beside it. The results point into the given text.
namespace almondquay {

/// The value of a member of an object. Errors: bad_value.
result<std::string_view> json_member(std::string_view object, std::string_view key);

/// The elements of an array. Errors: bad_value.
result<std::vector<std::string_view>> json_elements(std::string_view array);

} // namespace almondquay
