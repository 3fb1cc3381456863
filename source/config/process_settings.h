#pragma once

#include "common/authentication.h"
#include "common/endpoint.h"
#include "common/strong_type.h"
#include "config/diagnostic.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace almondquay {

/// Whose protocol the platform's store speaks: that of our own interface or that of the users'
/// platform, where targets register themselves.
enum class store_kind { own, registry };

/// Bounds over all hosts together, of which each host uses a part.
struct shared_budgets {
    double retry_ratio = 0.1; ///< second attempts for each request
    double retry_slack = 10;  ///< second attempts that are always allowed
    std::chrono::milliseconds retry_window{10'000};
    double cold_factor = 1; ///< over what a cold target stands
    double cold_slack = 0;  ///< requests a second beyond that
    std::chrono::milliseconds lookup_ttl{2'000};
};

/// What one process learns from its own small INI file; the same file serves both programs.
struct process_settings {
    std::string file;         ///< where the settings stand
    host_id host;             ///< empty for the command line
    failure_domain_id domain; ///< empty for the command line
    std::string address;      ///< where this host listens
    std::uint16_t caller_port = 7000;
    std::uint16_t peer_port = 7001;
    endpoint lookups;   ///< a listener of its own for look-ups; no port: those of callers
    double weight = 1;  ///< this host's part of work that is dealt among hosts
    endpoint readiness; ///< a listener of its own for readiness checks; no port: none
    std::map<failure_domain_id, region_id> domains; ///< where places lie, if the text does not say
    endpoint platform;                              ///< the platform's object API
    store_kind store = store_kind::own;
    std::chrono::milliseconds platform_timeout{2'000};
    std::vector<endpoint> seeds; ///< peer endpoints to ask before any fleet text is known
    std::chrono::milliseconds news_within{2'000}; ///< a change is to be in force everywhere
    shared_secret secret;
    std::uint32_t traffic_threads = 2;
    std::uint32_t max_connections = 4'000;   ///< callers' connections for each traffic thread
    std::chrono::milliseconds stop_grace{0}; ///< from the stop signal to the end; 0: no limit
    shared_budgets budgets;
    std::string log_level = "info";
    endpoint metrics; ///< a listener of its own for metrics; no port: those of peers only
};

/// Which program reads the settings; the command line needs neither a host nor addresses.
enum class settings_user { daemon, command_line };

/// Reads and checks the settings; all findings of one run are returned together.
std::variant<process_settings, diagnostics>
parse_process_settings(std::string_view text, const std::string& file, settings_user user);

} // namespace almondquay
