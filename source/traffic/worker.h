#pragma once

#include "common/authentication.h"
#include "control/effect.h"
#include "control/event.h"
#include "metrics/registry.h"
#include "steering/routing_snapshot.h"
#include "traffic/caller_connection.h"
#include "traffic/descriptor_limit.h"
#include "traffic/listener.h"
#include "traffic/placement.h"
#include "traffic/retry_budget.h"
#include "traffic/route_estimate.h"
#include "traffic/slot_pool.h"
#include "traffic/target_statements.h"
#include "traffic/traffic_events.h"
#include "traffic/upstream_pool.h"
#include "traffic/wire_profile.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

#include <boost/asio/steady_timer.hpp>

/// A traffic thread: its listeners, its callers' connections and its routing snapshot.
namespace almondquay {

/// Settings and objects that are passed to each traffic thread.
struct traffic_context {
    host_id host;
    failure_domain_id domain;
    shared_secret secret; ///< signs spilled requests between hosts
    std::vector<listener> listen;
    const wire_profile* profile = &builtin_profile;
    shared_budgets budgets;
    std::uint32_t max_connections = 0; ///< for each listener and thread
    descriptor_limits descriptors;
    slot_pool* slots = nullptr;
    statement_board* statements = nullptr;
    metrics::registry* metrics = nullptr;
    traffic_events events;
    std::uint64_t first_request = 0; ///< number of this thread's first claim request
};

/// A request that waits for the verdict on its claim.
struct verdict_wait {
    explicit verdict_wait(asio::io_context& io) : signal(io, asio::steady_timer::time_point::max())
    {
    }

    asio::steady_timer signal;
    std::optional<claim_verdict_effect> verdict;
};

/// A request that waits for a permit to be sent to a target that has named a limit.
struct permit_wait {
    explicit permit_wait(asio::io_context& io) : signal(io) {}

    asio::steady_timer signal;
    std::optional<permit_verdict_effect> verdict;
};

struct open_listener {
    open_listener(asio::io_context& io, listener_role r) : role(r), acceptor(io) {}

    listener_role role;
    tcp::acceptor acceptor;
    std::uint32_t connections = 0; ///< accepted here and still open
};

/// The state of a traffic thread. Accessed only by the thread that runs `io`.
struct worker {
    explicit worker(traffic_context shared)
        : context(std::move(shared)), upstreams(io), random(context.first_request + 1)
    {
        upstreams.descriptor_limit = context.descriptors.targets;
    }

    traffic_context context;
    asio::io_context io{1};
    std::vector<open_listener> listeners;
    upstream_pool upstreams;
    snapshot_ptr snapshot;
    boost::intrusive::list<caller_connection> callers;
    std::map<std::string, retry_budget, std::less<>> budgets;
    load_table loads; ///< of targets that all hosts share
    std::map<route_id, route_estimate> routes;
    std::map<std::string, double, std::less<>> slowest_response_ms; ///< by service
    std::mt19937_64 random;
    std::chrono::steady_clock::time_point log_window_start{};
    unsigned failure_lines = 0; ///< log lines written in this window
    unsigned success_lines = 0;
    std::uint64_t log_lines_dropped = 0; ///< lines about failures not written in this window
    std::uint64_t requests_read = 0;     ///< selects the requests that are logged as a sample
    std::map<target_id, unsigned> consecutive_failures;
    std::map<std::uint64_t, verdict_wait*> verdicts; ///< by number of the claim request
    std::uint64_t claim_requests = 0;                ///< number of claims requested so far
    std::map<std::uint64_t, permit_wait*> permits;   ///< by number of the permit request
    std::uint64_t permit_requests = 0;               ///< number of permits requested so far
    std::set<request_fingerprint> suspects; ///< sent by this thread to a target that then crashed
    bool stopping = false;
    std::function<void()> on_drained; ///< called once when the last connection has ended
};

/// Opens the listeners and starts accepting connections. Errors: usage_error.
result<done> start_listening(worker& w);

/// Stops accepting callers, closes their idle connections and calls `on_drained` after the last
/// request. Look-ups and readiness checks with addresses of their own are answered until the end.
void stop_listening(worker& w, std::function<void()> on_drained);

/// Wakes the request that waits for this verdict.
void take_verdict(worker& w, const claim_verdict_effect& verdict);

/// Wakes the request that waits for this permit, if it still does.
void take_permit(worker& w, const permit_verdict_effect& verdict);

/// Updates the slowest recent response time of a service, which decays with each response.
void note_response_time(worker& w, const std::string& service,
                        std::chrono::steady_clock::duration took);

/// Reports failures, and the first success after failures, to the control thread.
void report_target(worker& w, const target_id& target, target_evidence evidence);

} // namespace almondquay
