#pragma once

#include "common/result_code.h"

#include <string>
#include <utility>
#include <variant>

/// Error handling without exceptions: an operation that can fail returns its value or an `error`.
namespace almondquay {

/// Why an operation failed: a documented result code and the details of this failure.
struct error {
    result_code code = result_code::ok;
    std::string detail;

    bool operator==(const error&) const = default;
};

/// A value of type T, or the error of the operation that should have produced it.
template <class T> using result = std::variant<T, error>;

/// The value of an operation that succeeds with nothing to return.
using done = std::monostate;

template <class T> bool succeeded(const result<T>& r)
{
    return std::holds_alternative<T>(r);
}

/// The value of a result that is known to have succeeded.
template <class T> T& value_of(result<T>& r)
{
    return std::get<T>(r);
}
template <class T> const T& value_of(const result<T>& r)
{
    return std::get<T>(r);
}
template <class T> T&& value_of(result<T>&& r)
{
    return std::get<T>(std::move(r));
}

/// The error of a result that is known to have failed.
template <class T> const error& error_of(const result<T>& r)
{
    return std::get<error>(r);
}

/// The code of a result: `ok` for a value.
template <class T> result_code code_of(const result<T>& r)
{
    return succeeded(r) ? result_code::ok : error_of(r).code;
}

} // namespace almondquay
