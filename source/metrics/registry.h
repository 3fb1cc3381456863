#pragma once

#include "common/strong_type.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

/// Counters, gauges and latency histograms of one process, exposed in the Prometheus text format.
namespace almondquay::metrics {

/// A metric name and its labels: "requests_total" of service "ledger" with result "ok".
struct series {
    std::string name;
    std::string service;
    std::string result;
    std::string route{}; ///< empty if there is no route label

    auto operator<=>(const series&) const = default;
};

/// The metrics of a process. All functions are thread-safe.
class registry {
public:
    static std::unique_ptr<registry> create();
    ~registry();
    registry(const registry&) = delete;
    registry& operator=(const registry&) = delete;

    void add(const series& s, std::uint64_t amount = 1);
    void observe(const series& s, std::chrono::nanoseconds latency);
    void set(const series& s, double value);

    /// All metrics in the Prometheus text format, version 0.0.4.
    std::string expose() const;

    struct shared_state;

private:
    registry();

    std::unique_ptr<shared_state> state_;
};

} // namespace almondquay::metrics
