#pragma once

#include "common/result_code.h"
#include "traffic/beast_types.h"
#include "traffic/wire_profile.h"

#include <cstdint>
#include <optional>

/// Decides where the body of a message ends, and what of its header is passed on. Nothing else may
/// depend on the headers that frame a message, so that a body is never read as another message.
namespace almondquay {

/// Whether a request's header says without ambiguity where its body ends and whom it addresses.
/// Errors: request_malformed, transfer_coding_unknown. The bytes that follow must not be parsed.
result_code check_framing(const beast::http::request_header<beast::http::fields>& head);

/// Removes the header fields that concern one connection only: those known as such, and those that
/// Connection names, but for fields that frame, route or identify the message.
void remove_connection_fields(beast::http::fields& head, const wire_profile& profile);

/// The size of a request's body as far as it is known before all of it was read.
struct body_size {
    bool has_body = false;                ///< the request's header declared one
    std::optional<std::uint64_t> bytes{}; ///< nothing if the body comes in chunks
};

body_size body_size_of(const beast::http::request_header<beast::http::fields>& head,
                       std::optional<std::uint64_t> declared_bytes);

/// Frames a request anew, whatever its header says.
void set_framing(beast::http::request<beast::http::buffer_body>& request, const body_size& body);

/// Frames a target's response to `request` anew for the caller. `declared_bytes` is the length that
/// the parser read from its header. Returns whether the body ends before the caller's connection.
bool set_framing(beast::http::response<beast::http::buffer_body>& response,
                 const beast::http::request_header<beast::http::fields>& request,
                 std::optional<std::uint64_t> declared_bytes);

} // namespace almondquay
