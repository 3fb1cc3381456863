#include "almondquayd/daemon.h"
#include "logging/log.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include <tclap/CmdLine.h>

namespace {

using namespace almondquay;

int run_with_settings(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << path << ":0: 1001 text_unreadable: the file cannot be read\n";
        return exit_status_of(result_code::text_unreadable);
    }
    std::ostringstream text;
    text << file.rdbuf();
    const auto parsed = parse_process_settings(text.str(), path, process_kind::daemon);
    if (const auto* findings = std::get_if<diagnostics>(&parsed)) {
        for (const auto& finding : *findings) {
            std::cerr << to_string(finding) << '\n';
        }
        return exit_status_of(findings->front().code);
    }
    const auto& settings = std::get<process_settings>(parsed);
    log::start(log::parse_level(settings.log_level), settings.host.value);
    const auto ended = run_daemon(settings);
    if (!succeeded(ended)) {
        log::write(log::level::error, "cannot_start", {{"why", error_of(ended).detail}});
    }
    return exit_status_of(code_of(ended));
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        TCLAP::CmdLine command_line("almondquayd: one entry host of the traffic steering system",
                                    ' ', "0.1");
        TCLAP::ValueArg<std::string> settings("s", "settings", "the process's INI file", true, "",
                                              "FILE", command_line);
        command_line.parse(argc, argv);
        return run_with_settings(settings.getValue());
    } catch (const std::exception& problem) {
        std::cerr << "almondquayd: " << problem.what() << '\n';
        return almondquay::exit_status_of(almondquay::result_code::usage_error);
    }
}
