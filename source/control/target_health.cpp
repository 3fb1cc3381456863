#include "control/target_health.h"

#include "control/decisions.h"
#include "control/unreachable_targets.h"

#include <algorithm>

namespace almondquay {

namespace {

std::string_view name_of(target_evidence evidence)
{
    switch (evidence) {
    case target_evidence::served:
        return "served";
    case target_evidence::connect_failed:
        return "connect_failed";
    case target_evidence::connection_refused:
        return "connection_refused";
    case target_evidence::answer_lost:
        return "answer_lost";
    }
    return "unknown";
}

void eject(control_state& state, const event& e, const target_report_event& report,
           target_health& health, effects& out)
{
    health.usable = false;
    health.good_probes = 0;
    health.next_probe = e.now + probe_interval;
    state.snapshot_is_stale = true;
    health.decided_by =
        decide(state, out, e.wall,
               {"eject_target",
                "a target is ejected after several consecutive failures",
                "Target " + report.target.value + " is sent no requests until probes succeed.",
                {state.fleet.adopted_by},
                {{"target", report.target.value},
                 {"failures", std::to_string(health.failures)},
                 {"latest", std::string(name_of(report.evidence))}}});
}

void readmit(control_state& state, const event& e, const target_id& id, target_health& health,
             effects& out)
{
    health.usable = true;
    health.failures = 0;
    state.snapshot_is_stale = true;
    // The target may have restarted in the meantime, and a restarted target is cold.
    if (const auto listed = state.inventory.targets.find(id);
        listed != state.inventory.targets.end()) {
        const auto s =
            state.fleet.configuration.services.find(listed->second.entry.definition.serves);
        if (s != state.fleet.configuration.services.end()) {
            listed->second.cold_until =
                std::max(listed->second.cold_until, e.now + s->second.cold_time);
        }
    }
    health.decided_by =
        decide(state, out, e.wall,
               {"readmit_target",
                "an ejected target is readmitted after several successful probes",
                "Target " + id.value + " is sent requests again.",
                {health.decided_by},
                {{"target", id.value}, {"good_probes", std::to_string(health.good_probes)}}});
}

std::string health_path(const control_state& state, const target& t)
{
    const auto found = state.fleet.configuration.services.find(t.serves);
    return found == state.fleet.configuration.services.end() ? service().health_path
                                                             : found->second.health_path;
}

} // namespace

void handle_target_report(control_state& state, const event& e, const target_report_event& report,
                          effects& out)
{
    if (!state.fleet.configuration.targets.contains(report.target)) {
        return;
    }
    auto& health = state.targets[report.target];
    if (report.evidence == target_evidence::served) {
        health.failures = 0;
        return;
    }
    ++health.failures;
    health.refuses = report.evidence != target_evidence::answer_lost;
    if (report.evidence == target_evidence::connection_refused) {
        handle_refused_connection(state, e, report.target, out);
    }
    if (health.usable && health.failures >= failures_to_eject) {
        eject(state, e, report, health, out);
    }
}

void handle_probe_result(control_state& state, const event& e, const probe_ended_event& probe,
                         effects& out)
{
    const auto found = state.targets.find(probe.target);
    if (found == state.targets.end()) {
        return;
    }
    auto& health = found->second;
    health.probe_running = false;
    health.good_probes = probe.answered ? health.good_probes + 1 : 0;
    if (!health.usable && health.good_probes >= probes_to_readmit) {
        readmit(state, e, probe.target, health, out);
    }
}

void tick_health(control_state& state, const event& e, effects& out)
{
    for (auto& [id, health] : state.targets) {
        const auto t = state.fleet.configuration.targets.find(id);
        const bool is_due = !health.usable && !health.probe_running && e.now >= health.next_probe;
        if (is_due && t != state.fleet.configuration.targets.end()) {
            health.probe_running = true;
            health.next_probe = e.now + probe_interval;
            out.emplace_back(probe_effect{id, t->second.address, health_path(state, t->second)});
        }
    }
}

std::set<target_id> dead_targets(const control_state& state)
{
    std::map<service_id, std::size_t> all;
    std::map<service_id, std::set<target_id>> dead;
    std::set<target_id> excluded_targets;
    for (const auto& [id, t] : state.fleet.configuration.targets) {
        if (t.domain != state.self.domain && !state.self.has_inventory) {
            continue;
        }
        ++all[t.serves];
        const auto health = state.targets.find(id);
        if (health == state.targets.end()) {
            continue;
        }
        if (!health->second.usable) {
            (health->second.refuses ? excluded_targets : dead[t.serves]).insert(id);
        } else if (health->second.unreachable_until != monotonic_time{}) {
            dead[t.serves].insert(id);
        }
    }
    for (const auto& [id, targets] : dead) {
        if (2 * targets.size() <= all[id]) {
            excluded_targets.insert(targets.begin(), targets.end());
        }
    }
    return excluded_targets;
}

} // namespace almondquay
