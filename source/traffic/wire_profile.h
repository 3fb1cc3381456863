#pragma once

#include "common/endpoint.h"

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

/// The paths, header names and formats that the callers and targets of a deployment expect. An
/// empty name means that the deployment does not use the path or header.
namespace almondquay {

struct wire_profile {
    std::string_view lookup_path{};       ///< has a meaning only where look-ups are served
    std::string_view readiness_path{};    ///< has a meaning only where readiness checks are served
    std::string_view deadline_header{};   ///< milliseconds that the caller will wait
    std::string_view request_id_header{}; ///< targets echo it in their responses
    std::string_view object_cookie{};     ///< identifies the object that the request accesses
    std::string_view expected_target_header{}; ///< a target with another ID rejects the request
    std::string_view not_run_header{}; ///< on responses of targets that did not run the request
    std::string_view load_header{};    ///< a target's load report, "running,waiting,slots"
    std::string_view limit_header{};   ///< requests a second that a target takes from all hosts
    std::string_view leaving_header{}; ///< "1" on the responses of a target that is leaving
    bool reports_outcome = false; ///< responses carry the outcome, the result code and the host
    bool claims_non_idempotent = true; ///< non-idempotent requests need a key and a claim
    /// The deployment's configuration lists routes, even if there are none at the moment; a request
    /// that matches none is refused. Otherwise the Host header names the service.
    bool has_routes = false;

    /// Encodes the look-up response that lists `hosts`. If nullptr, the response of the built-in
    /// interface is used, which depends on the service.
    std::string (*encode_lookup)(const std::vector<endpoint>& hosts,
                                 std::chrono::milliseconds ttl) = nullptr;
};

/// The built-in interface, described in docs/CALLERS.md.
extern const wire_profile builtin_profile;

} // namespace almondquay
