#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Results and latencies that a fake caller has counted.
struct caller_report {
    std::uint64_t served = 0;
    std::uint64_t wrong = 0; ///< answers of a wrong length or to another request
    std::uint64_t lost = 0;  ///< no answer, or a truncated one
    std::map<std::string, std::uint64_t> refused;    ///< by outcome and result number
    std::vector<std::chrono::nanoseconds> latencies; ///< of served requests
};

/// The quantile `part` (0 to 1) of the latencies in microseconds; reorders `latencies`.
double percentile_us(std::vector<std::chrono::nanoseconds>& latencies, double part);

/// Prints the report as a table of labels and counts, which tests and the demo read.
void print_table(caller_report& report);

/// Prints the report as one line: served,wrong,lost,refused,p50_us,p99_us,rate.
void print_csv(caller_report& report, double seconds);
