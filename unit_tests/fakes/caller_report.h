#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// What a caller counted, with latencies.
struct caller_report {
    std::uint64_t served = 0;
    std::uint64_t wrong = 0;                      ///< answers that were short, or somebody else's
    std::uint64_t lost = 0;                       ///< no answer, or one that was cut
    std::map<std::string, std::uint64_t> refused; ///< by outcome and result number
    std::vector<std::chrono::nanoseconds> latencies; ///< of served requests
};

/// The latency below which `part` of the requests stayed, in microseconds.
double percentile_us(std::vector<std::chrono::nanoseconds>& latencies, double part);

/// The table that the demo prints.
void print_table(caller_report& report);

/// One line: served,wrong,lost,refused,p50_us,p99_us,rate.
void print_csv(caller_report& report, double seconds);
