#pragma once

#include "control/reducer.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>

/// A deterministic simulation in virtual time: hosts that run the real reducer, a simulated store
/// and a simulated network.
namespace almondquay {

struct store_world_settings {
    std::size_t regions = 3;
    std::size_t domains_per_region = 2;
    std::size_t hosts_per_domain = 2;
    double loss = 0; ///< probability of the loss of a datagram
    std::uint64_t seed = 1;
    std::chrono::milliseconds max_propagation_delay{2'000};
    /// Rate at which each host sends copies to others; 0: unlimited.
    double link_bytes_per_second = 0;
};

/// Faults that can be injected at a host.
enum class host_fault {
    dead,   ///< processes no events and sends nothing
    frozen, ///< like dead, but resumes with its state when the fault ends
    deaf,   ///< its queries to the store are never answered
    alone,  ///< partitioned from the store and all other hosts
};

class store_world {
public:
    explicit store_world(const store_world_settings& settings);

    void run_for(std::chrono::milliseconds time);
    std::chrono::milliseconds now() const { return now_; }

    /// Change the store; each returns the revision of its change.
    store_revision put_target(const std::string& name, std::uint64_t life = 1);
    /// The target reports that it leaves.
    store_revision put_leaving_target(const std::string& name, std::uint64_t life = 1);
    store_revision delete_target(const std::string& name);
    store_revision put_evacuation(const std::string& domain);
    store_revision delete_evacuation(const std::string& domain);
    store_revision put_configuration(std::uint64_t number);
    /// A configuration with this many routes. One route's text differs between two generations.
    store_revision put_routes(std::uint64_t number, std::size_t count);

    /// Reports to the host that a request of its own was in flight when a target crashed.
    void report_crash(const host_id& id, const crash_evidence& evidence);
    /// Reports to the host that a target refused its connection.
    void report_refused_connection(const host_id& id, const target_id& target);
    /// A request of this host asks for a permit to be sent to a target that has named a limit.
    void want_permit(const host_id& id, const target_id& target, double limit);
    /// When permits were granted, by target.
    const std::map<target_id, std::vector<std::chrono::milliseconds>>& permits() const
    {
        return permits_;
    }

    /// Bytes of copies and of announced changes that the hosts have sent to each other.
    std::size_t copied_bytes() const { return copied_bytes_; }
    /// Number of decisions of one kind that a host has recorded, over all its incarnations.
    std::size_t decisions_of(const host_id& id, const std::string& kind) const;
    /// Number of calls between hosts that carried crash evidence.
    std::size_t evidence_calls() const { return evidence_calls_; }

    void set_fault(const host_id& id, host_fault fault);
    void clear_fault(const host_id& id);
    /// Kills a host's process and starts a new one.
    void restart(const host_id& id);
    void set_store_unreachable(bool away) { store_unreachable_ = away; }

    /// Takes a copy of the store, as a backup does.
    void copy_store();
    /// The store is unreachable for `away` and returns from its copy with a new era. Calls that
    /// run at its start are never answered. What operators and targets had written since the copy
    /// is written again, the latest state of each object once, `rewritten_after` its return; what
    /// hosts had written is lost.
    void restore_store(std::chrono::milliseconds away, std::chrono::milliseconds rewritten_after);

    /// The hosts that are registered in the store.
    std::set<host_id> registered_hosts() const;
    /// All hosts, and those that are followers of the store.
    std::vector<host_id> hosts() const;
    std::vector<host_id> followers() const;
    bool has_fault(const host_id& id) const { return faults_.contains(id); }

    const control_state& state_of(const host_id& id) const { return hosts_.at(id)->state; }
    /// Number of calls to the store by all hosts and by one host.
    std::size_t calls() const;
    std::size_t calls_of(const host_id& id) const { return hosts_.at(id)->calls; }

private:
    struct running_host {
        host self;
        control_state state;
        std::uint64_t life = 0; ///< events for an earlier incarnation are dropped
        std::size_t calls = 0;
        std::map<std::string, std::size_t> decisions; ///< number of them by kind
        std::chrono::milliseconds suspended{0}; ///< offset by which its steady clock is behind
        std::chrono::milliseconds frozen_at{0};
        std::chrono::milliseconds link_busy_until{0};
    };
    struct change {
        store_revision at;
        inventory_kind kind = inventory_kind::targets;
        std::string name;
    };
    struct pending_query {
        host_id querying_host;
        std::uint64_t life = 0;
        inventory_query query;
        bool is_completed = false;
    };
    using store_objects = std::array<std::map<std::string, inventory_item>, inventory_kinds>;
    struct store_copy {
        store_revision revision;
        store_objects objects;
        std::vector<change> history;
    };
    struct timed_action {
        std::chrono::milliseconds at;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const timed_action& other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    void after(std::chrono::milliseconds delay, std::function<void()> action);
    void start(const host_id& id);
    void tick(const host_id& id, std::uint64_t life);
    bool has(const host_id& id, host_fault fault) const;
    monotonic_time steady_time(const host_id& id) const;
    void deliver(const host_id& id, std::uint64_t life, event_body body);
    void run_effects(const host_id& id, const effects& all);
    static bool is_after(const change& c, const inventory_query& query);
    void query_store(const host_id& id, const inventory_query& query);
    void answer(const pending_query& waiting);
    void send(const host_id& from, const send_gossip_effect& e);
    void share(const host_id& from, const share_evidence_effect& e);
    /// An answer of a host to a request for a copy, and its size.
    struct copy_answer {
        event_body event;
        std::size_t bytes = 0;
    };
    void fetch(const host_id& from, const endpoint& peer,
               const std::function<copy_answer(const control_state&)>& answer,
               const event_body& failure);
    std::chrono::milliseconds time_to_send(running_host& sender, std::size_t bytes);
    store_revision commit_change(inventory_kind kind, const std::string& name,
                                 std::optional<inventory_item> item);
    void write_again(const std::vector<change>& lost, const store_objects& before);
    store_revision put_target(const std::string& name, std::uint64_t life, bool leaving);
    bool reaches_peers(const host_id& id) const;
    bool reaches_store(const host_id& id) const;
    host_id host_at(const endpoint& peer) const;

    store_world_settings settings_;
    std::mt19937_64 random_;
    std::chrono::milliseconds now_{1};
    std::uint64_t order_ = 0;
    std::priority_queue<timed_action> actions_;
    std::map<host_id, std::unique_ptr<running_host>> hosts_;
    std::map<host_id, host_fault> faults_;
    bool store_unreachable_ = false;
    std::size_t evidence_calls_ = 0;
    std::size_t copied_bytes_ = 0;
    std::uint64_t permit_requests_ = 0;
    std::map<std::uint64_t, target_id> permit_targets_; ///< by number of the request
    std::map<target_id, std::vector<std::chrono::milliseconds>> permits_;
    store_revision revision_{1, store_era(1)};
    store_objects objects_;
    std::vector<change> history_;
    store_copy copy_;
    std::vector<std::shared_ptr<pending_query>> waiting_;
};

} // namespace almondquay
