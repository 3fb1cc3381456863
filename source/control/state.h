#pragma once

#include "claims/claim_reducer.h"
#include "common/hybrid_clock.h"
#include "config/fleet.h"
#include "config/fleet_envelope.h"
#include "config/process_settings.h"
#include "control/list_content.h"
#include "peer/crash_evidence.h"
#include "peer/inventory_copy.h"
#include "steering/block_table.h"
#include "steering/route_table.h"
#include "store/store_protocol.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

/// The control state of one host. Only the reducer changes it.
namespace almondquay {

/// The identity and parameters of the host from its settings.
struct host_identity {
    host_id host;
    failure_domain_id domain;
    incarnation life;
    std::vector<endpoint> seeds;
    almondquay::host registration{}; ///< this host's entry in the store
    std::map<failure_domain_id, region_id>
        domains{};              ///< region of each domain, unless the configuration text defines it
    bool has_inventory = false; ///< the store lists targets and hosts
    parts_codec codec{};        ///< for configurations that are divided into parts
    shared_budgets budgets{};
    std::chrono::milliseconds max_propagation_delay{
        2'000};                              ///< time limit for a change to take effect everywhere
    std::chrono::milliseconds stop_grace{0}; ///< time limit for a graceful stop; 0: no limit
};

struct member {
    incarnation life;
    std::uint64_t beat = 0; ///< heartbeat counter; starts again with each incarnation
    bool leaving = false;
    bool starting = false; ///< does not serve yet
    bool alive = false;
    /// Declared dead by a host of its domain, which receives its heartbeats directly.
    bool is_death_confirmed = false;
    monotonic_time died{};         ///< when this host declared it dead
    monotonic_time last_advance{}; ///< when (life, beat) last increased on this host
};

/// A ring neighbour that this host pings.
struct probed_host {
    monotonic_time silent_since{};
    monotonic_time last_ping{};
    monotonic_time suspected_at{};       ///< zero if it is not suspected
    monotonic_time last_indirect_ping{}; ///< time of the last round of indirect pings
};

/// A suspected host that this host pings on behalf of a peer, which is notified of a reply.
struct indirect_ping {
    endpoint requester;
    monotonic_time until{};
};

struct membership_state {
    std::map<host_id, member> members; ///< other hosts only
    std::uint64_t own_beat = 0;
    monotonic_time last_tick{};
    monotonic_time resumed{};      ///< when this process last ran again after a pause
    monotonic_time last_message{}; ///< when gossip of another host last arrived
    wall_time last_wall_tick{};
    double gossip_credit = 0; ///< token bucket level in bytes
    std::uint64_t gossip_messages_sent =
        0; ///< number of messages sent; selects near or far receivers
    std::map<host_id, probed_host> probed;
    std::map<host_id, indirect_ping> indirect_pings;
    std::string last_change; ///< id of the decision that last changed the live hosts
};

struct fleet_state {
    std::optional<fleet_envelope> envelope;
    fleet configuration;
    block_table_ptr blocks;
    route_table_ptr routes;
    std::uint64_t fingerprint = 0;
    wall_time since{};
    std::string adopted_by; ///< id of the decision that put it in force
    object_version platform_version = 0;
    bool platform_answered = false; ///< a call has completed, successfully or not
    bool platform_reachable = false;
    monotonic_time last_answer{}; ///< when a call to the platform last succeeded
    bool watch_running = false;
    bool write_running = false;
    unsigned failures = 0; ///< consecutive failures of platform calls
    monotonic_time next_watch{};
    std::set<generation> refused;            ///< generations whose text could not be parsed
    std::optional<generation> last_conflict; ///< generation of the last recorded conflict
    std::string latest_change;               ///< encoded fleet_change to the generation in force
    generation latest_change_since;          ///< the generation to which it applies
    bool needs_whole_copy = false;           ///< a change did not fit the configuration in force
    /// The newest generation that a peer is known to have in force, and when that became known.
    generation newest_heard;
    monotonic_time heard_at{};
};

/// Synchronisation state of one list of the inventory.
struct inventory_list {
    store_revision at;             ///< changes up to this revision have been read
    store_revision changed;        ///< store revision of the latest change in the list
    monotonic_time confirmed{};    ///< when the current list was last known to be complete
    monotonic_time gap_ended{};    ///< when confirmations came again that had ceased for long
    monotonic_time queried_at{};   ///< when changes or the first page of the list were queried
    store_revision read_at;        ///< store revision of the first page of the list being read
    store_revision read_changed;   ///< store revision of the latest change on the pages read so far
    list_content content;          ///< not kept for the configuration
    bool needs_whole_copy = false; ///< changes from a peer did not lead to the peer's content
    bool is_complete = false;      ///< read completely from the store or copied from a peer
    bool had_changes = false;      ///< the last answer contained changes
    bool is_following = false;     ///< polls for changes instead of reading the whole list
    bool call_running = false;
    std::uint64_t call = 0; ///< sequence number of the latest query
    unsigned failures = 0;  ///< consecutive
    monotonic_time next_call{};
    monotonic_time behind_since{}; ///< since when peers are known to be ahead
    std::string page_after;     ///< last name on the previous page; the next page starts after it
    std::set<std::string> seen; ///< names on the pages read so far
};

struct listed_target {
    registered_target entry;
    monotonic_time cold_until{}; ///< until then it is sent requests only at a limited rate
    monotonic_time
        unused_until{}; ///< until then its entry may be outdated, and it gets no requests
};

/// A target that was removed.
struct departed_target {
    incarnation life;
    monotonic_time at{};
};

/// The name of a changed entry; the change itself is the current state of that entry.
struct inventory_change {
    store_revision at; ///< the list's revision after the change
    inventory_kind kind = inventory_kind::targets;
    std::string name;
};

struct inventory_state {
    std::array<inventory_list, inventory_kinds> lists;
    std::deque<inventory_change> changes; ///< the latest ones, oldest first
    inventory_revisions changes_since{};  ///< `changes` holds all changes after these revisions
    std::map<target_id, listed_target> targets;
    std::map<host_id, host> hosts;
    std::set<failure_domain_id> evacuated;
    /// Entries of each list that are no longer listed, and when they are removed.
    std::array<std::map<std::string, monotonic_time>, inventory_kinds> missing;
    std::map<target_id, departed_target> departed; ///< those removed a short time ago
    store_era era;                                 ///< the latest era of the store that is known
    monotonic_time era_began{};       ///< when this host learned of it; zero if it is the first one
    bool is_era_missing = false;      ///< the latest answers state no era that can be read
    std::set<std::string> unreadable; ///< entries already logged as unreadable
    monotonic_time last_failure{};    ///< time of the last failed call to the store
    monotonic_time unreachable_since{}; ///< zero if the store answers or never answered
    monotonic_time reachable_since{};   ///< when the store became reachable again
    monotonic_time next_peer_query{};
    std::map<endpoint, monotonic_time> copies_requested; ///< unanswered requests, by peer
    monotonic_time next_startup_query{};
    bool repeats_announcement = false; ///< at the next tick, since datagrams may get lost
    std::string encoded_changes;       ///< the latest changes, encoded for announcements
    std::size_t own_rank = 0;          ///< rank in the region at the latest tick; 0 is the first
    bool is_registered = false;
    bool registration_running = false;
    monotonic_time next_registration{};
};

struct target_health {
    bool usable = true;
    unsigned failures = 0;
    unsigned good_probes = 0;
    bool refuses = false; ///< the latest failure was a failed connect
    bool probe_running = false;
    monotonic_time next_probe{};
    monotonic_time unreachable_until{}; ///< zero if no connection was refused recently
    std::string decided_by;             ///< id of the decision that set `usable`
};

/// A request that was in flight when one or more targets crashed.
struct suspect {
    std::string description;
    std::set<target_id> targets; ///< targets that crashed
    monotonic_time latest{};
};

struct quarantined_request {
    std::string description;
    monotonic_time until{};
    std::string decided_by;
};

/// The permits that this host may issue for a target that has named a limit.
struct permit_bucket {
    incarnation life;
    double permits = 0;
    monotonic_time refilled{};
};

inline inventory_list& list_of(inventory_state& inventory, inventory_kind kind)
{
    return inventory.lists.at(static_cast<std::size_t>(kind));
}

inline const inventory_list& list_of(const inventory_state& inventory, inventory_kind kind)
{
    return inventory.lists.at(static_cast<std::size_t>(kind));
}

inline std::map<std::string, monotonic_time>& missing_of(inventory_state& inventory,
                                                         inventory_kind kind)
{
    return inventory.missing.at(static_cast<std::size_t>(kind));
}

inline const std::map<std::string, monotonic_time>& missing_of(const inventory_state& inventory,
                                                               inventory_kind kind)
{
    return inventory.missing.at(static_cast<std::size_t>(kind));
}

enum class life_stage { starting, serving, leaving, ending };

struct control_state {
    host_identity self;
    fleet_state fleet;
    inventory_state inventory;
    membership_state membership;
    std::map<target_id, target_health> targets;
    std::map<target_id, permit_bucket> limits;
    std::set<target_id> unreported_unreachable; ///< not reported to other hosts yet
    std::map<request_fingerprint, suspect> suspects;
    std::map<request_fingerprint, quarantined_request> quarantined;
    claim_state claims;
    claim_membership claim_view; ///< live hosts for the claim reducer; updated with each snapshot
    life_stage stage = life_stage::starting;
    monotonic_time started{};        ///< time of the first event
    monotonic_time now{};            ///< time of the event being reduced
    monotonic_time leave_deadline{}; ///< when cached look-up answers have expired
    monotonic_time
        stop_deadline{}; ///< when this process will be killed; zero if it is not stopping
    std::string stop_decision;
    hybrid_time clock;
    std::uint64_t decisions = 0;
    std::mt19937_64 random;
    bool snapshot_is_stale = false;
    bool hosts_changed = false; ///< a new snapshot is built at the next tick
};

} // namespace almondquay
