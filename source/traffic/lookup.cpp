#include "traffic/lookup.h"

#include "http/message.h"
#include "traffic/local_response.h"
#include "traffic/request_rules.h"
#include "traffic/spill.h"

namespace almondquay {

namespace {

/// The region of a caller according to its "zone" or "region" parameter. Without a known one, the
/// caller is assumed to be in the region of this host.
region_id region_of_caller(const worker& w, const std::vector<http::header>& parameters)
{
    const auto domain = w.snapshot->regions.find(
        failure_domain_id(std::string(http::header_of(parameters, "zone"))));
    if (domain != w.snapshot->regions.end()) {
        return domain->second;
    }
    region_id named(std::string(http::header_of(parameters, "region")));
    return w.snapshot->entry_hosts.contains(named) ? named : w.snapshot->home;
}

/// The body of a look-up response, or nothing if the service is unknown or the caller's region has
/// no entry hosts.
std::optional<std::string> lookup_answer_for(const worker& w, const caller_connection& connection,
                                             const http::path_parts& parts)
{
    const auto& profile = *w.context.profile;
    if (profile.encode_lookup != nullptr) {
        const auto hosts = w.snapshot->entry_hosts.find(region_of_caller(w, parts.parameters));
        if (hosts == w.snapshot->entry_hosts.end() || hosts->second.empty()) {
            return std::nullopt;
        }
        return profile.encode_lookup(hosts->second, w.context.budgets.lookup_ttl);
    }
    auto block = std::string(http::header_of(parts.parameters, "block"));
    if (block.empty()) {
        error_code ignored;
        block = connection.stream.socket().remote_endpoint(ignored).address().to_string();
    }
    const auto* found =
        find_lookup_answer(*w.snapshot, http::header_of(parts.parameters, "service"), block);
    return found == nullptr ? std::nullopt : std::optional<std::string>(*found);
}

bool is_lookup(const worker& w, const caller_parser& parser)
{
    return path_of(parser) == w.context.profile->lookup_path;
}

/// Whether another host has routed the request and sent it here for lack of slots.
bool is_spilled_request(const worker& w, const caller_parser& parser)
{
    return is_spilled(w, service_of(parser), parser.get());
}

asio::awaitable<void> answer_lookup(worker& w, caller_connection& connection, std::uint64_t turn,
                                    const caller_parser& parser, bool keep_alive)
{
    const auto target = parser.get().target();
    const auto parts = http::split_path({target.data(), target.size()});
    const auto found = is_ready(w) ? lookup_answer_for(w, connection, parts) : std::nullopt;
    if (!found) {
        const bool is_unknown = is_ready(w) && w.context.profile->encode_lookup == nullptr;
        const auto code = is_unknown ? result_code::service_unknown : result_code::host_not_ready;
        co_await refuse(w, connection, turn, refused_result(code), keep_alive);
        co_return;
    }
    local_response answer;
    answer.version(11);
    answer.result(beast::http::status::ok);
    answer.set(beast::http::field::content_type, "application/json");
    answer.body() = *found;
    co_await send_local_response(w, connection, turn, answer, keep_alive);
}

asio::awaitable<void> answer_readiness(worker& w, caller_connection& connection, std::uint64_t turn,
                                       bool keep_alive)
{
    local_response answer;
    answer.version(11);
    const bool takes_callers = is_ready(w) && !w.snapshot->leaving && !w.stopping;
    answer.result(takes_callers ? beast::http::status::ok
                                : beast::http::status::service_unavailable);
    co_await send_local_response(w, connection, turn, answer, keep_alive);
}

} // namespace

bool is_ready(const worker& w)
{
    return w.snapshot && w.snapshot->ready;
}

bool is_for_host(const worker& w, const caller_connection& connection, const caller_parser& parser)
{
    switch (connection.role) {
    case listener_role::callers:
        return false;
    case listener_role::callers_and_lookups:
        return is_lookup(w, parser) && !is_spilled_request(w, parser);
    case listener_role::lookups:
    case listener_role::readiness:
        return true;
    }
    return true;
}

result_code check_host_request(const worker& w, const caller_connection& connection,
                               const caller_parser& parser)
{
    const auto& profile = *w.context.profile;
    const bool is_readiness = connection.role == listener_role::readiness;
    if (path_of(parser) != (is_readiness ? profile.readiness_path : profile.lookup_path)) {
        return result_code::path_unknown;
    }
    return parser.get().method() == beast::http::verb::get ? result_code::ok
                                                           : result_code::method_not_allowed;
}

asio::awaitable<void> answer_host_request(worker& w, caller_connection& connection,
                                          std::uint64_t turn, const caller_parser& parser,
                                          bool keep_alive)
{
    if (connection.role == listener_role::readiness) {
        co_await answer_readiness(w, connection, turn, keep_alive);
    } else {
        co_await answer_lookup(w, connection, turn, parser, keep_alive);
    }
}

} // namespace almondquay
