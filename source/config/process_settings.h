#pragma once

#include "common/authentication.h"
#include "common/endpoint.h"
#include "common/strong_type.h"
#include "config/diagnostic.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace almondquay {

/// What one process learns from its own small INI file; the same file serves both programs.
struct process_settings {
    host_id host;             ///< empty for the command line
    failure_domain_id domain; ///< empty for the command line
    std::string address;      ///< where this host listens
    std::uint16_t caller_port = 7000;
    std::uint16_t peer_port = 7001;
    endpoint platform; ///< the platform's object API
    std::chrono::milliseconds platform_timeout{2'000};
    std::vector<endpoint> seeds; ///< peer endpoints to ask before any fleet text is known
    shared_secret secret;
    std::uint32_t traffic_threads = 2;
    std::uint32_t max_connections = 4'000; ///< callers' connections for each traffic thread
    std::string log_level = "info";
};

/// Which program reads the settings; the command line needs neither a host nor addresses.
enum class settings_user { daemon, command_line };

/// Reads and checks the settings; all findings of one run are returned together.
std::variant<process_settings, diagnostics>
parse_process_settings(std::string_view text, const std::string& file, settings_user user);

} // namespace almondquay
