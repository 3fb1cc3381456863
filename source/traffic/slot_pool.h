#pragma once

#include "steering/routing_snapshot.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/intrusive/list.hpp>

/// This host's share of the targets' slots, used by all its traffic threads.
namespace almondquay {

/// Permit to run one request on a target. Must be returned with `give_back` exactly once.
struct slot {
    std::string service;
    target_id target;
    endpoint address;
    bool sheds_unrun = false;     ///< status 503 means that the request was not run
    bool is_spill = false;        ///< the target is an entry host of another failure domain
    double bytes_per_second = 0;  ///< rate limit of a spilled request
    bool checks_identity = false; ///< rejects requests for another target instance
    incarnation life{};
};

/// A request that waits for a slot. Owned by its coroutine; the pool only links it.
struct slot_waiter
    : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
    std::vector<target_id> excluded; ///< targets that have failed this request already
    bool may_spill = false;
    std::function<void()> wake; ///< called once from any thread when `granted` is set
    std::optional<slot> granted;
};

/// All functions may be called from any thread.
class slot_pool {
public:
    static std::unique_ptr<slot_pool> create();
    ~slot_pool();
    slot_pool(const slot_pool&) = delete;
    slot_pool& operator=(const slot_pool&) = delete;

    /// Applies the slot limits and usability of targets. Slots in use beyond a lowered limit are
    /// not revoked, but no new one is granted until enough have been returned.
    void apply(const routing_snapshot& snapshot);

    /// Takes a slot of the least used target. Returns nothing if all are busy, unusable or
    /// excluded, or if other requests are waiting. Other failure domains are used only if this
    /// host's own has no free slot and `may_spill` is set.
    std::optional<slot> try_take(std::string_view service, const std::vector<target_id>& excluded,
                                 bool may_spill = false);

    /// Queues the waiter. Returns false if the queue is full; the request is then refused
    /// immediately.
    bool enqueue(std::string_view service, slot_waiter& waiter);

    /// Removes the waiter from the queue. A slot granted in the meantime stays in `granted`.
    void cancel(std::string_view service, slot_waiter& waiter);

    /// Returns a slot, which may be granted to a waiter at once.
    void give_back(const slot& s);

    /// Number of requests from this host that run on the target.
    std::uint32_t in_flight(const target_id& target) const;

    /// Whether the service has at least one usable target with slots for this host.
    bool has_usable_target(std::string_view service) const;

    struct shared_state;

private:
    slot_pool();

    std::unique_ptr<shared_state> state_;
};

/// Maximum number of waiters per slot of a service; more would only wait past their deadlines.
constexpr std::size_t waiters_per_slot = 8;

} // namespace almondquay
