#include "metrics/registry.h"

#include <mutex>
#include <sstream>
#include <tuple>
#include <vector>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

namespace almondquay::metrics {

namespace {

namespace acc = boost::accumulators;
namespace hist = boost::histogram;

constexpr double ns_per_second = 1e9;
/// Series beyond this limit are aggregated into one, so that changing routes and results cannot
/// exhaust memory.
constexpr std::size_t max_series = 400;
constexpr std::string_view other = "other";
/// Upper bounds of the latency buckets in seconds: the default buckets of Prometheus clients.
constexpr auto latency_bounds =
    std::to_array<double>({0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10});

using latency_axis = hist::axis::variable<double>;
using latency_counts =
    hist::histogram<std::tuple<latency_axis>, hist::dense_storage<std::uint32_t>>;
using total = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum>>;

latency_axis make_latency_axis()
{
    std::vector<double> bounds{0};
    bounds.insert(bounds.end(), latency_bounds.begin(), latency_bounds.end());
    return latency_axis(bounds);
}

struct latencies {
    latency_counts counts{latency_counts(std::make_tuple(make_latency_axis()))};
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
    append("route", s.route);
    append("result", s.result);
    append("le", extra);
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
    std::map<series, latencies> histograms;
};

namespace {

/// The entry of a series, or the aggregate entry once `max_series` is reached.
template <class Value> Value& entry_of(std::map<series, Value>& all, const series& s)
{
    const auto found = all.find(s);
    if (found != all.end()) {
        return found->second;
    }
    return all.size() < max_series ? all[s]
                                   : all[{s.name, std::string(other), std::string(other), {}}];
}

void expose_histogram(const series& s, const latencies& found, std::ostream& out)
{
    const auto name = "almondquay_" + s.name;
    std::uint64_t below = 0;
    for (std::size_t i = 0; i < latency_bounds.size(); ++i) {
        below += found.counts.at(static_cast<int>(i));
        std::ostringstream bound;
        bound << latency_bounds.at(i);
        out << name << "_bucket" << labels_of(s, bound.str()) << ' ' << below << '\n';
    }
    out << name << "_bucket" << labels_of(s, "+Inf") << ' ' << acc::count(found.all) << '\n'
        << name << "_sum" << labels_of(s) << ' ' << acc::sum(found.all) << '\n'
        << name << "_count" << labels_of(s) << ' ' << acc::count(found.all) << '\n';
}

} // namespace

std::unique_ptr<registry> registry::create()
{
    return std::unique_ptr<registry>(new registry());
}

registry::registry() : state_(std::make_unique<shared_state>()) {}

registry::~registry() = default;

void registry::add(const series& s, std::uint64_t amount)
{
    const std::scoped_lock lock(state_->mutex);
    entry_of(state_->counters, s) += amount;
}

void registry::observe(const series& s, std::chrono::nanoseconds latency)
{
    const double seconds = static_cast<double>(latency.count()) / ns_per_second;
    const std::scoped_lock lock(state_->mutex);
    auto& found = entry_of(state_->histograms, s);
    found.counts(seconds);
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
    for (const auto& [s, found] : state_->histograms) {
        expose_histogram(s, found, out);
    }
    return out.str();
}

} // namespace almondquay::metrics
