#pragma once

#include "traffic/forward.h"
#include "traffic/worker.h"

#include <string>
#include <string_view>

/// Evaluates a request's header: its route or service, its object, its deadline, and whether it may
/// be repeated.
namespace almondquay {

/// The path of a request's target, without its query. A target in absolute form, a whole URI, names
/// the same path as one in origin form (RFC 9112, 3.2).
std::string_view path_of(const caller_parser& parser);

/// The service that a caller of the built-in interface asks for: the first label of the Host
/// header, "ledger" or "ledger.example:80".
std::string service_of(const caller_parser& parser);

/// Returns the reason to refuse a request before its body is read, or ok. Sets `rule` if the
/// configuration has route rules.
result_code check_request(const worker& w, const caller_parser& parser, const route_rule*& rule);

/// Initializes a request that `check_request` has accepted. `parser` must outlive it.
void fill_request(worker& w, caller_connection& connection, caller_parser& parser,
                  const route_rule* rule, caller_request& request);

/// The request ID given by the caller, or an empty string.
std::string request_id_of(const worker& w, const caller_parser& parser);

/// A hash that identifies equal requests; valid once the first piece of the body has been read.
request_fingerprint fingerprint_of(const caller_request& request);

} // namespace almondquay
