#include "almondquay/command_line.h"
#include "almondquay/commands.h"

#include <csignal>
#include <iostream>

namespace {

using namespace almondquay;

result_code run_with_session(operator_session& session, const command_line& c)
{
    switch (c.name) {
    case command_name::apply:
        return run_apply(session, c);
    case command_name::show:
        return run_show(session, c);
    case command_name::drain:
    case command_name::undrain:
        return run_drain(session, c);
    case command_name::timeline:
        return run_timeline(session, c);
    case command_name::explain:
        return run_explain(session, c);
    case command_name::release:
        return run_release(session, c);
    case command_name::status:
    case command_name::check:
    case command_name::trace:
    case command_name::believed:
        break;
    }
    return run_status(session, c);
}

result_code run(const command_line& c)
{
    if (c.name == command_name::check) {
        return run_check(c);
    }
    if (c.name == command_name::trace) {
        return run_trace(c);
    }
    if (c.name == command_name::believed) {
        return run_believed(c);
    }
    const auto text = read_file(c.settings_file);
    if (!succeeded(text)) {
        return report_error(error_of(text));
    }
    auto parsed =
        parse_process_settings(value_of(text), c.settings_file, process_kind::command_line);
    if (const auto* findings = std::get_if<diagnostics>(&parsed)) {
        for (const auto& finding : *findings) {
            std::cerr << to_string(finding) << '\n';
        }
        return findings->front().code;
    }
    const auto session = open_session(std::get<process_settings>(std::move(parsed)));
    return run_with_session(*session, c);
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto parsed = almondquay::parse_command_line(argc, argv);
    if (!almondquay::succeeded(parsed)) {
        const bool is_help = almondquay::error_of(parsed).detail.empty();
        return is_help ? 0 : almondquay::exit_status_of(almondquay::error_of(parsed).code);
    }
    return almondquay::exit_status_of(run(almondquay::value_of(parsed)));
}
