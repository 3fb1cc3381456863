#pragma once

#include "traffic/forward.h"
#include "traffic/worker.h"

/// What the header of a request says: its route or service, its object, its deadline, and whether
/// it may be repeated.
namespace almondquay {

/// The reason to refuse a request before its body is read, or ok. Sets `rule` where there are any.
result_code check_request(const worker& w, const caller_parser& parser, const route_rule*& rule);

/// Fills a request that `check_request` has let through. `parser` must outlive it.
void fill_request(worker& w, caller_connection& connection, caller_parser& parser,
                  const route_rule* rule, caller_request& request);

/// The id that the caller has given, or an empty text.
std::string request_id_of(const worker& w, const caller_parser& parser);

/// Tells equal requests from others; valid once the first piece of the body has been read.
request_fingerprint fingerprint_of(const caller_request& request);

} // namespace almondquay
