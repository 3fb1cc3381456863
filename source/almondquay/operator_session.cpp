#include "almondquay/operator_session.h"

#include "config/fleet_text.h"
#include "peer/rpc_client.h"

#include <algorithm>
#include <set>

namespace almondquay {

namespace {

constexpr std::chrono::milliseconds host_timeout{1'500};

/// Runs the event loop until all started calls have completed.
void finish_calls(operator_session& session)
{
    session.io.restart();
    session.io.run();
}

void call_remaining_hosts(operator_session& session, const std::set<endpoint>& hosts,
                          const std::string& method, const std::string& argument,
                          host_answers& answers)
{
    for (const auto& host : hosts) {
        if (answers.contains(host)) {
            continue;
        }
        call_rpc(*session.client, session.settings.secret, host, method, argument, host_timeout,
                 [&answers, host](result<std::string> answer) {
                     answers.insert_or_assign(host, std::move(answer));
                 });
    }
    finish_calls(session);
}

void add_hosts_of(const fleet_envelope& envelope, std::set<endpoint>& hosts)
{
    const auto parsed = parse_fleet(envelope.text, "fleet");
    if (const auto* f = std::get_if<fleet>(&parsed)) {
        for (const auto& [id, h] : f->hosts) {
            hosts.insert(h.peers);
        }
    }
}

std::set<endpoint> find_hosts(operator_session& session, host_answers& fleets)
{
    std::set<endpoint> hosts(session.settings.seeds.begin(), session.settings.seeds.end());
    call_remaining_hosts(session, hosts, "fleet", "", fleets);
    for (const auto& [host, answer] : fleets) {
        const auto envelope = succeeded(answer) ? decode_fleet_envelope(value_of(answer))
                                                : result<fleet_envelope>(error_of(answer));
        if (succeeded(envelope)) {
            add_hosts_of(value_of(envelope), hosts);
        }
    }
    return hosts;
}

} // namespace

std::unique_ptr<operator_session> open_session(process_settings settings)
{
    auto session = std::make_unique<operator_session>(std::move(settings));
    session->store = http_object_store::create(session->io, session->settings.platform,
                                               session->settings.platform_timeout);
    session->client = http::client::create(session->io);
    return session;
}

result<platform_fleet> read_fleet(operator_session& session)
{
    result<stored_object> object = error{result_code::platform_unavailable, ""};
    session.store->get(std::string(fleet_object_key),
                       [&object](result<stored_object> answer) { object = std::move(answer); });
    finish_calls(session);
    if (code_of(object) == result_code::platform_not_found) {
        return platform_fleet{};
    }
    if (!succeeded(object)) {
        return error_of(object);
    }
    const auto envelope = decode_fleet_envelope(value_of(object).body);
    if (!succeeded(envelope)) {
        return error{result_code::platform_bad_answer, error_of(envelope).detail};
    }
    return platform_fleet{value_of(envelope), value_of(object).version};
}

result<done> write_fleet(operator_session& session, const platform_fleet& read,
                         const fleet_envelope& next)
{
    result<object_version> written = error{result_code::platform_unavailable, ""};
    const auto on_written = [&written](result<object_version> answer) {
        written = std::move(answer);
    };
    const std::string key(fleet_object_key);
    if (read.version == 0) {
        session.store->create(key, encode(next), on_written);
    } else {
        session.store->update(key, read.version, encode(next), on_written);
    }
    finish_calls(session);
    if (code_of(written) == result_code::platform_answer_lost) {
        const auto now = read_fleet(session);
        const bool took_effect = succeeded(now) && value_of(now).envelope == next;
        return took_effect ? result<done>(done{}) : result<done>(error_of(written));
    }
    return succeeded(written) ? result<done>(done{}) : result<done>(error_of(written));
}

host_answers call_hosts(operator_session& session, const std::string& method,
                        const std::string& argument)
{
    host_answers fleets;
    const auto hosts = find_hosts(session, fleets);
    if (method == "fleet") {
        call_remaining_hosts(session, hosts, method, argument, fleets);
        return fleets;
    }
    host_answers answers;
    call_remaining_hosts(session, hosts, method, argument, answers);
    return answers;
}

generation highest_in_force(operator_session& session)
{
    generation highest;
    for (const auto& [host, answer] : call_hosts(session, "fleet")) {
        if (!succeeded(answer)) {
            continue;
        }
        const auto envelope = decode_fleet_envelope(value_of(answer));
        if (succeeded(envelope)) {
            highest = std::max(highest, value_of(envelope).number);
        }
    }
    return highest;
}

} // namespace almondquay
