#include "almondquay/command_line.h"

#include <algorithm>
#include <array>
#include <iostream>
#include <vector>

#include <tclap/CmdLine.h>

namespace almondquay {

namespace {

struct command_spec {
    std::string_view word;
    command_name name;
    std::size_t operands;
    std::string_view usage;
    bool takes_logs = false; ///< any number of log paths may follow the operands
};

constexpr auto commands = std::to_array<command_spec>({
    {"check", command_name::check, 1,
     "check FILE                  report all errors in a fleet configuration"},
    {"apply", command_name::apply, 1, "apply FILE --read-at N      activate a fleet configuration"},
    {"show", command_name::show, 0,
     "show                        print the fleet text and drains stored at the platform"},
    {"status", command_name::status, 0,
     "status                      each host's version, peers and targets"},
    {"drain", command_name::drain, 2,
     "drain KIND NAME             KIND: target, host, failure_domain, region"},
    {"undrain", command_name::undrain, 2, "undrain KIND NAME           remove a drain"},
    {"timeline", command_name::timeline, 0,
     "timeline                    decisions of all hosts in causal order"},
    {"explain", command_name::explain, 1,
     "explain ID                  a decision with all its causes"},
    {"release", command_name::release, 1,
     "release FINGERPRINT         remove a request from quarantine"},
    {"trace", command_name::trace, 1,
     "trace ID [LOG...]           the cause of a request's result, from hosts' logs", true},
    {"believed", command_name::believed, 2,
     "believed HOST TIME [LOG...] a host's state at a time, from its log", true},
});

std::string usage()
{
    std::string text = "almondquay: the operators' tool\n\nusage: almondquay COMMAND [options]\n\n";
    for (const auto& row : commands) {
        text += "  " + std::string(row.usage) + "\n";
    }
    return text + "\noptions:\n"
                  "  --settings FILE             the tool's INI file (not needed by check, trace\n"
                  "                              and believed)\n"
                  "  --reason TEXT               the reason, recorded with the change\n"
                  "  --read-at N                 the generation that `show` printed\n"
                  "  --json                      machine-readable output\n\n"
                  "LOG is a file or a folder with files; without any, logs are read from standard\n"
                  "input. TIME is as in the logs: 2026-04-26T10:37:56Z.\n"
                  "The exit status is the first digit of the result code; 0 is success.\n";
}

/// Suppresses TCLAP's own output; `parse_command_line` prints errors and the usage text.
class silent_output final : public TCLAP::StdOutput {
public:
    void usage(TCLAP::CmdLineInterface& /*command_line*/) override {}
    void version(TCLAP::CmdLineInterface& /*command_line*/) override {}
    void failure(TCLAP::CmdLineInterface& /*command_line*/, TCLAP::ArgException& e) override
    {
        throw e;
    }
};

result<command_line> fill_operands(command_line parsed, const std::vector<std::string>& words)
{
    switch (parsed.name) {
    case command_name::check:
    case command_name::apply:
        parsed.file = words[1];
        break;
    case command_name::explain:
    case command_name::release:
        parsed.subject = words[1];
        break;
    case command_name::trace:
        parsed.subject = words[1];
        parsed.logs.assign(words.begin() + 2, words.end());
        break;
    case command_name::believed:
        parsed.subject = words[1];
        parsed.at = words[2];
        parsed.logs.assign(words.begin() + 3, words.end());
        break;
    case command_name::drain:
    case command_name::undrain: {
        const auto kind = parse_drain_kind(words[1]);
        if (!succeeded(kind)) {
            return error{result_code::usage_error, error_of(kind).detail};
        }
        parsed.kind = value_of(kind);
        parsed.subject = words[2];
        break;
    }
    default:
        break;
    }
    return parsed;
}

result<command_line> parse(int argc, const char* const* argv)
{
    TCLAP::CmdLine tclap("almondquay", ' ', "0.1", false);
    silent_output output;
    tclap.setOutput(&output);
    tclap.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> settings("s", "settings", "", false, "", "FILE", tclap);
    TCLAP::ValueArg<std::string> reason("r", "reason", "", false, "no reason given", "TEXT", tclap);
    TCLAP::ValueArg<std::uint64_t> read_at("", "read-at", "", false, 0, "N", tclap);
    TCLAP::SwitchArg json("", "json", "", tclap);
    TCLAP::SwitchArg help("h", "help", "", tclap);
    TCLAP::UnlabeledMultiArg<std::string> operands("words", "command and operands", false, "WORD",
                                                   tclap);
    tclap.parse(argc, argv);
    const auto& words = operands.getValue();
    if (help.getValue() || words.empty()) {
        return error{result_code::usage_error, ""};
    }
    const auto row = std::ranges::find(commands, words.front(), &command_spec::word);
    const bool is_known = row != commands.end();
    const bool has_operands = is_known && (row->takes_logs ? words.size() > row->operands
                                                           : words.size() == row->operands + 1);
    if (!has_operands) {
        return error{result_code::usage_error,
                     "'" + words.front() + "' is unknown or has the wrong number of operands"};
    }
    command_line parsed;
    parsed.name = row->name;
    parsed.settings_file = settings.getValue();
    parsed.reason = reason.getValue();
    parsed.json = json.getValue();
    if (read_at.isSet()) {
        parsed.read_at = read_at.getValue();
    }
    return fill_operands(std::move(parsed), words);
}

} // namespace

result<command_line> parse_command_line(int argc, const char* const* argv)
{
    auto parsed = result<command_line>{error{result_code::usage_error, ""}};
    try {
        parsed = parse(argc, argv);
    } catch (const TCLAP::ArgException& problem) {
        parsed = error{result_code::usage_error, problem.error() + " " + problem.argId()};
    }
    if (!succeeded(parsed)) {
        const bool is_help = error_of(parsed).detail.empty();
        if (!is_help) {
            std::cerr << "almondquay: 6001 usage_error: " << error_of(parsed).detail << "\n\n";
        }
        (is_help ? std::cout : std::cerr) << usage();
    }
    return parsed;
}

} // namespace almondquay
