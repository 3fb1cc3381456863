#pragma once

#include <string>
#include <string_view>
#include <vector>

/// Small, fully buffered messages for everything except the streamed traffic of callers.
namespace almondquay::http {

struct header {
    std::string name;
    std::string value;
};

constexpr std::size_t default_max_response_bytes = 16UL * 1024 * 1024;

struct request {
    std::string method;
    std::string path; ///< including the query, as in the request line
    std::vector<header> headers;
    std::string body;
    /// For the client: a longer body of the response counts as a lost response.
    std::size_t max_response_bytes = default_max_response_bytes;
};

struct response {
    unsigned status = 0;
    std::vector<header> headers;
    std::string body;
};

/// Maximum size of the read buffer for a message, not counting its body.
constexpr std::size_t max_message_buffer_bytes = 256 * 1024;

inline constexpr unsigned status_ok = 200;
inline constexpr unsigned status_created = 201;
inline constexpr unsigned status_no_content = 204;
inline constexpr unsigned status_bad_request = 400;
inline constexpr unsigned status_forbidden = 403;
inline constexpr unsigned status_not_found = 404;
inline constexpr unsigned status_conflict = 409;
inline constexpr unsigned status_gone = 410;
inline constexpr unsigned status_precondition_failed = 412;
inline constexpr unsigned status_too_many_requests = 429;
inline constexpr unsigned status_unavailable = 503;

/// The value of the first header of this name, ignoring case; empty if there is none.
std::string_view header_of(const std::vector<header>& headers, std::string_view name);

/// A parsed request path: "/lookup?service=ledger" has one parameter.
struct path_parts {
    std::string path;
    std::vector<header> parameters;
};

/// Splits path and query and decodes percent-encoding; a malformed escape is left unchanged.
path_parts split_path(std::string_view path);

/// Escapes all but letters, digits and "-_.~/" for use in a path or query.
std::string percent_encoded(std::string_view text);

} // namespace almondquay::http
