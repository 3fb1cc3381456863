#include "control/store_world.h"

#include "control/peer_inventory.h"
#include "control/store_followers.h"

#include <algorithm>

namespace almondquay {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds peer_delay{6};
constexpr milliseconds store_delay{8};
constexpr milliseconds call_timeout{1'000};
constexpr std::size_t page_size = 50;

std::variant<fleet, diagnostics> parse_parts(const part_texts& parts)
{
    fleet f;
    for (const auto& [name, text] : parts) {
        if (name.starts_with("service/")) {
            service s;
            s.id.value = "s";
            f.services.emplace(s.id, s);
        } else {
            route_rule rule;
            rule.id.value = name;
            rule.host = "a.example";
            rule.path_prefix = "/" + text + "/";
            f.routes.push_back(rule);
        }
    }
    return f;
}

fleet_parts service_alone()
{
    fleet_parts parts;
    set_part(parts, "service/s", "s");
    return parts;
}

result<fleet_parts> split_text(std::string_view /*text*/)
{
    return service_alone();
}

std::size_t index_of(inventory_kind kind)
{
    return static_cast<std::size_t>(kind);
}

} // namespace

store_world::store_world(const store_world_settings& settings)
    : settings_(settings), random_(settings.seed)
{
    std::size_t number = 0;
    for (std::size_t r = 0; r < settings.regions; ++r) {
        for (std::size_t d = 0; d < settings.domains_per_region; ++d) {
            const auto domain = "r" + std::to_string(r) + "-" + std::to_string(d);
            for (std::size_t h = 0; h < settings.hosts_per_domain; ++h) {
                auto running = std::make_unique<running_host>();
                const auto address = "10." + std::to_string(r) + "." + std::to_string(d) + "." +
                                     std::to_string(h + 1);
                running->self = {host_id("edge-" + domain + "-" + std::to_string(h)),
                                 failure_domain_id(domain),
                                 {address, 7000},
                                 {address, 7001}};
                ++number;
                hosts_.emplace(running->self.id, std::move(running));
            }
        }
    }
    put_configuration(1);
    for (const auto& id : hosts()) {
        after(milliseconds(random_() % 300), [this, id] { start(id); });
    }
}

std::vector<host_id> store_world::hosts() const
{
    std::vector<host_id> all;
    for (const auto& [id, running] : hosts_) {
        all.push_back(id);
    }
    return all;
}

std::set<host_id> store_world::registered_hosts() const
{
    std::set<host_id> registered;
    for (const auto& [name, item] : objects_.at(index_of(inventory_kind::hosts))) {
        registered.emplace(name);
    }
    return registered;
}

std::vector<host_id> store_world::followers() const
{
    std::vector<host_id> all;
    for (const auto& [id, running] : hosts_) {
        if (follows_store(running->state, steady_time(id))) {
            all.push_back(id);
        }
    }
    return all;
}

void store_world::after(milliseconds delay, std::function<void()> action)
{
    actions_.push({now_ + delay, order_++, std::move(action)});
}

void store_world::run_for(milliseconds time)
{
    const auto end = now_ + time;
    while (!actions_.empty() && actions_.top().at <= end) {
        const auto next = actions_.top();
        actions_.pop();
        now_ = std::max(now_, next.at);
        next.run();
    }
    now_ = end;
}

void store_world::start(const host_id& id)
{
    auto& running = *hosts_.at(id);
    host_identity self;
    self.host = id;
    self.domain = running.self.domain;
    self.life = incarnation(static_cast<std::uint64_t>(now_.count()));
    self.registration = running.self;
    self.has_inventory = true;
    self.codec = {split_text, nullptr, parse_parts};
    self.max_propagation_delay = settings_.max_propagation_delay;
    for (const auto& [other, h] : hosts_) {
        const auto& domain = h->self.domain;
        self.domains[domain] = region_id(domain.value.substr(0, domain.value.find('-')));
    }
    for (auto seed = hosts_.begin(); self.seeds.size() < 3 && seed != hosts_.end(); ++seed) {
        self.seeds.push_back(seed->second->self.peers);
    }
    ++running.life;
    running.state = make_control_state(self, random_());
    tick(id, running.life);
}

void store_world::tick(const host_id& id, std::uint64_t life)
{
    deliver(id, life, tick_event{});
    if (hosts_.at(id)->life == life) {
        after(tick_interval, [this, id, life] { tick(id, life); });
    }
}

void store_world::deliver(const host_id& id, std::uint64_t life, event_body body)
{
    auto& running = *hosts_.at(id);
    if (running.life != life || has(id, host_fault::dead)) {
        return;
    }
    if (has(id, host_fault::frozen)) {
        constexpr milliseconds redelivery_interval{20};
        after(redelivery_interval,
              [this, id, life, body = std::move(body)] { deliver(id, life, body); });
        return;
    }
    const event e{std::move(body), steady_time(id), wall_time(now_)};
    run_effects(id, reduce(running.state, e));
}

bool store_world::has(const host_id& id, host_fault fault) const
{
    const auto found = faults_.find(id);
    return found != faults_.end() && found->second == fault;
}

monotonic_time store_world::steady_time(const host_id& id) const
{
    return monotonic_time(now_ - hosts_.at(id)->suspended);
}

std::size_t store_world::calls() const
{
    std::size_t all = 0;
    for (const auto& [id, running] : hosts_) {
        all += running->calls;
    }
    return all;
}

std::size_t store_world::decisions_of(const host_id& id, const std::string& kind) const
{
    const auto& decisions = hosts_.at(id)->decisions;
    const auto found = decisions.find(kind);
    return found == decisions.end() ? 0 : found->second;
}

bool store_world::reaches_peers(const host_id& id) const
{
    const auto found = faults_.find(id);
    return found == faults_.end() || found->second == host_fault::deaf;
}

bool store_world::reaches_store(const host_id& id) const
{
    return !store_unreachable_ && !faults_.contains(id);
}

host_id store_world::host_at(const endpoint& peer) const
{
    const auto found = std::ranges::find_if(
        hosts_, [&](const auto& entry) { return entry.second->self.peers == peer; });
    return found == hosts_.end() ? host_id{} : found->first;
}

void store_world::run_effects(const host_id& id, const effects& all)
{
    const auto life = hosts_.at(id)->life;
    for (const auto& e : all) {
        if (const auto* gossip = std::get_if<send_gossip_effect>(&e)) {
            send(id, *gossip);
        } else if (const auto* recorded = std::get_if<record_effect>(&e)) {
            ++hosts_.at(id)->decisions[recorded->made.kind];
        } else if (const auto* permit = std::get_if<permit_verdict_effect>(&e)) {
            if (permit->is_granted) {
                permits_[permit_targets_.at(permit->request)].push_back(now_);
            }
        } else if (const auto* evidence = std::get_if<share_evidence_effect>(&e)) {
            share(id, *evidence);
        } else if (const auto* asked = std::get_if<query_inventory_effect>(&e)) {
            query_store(id, asked->query);
        } else if (const auto* copy = std::get_if<fetch_inventory_effect>(&e)) {
            const auto peer = to_string(copy->peer);
            const auto answer = [this, peer, have = copy->have](const control_state& state) {
                const auto text = encode(copy_of(state, have, steady_time(state.self.host)));
                return copy_answer{peer_inventory_event{peer, decode_inventory_copy(text)},
                                   text.size()};
            };
            fetch(id, copy->peer, answer,
                  peer_inventory_event{peer, error{result_code::peer_unreachable, ""}});
        } else if (const auto* text = std::get_if<fetch_fleet_effect>(&e)) {
            const auto answer = [](const control_state& state) {
                const auto envelope = state.fleet.envelope.value_or(fleet_envelope{});
                return copy_answer{peer_fleet_event{"peer", envelope}, encode(envelope).size()};
            };
            fetch(id, text->peer, answer,
                  peer_fleet_event{"peer", error{result_code::peer_unreachable, ""}});
        } else if (const auto* listed = std::get_if<register_host_effect>(&e)) {
            ++hosts_.at(id)->calls;
            if (reaches_store(id)) {
                // The store refuses to create an entry that exists.
                if (!objects_.at(index_of(inventory_kind::hosts)).contains(id.value)) {
                    commit_change(inventory_kind::hosts, id.value,
                                  inventory_item{id.value, listed->self});
                }
                after(store_delay, [this, id, life, era = revision_.era] {
                    deliver(id, life, host_registered_event{done{}, era_statement{era}});
                });
            }
        }
    }
}

void store_world::send(const host_id& from, const send_gossip_effect& e)
{
    const bool is_lost = std::uniform_real_distribution<double>(0, 1)(random_) < settings_.loss;
    const auto to = host_at(e.peer);
    if (is_lost || !reaches_peers(from) || to == host_id{}) {
        return;
    }
    copied_bytes_ += e.message.recent_changes.size();
    after(peer_delay, [this, from, to, message = e.message]() mutable {
        if (message.reply_address.port == 0) {
            message.reply_address = hosts_.at(from)->self.peers;
        }
        if (reaches_peers(to)) {
            deliver(to, hosts_.at(to)->life, gossip_event{message});
        }
    });
}

void store_world::share(const host_id& from, const share_evidence_effect& e)
{
    ++evidence_calls_;
    const auto to = host_at(e.peer);
    if (!reaches_peers(from) || to == host_id{}) {
        return;
    }
    after(peer_delay, [this, to, evidence = e.evidence] {
        if (reaches_peers(to)) {
            deliver(to, hosts_.at(to)->life, crash_evidence_event{evidence, true});
        }
    });
}

milliseconds store_world::time_to_send(running_host& sender, std::size_t bytes)
{
    copied_bytes_ += bytes;
    if (settings_.link_bytes_per_second == 0) {
        return milliseconds{0};
    }
    constexpr double ms_per_second = 1'000;
    const auto time = static_cast<double>(bytes) / settings_.link_bytes_per_second * ms_per_second;
    sender.link_busy_until =
        std::max(sender.link_busy_until, now_) + milliseconds(static_cast<std::int64_t>(time));
    return sender.link_busy_until - now_;
}

void store_world::fetch(const host_id& from, const endpoint& peer,
                        const std::function<copy_answer(const control_state&)>& answer,
                        const event_body& failure)
{
    const auto life = hosts_.at(from)->life;
    const auto to = host_at(peer);
    const auto fail_later = [this, from, life, failure](milliseconds delay) {
        after(delay, [this, from, life, failure] {
            if (reaches_peers(from)) {
                deliver(from, life, failure);
            }
        });
    };
    if (!reaches_peers(from) || to == host_id{}) {
        fail_later(call_timeout);
        return;
    }
    after(2 * peer_delay, [this, from, life, to, answer, fail_later] {
        auto& server = *hosts_.at(to);
        if (server.life == 0 || !reaches_peers(to)) {
            fail_later(call_timeout - 2 * peer_delay);
            return;
        }
        const auto answered = answer(server.state);
        const auto sent = time_to_send(server, answered.bytes);
        if (sent + 3 * peer_delay >= call_timeout) {
            fail_later(call_timeout - 2 * peer_delay);
            return;
        }
        after(sent + peer_delay, [this, from, life, event = answered.event] {
            if (reaches_peers(from)) {
                deliver(from, life, event);
            }
        });
    });
}

/// The store knows its revisions by number alone.
bool store_world::is_after(const change& c, const inventory_query& query)
{
    return c.at.value > query.since.value;
}

void store_world::query_store(const host_id& id, const inventory_query& query)
{
    ++hosts_.at(id)->calls;
    const auto life = hosts_.at(id)->life;
    auto waiting = std::make_shared<pending_query>(pending_query{id, life, query});
    after(query.wait + call_timeout, [this, waiting] {
        if (!waiting->is_completed) {
            waiting->is_completed = true;
            deliver(waiting->querying_host, waiting->life,
                    inventory_read_event{waiting->query,
                                         error{result_code::platform_answer_lost, "no answer"}});
        }
    });
    if (!reaches_store(id)) {
        return;
    }
    waiting_.push_back(waiting);
    const bool has_changes = std::ranges::any_of(
        history_, [&](const change& c) { return c.kind == query.kind && is_after(c, query); });
    const bool is_unknown = query.since.value > revision_.value;
    const bool waits = query.follow && !has_changes && !is_unknown;
    after(waits ? query.wait : store_delay, [this, waiting] { answer(*waiting); });
}

void store_world::answer(const pending_query& waiting)
{
    if (waiting.is_completed || !reaches_store(waiting.querying_host)) {
        return;
    }
    const auto& query = waiting.query;
    const auto& known = objects_.at(index_of(query.kind));
    inventory_page page;
    page.at = revision_;
    if (query.follow && query.since.value > revision_.value) {
        const_cast<pending_query&>(waiting).is_completed = true;
        deliver(waiting.querying_host, waiting.life,
                inventory_read_event{query, error{result_code::platform_history_lost, "410"},
                                     era_statement{revision_.era}});
        return;
    }
    if (query.follow) {
        std::set<std::string> names;
        for (const auto& c : history_) {
            if (c.kind == query.kind && is_after(c, query) && names.insert(c.name).second) {
                const auto found = known.find(c.name);
                page.items.push_back(found == known.end()
                                         ? inventory_item{c.name, deleted_entry{}, revision_}
                                         : found->second);
            }
        }
    } else {
        auto next = known.upper_bound(query.after);
        for (; next != known.end() && page.items.size() < page_size; ++next) {
            page.items.push_back(next->second);
        }
        page.has_more = next != known.end();
    }
    const_cast<pending_query&>(waiting).is_completed = true;
    for (auto& item : page.items) {
        item.revision.era = revision_.era;
    }
    deliver(waiting.querying_host, waiting.life,
            inventory_read_event{query, page, era_statement{revision_.era}});
}

store_revision store_world::commit_change(inventory_kind kind, const std::string& name,
                                          std::optional<inventory_item> item)
{
    ++revision_.value;
    auto& known = objects_.at(index_of(kind));
    if (item) {
        item->revision = revision_;
        known.insert_or_assign(name, std::move(*item));
    } else {
        known.erase(name);
    }
    history_.push_back({revision_, kind, name});
    std::erase_if(waiting_, [](const auto& w) { return w->is_completed; });
    for (const auto& w : waiting_) {
        if (w->query.follow && w->query.kind == kind) {
            after(store_delay, [this, w] { answer(*w); });
        }
    }
    return revision_;
}

void store_world::copy_store()
{
    copy_ = {revision_, objects_, history_};
}

void store_world::restore_store(milliseconds away, milliseconds rewritten_after)
{
    store_unreachable_ = true;
    waiting_.clear();
    after(away, [this, rewritten_after] {
        std::vector<change> lost;
        std::ranges::copy_if(history_, std::back_inserter(lost),
                             [&](const change& c) { return c.at.value > copy_.revision.value; });
        const auto before = std::exchange(objects_, copy_.objects);
        revision_ = store_revision(copy_.revision.value, store_era(*revision_.era.value + 1));
        history_ = copy_.history;
        store_unreachable_ = false;
        after(rewritten_after, [this, lost, before] { write_again(lost, before); });
    });
}

void store_world::write_again(const std::vector<change>& lost, const store_objects& before)
{
    std::set<std::pair<inventory_kind, std::string>> written;
    for (const auto& c : lost) {
        if (c.kind == inventory_kind::hosts || !written.emplace(c.kind, c.name).second) {
            continue;
        }
        const auto& of_kind = before.at(index_of(c.kind));
        const auto found = of_kind.find(c.name);
        commit_change(c.kind, c.name,
                      found == of_kind.end() ? std::nullopt : std::optional(found->second));
    }
}

store_revision store_world::put_target(const std::string& name, std::uint64_t life)
{
    return put_target(name, life, false);
}

store_revision store_world::put_leaving_target(const std::string& name, std::uint64_t life)
{
    return put_target(name, life, true);
}

store_revision store_world::put_target(const std::string& name, std::uint64_t life, bool leaving)
{
    registered_target t;
    t.definition.leaving = leaving;
    t.definition.id.value = name;
    t.definition.serves.value = "s";
    t.definition.domain.value = "r0-0";
    t.definition.address = {"10.9.0.1", 9000};
    t.definition.life.value = life;
    return commit_change(inventory_kind::targets, name, inventory_item{name, t});
}

store_revision store_world::delete_target(const std::string& name)
{
    return commit_change(inventory_kind::targets, name, std::nullopt);
}

store_revision store_world::put_evacuation(const std::string& domain)
{
    return commit_change(inventory_kind::evacuations, domain,
                         inventory_item{domain, evacuation{failure_domain_id(domain)}});
}

store_revision store_world::delete_evacuation(const std::string& domain)
{
    return commit_change(inventory_kind::evacuations, domain, std::nullopt);
}

store_revision store_world::put_configuration(std::uint64_t number)
{
    return commit_change(
        inventory_kind::configuration, "main",
        inventory_item{"main",
                       fleet_envelope{generation(number), "", {}, "", "", 0, service_alone()}});
}

store_revision store_world::put_routes(std::uint64_t number, std::size_t count)
{
    constexpr std::size_t route_bytes = 300; // As the users' platform encodes a route.
    auto parts = service_alone();
    for (std::size_t i = 0; i < count; ++i) {
        const auto changed_in = number - (number % count + count - i) % count;
        auto route = "route " + std::to_string(i) + " changed in " + std::to_string(changed_in);
        route.resize(route_bytes, '.');
        set_part(parts, "route/" + std::to_string(i), route);
    }
    return commit_change(
        inventory_kind::configuration, "main",
        inventory_item{"main", fleet_envelope{generation(number), "", {}, "", "", 0, parts}});
}

void store_world::want_permit(const host_id& id, const target_id& target, double limit)
{
    const auto number = ++permit_requests_;
    permit_targets_.emplace(number, target);
    deliver(id, hosts_.at(id)->life, permit_wanted_event{number, target, incarnation(1), limit});
}

void store_world::report_crash(const host_id& id, const crash_evidence& evidence)
{
    deliver(id, hosts_.at(id)->life, crash_evidence_event{evidence, false});
}

void store_world::report_refused_connection(const host_id& id, const target_id& target)
{
    deliver(id, hosts_.at(id)->life,
            target_report_event{target, target_evidence::connection_refused});
}

void store_world::set_fault(const host_id& id, host_fault fault)
{
    faults_[id] = fault;
    hosts_.at(id)->frozen_at = now_;
}

void store_world::clear_fault(const host_id& id)
{
    if (has(id, host_fault::frozen)) {
        hosts_.at(id)->suspended += now_ - hosts_.at(id)->frozen_at;
    }
    faults_.erase(id);
}

void store_world::restart(const host_id& id)
{
    clear_fault(id);
    start(id);
}

} // namespace almondquay
