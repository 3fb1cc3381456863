#include "almondquayd/interpreter.h"

#include "logging/handler_failure.h"
#include "logging/log.h"
#include "peer/rpc_client.h"

#include <string>

namespace almondquay {

namespace {

constexpr std::chrono::milliseconds peer_timeout{1'000};
constexpr std::chrono::milliseconds probe_timeout{1'000};
/// Many targets are probed at the same time, and a faulty one may send without end.
constexpr std::size_t max_probe_response_bytes = 16UL * 1024;
constexpr unsigned server_error = 500;

void run(interpreter& i, const publish_effect& e)
{
    i.traffic->publish(e.snapshot);
}

void run(interpreter& i, const watch_fleet_effect& e)
{
    const auto done = [emit = i.emit](result<stored_object> object) {
        emit(fleet_read_event{std::move(object)});
    };
    const std::string key(fleet_object_key);
    if (e.wait.count() == 0) {
        i.store->get(key, done);
    } else {
        i.store->watch(key, e.known, e.wait, done);
    }
}

void run(interpreter& i, const write_fleet_effect& e)
{
    i.store->update(std::string(fleet_object_key), e.expected, encode(e.envelope),
                    [emit = i.emit](result<object_version> version) {
                        emit(fleet_written_event{std::move(version)});
                    });
}

result<fleet_envelope> to_envelope(const result<std::string>& answer)
{
    return succeeded(answer) ? decode_fleet_envelope(value_of(answer))
                             : result<fleet_envelope>(error_of(answer));
}

void log_copy(const std::string& peer, const std::string& what,
              std::chrono::steady_clock::time_point started, const result<std::string>& answer)
{
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - started);
    const auto bytes = succeeded(answer) ? value_of(answer).size() : 0;
    log::write(log::level::info, "copy_received",
               {{"peer", peer},
                {"what", what},
                {"bytes", std::to_string(bytes)},
                {"took_ms", std::to_string(took.count())},
                {"result", std::string(name_of(code_of(answer)))}});
}

void run(interpreter& i, const fetch_fleet_effect& e)
{
    call_rpc(*i.client, i.settings->secret, e.peer, "fleet", "", peer_timeout,
             [emit = i.emit, peer = to_string(e.peer),
              started = std::chrono::steady_clock::now()](const result<std::string>& answer) {
                 log_copy(peer, "configuration", started, answer);
                 emit(peer_fleet_event{peer, to_envelope(answer)});
             });
}

void run(interpreter& i, const query_inventory_effect& e)
{
    log::write(log::level::debug, "ask_store",
               {{"list", std::string(name_of(e.query.kind))},
                {"since", std::to_string(e.query.since.value)},
                {"follow", e.query.follow ? "yes" : "no"},
                {"wait_ms", std::to_string(e.query.wait.count())}});
    i.store->query_inventory(e.query, [emit = i.emit, query = e.query](result<inventory_page> page,
                                                                       const era_statement& era) {
        emit(inventory_read_event{query, std::move(page), era});
    });
}

void run(interpreter& i, const register_host_effect& e)
{
    i.store->register_host(e.self, [emit = i.emit](result<done> outcome, const era_statement& era) {
        emit(host_registered_event{std::move(outcome), era});
    });
}

void run(interpreter& i, const remove_host_effect& e)
{
    i.store->remove_host(e.id, [id = e.id.value](const result<done>& outcome) {
        if (!succeeded(outcome)) {
            log::write(log::level::warning, "host_not_removed",
                       {{"host", id}, {"why", error_of(outcome).detail}});
        }
    });
}

void run(interpreter& i, const fetch_inventory_effect& e)
{
    log::write(log::level::debug, "ask_peer", {{"peer", to_string(e.peer)}});
    call_rpc(*i.client, i.settings->secret, e.peer, "inventory", encode(e.have), peer_timeout,
             [emit = i.emit, peer = to_string(e.peer),
              started = std::chrono::steady_clock::now()](const result<std::string>& answer) {
                 log_copy(peer, "inventory", started, answer);
                 emit(peer_inventory_event{peer, succeeded(answer)
                                                     ? decode_inventory_copy(value_of(answer))
                                                     : result<inventory_copy>(error_of(answer))});
             });
}

void run(interpreter& i, const read_claims_effect& e)
{
    i.store->get(e.key, [emit = i.emit, call = e.call](result<stored_object> object) {
        emit(claim_event{claim_read_event{call, std::move(object)}});
    });
}

void run(interpreter& i, const write_claims_effect& e)
{
    const auto done = [emit = i.emit, call = e.call](result<object_version> version) {
        emit(claim_event{claim_written_event{call, std::move(version)}});
    };
    if (e.expected) {
        i.store->update(e.key, *e.expected, e.body, done);
    } else {
        i.store->create(e.key, e.body, done);
    }
}

void run(interpreter& i, const send_claim_message_effect& e)
{
    // The RPC result is ignored: the receiver replies with a separate claim message, and a host
    // that does not receive the reply sends its message again.
    call_rpc(*i.client, i.settings->secret, e.peer, "claim", encode(e.message), peer_timeout,
             [](const result<std::string>&) {});
}

void run(interpreter& i, const share_evidence_effect& e)
{
    call_rpc(*i.client, i.settings->secret, e.peer, "crash", encode(e.evidence), peer_timeout,
             [](const result<std::string>&) {});
}

void run(interpreter& i, const claim_verdict_effect& e)
{
    i.traffic->deliver_verdict(e);
}

void run(interpreter& i, const permit_verdict_effect& e)
{
    i.traffic->deliver_permit(e);
}

void run(interpreter& i, const send_gossip_effect& e)
{
    i.gossip->send(e.peer, e.message);
}

void run(interpreter& i, const probe_effect& e)
{
    i.client->send(e.address, {"GET", e.path, {}, {}, max_probe_response_bytes}, probe_timeout,
                   [emit = i.emit, id = e.target](const result<http::response>& answer) {
                       const bool answered =
                           succeeded(answer) && value_of(answer).status < server_error;
                       emit(probe_ended_event{id, answered});
                   });
}

std::string joined(const std::vector<std::string>& parts)
{
    std::string text;
    for (const auto& part : parts) {
        text += (text.empty() ? "" : ",") + part;
    }
    return text;
}

void run(interpreter& i, const record_effect& e)
{
    std::string inputs;
    for (const auto& input : e.made.inputs) {
        inputs += (inputs.empty() ? "" : " ") + input.name + ":" + input.value;
    }
    log::write(log::level::info, e.made.kind,
               {{"id", e.made.id},
                {"summary", e.made.summary},
                {"rule", e.made.rule},
                {"causes", joined(e.made.causes)},
                {"inputs", inputs}});
    record(*i.timeline, e.made);
}

void run(interpreter& i, const stop_traffic_effect& /*e*/)
{
    i.traffic->stop([emit = i.emit] { emit(traffic_ended_event{}); });
}

void run(interpreter& i, const exit_effect& /*e*/)
{
    i.exit();
}

} // namespace

void execute_effects(interpreter& i, effects&& todo)
{
    for (const auto& e : todo) {
        log::run_logged("effect", [&] { std::visit([&](const auto& one) { run(i, one); }, e); });
    }
}

} // namespace almondquay
