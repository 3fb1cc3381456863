#pragma once

#include "common/authentication.h"
#include "config/process_settings.h"
#include "control/effect.h"
#include "control/event.h"
#include "metrics/registry.h"
#include "steering/routing_snapshot.h"
#include "traffic/listener.h"
#include "traffic/slot_pool.h"
#include "traffic/traffic_events.h"
#include "traffic/wire_profile.h"

#include <cstdint>
#include <memory>
#include <vector>

/// The caller-facing side of an entry host: threads that answer look-ups and forward requests.
namespace almondquay {

struct traffic_settings {
    host_id host;
    failure_domain_id domain;
    shared_secret secret;
    std::vector<listener> listen;
    const wire_profile* profile = &builtin_profile;
    shared_budgets budgets;
    std::uint32_t threads = 1;
    std::uint32_t max_connections = 1; ///< for each listener and thread
};

class traffic_server {
public:
    /// Starts the threads. `events` are called from them. Errors: usage_error.
    static result<std::unique_ptr<traffic_server>> create(const traffic_settings& settings,
                                                          metrics::registry& metrics,
                                                          const traffic_events& events);
    ~traffic_server();
    traffic_server(const traffic_server&) = delete;
    traffic_server& operator=(const traffic_server&) = delete;

    /// Publishes a routing snapshot to all threads. Called from the control thread.
    void publish(const snapshot_ptr& snapshot);

    /// Delivers a claim's verdict to the request that waits for it. Called from the control thread.
    void deliver_verdict(const claim_verdict_effect& verdict);

    /// Delivers the answer to a request that waits for a permit. Called from the control thread.
    void deliver_permit(const permit_verdict_effect& verdict);

    /// Stops accepting requests; `on_drained` is called from any thread after the last one has
    /// ended.
    void stop(std::function<void()> on_drained);

    std::uint32_t in_flight(const target_id& target) const;

    struct shared_state;

private:
    explicit traffic_server(std::unique_ptr<shared_state> state);

    std::unique_ptr<shared_state> state_;
};

} // namespace almondquay
