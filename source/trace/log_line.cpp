#include "trace/log_line.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace almondquay {

namespace {

constexpr std::string_view first_key = "time=";

int hex_value(char c)
{
    const auto digit = static_cast<unsigned char>(c);
    if (std::isdigit(digit) != 0) {
        return c - '0';
    }
    return std::isxdigit(digit) != 0 ? std::tolower(digit) - 'a' + 10 : 0;
}

/// Removes a quoted value, whose opening quote has been removed already, from the front of `rest`.
std::string take_quoted(std::string_view& rest)
{
    std::string value;
    while (!rest.empty() && rest.front() != '"') {
        if (rest.front() != '\\' || rest.size() < 2) {
            value += rest.front();
            rest.remove_prefix(1);
        } else if (rest[1] == 'x' && rest.size() >= 4) {
            constexpr int digit_values = 16;
            value += static_cast<char>(hex_value(rest[2]) * digit_values + hex_value(rest[3]));
            rest.remove_prefix(4);
        } else {
            value += rest[1];
            rest.remove_prefix(2);
        }
    }
    if (!rest.empty()) {
        rest.remove_prefix(1);
    }
    return value;
}

std::string take_value(std::string_view& rest)
{
    if (!rest.empty() && rest.front() == '"') {
        rest.remove_prefix(1);
        return take_quoted(rest);
    }
    const auto end = std::min(rest.find(' '), rest.size());
    std::string value(rest.substr(0, end));
    rest.remove_prefix(end);
    return value;
}

/// Removes a number of exactly `digits` digits from the front of `rest`.
std::optional<int> take_number(std::string_view& rest, std::size_t digits)
{
    int value = 0;
    if (rest.size() < digits) {
        return std::nullopt;
    }
    const auto [end, problem] = std::from_chars(rest.data(), rest.data() + digits, value);
    if (problem != std::errc{} || end != rest.data() + digits) {
        return std::nullopt;
    }
    rest.remove_prefix(digits);
    return value;
}

bool take_mark(std::string_view& rest, char mark)
{
    if (rest.empty() || rest.front() != mark) {
        return false;
    }
    rest.remove_prefix(1);
    return true;
}

/// Parses a fraction of a second such as ".051394"; 0 if there is none.
log_time take_fraction(std::string_view& rest)
{
    log_time fraction{0};
    if (!take_mark(rest, '.')) {
        return fraction;
    }
    for (std::int64_t unit = 100'000; !rest.empty() && std::isdigit(rest.front()) != 0;
         unit /= 10) {
        fraction += log_time((rest.front() - '0') * unit);
        rest.remove_prefix(1);
    }
    return fraction;
}

} // namespace

std::optional<log_time> parse_log_time(std::string_view text)
{
    const auto year = take_number(text, 4);
    const bool has_year = year && take_mark(text, '-');
    const auto month = take_number(text, 2);
    const bool has_month = month && take_mark(text, '-');
    const auto day = take_number(text, 2);
    const bool has_day = day && take_mark(text, 'T');
    const auto hour = take_number(text, 2);
    const bool has_hour = hour && take_mark(text, ':');
    const auto minute = take_number(text, 2);
    const bool has_minute = minute && take_mark(text, ':');
    const auto second = take_number(text, 2);
    if (!has_year || !has_month || !has_day || !has_hour || !has_minute || !second) {
        return std::nullopt;
    }
    const std::chrono::year_month_day date(std::chrono::year{*year},
                                           std::chrono::month(static_cast<unsigned>(*month)),
                                           std::chrono::day(static_cast<unsigned>(*day)));
    if (!date.ok()) {
        return std::nullopt;
    }
    return std::chrono::sys_days(date).time_since_epoch() + std::chrono::hours(*hour) +
           std::chrono::minutes(*minute) + std::chrono::seconds(*second) + take_fraction(text);
}

std::optional<log_line> parse_log_line(std::string_view text)
{
    const auto begin = text.find(first_key);
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    auto rest = text.substr(begin);
    log_line line;
    while (!rest.empty()) {
        const auto mark = rest.find('=');
        if (mark == std::string_view::npos) {
            break;
        }
        const std::string key(rest.substr(0, mark));
        rest.remove_prefix(mark + 1);
        auto value = take_value(rest);
        if (key == "time") {
            line.time_text = std::move(value);
        } else if (key == "process") {
            line.process = std::move(value);
        } else if (key == "event") {
            line.event = std::move(value);
        } else {
            line.fields.emplace_back(key, std::move(value));
        }
        rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
    }
    const auto time = parse_log_time(line.time_text);
    if (!time || line.event.empty()) {
        return std::nullopt;
    }
    line.time = *time;
    return line;
}

std::string_view field_of(const log_line& line, std::string_view key)
{
    const auto found = std::ranges::find(line.fields, key, [](const auto& f) { return f.first; });
    return found == line.fields.end() ? std::string_view() : found->second;
}

std::string_view input_of(const log_line& line, std::string_view key)
{
    const auto inputs = field_of(line, "inputs");
    for (std::size_t at = 0; at < inputs.size();) {
        const auto end = std::min(inputs.find(' ', at), inputs.size());
        const auto one = inputs.substr(at, end - at);
        if (one.size() > key.size() && one.starts_with(key) && one[key.size()] == ':') {
            return one.substr(key.size() + 1);
        }
        at = end + 1;
    }
    return {};
}

} // namespace almondquay
