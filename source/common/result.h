#pragma once

#include "common/result_code.h"

#include <string>
#include <utility>
#include <variant>

/// Results as values: every operation that can fail returns either its value or an `error`.
namespace almondquay {

/// Why an operation failed: the number that the docs explain and the particulars of this case.
struct error {
    result_code code = result_code::ok;
    std::string detail;

    bool operator==(const error&) const = default;
};

/// A value of type T or the error that stood in its way.
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
