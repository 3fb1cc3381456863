#include "almondquayd/operator_api.h"

#include "control/fleet_adoption.h"
#include "control/peer_inventory.h"
#include "control/status.h"

#include <charconv>

namespace almondquay {

namespace {

std::string answer_status(const control_state& state, const timeline_ring& timeline,
                          const traffic_server& traffic)
{
    auto status = make_status(state);
    status.decisions_dropped = timeline.dropped;
    for (auto& t : status.targets) {
        t.in_flight = traffic.in_flight(target_id(t.id));
    }
    return encode(status);
}

} // namespace

rpc_methods make_operator_api(const control_state& state, const timeline_ring& timeline,
                              const traffic_server& traffic, std::function<void(event_body)> emit)
{
    rpc_methods methods;
    methods["fleet"] = [&state](const std::string&) { return encode(whole_envelope(state)); };
    methods["inventory"] = [&state](const std::string& argument) {
        const auto have = decode_inventory_revisions(argument);
        return succeeded(have)
                   ? encode(copy_of(state, value_of(have), std::chrono::steady_clock::now()))
                   : std::string(name_of(code_of(have)));
    };
    methods["status"] = [&](const std::string&) { return answer_status(state, timeline, traffic); };
    methods["timeline"] = [&timeline](const std::string&) {
        return encode(decisions_since(timeline, {}));
    };
    methods["crash"] = [emit](const std::string& argument) {
        auto evidence = decode_crash_evidence(argument);
        if (succeeded(evidence)) {
            emit(crash_evidence_event{std::move(value_of(evidence)), true});
        }
        return std::string(name_of(code_of(evidence)));
    };
    methods["release"] = [emit](const std::string& argument) {
        request_fingerprint fingerprint = 0;
        std::from_chars(argument.data(), argument.data() + argument.size(), fingerprint);
        emit(request_released_event{fingerprint});
        return std::string(name_of(result_code::ok));
    };
    methods["claim"] = [emit = std::move(emit)](const std::string& argument) {
        auto message = decode_claim_message(argument);
        if (succeeded(message)) {
            emit(claim_event{claim_message_event{std::move(value_of(message))}});
        }
        return std::string(name_of(code_of(message)));
    };
    return methods;
}

} // namespace almondquay
