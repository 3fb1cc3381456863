#include "traffic/request_rules.h"

#include "traffic/lookup.h"
#include "traffic/spill.h"

#include <algorithm>
#include <charconv>

#include <xxhash.h>

namespace almondquay {

namespace {

using clock = std::chrono::steady_clock;

/// One in this many requests is logged even if it succeeds.
constexpr std::uint64_t sampling_interval = 20;

std::chrono::milliseconds deadline_of(const worker& w, const caller_parser& parser,
                                      std::chrono::milliseconds longest)
{
    const auto value = parser.get()[w.context.profile->deadline_header];
    std::int64_t asked = 0;
    const auto [end, problem] = std::from_chars(value.data(), value.data() + value.size(), asked);
    const bool is_good = problem == std::errc{} && end == value.data() + value.size() && asked > 0;
    return is_good ? std::min(longest, std::chrono::milliseconds(asked)) : longest;
}

const route_rule* rule_for(const worker& w, const caller_parser& parser)
{
    if (!w.snapshot->routes) {
        return nullptr;
    }
    const auto host = parser.get()[beast::http::field::host];
    const auto path = parser.get().target();
    return find_rule(*w.snapshot->routes, {host.data(), host.size()}, {path.data(), path.size()});
}

/// The value of a cookie, or an empty string.
std::string cookie_of(const caller_parser& parser, std::string_view name)
{
    std::string cookies(";"); // `param_list` refers to this string.
    cookies += parser.get()[beast::http::field::cookie];
    for (const auto& cookie : beast::http::param_list(cookies)) {
        if (std::string_view(cookie.first.data(), cookie.first.size()) == name) {
            return std::string(cookie.second);
        }
    }
    return {};
}

void apply_rule(worker& w, caller_request& request)
{
    const auto& rule = *request.rule;
    request.service = choose_service(rule, w.random);
    request.deadline = request.started + deadline_of(w, *request.parser, rule.timeout);
    request.repeatable = rule.repeatable;
    const auto object = rule.by_object
                            ? cookie_of(*request.parser, w.context.profile->object_cookie)
                            : std::string();
    if (!object.empty()) {
        const auto key = rule.path_prefix + object;
        request.object = XXH3_64bits(key.data(), key.size());
    }
}

void apply_service(const worker& w, caller_request& request)
{
    const auto& head = request.parser->get();
    const auto& definition = w.snapshot->services.find(request.service)->second.definition;
    const auto method = head.method_string();
    request.deadline = request.started + deadline_of(w, *request.parser, definition.deadline);
    request.repeatable =
        is_repeatable(definition, {method.data(), method.size()}, path_of(*request.parser));
    request.is_spilled = is_spilled(w, request.service, head);
}

} // namespace

std::string_view path_of(const caller_parser& parser)
{
    const auto target = parser.get().target();
    std::string_view path(target.data(), target.size());
    constexpr std::string_view authority_mark = "://";
    const auto authority = path.find(authority_mark);
    if (!path.starts_with('/') && authority != std::string_view::npos) {
        path.remove_prefix(authority + authority_mark.size());
        path.remove_prefix(std::min(path.find_first_of("/?"), path.size()));
    }
    return path.substr(0, path.find('?'));
}

std::string service_of(const caller_parser& parser)
{
    const auto value = parser.get()[beast::http::field::host];
    const std::string_view host(value.data(), value.size());
    return std::string(host.substr(0, host.find_first_of(".:")));
}

result_code check_request(const worker& w, const caller_parser& parser, const route_rule*& rule)
{
    if (!is_ready(w)) {
        return result_code::host_not_ready;
    }
    if (w.context.profile->has_routes) {
        rule = rule_for(w, parser);
        return rule == nullptr ? result_code::route_unknown : result_code::ok;
    }
    return w.snapshot->services.contains(service_of(parser)) ? result_code::ok
                                                             : result_code::service_unknown;
}

void fill_request(worker& w, caller_connection& connection, caller_parser& parser,
                  const route_rule* rule, caller_request& request)
{
    request.caller = &connection;
    request.parser = &parser;
    request.snapshot = w.snapshot;
    request.rule = rule;
    request.started = clock::now();
    request.keep_alive = parser.get().keep_alive();
    request.is_sampled = w.requests_read++ % sampling_interval == 0;
    request.id = request_id_of(w, parser);
    if (rule != nullptr) {
        apply_rule(w, request);
    } else {
        request.service = service_of(parser);
        apply_service(w, request);
    }
}

std::string request_id_of(const worker& w, const caller_parser& parser)
{
    const auto name = w.context.profile->request_id_header;
    return name.empty() ? std::string() : std::string(parser.get()[name]);
}

request_fingerprint fingerprint_of(const caller_request& request)
{
    const auto& head = request.parser->get();
    std::string text = request.service + " ";
    text += head.method_string();
    text += ' ';
    text += head.target();
    text += request.body;
    return XXH3_64bits(text.data(), text.size());
}

} // namespace almondquay
