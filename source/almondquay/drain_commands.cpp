#include "almondquay/commands.h"
#include "common/hybrid_clock.h"
#include "config/fleet_text.h"

#include <iostream>

namespace almondquay {

namespace {

/// Maximum number of attempts to write a drain. Concurrent drains by different operators do not
/// contradict each other, so after a write conflict the drain is added to the new version.
constexpr int max_write_attempts = 5;

bool is_known(const fleet& f, drain_kind kind, const std::string& name)
{
    switch (kind) {
    case drain_kind::target:
        return f.targets.contains(target_id(name));
    case drain_kind::host:
        return f.hosts.contains(host_id(name));
    case drain_kind::failure_domain:
        return f.domains.contains(failure_domain_id(name));
    case drain_kind::region:
        return f.regions.contains(region_id(name));
    }
    return false;
}

result<done> check_subject(const fleet_envelope& envelope, const command_line& c)
{
    const auto parsed = parse_fleet(envelope.text, "fleet");
    const auto* f = std::get_if<fleet>(&parsed);
    if (f == nullptr || !is_known(*f, c.kind, c.subject)) {
        return error{result_code::unknown_reference,
                     std::string(name_of(c.kind)) + " '" + c.subject + "'"};
    }
    return done{};
}

std::string change_reason(const command_line& c)
{
    const bool drains = c.name == command_name::drain;
    return std::string(drains ? "drain " : "undrain ") + std::string(name_of(c.kind)) + " " +
           c.subject + ": " + c.reason;
}

/// Makes one attempt to write the drain or undrain. Errors: platform_conflict if the object was
/// changed concurrently, and others.
result<generation> try_drain(operator_session& session, const command_line& c)
{
    const auto read = read_fleet(session);
    if (!succeeded(read)) {
        return error_of(read);
    }
    auto next = value_of(read).envelope;
    const bool drains = c.name == command_name::drain;
    // An undrain may name a subject that the fleet text no longer contains, so that stale drains
    // can be removed.
    const auto known = drains ? check_subject(next, c) : result<done>(done{});
    if (!succeeded(known)) {
        return error_of(known);
    }
    if (!set_drain(next.drains, {c.kind, c.subject}, drains)) {
        return next.number;
    }
    next.number.value += 1;
    next.changed_by = operator_name();
    next.reason = change_reason(c);
    next.changed_at_ms = milliseconds_of(std::chrono::system_clock::now());
    const auto written = write_fleet(session, value_of(read), next);
    if (!succeeded(written)) {
        return error_of(written);
    }
    return next.number;
}

} // namespace

result_code run_drain(operator_session& session, const command_line& c)
{
    result<generation> ended = error{result_code::platform_conflict, ""};
    for (int attempt = 0; attempt < max_write_attempts; ++attempt) {
        ended = try_drain(session, c);
        if (code_of(ended) != result_code::platform_conflict) {
            break;
        }
    }
    if (!succeeded(ended)) {
        return report_error(error_of(ended));
    }
    std::cout << "recorded in generation " << value_of(ended).value << '\n';
    return result_code::ok;
}

} // namespace almondquay
