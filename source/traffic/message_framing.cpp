#include "traffic/message_framing.h"

#include "traffic/outcome.h"

#include <algorithm>
#include <array>
#include <string>
#include <vector>

namespace almondquay {

namespace {

using beast::http::field;

constexpr unsigned first_version_with_codings = 11;

constexpr auto connection_fields = std::to_array<field>({
    field::connection,
    field::keep_alive,
    field::proxy_authenticate,
    field::proxy_authorization,
    field::proxy_connection,
    field::te,
    field::trailer,
    field::upgrade,
    field::expect,
});

/// Meant for all recipients, so that Connection must not name them (RFC 9110, 7.6.1).
constexpr auto message_fields = std::to_array<field>({
    field::host,
    field::content_length,
    field::transfer_encoding,
    field::content_type,
    field::content_encoding,
    field::content_range,
    field::cookie,
    field::set_cookie,
    field::authorization,
    field::retry_after,
});

bool is_message_field(std::string_view name, const wire_profile& profile)
{
    const auto is_named = [&](std::string_view other) {
        return !other.empty() && beast::iequals(name, other);
    };
    const std::array used{profile.deadline_header,
                          profile.request_id_header,
                          profile.expected_target_header,
                          profile.not_run_header,
                          profile.load_header,
                          profile.limit_header,
                          profile.leaving_header,
                          key_header};
    return std::ranges::find(message_fields, beast::http::string_to_field(name)) !=
               message_fields.end() ||
           std::ranges::any_of(used, is_named);
}

std::vector<std::string> named_in_connection(const beast::http::fields& head)
{
    std::vector<std::string> names;
    const auto [first, last] = head.equal_range(field::connection);
    for (auto line = first; line != last; ++line) {
        for (const auto& name : beast::http::token_list(line->value())) {
            names.emplace_back(name);
        }
    }
    return names;
}

/// The transfer codings of all lines, in order.
std::vector<std::string> transfer_codings(const beast::http::fields& head)
{
    std::vector<std::string> codings;
    const auto [first, last] = head.equal_range(field::transfer_encoding);
    for (auto line = first; line != last; ++line) {
        std::string_view rest(line->value().data(), line->value().size());
        while (true) {
            const auto comma = rest.find(',');
            auto coding = rest.substr(0, comma);
            coding.remove_prefix(std::min(coding.find_first_not_of(" \t"), coding.size()));
            coding = coding.substr(0, coding.find_last_not_of(" \t") + 1);
            codings.emplace_back(coding);
            if (comma == std::string_view::npos) {
                break;
            }
            rest.remove_prefix(comma + 1);
        }
    }
    return codings;
}

result_code check_transfer_codings(const std::vector<std::string>& codings)
{
    const auto is_chunked = [](const std::string& coding) {
        return beast::iequals(coding, "chunked");
    };
    // Chunks end the body, so they must be the last coding, and applied once.
    if (!is_chunked(codings.back()) || std::ranges::count_if(codings, is_chunked) != 1) {
        return result_code::request_malformed;
    }
    return codings.size() == 1 ? result_code::ok : result_code::transfer_coding_unknown;
}

} // namespace

result_code check_framing(const beast::http::request_header<beast::http::fields>& head)
{
    const auto lengths = head.count(field::content_length);
    if (lengths > 1 || head.count(field::host) > 1) {
        return result_code::request_malformed;
    }
    const auto codings = transfer_codings(head);
    if (codings.empty()) {
        return result_code::ok;
    }
    if (lengths != 0 || head.version() < first_version_with_codings) {
        return result_code::request_malformed;
    }
    return check_transfer_codings(codings);
}

void remove_connection_fields(beast::http::fields& head, const wire_profile& profile)
{
    for (const auto& name : named_in_connection(head)) {
        if (!is_message_field(name, profile)) {
            head.erase(name);
        }
    }
    for (const auto name : connection_fields) {
        head.erase(name);
    }
}

body_size body_size_of(const beast::http::request_header<beast::http::fields>& head,
                       std::optional<std::uint64_t> declared_bytes)
{
    const bool is_chunked = head.count(field::transfer_encoding) != 0;
    return {is_chunked || declared_bytes.has_value(), is_chunked ? std::nullopt : declared_bytes};
}

void set_framing(beast::http::request<beast::http::buffer_body>& request, const body_size& body)
{
    request.erase(field::content_length);
    request.erase(field::transfer_encoding);
    if (!body.has_body) {
        return;
    }
    if (body.bytes) {
        request.content_length(*body.bytes);
    } else {
        request.chunked(true);
    }
}

bool set_framing(beast::http::response<beast::http::buffer_body>& response,
                 const beast::http::request_header<beast::http::fields>& request,
                 std::optional<std::uint64_t> declared_bytes)
{
    const bool has_content = response.result() != beast::http::status::no_content;
    const bool has_body = request.method() != beast::http::verb::head && has_content &&
                          response.result() != beast::http::status::not_modified;
    const bool is_chunked =
        has_body && !declared_bytes && request.version() >= first_version_with_codings;
    response.erase(field::content_length);
    response.erase(field::transfer_encoding);
    if (is_chunked) {
        response.chunked(true);
    } else if (declared_bytes && has_content) {
        response.content_length(*declared_bytes);
    }
    return !has_body || declared_bytes || is_chunked;
}

} // namespace almondquay
