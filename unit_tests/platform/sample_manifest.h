#pragma once

#include <cstdint>
#include <cstdio>
#include <string>

#include <nlohmann/json.hpp>

/// A manifest of any size for tests and benchmarks.
namespace almondquay::platform {

constexpr std::size_t sample_host_names = 20;

/// Route number `changed` has another time-out than the others.
inline nlohmann::json sample_manifest(std::size_t routes, std::size_t changed, std::uint64_t number)
{
    using json = nlohmann::json;
    json all = json::array();
    for (std::size_t i = 0; i < routes; ++i) {
        all.push_back({{"name", "r" + std::to_string(i)},
                       {"host", "h" + std::to_string(i % sample_host_names) + ".example"},
                       {"path_prefix", "/p" + std::to_string(i) + "/"},
                       {"kind", "idempotent"},
                       {"timeout_s", i == changed ? 2.5 : 2.0},
                       {"target_latency_s", 0.5},
                       {"priority", 2},
                       {"service", "s"},
                       {"max_attempts", 2},
                       {"sticky", true},
                       {"home_regions", json::array()}});
    }
    json services = json::array();
    services.push_back({{"name", "s"}, {"health_path", "/h"}, {"warmup_s", 1}, {"cold_per_s", 4}});
    char version[9] = {};
    std::snprintf(version, sizeof version, "%08x", static_cast<unsigned>(number));
    return {{"version", version}, {"routes", std::move(all)}, {"services", std::move(services)}};
}

} // namespace almondquay::platform
