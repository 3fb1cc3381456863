#include "traffic/slot_pool.h"

#include <algorithm>
#include <map>
#include <mutex>

namespace almondquay {

namespace {

struct target_entry {
    target_route route;
    std::uint32_t in_flight = 0;
    bool listed = false; ///< still in the latest snapshot
};

struct service_entry {
    std::vector<target_entry> targets;
    boost::intrusive::list<slot_waiter, boost::intrusive::constant_time_size<false>> waiters;
};

bool is_excluded(const std::vector<target_id>& excluded, const target_id& id)
{
    return std::ranges::find(excluded, id) != excluded.end();
}

bool has_free_slot(const target_entry& t)
{
    return t.listed && t.route.usable && t.in_flight < t.route.slots;
}

/// Takes a slot of the free target that uses the smallest fraction of its share. The target moves
/// to the back of the list, so that equally used targets take turns.
std::optional<slot> take_least_used(const std::string& service, service_entry& entry,
                                    const std::vector<target_id>& excluded, bool spill)
{
    target_entry* best = nullptr;
    for (auto& t : entry.targets) {
        if (t.route.is_spill != spill || !has_free_slot(t) || is_excluded(excluded, t.route.id)) {
            continue;
        }
        const bool is_better =
            best == nullptr || std::uint64_t{t.in_flight} * best->route.slots <
                                   std::uint64_t{best->in_flight} * t.route.slots;
        best = is_better ? &t : best;
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    ++best->in_flight;
    const auto& route = best->route;
    slot taken{service,           route.id,       route.address,
               route.sheds_unrun, route.is_spill, route.bytes_per_second};
    std::rotate(best, best + 1, entry.targets.data() + entry.targets.size());
    return taken;
}

std::optional<slot> take(const std::string& service, service_entry& entry,
                         const std::vector<target_id>& excluded, bool may_spill)
{
    auto taken = take_least_used(service, entry, excluded, false);
    return taken || !may_spill ? std::move(taken) : take_least_used(service, entry, excluded, true);
}

void serve_waiters(const std::string& service, service_entry& entry)
{
    for (auto waiter = entry.waiters.begin(); waiter != entry.waiters.end();) {
        auto granted = take(service, entry, waiter->excluded, waiter->may_spill);
        if (!granted) {
            ++waiter;
            continue;
        }
        waiter->granted = std::move(granted);
        auto& woken = *waiter;
        waiter = entry.waiters.erase(waiter);
        woken.wake();
    }
}

std::size_t slots_of(const service_entry& entry)
{
    std::size_t slots = 0;
    for (const auto& t : entry.targets) {
        slots += t.listed && t.route.usable ? t.route.slots : 0;
    }
    return slots;
}

std::vector<target_entry>::iterator find_target(service_entry& entry, const target_id& id)
{
    return std::ranges::find_if(entry.targets,
                                [&](const target_entry& t) { return t.route.id == id; });
}

void update_targets(service_entry& entry, const std::vector<target_route>& routes)
{
    for (const auto& route : routes) {
        const auto found = find_target(entry, route.id);
        if (found == entry.targets.end()) {
            entry.targets.push_back({route, 0, true});
        } else {
            found->route = route;
            found->listed = true;
        }
    }
}

} // namespace

struct slot_pool::shared_state {
    mutable std::mutex mutex;
    std::map<std::string, service_entry, std::less<>> services;
};

std::unique_ptr<slot_pool> slot_pool::create()
{
    return std::unique_ptr<slot_pool>(new slot_pool());
}

slot_pool::slot_pool() : state_(std::make_unique<shared_state>()) {}

slot_pool::~slot_pool() = default;

void slot_pool::apply(const routing_snapshot& snapshot)
{
    const std::scoped_lock lock(state_->mutex);
    for (auto& [name, entry] : state_->services) {
        for (auto& t : entry.targets) {
            t.listed = false;
        }
    }
    for (const auto& [name, routes] : snapshot.services) {
        if (routes.are_targets_shared) {
            continue; // Slots of shared targets are not divided among hosts.
        }
        update_targets(state_->services[name], routes.targets);
    }
    for (auto& [name, entry] : state_->services) {
        std::erase_if(entry.targets,
                      [](const target_entry& t) { return !t.listed && t.in_flight == 0; });
        serve_waiters(name, entry);
    }
}

std::optional<slot> slot_pool::try_take(std::string_view service,
                                        const std::vector<target_id>& excluded, bool may_spill)
{
    const std::scoped_lock lock(state_->mutex);
    const auto found = state_->services.find(service);
    if (found == state_->services.end() || !found->second.waiters.empty()) {
        return std::nullopt; // Queued waiters take precedence.
    }
    return take(found->first, found->second, excluded, may_spill);
}

bool slot_pool::enqueue(std::string_view service, slot_waiter& waiter)
{
    const std::scoped_lock lock(state_->mutex);
    const auto found = state_->services.find(service);
    if (found == state_->services.end()) {
        return false;
    }
    auto& entry = found->second;
    if (entry.waiters.size() >= waiters_per_slot * slots_of(entry)) {
        return false;
    }
    entry.waiters.push_back(waiter);
    serve_waiters(found->first, entry); // A slot may have been returned since `try_take`.
    return true;
}

void slot_pool::cancel(std::string_view service, slot_waiter& waiter)
{
    const std::scoped_lock lock(state_->mutex);
    const auto found = state_->services.find(service);
    if (found != state_->services.end() && waiter.is_linked()) {
        found->second.waiters.erase(found->second.waiters.iterator_to(waiter));
    }
}

void slot_pool::give_back(const slot& s)
{
    const std::scoped_lock lock(state_->mutex);
    const auto found = state_->services.find(s.service);
    if (found == state_->services.end()) {
        return;
    }
    auto& entry = found->second;
    const auto target = find_target(entry, s.target);
    if (target != entry.targets.end()) {
        --target->in_flight;
        serve_waiters(found->first, entry);
    }
}

std::uint32_t slot_pool::in_flight(const target_id& target) const
{
    const std::scoped_lock lock(state_->mutex);
    std::uint32_t running = 0;
    for (const auto& [name, entry] : state_->services) {
        for (const auto& t : entry.targets) {
            running += t.route.id == target ? t.in_flight : 0;
        }
    }
    return running;
}

bool slot_pool::has_usable_target(std::string_view service) const
{
    const std::scoped_lock lock(state_->mutex);
    const auto found = state_->services.find(service);
    return found != state_->services.end() && slots_of(found->second) > 0;
}

} // namespace almondquay
