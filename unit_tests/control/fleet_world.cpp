#include "control/fleet_world.h"

#include "support/action_queue.h"

#include <array>
#include <functional>

#include <boost/container_hash/hash.hpp>

namespace almondquay {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t host_count = 5;
constexpr std::size_t hosts_in_a =
    3; ///< one more than the number of platform watchers per failure domain
constexpr milliseconds message_delay{2};
constexpr milliseconds call_timeout{1'000};
constexpr milliseconds late_message_delay{7'000};
constexpr milliseconds pause_time{15'000};
constexpr milliseconds outage_time{8'000};
constexpr milliseconds last_fault_at{20'000};
constexpr milliseconds last_change_at{22'000};
constexpr milliseconds scenario_time{60'000};
constexpr std::uint64_t start_wall_ms = 1'800'000'000'000;

constexpr std::string_view text = R"([fleet]
name = f
[region r]
[failure_domain a]
region = r
[failure_domain b]
region = r
[host a1]
failure_domain = a
address = 127.0.1.1
[host a2]
failure_domain = a
address = 127.0.1.2
[host a3]
failure_domain = a
address = 127.0.1.3
[host b1]
failure_domain = b
address = 127.0.2.1
[host b2]
failure_domain = b
address = 127.0.2.2
[service s]
[target t]
service = s
failure_domain = a
address = 127.1.1.1:9000
)";

constexpr std::array<const char*, host_count> names{"a1", "a2", "a3", "b1", "b2"};
constexpr std::array<const char*, host_count> addresses{"127.0.1.1", "127.0.1.2", "127.0.1.3",
                                                        "127.0.2.1", "127.0.2.2"};

struct waiting_watch {
    std::size_t host = 0;
    std::uint64_t life = 0;
    object_version known = 0;
};

struct model_host {
    control_state state;
    std::uint64_t life = 0;
    milliseconds paused_until{};
    generation highest; ///< highest generation that this incarnation has had in force
};

struct model {
    explicit model(const fleet_fault_plan& p) : plan(p) {}

    const fleet_fault_plan& plan;
    milliseconds now{};
    action_queue actions;
    std::array<model_host, host_count> hosts;
    std::array<milliseconds, 2> domain_cut_until{};
    milliseconds platform_down_until{};
    stored_object object;
    stored_object older;
    object_version versions = 0;
    std::vector<waiting_watch> watches;
    generation accepted;
    milliseconds accepted_at{};
    milliseconds everywhere_at{-1};
    fleet_run_report report;
};

void at(model& m, milliseconds time, std::function<void()> act)
{
    m.actions.add(time, std::move(act));
}

std::size_t domain_of(std::size_t host)
{
    return host < hosts_in_a ? 0 : 1;
}

std::size_t host_at(const endpoint& e)
{
    for (std::size_t i = 0; i < host_count; ++i) {
        if (e.address == addresses[i]) {
            return i;
        }
    }
    return host_count;
}

void deliver(model& m, std::size_t host, std::uint64_t life, const event_body& body);

void start_host(model& m, std::size_t index)
{
    auto& h = m.hosts[index];
    ++h.life;
    h.highest = {};
    host_identity self{host_id(names[index]),
                       failure_domain_id(domain_of(index) == 0 ? "a" : "b"),
                       incarnation(h.life),
                       {{"127.0.1.1", 7001}, {"127.0.2.1", 7001}}};
    h.state = make_control_state(std::move(self), 1 + index + 10 * h.life);
}

bool is_cut(const model& m, std::size_t from, std::size_t to)
{
    const auto a = domain_of(from);
    const auto b = domain_of(to);
    return a != b && (m.now < m.domain_cut_until[a] || m.now < m.domain_cut_until[b]);
}

bool reaches_platform(const model& m, std::size_t host)
{
    return m.now >= m.platform_down_until && m.now >= m.domain_cut_until[domain_of(host)];
}

void complete_watches(model& m)
{
    auto watches = std::exchange(m.watches, {});
    for (const auto& w : watches) {
        if (w.known == m.object.version) {
            m.watches.push_back(w);
        } else if (reaches_platform(m, w.host)) {
            deliver(m, w.host, w.life, fleet_read_event{m.object});
        }
    }
}

void restore_platform(model& m)
{
    if (m.older.version != 0) {
        m.object = m.older;
        m.object.version = ++m.versions;
        at(m, m.now, [&m] { complete_watches(m); });
    }
}

fleet_fault next_fault(model& m, std::size_t host)
{
    const auto found = m.plan.find(m.report.steps++);
    if (found == m.plan.end() || m.now > last_fault_at) {
        return fleet_fault::none;
    }
    switch (found->second) {
    case fleet_fault::host_paused:
        m.hosts[host].paused_until = m.now + pause_time;
        break;
    case fleet_fault::host_replaced:
        start_host(m, host);
        break;
    case fleet_fault::platform_down:
        m.platform_down_until = m.now + outage_time;
        break;
    case fleet_fault::platform_restored:
        restore_platform(m);
        break;
    case fleet_fault::domain_cut:
        m.domain_cut_until[domain_of(host)] = m.now + outage_time;
        break;
    default:
        break;
    }
    return found->second;
}

/// Delivers a message or call under the given fault; `act` runs once per delivery.
void deliver_with_fault(model& m, fleet_fault fault, const std::function<void()>& act)
{
    if (fault == fleet_fault::lost) {
        return;
    }
    at(m, m.now + (fault == fleet_fault::late ? late_message_delay : message_delay), act);
    if (fault == fleet_fault::twice) {
        at(m, m.now + late_message_delay, act);
    }
}

void perform(model& m, std::size_t host, const watch_fleet_effect& e)
{
    const auto life = m.hosts[host].life;
    const auto fault = next_fault(m, host);
    const auto fail = [&m, host, life](milliseconds after) {
        at(m, m.now + after, [&m, host, life] {
            deliver(m, host, life, fleet_read_event{error{result_code::platform_answer_lost, ""}});
        });
    };
    if (fault == fleet_fault::lost) {
        return fail(call_timeout);
    }
    deliver_with_fault(m, fault, [&m, host, life, e, fail] {
        if (!reaches_platform(m, host)) {
            return fail(call_timeout);
        }
        if (m.object.version != 0 && (e.wait.count() == 0 || m.object.version != e.known)) {
            return deliver(m, host, life, fleet_read_event{m.object});
        }
        if (e.wait.count() == 0) {
            return deliver(m, host, life,
                           fleet_read_event{error{result_code::platform_not_found, ""}});
        }
        m.watches.push_back({host, life, e.known});
        at(m, m.now + e.wait, [&m, host, life, known = e.known] {
            const auto removed = std::erase_if(m.watches, [&](const waiting_watch& w) {
                return w.host == host && w.life == life && w.known == known;
            });
            if (removed != 0) {
                deliver(m, host, life,
                        fleet_read_event{error{result_code::platform_not_found, ""}});
            }
        });
    });
}

void perform(model& m, std::size_t host, const write_fleet_effect& e)
{
    const auto life = m.hosts[host].life;
    deliver_with_fault(m, next_fault(m, host), [&m, host, life, e] {
        if (!reaches_platform(m, host) || m.object.version != e.expected) {
            return deliver(m, host, life,
                           fleet_written_event{error{result_code::platform_conflict, ""}});
        }
        m.object = {"fleet", ++m.versions, encode(e.envelope)};
        complete_watches(m);
        deliver(m, host, life, fleet_written_event{m.versions});
    });
}

void perform(model& m, std::size_t host, const fetch_fleet_effect& e)
{
    const auto life = m.hosts[host].life;
    const auto peer = host_at(e.peer);
    deliver_with_fault(m, next_fault(m, host), [&m, host, life, peer] {
        if (is_cut(m, host, peer) || m.now < m.hosts[peer].paused_until) {
            return;
        }
        const auto envelope = m.hosts[peer].state.fleet.envelope.value_or(fleet_envelope{});
        at(m, m.now + message_delay, [&m, host, life, envelope] {
            deliver(m, host, life, peer_fleet_event{"peer", envelope});
        });
    });
}

void perform(model& m, std::size_t host, const send_gossip_effect& e)
{
    const auto peer = host_at(e.peer);
    // Gossip messages are sent many times per second and are redundant. Counting each as a step
    // would leave few faults for other steps, so gossip is affected only by partitions and pauses.
    at(m, m.now + message_delay, [&m, host, peer, message = e.message] {
        if (!is_cut(m, host, peer)) {
            deliver(m, peer, m.hosts[peer].life, gossip_event{message});
        }
    });
}

template <class Effect> void perform(model& /*m*/, std::size_t /*host*/, const Effect& /*e*/) {}

void record_state_hash(model& m)
{
    std::size_t seed = 0;
    for (const auto& h : m.hosts) {
        const auto& f = h.state.fleet;
        boost::hash_combine(seed, f.envelope ? f.envelope->number.value : 0);
        boost::hash_combine(seed, static_cast<int>(h.state.stage));
        boost::hash_combine(seed, f.watch_running);
        boost::hash_combine(seed, f.write_running);
        boost::hash_combine(seed, f.failures);
        boost::hash_combine(seed, f.platform_version);
        for (const auto& [id, member] : h.state.membership.members) {
            boost::hash_combine(seed, member.alive);
            boost::hash_combine(seed, member.life.value);
        }
    }
    boost::hash_combine(seed, m.object.version);
    m.report.states.insert(seed);
}

void check(model& m, std::size_t host)
{
    auto& h = m.hosts[host];
    const auto now = h.state.fleet.envelope ? h.state.fleet.envelope->number : generation{};
    if (now < h.highest) {
        m.report.violations.push_back("host " + std::string(names[host]) +
                                      " returned to a lower generation");
    }
    h.highest = now;
    bool everywhere = true;
    for (const auto& other : m.hosts) {
        everywhere = everywhere && other.state.fleet.envelope &&
                     other.state.fleet.envelope->number == m.accepted;
    }
    if (everywhere && m.everywhere_at < m.accepted_at) {
        m.everywhere_at = m.now;
    }
}

void deliver(model& m, std::size_t host, std::uint64_t life, const event_body& body)
{
    auto& h = m.hosts[host];
    if (h.life != life) {
        return;
    }
    if (m.now < h.paused_until) {
        at(m, h.paused_until, [&m, host, life, body] { deliver(m, host, life, body); });
        return;
    }
    const event e{body, monotonic_time(m.now + milliseconds(1)),
                  wall_time(m.now + milliseconds(start_wall_ms))};
    for (const auto& effect : reduce(h.state, e)) {
        if (h.life != life) {
            break;
        }
        std::visit([&](const auto& one) { perform(m, host, one); }, effect);
    }
    check(m, host);
    record_state_hash(m);
}

void tick(model& m, std::size_t host)
{
    deliver(m, host, m.hosts[host].life, tick_event{});
    if (m.now < scenario_time) {
        const auto next = std::max(m.now, m.hosts[host].paused_until) + tick_interval;
        at(m, next, [&m, host] { tick(m, host); });
    }
}

generation highest_in_force(const model& m)
{
    generation highest;
    for (const auto& h : m.hosts) {
        if (h.state.fleet.envelope) {
            highest = std::max(highest, h.state.fleet.envelope->number);
        }
    }
    return highest;
}

/// Applies a change like the operator's tool, which refuses changes while the platform has a lower
/// generation than the hosts. Retries while the change is refused or the platform is down.
void apply_change(model& m, const std::vector<drain_mark>& drains)
{
    const bool is_down = m.now < m.platform_down_until;
    const auto stored =
        m.object.version == 0 ? fleet_envelope{} : value_of(decode_fleet_envelope(m.object.body));
    if (is_down || highest_in_force(m) > stored.number) {
        at(m, m.now + milliseconds(500), [&m, drains] { apply_change(m, drains); });
        return;
    }
    fleet_envelope next{
        generation(stored.number.value + 1), std::string(text), drains, "op", "change", 0};
    m.older = m.object;
    m.object = {"fleet", ++m.versions, encode(next)};
    m.accepted = next.number;
    m.accepted_at = m.now;
    complete_watches(m);
}

void check_end(model& m)
{
    for (std::size_t i = 0; i < host_count; ++i) {
        const auto& state = m.hosts[i].state;
        if (!state.fleet.envelope || state.fleet.envelope->number != m.accepted) {
            m.report.violations.push_back("host " + std::string(names[i]) +
                                          " does not have the accepted generation in force");
        }
        if (state.stage != life_stage::serving) {
            m.report.violations.push_back("host " + std::string(names[i]) + " does not serve");
        }
        for (const auto& [id, member] : state.membership.members) {
            if (!member.alive) {
                m.report.violations.push_back("host " + std::string(names[i]) + " considers " +
                                              id.value + " dead");
            }
        }
    }
    m.report.in_force_everywhere = m.everywhere_at - m.accepted_at;
}

} // namespace

fleet_run_report run_fleet_scenario(const fleet_fault_plan& plan)
{
    model m(plan);
    for (std::size_t i = 0; i < host_count; ++i) {
        start_host(m, i);
        at(m, milliseconds(20 * i), [&m, i] { tick(m, i); });
    }
    at(m, milliseconds(300), [&m] { apply_change(m, {}); });
    at(m, milliseconds(2'000), [&m] { apply_change(m, {}); });
    at(m, milliseconds(4'000), [&m] { apply_change(m, {{drain_kind::target, "t"}}); });
    at(m, last_change_at, [&m] { apply_change(m, {}); });
    m.actions.run(m.now);
    check_end(m);
    return std::move(m.report);
}

} // namespace almondquay
