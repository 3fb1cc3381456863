#pragma once

#include "claims/claim_reducer.h"
#include "common/hybrid_clock.h"
#include "config/fleet.h"
#include "config/fleet_envelope.h"
#include "config/process_settings.h"
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

/// All control state of one host. Only the reducer changes it.
namespace almondquay {

/// What the process learned from its settings.
struct host_identity {
    host_id host;
    failure_domain_id domain;
    incarnation life;
    std::vector<endpoint> seeds;
    almondquay::host registration{}; ///< what the store lists about this host
    std::map<failure_domain_id, region_id>
        domains{};              ///< where places lie, if the text does not say
    bool has_inventory = false; ///< the store lists targets and hosts
    decltype(store_protocol::parse_fleet) parse = nullptr; ///< reads the configuration's text
    shared_budgets budgets{};
    std::chrono::milliseconds news_within{2'000}; ///< a change is to be in force everywhere
    std::chrono::milliseconds stop_grace{0};      ///< from the stop signal to the end; 0: no limit
};

struct member {
    incarnation life;
    std::uint64_t beat = 0;
    bool leaving = false;
    bool starting = false; ///< does not serve yet
    bool alive = false;
    bool death_is_told = false;    ///< by a host of its own domain, which hears its beats directly
    monotonic_time died{};         ///< when it was taken for dead here
    monotonic_time last_advance{}; ///< when (life, beat) last became newer here
};

/// A neighbour that is asked for signs of life.
struct probed_host {
    monotonic_time silent_since{};
    monotonic_time last_question{};
    monotonic_time suspected_at{};    ///< zero: it is not suspected
    monotonic_time last_refutation{}; ///< when others were last asked to refute the suspicion
};

/// A host about which a peer asked, and whom to tell of a sign of life.
struct asked_about_host {
    endpoint asker;
    monotonic_time until{};
};

struct membership_state {
    std::map<host_id, member> members; ///< other hosts only
    std::uint64_t own_beat = 0;
    monotonic_time last_tick{};
    wall_time last_wall_tick{};
    double gossip_credit = 0;       ///< bytes that may be sent now
    std::uint64_t gossip_turns = 0; ///< messages sent, which decides whose turn it is
    std::map<host_id, probed_host> probed;
    std::map<host_id, asked_about_host> asked_about;
    std::string last_change; ///< id of the decision that last changed who is alive
};

struct fleet_state {
    std::optional<fleet_envelope> envelope;
    fleet text;
    block_table_ptr blocks;
    route_table_ptr routes;
    std::uint64_t fingerprint = 0;
    wall_time since{};
    std::string adopted_by; ///< id of the decision that put it in force
    object_version platform_version = 0;
    bool platform_answered = false; ///< at least once, or given up on for now
    bool platform_reachable = false;
    bool watch_running = false;
    bool write_running = false;
    unsigned failures = 0;       ///< platform calls failed in a row
    monotonic_time next_fetch{}; ///< from peers, if the store lists them
    monotonic_time next_watch{};
    std::set<generation> refused;        ///< generations whose text could not be read
    std::optional<generation> disagreed; ///< the generation a conflict was last recorded for
};

/// How far one list has been read.
struct inventory_list {
    store_revision at;
    store_revision changed;      ///< of the last answer that brought something
    monotonic_time confirmed{};  ///< when the list, as it stands, was last known to be whole
    monotonic_time asked_at{};   ///< when the first page of the list, or changes, were asked for
    store_revision read_at;      ///< of the first page of a list that is being read
    store_revision read_changed; ///< of the latest change on its pages so far
    bool is_complete = false;    ///< read whole once, here or by a peer
    bool had_news = false;       ///< the last answer brought something
    bool is_following = false;
    bool call_running = false;
    std::uint64_t call = 0; ///< number of the latest question
    unsigned failures = 0;  ///< in a row
    monotonic_time next_call{};
    monotonic_time behind_since{}; ///< since when peers are known to be ahead
    std::string page_after;        ///< of a list that is being read: where the next page begins
    std::set<std::string> seen;    ///< names on the pages so far
};

struct listed_target {
    registered_target entry;
    monotonic_time cold_until{};
};

/// A name that an answer or a peer's copy brought news of; the news are what is known of it now.
struct inventory_change {
    store_revision at; ///< the list's revision with it
    inventory_kind kind = inventory_kind::targets;
    std::string name;
};

struct inventory_state {
    std::array<inventory_list, inventory_kinds> lists;
    std::deque<inventory_change> changes; ///< the latest ones, oldest first
    inventory_revisions changes_since{};  ///< `changes` are whole after these revisions
    std::map<target_id, listed_target> targets;
    std::map<host_id, host> hosts;
    std::set<failure_domain_id> evacuated;
    std::map<target_id, monotonic_time> missing; ///< when targets that are no longer listed go
    std::set<std::string> unreadable;            ///< entries that were logged as such
    monotonic_time last_failure{};               ///< of any call to the store
    monotonic_time away_since{};                 ///< zero: the store answers, or never did
    monotonic_time answers_since{};              ///< when the store answered again after a failure
    monotonic_time next_peer_question{};
    monotonic_time next_starting_question{};
    bool repeats_announcement = false; ///< at the next tick, since datagrams get lost
    std::string news;                  ///< the latest changes, as peers are told of them
    std::size_t own_rank = 0;          ///< in the region, as of the latest tick
    bool is_registered = false;
    bool registration_running = false;
    monotonic_time next_registration{};
};

struct target_health {
    bool usable = true;
    unsigned failures = 0;
    unsigned good_probes = 0;
    bool refuses = false; ///< the latest failure was a connection that was not taken
    bool probe_running = false;
    monotonic_time next_probe{};
    monotonic_time unreachable_until{}; ///< zero: no connection was refused lately
    std::string decided_by;             ///< id of the decision that set `usable`
};

/// A request that was in flight when targets crashed.
struct suspect {
    std::string description;
    std::set<target_id> targets; ///< that crashed
    monotonic_time latest{};
};

struct quarantined_request {
    std::string description;
    monotonic_time until{};
    std::string decided_by;
};

inline inventory_list& list_of(inventory_state& inventory, inventory_kind kind)
{
    return inventory.lists.at(static_cast<std::size_t>(kind));
}

inline const inventory_list& list_of(const inventory_state& inventory, inventory_kind kind)
{
    return inventory.lists.at(static_cast<std::size_t>(kind));
}

enum class life_stage { starting, serving, leaving, ending };

struct control_state {
    host_identity self;
    fleet_state fleet;
    inventory_state inventory;
    membership_state membership;
    std::map<target_id, target_health> targets;
    std::set<target_id> unreachable_news; ///< not told yet
    std::map<request_fingerprint, suspect> suspects;
    std::map<request_fingerprint, quarantined_request> quarantined;
    claim_state claims;
    claim_world claim_view; ///< who is alive, for the claims; renewed with each snapshot
    life_stage stage = life_stage::starting;
    monotonic_time started{};        ///< of the first event
    monotonic_time now{};            ///< of the event that is being reduced
    monotonic_time leave_deadline{}; ///< when callers have forgotten this host
    std::string stop_decision;
    hybrid_time clock;
    std::uint64_t decisions = 0;
    std::mt19937_64 random;
    bool snapshot_is_stale = false;
    bool hosts_changed = false; ///< which the snapshot shows from the next tick on
};

} // namespace almondquay
