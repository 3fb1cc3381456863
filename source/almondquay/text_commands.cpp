#include "almondquay/commands.h"
#include "common/hybrid_clock.h"
#include "config/fleet_text.h"
#include "timeline/explain.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace almondquay {

namespace {

result_code print_findings(const diagnostics& findings)
{
    for (const auto& finding : findings) {
        std::cerr << to_string(finding) << '\n';
    }
    return findings.front().code;
}

/// Reads and validates a fleet text; prints its findings if there are any.
result<std::string> read_valid_text(const std::string& path)
{
    auto text = read_file(path);
    if (!succeeded(text)) {
        report_error(error_of(text));
        return text;
    }
    const auto parsed = parse_fleet(value_of(text), path);
    if (const auto* findings = std::get_if<diagnostics>(&parsed)) {
        return error{print_findings(*findings), ""};
    }
    return text;
}

void print_change(std::ostream& out, const fleet_envelope& envelope)
{
    out << "generation " << envelope.number.value << " of "
        << format_time({envelope.changed_at_ms, 0}) << " by " << envelope.changed_by << ": "
        << envelope.reason << '\n';
}

result_code report_conflict(const platform_fleet& read)
{
    std::cerr
        << "almondquay: 2004 platform_conflict: the fleet text has changed since it was read:\n  ";
    print_change(std::cerr, read.envelope);
    std::cerr << "Run `almondquay show`, merge the change and apply with --read-at "
              << read.envelope.number.value << ".\n";
    return result_code::platform_conflict;
}

} // namespace

result_code report_error(const error& e)
{
    std::cerr << "almondquay: " << static_cast<int>(e.code) << ' ' << name_of(e.code) << ": "
              << meaning_of(e.code) << (e.detail.empty() ? "" : " (" + e.detail + ")") << '\n';
    return e.code;
}

result<std::string> read_file(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        return error{result_code::text_unreadable, path};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string operator_name()
{
    const char* name = std::getenv("USER");
    return name == nullptr ? "unknown" : name;
}

result_code run_check(const command_line& c)
{
    const auto text = read_valid_text(c.file);
    if (succeeded(text)) {
        std::cout << c.file << ": no findings\n";
    }
    return code_of(text);
}

result_code run_apply(operator_session& session, const command_line& c)
{
    const auto text = read_valid_text(c.file);
    if (!succeeded(text)) {
        return error_of(text).code;
    }
    const auto read = read_fleet(session);
    if (!succeeded(read)) {
        return report_error(error_of(read));
    }
    const auto& current = value_of(read);
    // Without --read-at only the first fleet text is accepted, as no generation exists yet.
    if (current.envelope.number.value != c.read_at.value_or(0)) {
        return report_conflict(current);
    }
    const auto in_force = highest_in_force(session);
    if (in_force > current.envelope.number) {
        return report_error(
            {result_code::platform_behind_fleet,
             "hosts have generation " + std::to_string(in_force.value) +
                 " in force and will write it back to the platform; retry shortly"});
    }
    auto next = current.envelope;
    next.number.value = current.envelope.number.value + 1;
    next.text = value_of(text);
    next.changed_by = operator_name();
    next.reason = c.reason;
    next.changed_at_ms = milliseconds_of(std::chrono::system_clock::now());
    const auto written = write_fleet(session, current, next);
    if (code_of(written) == result_code::platform_conflict) {
        const auto now = read_fleet(session);
        return succeeded(now) ? report_conflict(value_of(now)) : report_error(error_of(written));
    }
    if (!succeeded(written)) {
        return report_error(error_of(written));
    }
    std::cout << "accepted as generation " << next.number.value << '\n';
    return result_code::ok;
}

result_code run_show(operator_session& session, const command_line& c)
{
    const auto read = read_fleet(session);
    if (!succeeded(read)) {
        return report_error(error_of(read));
    }
    const auto& envelope = value_of(read).envelope;
    if (c.json) {
        std::cout << encode(envelope) << '\n';
        return result_code::ok;
    }
    std::cout << "; ";
    print_change(std::cout, envelope);
    for (const auto& mark : envelope.drains) {
        std::cout << "; drained: " << name_of(mark.kind) << ' ' << mark.name << '\n';
    }
    std::cout << envelope.text;
    return result_code::ok;
}

} // namespace almondquay
