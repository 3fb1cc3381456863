#include "caller_report.h"

#include <algorithm>
#include <iostream>

double percentile_us(std::vector<std::chrono::nanoseconds>& latencies, double part)
{
    constexpr double ns_per_us = 1'000.0;
    if (latencies.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(part * static_cast<double>(latencies.size() - 1));
    const auto place = latencies.begin() + static_cast<std::ptrdiff_t>(rank);
    std::ranges::nth_element(latencies, place);
    return static_cast<double>(place->count()) / ns_per_us;
}

void print_table(caller_report& report)
{
    std::cout << "served            " << report.served << "\n";
    for (const auto& [what, times] : report.refused) {
        std::cout << "refused " << what << "  " << times << "\n";
    }
    std::cout << "lost (cut off)    " << report.lost << "\n"
              << "wrong answers     " << report.wrong << "\n"
              << "latency p50       " << percentile_us(report.latencies, 0.5) << " us\n"
              << "latency p99       " << percentile_us(report.latencies, 0.99) << " us\n";
}

void print_csv(caller_report& report, double seconds)
{
    std::uint64_t refused = 0;
    for (const auto& [what, times] : report.refused) {
        refused += times;
    }
    std::cout << report.served << ',' << report.wrong << ',' << report.lost << ',' << refused << ','
              << percentile_us(report.latencies, 0.5) << ','
              << percentile_us(report.latencies, 0.99) << ','
              << static_cast<double>(report.served) / seconds << '\n';
}
