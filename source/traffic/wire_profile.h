#pragma once

#include "common/endpoint.h"

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

/// The names and forms that the callers and targets of a deployment expect, as data. An empty name
/// means that the deployment has no such thing.
namespace almondquay {

struct wire_profile {
    std::string_view lookup_path{};
    std::string_view readiness_path{};
    std::string_view deadline_header{};        ///< milliseconds that the caller will wait
    std::string_view request_id_header{};      ///< targets echo it in their answers
    std::string_view object_cookie{};          ///< names the object that the request is about
    std::string_view expected_target_header{}; ///< a target with another id refuses the request
    std::string_view not_run_header{}; ///< on answers of targets that did not run the request
    std::string_view load_header{};    ///< "running,waiting,slots" of a target
    bool tells_outcome = false;        ///< answers carry the outcome, the result code and the host
    bool claims_unrepeatable = true;   ///< work that must not repeat needs a key and a claim

    /// The look-up answer that names `hosts`; nullptr: that of our own interface, by service.
    std::string (*encode_lookup)(const std::vector<endpoint>& hosts,
                                 std::chrono::milliseconds ttl) = nullptr;
};

/// Our own interface, as docs/CALLERS.md describes it.
extern const wire_profile own_profile;

} // namespace almondquay
