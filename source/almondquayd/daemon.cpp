#include "almondquayd/daemon.h"

#include "almondquayd/interpreter.h"
#include "almondquayd/operator_api.h"
#include "control/reducer.h"
#include "http/server.h"
#include "logging/handler_failure.h"
#include "logging/log.h"
#include "platform/registry_protocol.h"
#include "platform/traffic_profile.h"
#include "store/http_object_store.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <initializer_list>
#include <sstream>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace almondquay {

namespace {

namespace asio = boost::asio;

/// Interval between checks of the settings file for changes made without a SIGHUP.
constexpr std::chrono::seconds settings_check_interval{2};

/// Components of a running host. Members are destroyed in reverse order of declaration, so each
/// one is declared after the members that it calls.
struct daemon_parts {
    explicit daemon_parts(const process_settings& s) : settings(s) {}

    const process_settings& settings;
    asio::io_context io{1};
    control_state state;
    timeline_ring timeline;
    std::unique_ptr<metrics::registry> metrics = metrics::registry::create();
    std::unique_ptr<http_object_store> store;
    std::unique_ptr<http::client> client;
    std::unique_ptr<gossip_channel> gossip;
    std::unique_ptr<rpc_server> rpc;
    std::unique_ptr<http::server> peer_server;
    std::unique_ptr<http::server> metrics_server;
    std::unique_ptr<traffic_server> traffic;
    interpreter effect_interpreter;
    asio::steady_timer tick_timer{io};
    asio::signal_set signals{io, SIGTERM, SIGINT, SIGHUP};
    std::string settings_text; ///< contents of the settings file when it was last read
    std::chrono::steady_clock::time_point next_settings_check{};
};

/// Work of the control thread that takes longer is logged.
constexpr std::chrono::milliseconds long_work{50};

void note_work(daemon_parts& d, std::string_view what, std::chrono::steady_clock::duration took)
{
    d.metrics->observe({"control_work_seconds", "", std::string(what)}, took);
    if (took >= long_work) {
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(took);
        log::write(log::level::info, "control_busy",
                   {{"work", std::string(what)}, {"took_ms", std::to_string(ms.count())}});
    }
}

void handle(daemon_parts& d, event_body body)
{
    const event e{std::move(body), std::chrono::steady_clock::now(),
                  std::chrono::system_clock::now()};
    log::run_logged(name_of(e.body),
                    [&] { execute_effects(d.effect_interpreter, reduce(d.state, e)); });
    note_work(d, name_of(e.body), std::chrono::steady_clock::now() - e.now);
}

std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Applies the settings that may change at runtime: seeds and the log level. Other changes need a
/// restart. If the file is invalid, its first error is logged and the settings stay as they are.
void reload_settings(daemon_parts& d, const std::string& why)
{
    const auto text = read_file(d.settings.file);
    if (text == d.settings_text) {
        log::write(log::level::info, "settings_unchanged", {{"why", why}});
        return;
    }
    const auto parsed = parse_process_settings(text, d.settings.file, process_kind::daemon);
    if (const auto* findings = std::get_if<diagnostics>(&parsed)) {
        log::write(log::level::error, "settings_refused",
                   {{"why", why}, {"finding", to_string(findings->front())}});
        return;
    }
    const auto& settings = std::get<process_settings>(parsed);
    d.settings_text = text;
    log::set_level(log::parse_level(settings.log_level));
    handle(d, settings_changed_event{settings.seeds});
    log::write(log::level::info, "settings_reloaded",
               {{"why", why},
                {"seeds", std::to_string(settings.seeds.size())},
                {"log_level", settings.log_level}});
}

/// Reloads the settings file if its contents changed without a SIGHUP.
void check_settings_file(daemon_parts& d)
{
    const auto now = std::chrono::steady_clock::now();
    if (now < d.next_settings_check) {
        return;
    }
    d.next_settings_check = now + settings_check_interval;
    const auto text = read_file(d.settings.file);
    if (!text.empty() && text != d.settings_text) {
        reload_settings(d, "file changed");
    }
}

void schedule_tick(daemon_parts& d)
{
    d.tick_timer.expires_after(tick_interval);
    d.tick_timer.async_wait([&d](const boost::system::error_code& problem) {
        if (!problem) {
            note_work(d, "tick_delay", std::chrono::steady_clock::now() - d.tick_timer.expiry());
            handle(d, tick_event{});
            log::run_logged("settings", [&d] { check_settings_file(d); });
            schedule_tick(d);
        }
    });
}

/// Logs what the shutdown is waiting for; called when a further stop signal arrives.
void log_shutdown_progress(const daemon_parts& d)
{
    std::uint32_t running = 0;
    for (const auto& [id, t] : d.state.fleet.configuration.targets) {
        running += d.traffic->in_flight(id);
    }
    const bool is_leaving = d.state.stage == life_stage::leaving;
    log::write(
        log::level::warning, "still_stopping",
        {{"waiting_for", is_leaving ? "cached lookups of this host to expire" : "running requests"},
         {"running_requests", std::to_string(running)}});
}

void wait_for_signal(daemon_parts& d)
{
    d.signals.async_wait([&d](const boost::system::error_code& problem, int signal) {
        if (problem) {
            return;
        }
        if (signal == SIGHUP) {
            log::run_logged("settings", [&d] { reload_settings(d, "signal"); });
            wait_for_signal(d);
            return;
        }
        const bool is_stopping =
            d.state.stage == life_stage::leaving || d.state.stage == life_stage::ending;
        if (is_stopping) {
            log_shutdown_progress(d);
        } else {
            handle(d, stop_requested_event{});
        }
        wait_for_signal(d);
    });
}

void publish_gauges(daemon_parts& d)
{
    const auto& calls = d.store->counts();
    d.metrics->set({"platform_calls_total", "", "read"}, static_cast<double>(calls.reads));
    d.metrics->set({"platform_calls_total", "", "write"}, static_cast<double>(calls.writes));
    d.metrics->set({"platform_calls_total", "", "watch"}, static_cast<double>(calls.watches));
    d.metrics->set({"gossip_bytes_total", "", ""}, static_cast<double>(d.gossip->bytes_sent()));
    const auto in_force = d.state.fleet.envelope ? d.state.fleet.envelope->number.value : 0;
    d.metrics->set({"generation_in_force", "", ""}, static_cast<double>(in_force));
}

void answer_metrics(daemon_parts& d, const http::request& request, const http::responder& respond)
{
    if (request.method != "GET" || request.path != "/metrics") {
        respond({http::status_not_found, {}, {}});
        return;
    }
    publish_gauges(d);
    respond(
        {http::status_ok, {{"Content-Type", "text/plain; version=0.0.4"}}, d.metrics->expose()});
}

void answer_peer(daemon_parts& d, const http::request& request, const http::responder& respond)
{
    if (request.method == "POST" && request.path == rpc_path) {
        const auto began = std::chrono::steady_clock::now();
        auto answer = d.rpc->handle(request);
        note_work(d, "answer_peer", std::chrono::steady_clock::now() - began);
        respond(std::move(answer));
    } else {
        answer_metrics(d, request, respond);
    }
}

result<done> open_metrics_server(daemon_parts& d)
{
    if (d.settings.metrics.port == 0) {
        return done{};
    }
    auto opened =
        http::server::create(d.io, d.settings.metrics,
                             [&d](const http::request& request, const http::responder& respond) {
                                 answer_metrics(d, request, respond);
                             });
    if (!succeeded(opened)) {
        return error_of(opened);
    }
    d.metrics_server = std::move(value_of(opened));
    return done{};
}

result<done> open_peer_servers(daemon_parts& d)
{
    const endpoint at{d.settings.address, d.settings.peer_port};
    auto gossip =
        gossip_channel::create(d.io, at, d.settings.secret, [&d](result<gossip_message> message) {
            if (succeeded(message)) {
                handle(d, gossip_event{std::move(value_of(message))});
            } else {
                d.metrics->add(
                    {"gossip_refused_total", "", std::string(name_of(error_of(message).code))});
            }
        });
    if (!succeeded(gossip)) {
        return error_of(gossip);
    }
    d.gossip = std::move(value_of(gossip));
    auto peer_server = http::server::create(
        d.io, at, [&d](const http::request& request, const http::responder& respond) {
            answer_peer(d, request, respond);
        });
    if (!succeeded(peer_server)) {
        return error_of(peer_server);
    }
    d.peer_server = std::move(value_of(peer_server));
    return done{};
}

const store_protocol& protocol_of(const process_settings& settings)
{
    static const store_protocol no_inventory;
    return settings.store == store_kind::registry ? platform::registry_protocol : no_inventory;
}

host_identity identity_of(const process_settings& s, std::uint64_t life)
{
    host_identity self;
    self.host = s.host;
    self.domain = s.domain;
    self.life = incarnation(life);
    self.seeds = s.seeds;
    self.registration = {
        s.host, s.domain, {s.address, s.caller_port}, {s.address, s.peer_port}, s.weight};
    self.domains = s.domains;
    self.has_inventory = s.store == store_kind::registry;
    self.codec = protocol_of(s).configuration;
    self.budgets = s.budgets;
    self.max_propagation_delay = s.max_propagation_delay;
    self.stop_grace = s.stop_grace;
    return self;
}

result<done> open_caller_server(daemon_parts& d, const std::function<void(event_body)>& emit)
{
    const bool is_registry = d.settings.store == store_kind::registry;
    const traffic_settings settings{d.settings.host,
                                    d.settings.domain,
                                    d.settings.secret,
                                    listeners_of(d.settings),
                                    is_registry ? &platform::traffic_profile : &builtin_profile,
                                    d.settings.budgets,
                                    d.settings.traffic_threads,
                                    d.settings.max_connections};
    const traffic_events events{
        [emit](target_report_event report) { emit(std::move(report)); },
        [emit](crash_evidence evidence) {
            emit(crash_evidence_event{std::move(evidence), false});
        },
        [emit](request_fingerprint fingerprint) { emit(request_cleared_event{fingerprint}); },
        [emit](claim_requested_event wanted) { emit(claim_event{wanted}); },
        [emit](claim_finished_event finished) { emit(claim_event{std::move(finished)}); },
        [emit](permit_wanted_event wanted) { emit(std::move(wanted)); }};
    auto traffic = traffic_server::create(settings, *d.metrics, events);
    if (!succeeded(traffic)) {
        return error_of(traffic);
    }
    d.traffic = std::move(value_of(traffic));
    return done{};
}

result<done> open_all(daemon_parts& d)
{
    const auto emit = [&d](event_body body) {
        asio::post(d.io, [&d, body = std::move(body)]() mutable { handle(d, std::move(body)); });
    };
    d.store = http_object_store::create(d.io, d.settings.platform, d.settings.platform_timeout,
                                        protocol_of(d.settings));
    d.client = http::client::create(d.io);
    auto peer_servers = open_peer_servers(d);
    if (!succeeded(peer_servers)) {
        return peer_servers;
    }
    auto metrics_server = open_metrics_server(d);
    if (!succeeded(metrics_server)) {
        return metrics_server;
    }
    auto caller_server = open_caller_server(d, emit);
    if (!succeeded(caller_server)) {
        return caller_server;
    }
    d.rpc = rpc_server::create(d.settings.secret,
                               make_operator_api(d.state, d.timeline, *d.traffic, emit));
    d.effect_interpreter = {&d.settings,     d.store.get(), d.client.get(), d.gossip.get(),
                            d.traffic.get(), &d.timeline,   emit,           [&d] { d.io.stop(); }};
    return done{};
}

/// The addresses of the listeners with one of these roles, or "none".
std::string addresses_of(const std::vector<listener>& all,
                         std::initializer_list<listener_role> roles)
{
    std::string text;
    for (const auto& [at, role] : all) {
        if (std::ranges::find(roles, role) != roles.end()) {
            text += (text.empty() ? "" : ",") + to_string(at);
        }
    }
    return text.empty() ? "none" : text;
}

void log_start(const process_settings& settings)
{
    using enum listener_role;
    const auto all = listeners_of(settings);
    log::write(log::level::info, "started",
               {{"callers", addresses_of(all, {callers, callers_and_lookups})},
                {"lookups", addresses_of(all, {lookups, callers_and_lookups})},
                {"readiness", addresses_of(all, {readiness})},
                {"peers", settings.address + ":" + std::to_string(settings.peer_port)}});
}

} // namespace

result<done> run_daemon(const process_settings& settings)
{
    daemon_parts d(settings);
    const auto life = milliseconds_of(std::chrono::system_clock::now());
    d.state =
        make_control_state(identity_of(settings, life), life ^ std::hash<host_id>{}(settings.host));
    auto opened = open_all(d);
    if (!succeeded(opened)) {
        return opened;
    }
    log_start(settings);
    d.settings_text = read_file(settings.file);
    wait_for_signal(d);
    handle(d, tick_event{});
    schedule_tick(d);
    log::run_handlers(d.io, "control");
    log::write(log::level::info, "stopped");
    return done{};
}

} // namespace almondquay
