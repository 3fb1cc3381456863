#include "metrics/registry.h"

#include <mutex>
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace almondquay::metrics {

namespace {

namespace acc = boost::accumulators;

constexpr double median = 0.5;
constexpr double percentile_99 = 0.99;
constexpr double ns_per_second = 1e9;

using quantile = acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;
using total = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum>>;

struct summary {
    quantile p50{acc::quantile_probability = median};
    quantile p99{acc::quantile_probability = percentile_99};
    total all;
};

std::string labels_of(const series& s, std::string_view extra = {})
{
    std::string text;
    const auto append = [&](std::string_view key, std::string_view value) {
        if (!value.empty()) {
            text += text.empty() ? "" : ",";
            text += key;
            text += "=\"";
            text += value;
            text += '"';
        }
    };
    append("service", s.service);
    append("result", s.result);
    append("quantile", extra);
    if (!text.empty()) {
        text.insert(0, 1, '{');
        text += '}';
    }
    return text;
}

} // namespace

struct registry::shared_state {
    mutable std::mutex mutex;
    std::map<series, std::uint64_t> counters;
    std::map<series, double> gauges;
    std::map<series, summary> summaries;
};

std::unique_ptr<registry> registry::create()
{
    return std::unique_ptr<registry>(new registry());
}

registry::registry() : state_(std::make_unique<shared_state>()) {}

registry::~registry() = default;

void registry::add(const series& s, std::uint64_t amount)
{
    const std::scoped_lock lock(state_->mutex);
    state_->counters[s] += amount;
}

void registry::observe(const series& s, std::chrono::nanoseconds latency)
{
    const double seconds = static_cast<double>(latency.count()) / ns_per_second;
    const std::scoped_lock lock(state_->mutex);
    auto& found = state_->summaries[s];
    found.p50(seconds);
    found.p99(seconds);
    found.all(seconds);
}

void registry::set(const series& s, double value)
{
    const std::scoped_lock lock(state_->mutex);
    state_->gauges[s] = value;
}

std::string registry::expose() const
{
    const std::scoped_lock lock(state_->mutex);
    std::ostringstream out;
    for (const auto& [s, count] : state_->counters) {
        out << "almondquay_" << s.name << labels_of(s) << ' ' << count << '\n';
    }
    for (const auto& [s, value] : state_->gauges) {
        out << "almondquay_" << s.name << labels_of(s) << ' ' << value << '\n';
    }
    for (const auto& [s, found] : state_->summaries) {
        const auto name = "almondquay_" + s.name;
        out << name << labels_of(s, "0.5") << ' ' << acc::p_square_quantile(found.p50) << '\n'
            << name << labels_of(s, "0.99") << ' ' << acc::p_square_quantile(found.p99) << '\n'
            << name << "_sum" << labels_of(s) << ' ' << acc::sum(found.all) << '\n'
            << name << "_count" << labels_of(s) << ' ' << acc::count(found.all) << '\n';
    }
    return out.str();
}

} // namespace almondquay::metrics
