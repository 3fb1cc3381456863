#include "almondquay/commands.h"
#include "peer/host_status.h"
#include "timeline/explain.h"

#include <iomanip>
#include <iostream>
#include <set>

namespace almondquay {

namespace {

std::string state_of(const host_status& s)
{
    if (s.leaving) {
        return "leaving";
    }
    return s.ready ? "serving" : "starting";
}

void print_targets(const host_status& s)
{
    for (const auto& t : s.targets) {
        std::cout << "    target " << std::left << std::setw(16) << t.id << " " << std::setw(12)
                  << t.service << (t.usable ? "usable" : "no work: " + t.why) << ", " << t.in_flight
                  << " of " << t.share << " slots in use here\n";
    }
}

void print_members(const host_status& s)
{
    for (const auto& m : s.members) {
        if (!m.alive || m.leaving) {
            std::cout << "    sees " << m.id << (m.alive ? " as leaving" : " as dead") << '\n';
        }
    }
}

void print_status(const host_status& s)
{
    std::cout << std::left << std::setw(16) << s.host << std::setw(20) << s.domain << std::setw(10)
              << state_of(s) << "generation " << s.in_force << " since "
              << format_time({s.in_force_since_ms, 0})
              << (s.platform_reachable ? "" : "  (platform not watched or unreachable)") << '\n';
    print_members(s);
    for (const auto& q : s.quarantined) {
        std::cout << "    quarantined " << q.fingerprint << "  " << q.description << '\n';
    }
    print_targets(s);
}

std::vector<host_status> decode_all(const host_answers& answers, bool json)
{
    std::vector<host_status> all;
    for (const auto& [host, answer] : answers) {
        const auto status = succeeded(answer) ? decode_host_status(value_of(answer))
                                              : result<host_status>(error_of(answer));
        if (succeeded(status)) {
            all.push_back(value_of(status));
        } else if (!json) {
            std::cout << to_string(host) << "  no answer: " << name_of(error_of(status).code)
                      << '\n';
        }
    }
    return all;
}

result_code check_agreement(const std::vector<host_status>& all)
{
    if (all.empty()) {
        return report_error({result_code::no_host_answered, ""});
    }
    std::set<std::pair<std::uint64_t, std::uint64_t>> versions;
    for (const auto& s : all) {
        versions.emplace(s.in_force, s.fingerprint);
    }
    if (versions.size() > 1) {
        return report_error({result_code::fleet_disagrees,
                             std::to_string(versions.size()) + " different versions are in force"});
    }
    return result_code::ok;
}

result<std::vector<decision>> gather_timeline(operator_session& session)
{
    std::vector<std::vector<decision>> records;
    for (const auto& [host, answer] : call_hosts(session, "timeline")) {
        auto decoded = succeeded(answer) ? decode_decisions(value_of(answer))
                                         : result<std::vector<decision>>(error_of(answer));
        if (succeeded(decoded)) {
            records.push_back(std::move(value_of(decoded)));
        }
    }
    if (records.empty()) {
        return error{result_code::no_host_answered, ""};
    }
    return merge_timelines(std::move(records));
}

} // namespace

result_code run_status(operator_session& session, const command_line& c)
{
    const auto all = decode_all(call_hosts(session, "status"), c.json);
    if (c.json) {
        std::cout << '[';
        for (std::size_t i = 0; i < all.size(); ++i) {
            std::cout << (i == 0 ? "" : ",") << encode(all[i]);
        }
        std::cout << "]\n";
    } else {
        for (const auto& s : all) {
            print_status(s);
        }
    }
    return check_agreement(all);
}

result_code run_release(operator_session& session, const command_line& c)
{
    std::size_t released = 0;
    for (const auto& [host, answer] : call_hosts(session, "release", c.subject)) {
        released += succeeded(answer) ? 1 : 0;
    }
    if (released == 0) {
        return report_error({result_code::no_host_answered, ""});
    }
    std::cout << "released on " << released << " hosts\n";
    return result_code::ok;
}

result_code run_timeline(operator_session& session, const command_line& c)
{
    const auto merged = gather_timeline(session);
    if (!succeeded(merged)) {
        return report_error(error_of(merged));
    }
    if (c.json) {
        std::cout << encode(value_of(merged)) << '\n';
        return result_code::ok;
    }
    for (const auto& d : value_of(merged)) {
        std::cout << format_time(d.time) << "  " << std::left << std::setw(16) << d.host << " "
                  << std::setw(34) << d.id << " " << d.summary << '\n';
    }
    return result_code::ok;
}

result_code run_explain(operator_session& session, const command_line& c)
{
    const auto merged = gather_timeline(session);
    if (!succeeded(merged)) {
        return report_error(error_of(merged));
    }
    const auto chain = causal_chain(value_of(merged), c.subject);
    if (!succeeded(chain)) {
        return report_error(error_of(chain));
    }
    std::cout << (c.json ? encode(value_of(chain)) + "\n" : format_decision_chain(value_of(chain)));
    return result_code::ok;
}

} // namespace almondquay
