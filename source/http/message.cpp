#include "http/message.h"

#include <algorithm>
#include <cctype>
#include <charconv>

#include <boost/beast/core/string.hpp>

namespace almondquay::http {

namespace {

constexpr int hexadecimal = 16;

std::string percent_decoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned char byte = 0;
        if (text[i] == '%' && i + 2 < text.size()) {
            const auto* first = text.data() + i + 1;
            const auto [end, problem] = std::from_chars(first, first + 2, byte, hexadecimal);
            if (problem == std::errc{} && end == first + 2) {
                decoded += static_cast<char>(byte);
                i += 2;
                continue;
            }
        }
        decoded += text[i] == '+' ? ' ' : text[i];
    }
    return decoded;
}

} // namespace

std::string_view header_of(const std::vector<header>& headers, std::string_view name)
{
    const auto found = std::ranges::find_if(
        headers, [&](const header& h) { return boost::beast::iequals(h.name, name); });
    return found == headers.end() ? std::string_view{} : std::string_view(found->value);
}

path_parts split_path(std::string_view path)
{
    const auto mark = std::min(path.find('?'), path.size());
    path_parts parts;
    parts.path = percent_decoded(path.substr(0, mark));
    auto query = path.substr(std::min(mark + 1, path.size()));
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const auto pair = query.substr(0, end);
        const auto equals = std::min(pair.find('='), pair.size());
        parts.parameters.push_back(
            {percent_decoded(pair.substr(0, equals)),
             percent_decoded(pair.substr(std::min(equals + 1, pair.size())))});
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return parts;
}

std::string percent_encoded(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr std::string_view unreserved = "-_.~/";
    std::string encoded;
    for (const unsigned char c : text) {
        if (std::isalnum(c) != 0 || unreserved.find(static_cast<char>(c)) != unreserved.npos) {
            encoded += static_cast<char>(c);
        } else {
            encoded += '%';
            encoded += digits[c >> 4U];
            encoded += digits[c & 0x0fU];
        }
    }
    return encoded;
}

} // namespace almondquay::http
