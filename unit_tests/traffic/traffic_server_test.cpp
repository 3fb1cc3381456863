#include "traffic/traffic_server.h"

#include "config/process_settings.h"
#include "support/loopback.h"
#include "traffic/descriptor_limit.h"
#include "traffic/spill.h"

#include <atomic>
#include <chrono>
#include <future>
#include <stdexcept>
#include <string>
#include <thread>
#include <tuple>

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace almondquay {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

constexpr std::chrono::seconds longest{5};
constexpr std::uint32_t max_connections = 10;

std::string throwing_lookup(const std::vector<endpoint>& /*hosts*/,
                            std::chrono::milliseconds /*ttl*/)
{
    throw std::runtime_error("an unexpected exception");
}

const wire_profile throwing_profile{.lookup_path = "/lookup",
                                    .readiness_path = "/ready",
                                    .claims_non_idempotent = false,
                                    .encode_lookup = throwing_lookup};

std::string lookup_body(const std::vector<endpoint>& /*hosts*/, std::chrono::milliseconds /*ttl*/)
{
    return "hosts";
}

const wire_profile profile_with_routes{.lookup_path = "/lookup",
                                       .readiness_path = "/ready",
                                       .claims_non_idempotent = false,
                                       .has_routes = true,
                                       .encode_lookup = lookup_body};

/// A route over all paths.
route_rule rule_for_all()
{
    route_rule rule;
    rule.id.value = "all";
    rule.host = "ledger";
    rule.path_prefix = "/";
    rule.timeout = longest;
    rule.max_attempts = 1;
    rule.parts = {{service_id("ledger"), 1}};
    return rule;
}

/// While it exists, this process can open no further file descriptor.
struct no_descriptors {
    no_descriptors()
    {
        ::getrlimit(RLIMIT_NOFILE, &before);
        const auto lowest = ::open("/dev/null", O_RDONLY); // The kernel takes the lowest free one.
        ::close(lowest);
        auto none = before;
        none.rlim_cur = static_cast<rlim_t>(lowest);
        ::setrlimit(RLIMIT_NOFILE, &none);
    }
    ~no_descriptors() { ::setrlimit(RLIMIT_NOFILE, &before); }
    no_descriptors(const no_descriptors&) = delete;
    no_descriptors& operator=(const no_descriptors&) = delete;

    rlimit before{};
};

const std::string secret = "a secret for the test";

/// A host that is ready unless told otherwise, and whose only target refuses connections. It
/// listens for callers, look-ups and readiness checks at addresses of their own, and once more for
/// callers and look-ups together.
struct running_host {
    explicit running_host(const wire_profile& profile, bool starts_ready = true)
        : metrics(metrics::registry::create())
    {
        traffic_settings settings;
        settings.host.value = "h";
        settings.secret.bytes = secret;
        settings.listen = {{{"127.0.0.1", port}, listener_role::callers},
                           {{"127.0.0.1", lookup_port}, listener_role::lookups},
                           {{"127.0.0.1", readiness_port}, listener_role::readiness},
                           {{"127.0.0.1", shared_port}, listener_role::callers_and_lookups}};
        settings.profile = &profile;
        settings.max_connections = max_connections;
        traffic_events events;
        events.report = [this, throws = &profile == &throwing_profile](const auto& /*report*/) {
            ++target_reports;
            if (throws) {
                throw std::runtime_error("an unexpected exception");
            }
        };
        events.permit_wanted = [](const permit_wanted_event&) {};
        server = std::move(value_of(traffic_server::create(settings, *metrics, events)));
        if (starts_ready) {
            server->publish(make_snapshot(nullptr));
        }
    }

    static snapshot_ptr make_snapshot(const route_table_ptr& routes)
    {
        boost::intrusive_ptr<routing_snapshot> snapshot(new routing_snapshot);
        snapshot->routes = routes;
        snapshot->ready = true;
        snapshot->home.value = "r";
        snapshot->entry_hosts[snapshot->home] = {{"127.0.0.1", 1}};
        auto& ledger = snapshot->services["ledger"];
        ledger.are_targets_shared = true;
        target_route t;
        t.id.value = "t";
        t.address = {"127.0.0.1", free_port()};
        t.slots = 3;
        t.usable = true;
        ledger.targets = {t};
        return snapshot;
    }

    /// The response to one request on a connection of its own; empty if it is only closed.
    std::string ask(const std::string& path) const { return ask(port, "GET " + path); }

    /// The same at another port, with the method before the path and with further header lines.
    static std::string ask(std::uint16_t at, const std::string& method_and_path,
                           const std::string& headers = {})
    {
        asio::io_context io;
        tcp::socket socket(io);
        socket.connect({asio::ip::address_v4::loopback(), at});
        const auto text = method_and_path + " HTTP/1.1\r\nHost: ledger\r\nConnection: close\r\n" +
                          headers + "\r\n";
        asio::write(socket, asio::buffer(text));
        std::string answer;
        bool ended = false;
        asio::async_read(socket, asio::dynamic_buffer(answer),
                         [&ended](const error_code&, std::size_t) { ended = true; });
        io.run_for(longest);
        CPPUNIT_ASSERT_MESSAGE("the connection is closed", ended);
        return answer;
    }

    std::string check_readiness() const { return ask(readiness_port, "GET /ready"); }
    bool is_ready() const { return check_readiness().starts_with("HTTP/1.1 200 "); }

    /// Whether the host has no connection left soon after it was told to stop.
    bool drains() const
    {
        const auto drained = std::make_shared<std::promise<void>>();
        server->stop([drained] { drained->set_value(); });
        return drained->get_future().wait_for(longest) == std::future_status::ready;
    }

    std::atomic<unsigned> target_reports{0};
    std::uint16_t port = free_port();
    std::uint16_t lookup_port = free_port();
    std::uint16_t readiness_port = free_port();
    std::uint16_t shared_port = free_port();
    std::unique_ptr<metrics::registry> metrics;
    std::unique_ptr<traffic_server> server;
};

} // namespace

/// Guards a traffic thread against what ends the work of all its callers.
class traffic_server_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(traffic_server_test);
    CPPUNIT_TEST(an_exception_costs_one_connection);
    CPPUNIT_TEST(an_exception_in_an_attempt_costs_one_connection);
    CPPUNIT_TEST(a_permit_that_nobody_asked_for_is_dropped);
    CPPUNIT_TEST(without_routes_every_path_is_unknown);
    CPPUNIT_TEST(callers_get_no_answer_meant_for_other_addresses);
    CPPUNIT_TEST(lookups_and_readiness_are_served_at_their_own_address);
    CPPUNIT_TEST(a_shared_address_reserves_the_lookup_path);
    CPPUNIT_TEST(callers_that_fill_their_connections_take_none_elsewhere);
    CPPUNIT_TEST(a_stop_waits_for_callers_only);
    CPPUNIT_TEST(a_target_is_not_blamed_for_missing_descriptors);
    CPPUNIT_TEST(descriptors_are_left_to_targets_and_to_the_rest);
    CPPUNIT_TEST(the_settings_tell_what_is_served_where);
    CPPUNIT_TEST_SUITE_END();

public:
    void an_exception_costs_one_connection()
    {
        const running_host host(throwing_profile);
        CPPUNIT_ASSERT(host.is_ready());
        for (int i = 0; i < 20; ++i) { // More than there may be connections.
            CPPUNIT_ASSERT_EQUAL(std::string(), running_host::ask(host.lookup_port, "GET /lookup"));
        }
        CPPUNIT_ASSERT(host.is_ready());
        CPPUNIT_ASSERT(host.drains());
    }

    void an_exception_in_an_attempt_costs_one_connection()
    {
        const running_host host(throwing_profile);
        for (int i = 0; i < 20; ++i) {
            CPPUNIT_ASSERT_EQUAL(std::string(), host.ask("/tickets"));
        }
        CPPUNIT_ASSERT(host.is_ready());
        CPPUNIT_ASSERT(host.drains());
    }

    /// The number of the request comes from a peer.
    void a_permit_that_nobody_asked_for_is_dropped()
    {
        const running_host host(throwing_profile);
        host.server->deliver_permit({~std::uint64_t{0}, true, {}});
        host.server->deliver_permit({7, true, {}});
        CPPUNIT_ASSERT(host.is_ready());
    }

    /// Guards against requests that are passed on to the service that the Host header names, once
    /// the last route was removed.
    void without_routes_every_path_is_unknown()
    {
        const running_host host(profile_with_routes);
        route_rule rule;
        rule.host = "ledger";
        rule.path_prefix = "/tickets/";
        for (const auto& routes :
             {route_table_ptr(), make_route_table({}), make_route_table({rule})}) {
            host.server->publish(running_host::make_snapshot(routes));
            for (const auto* path : {"/", "/close-ledger", "/tickets"}) {
                CPPUNIT_ASSERT(host.ask(path).starts_with("HTTP/1.1 404 "));
            }
        }
    }

    /// Guards against requests of a route that covers the paths of look-ups and readiness checks,
    /// and that the host answers itself instead of routing them.
    void callers_get_no_answer_meant_for_other_addresses()
    {
        const running_host host(profile_with_routes, false);
        const auto all_answered = [&host](const std::string& status) {
            for (const auto* path : {"/ready", "/lookup", "/lookup?service=ledger", "/ready?"}) {
                for (const auto* method : {"GET ", "POST ", "HEAD ", "OPTIONS ", "get "}) {
                    const auto answer = running_host::ask(host.port, std::string(method) + path);
                    CPPUNIT_ASSERT_MESSAGE(method + (path + answer),
                                           answer.starts_with("HTTP/1.1 " + status));
                }
            }
        };
        all_answered("503 "); // Not ready yet.
        host.server->publish(running_host::make_snapshot(make_route_table({})));
        all_answered("404 ");
        host.server->publish(running_host::make_snapshot(make_route_table({rule_for_all()})));
        all_answered("503 "); // The route's only target refuses connections.
        CPPUNIT_ASSERT(
            running_host::ask(host.port, "GET http://ledger/ready").starts_with("HTTP/1.1 404 "));
        CPPUNIT_ASSERT(host.is_ready());
    }

    /// Guards against addresses that serve more than they are meant for.
    void lookups_and_readiness_are_served_at_their_own_address()
    {
        const running_host host(profile_with_routes);
        host.server->publish(running_host::make_snapshot(make_route_table({rule_for_all()})));
        for (const auto& [at, own, other] :
             {std::tuple(host.lookup_port, "/lookup", "/ready"),
              std::tuple(host.readiness_port, "/ready", "/lookup")}) {
            const std::string own_path(own);
            for (const auto& form : {own_path, own_path + "?a=b", "http://ledger" + own_path}) {
                CPPUNIT_ASSERT(running_host::ask(at, "GET " + form).starts_with("HTTP/1.1 200 "));
            }
            for (const auto* method : {"POST ", "HEAD ", "PUT ", "DELETE ", "OPTIONS ", "get "}) {
                const auto answer = running_host::ask(at, method + own_path);
                CPPUNIT_ASSERT(answer.starts_with("HTTP/1.1 405 "));
                CPPUNIT_ASSERT(answer.find("\r\nAllow: GET\r\n") != std::string::npos);
            }
            CPPUNIT_ASSERT(running_host::ask(at, "HEAD " + own_path).ends_with("\r\n\r\n"));
            for (const auto& path : {std::string(other), own_path + "/", "/." + own_path,
                                     std::string("/tickets"), std::string("*")}) {
                CPPUNIT_ASSERT(running_host::ask(at, "GET " + path).starts_with("HTTP/1.1 404 "));
            }
        }
    }

    /// Guards against requests that are passed on although their path is reserved, and against a
    /// host that answers what another host has routed already.
    void a_shared_address_reserves_the_lookup_path()
    {
        const running_host host(profile_with_routes);
        host.server->publish(running_host::make_snapshot(make_route_table({})));
        const auto status = [&host](const std::string& request, const std::string& headers = {}) {
            const auto answer = running_host::ask(host.shared_port, request, headers);
            return answer.substr(0, answer.find(' ', std::string("HTTP/1.1 ").size()));
        };
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), status("GET /lookup?a=b"));
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), status("GET http://ledger/lookup"));
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 405"), status("POST /lookup"));
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 404"), status("GET /ready"));
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 404"), status("GET /lookup/"));
        const auto spilled = std::string(spill_header) + ": " +
                             sign(shared_secret{secret}, "ledger GET /lookup") + "\r\n";
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 404"), status("GET /lookup", spilled));
    }

    /// Guards against a host that fails its readiness checks and look-ups because callers, who need
    /// send nothing, hold all connections that it allows.
    void callers_that_fill_their_connections_take_none_elsewhere()
    {
        for (const auto full : {listener_role::callers, listener_role::lookups}) {
            const running_host host(profile_with_routes);
            host.server->publish(running_host::make_snapshot(make_route_table({})));
            asio::io_context io;
            std::vector<tcp::socket> held;
            for (std::uint32_t i = 0; i < max_connections; ++i) {
                const auto at = full == listener_role::callers ? host.port : host.lookup_port;
                held.emplace_back(io).connect({asio::ip::address_v4::loopback(), at});
            }
            const std::string caller = full == listener_role::callers ? "503" : "404";
            const std::string lookup = full == listener_role::lookups ? "503" : "200";
            CPPUNIT_ASSERT(host.ask("/a").starts_with("HTTP/1.1 " + caller));
            CPPUNIT_ASSERT(running_host::ask(host.lookup_port, "GET /lookup")
                               .starts_with("HTTP/1.1 " + lookup));
            CPPUNIT_ASSERT(host.is_ready());
        }
    }

    /// Guards against look-ups and readiness checks that fail while a stopping host ends its
    /// requests, and against a stop that waits for their connections.
    void a_stop_waits_for_callers_only()
    {
        const running_host host(profile_with_routes);
        asio::io_context io;
        std::vector<tcp::socket> held;
        for (const auto at : {host.port, host.lookup_port, host.readiness_port}) {
            held.emplace_back(io).connect({asio::ip::address_v4::loopback(), at});
        }
        CPPUNIT_ASSERT(host.drains());
        CPPUNIT_ASSERT(
            running_host::ask(host.lookup_port, "GET /lookup").starts_with("HTTP/1.1 200 "));
        CPPUNIT_ASSERT(host.check_readiness().starts_with("HTTP/1.1 503 "));
        CPPUNIT_ASSERT(
            running_host::ask(host.readiness_port, "POST /ready").starts_with("HTTP/1.1 405 "));
    }

    /// Guards against targets that are left out, or requests that are quarantined, because the host
    /// itself has no file descriptor left for a connection.
    void a_target_is_not_blamed_for_missing_descriptors()
    {
        const running_host host(profile_with_routes);
        host.server->publish(running_host::make_snapshot(make_route_table({rule_for_all()})));
        CPPUNIT_ASSERT(host.ask("/a").starts_with("HTTP/1.1 503 "));
        const unsigned reports = host.target_reports;
        CPPUNIT_ASSERT(reports != 0); // Its target refuses connections.
        asio::io_context io;
        tcp::socket socket(io);
        socket.connect({asio::ip::address_v4::loopback(), host.port});
        asio::write(socket, asio::buffer(std::string("GET /a HTTP/1.1\r\n"))); // Has it accepted.
        std::this_thread::sleep_for(std::chrono::milliseconds{100});
        std::string answer;
        {
            const no_descriptors limit;
            asio::write(socket, asio::buffer(std::string("Host: ledger\r\n\r\n")));
            error_code problem;
            asio::read_until(socket, asio::dynamic_buffer(answer), "\r\n\r\n", problem);
        }
        CPPUNIT_ASSERT(answer.starts_with("HTTP/1.1 503 "));
        CPPUNIT_ASSERT_EQUAL(reports, host.target_reports.load());
        CPPUNIT_ASSERT(host.metrics->expose().find(R"(result="too_many_connections")") !=
                       std::string::npos);
    }

    void descriptors_are_left_to_targets_and_to_the_rest()
    {
        for (const int all : {1, 17, 64, 256, 1'024, 4'096, 1'048'576, 2'147'483'647}) {
            const auto limits = limits_of(all);
            CPPUNIT_ASSERT(0 < limits.callers);
            CPPUNIT_ASSERT(limits.callers <= limits.lookups && limits.lookups <= limits.targets);
            CPPUNIT_ASSERT(limits.targets <= all);
            const bool is_usual = all >= 64;
            CPPUNIT_ASSERT(!is_usual || limits.callers > all / 2);
            CPPUNIT_ASSERT(!is_usual || limits.callers < limits.lookups);
            CPPUNIT_ASSERT(!is_usual || limits.lookups < limits.targets);
            CPPUNIT_ASSERT(!is_usual || limits.targets < all);
            CPPUNIT_ASSERT(limit_for(limits, listener_role::readiness) >= all);
        }
    }

    void the_settings_tell_what_is_served_where()
    {
        process_settings settings;
        settings.address = "127.0.0.1";
        const auto roles = [&settings] {
            std::vector<listener_role> all;
            for (const auto& l : listeners_of(settings)) {
                all.push_back(l.role);
            }
            return all;
        };
        using roles_t = std::vector<listener_role>;
        CPPUNIT_ASSERT(roles() == roles_t{listener_role::callers_and_lookups});
        settings.store = store_kind::registry;
        CPPUNIT_ASSERT(roles() == roles_t{listener_role::callers});
        settings.lookups.port = 7002;
        settings.readiness.port = 7003;
        const roles_t separate{listener_role::callers, listener_role::lookups,
                               listener_role::readiness};
        CPPUNIT_ASSERT(roles() == separate);
        settings.store = store_kind::own;
        CPPUNIT_ASSERT(roles() == separate);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(traffic_server_test);

} // namespace almondquay
