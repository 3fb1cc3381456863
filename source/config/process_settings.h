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

/// Which protocol the platform's store speaks: this project's object API, or the API of a service
/// registry in which targets register themselves.
enum class store_kind { own, registry };

/// Limits that apply to all hosts together; each host uses its share.
struct shared_budgets {
    double retry_ratio = 0.1; ///< retries allowed per request
    double retry_slack = 10;  ///< capacity of the retry token bucket
    std::chrono::milliseconds retry_window{10'000};
    double cold_factor = 1; ///< multiplier on the rate limit of a target in its warm-up period
    double cold_slack = 0;  ///< requests per second allowed beyond that
    std::chrono::milliseconds lookup_ttl{2'000};
};

/// Settings of one process, read from its INI file. The daemon and the command-line tool share the
/// format.
struct process_settings {
    std::string file;         ///< path of the settings file
    host_id host;             ///< empty for the command-line tool
    failure_domain_id domain; ///< empty for the command-line tool
    std::string address;      ///< listen address of this host
    std::uint16_t caller_port = 7000;
    std::uint16_t peer_port = 7001;
    endpoint lookups;   ///< separate listener for look-ups; no port: the callers' listener
    double weight = 1;  ///< this host's relative share of work that is divided among hosts
    endpoint readiness; ///< separate listener for readiness checks; no port: none
    std::map<failure_domain_id, region_id> domains; ///< used if the fleet text has none
    endpoint platform;                              ///< the platform's object API
    store_kind store = store_kind::own;
    std::chrono::milliseconds platform_timeout{2'000};
    std::vector<endpoint> seeds; ///< peers to contact before a fleet configuration is known
    /// Time within which a change must be active on all hosts.
    std::chrono::milliseconds max_propagation_delay{2'000};
    shared_secret secret;
    std::uint32_t traffic_threads = 2;
    std::uint32_t max_connections = 4'000;   ///< per traffic thread and listening address
    std::chrono::milliseconds stop_grace{0}; ///< time limit of a graceful stop; 0: none
    shared_budgets budgets;
    std::string log_level = "info";
    endpoint metrics; ///< separate listener for metrics; no port: only the peers' listener
};

/// Which program reads the settings; the command-line tool needs no `host` section.
enum class process_kind { daemon, command_line };

/// Parses and validates the settings. Returns all diagnostics at once if there are any.
std::variant<process_settings, diagnostics>
parse_process_settings(std::string_view text, const std::string& file, process_kind user);

} // namespace almondquay
