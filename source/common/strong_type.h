#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

/// Strong types for identifiers and units, so that a host cannot be passed for a target.
namespace almondquay {

/// A value of type T that can only be compared and exchanged with values of the same Tag.
template <class Tag, class T> struct strong {
    T value{};

    strong() = default;
    explicit strong(T v) : value(std::move(v)) {}

    auto operator<=>(const strong&) const = default;
    bool operator==(const strong&) const = default;
};

using region_id = strong<struct region_tag, std::string>;
using failure_domain_id = strong<struct failure_domain_tag, std::string>;
using host_id = strong<struct host_tag, std::string>;
using service_id = strong<struct service_tag, std::string>;
using target_id = strong<struct target_tag, std::string>;
using route_id = strong<struct route_tag, std::string>;

/// Version number of the accepted configuration; a host only applies higher ones.
using generation = strong<struct generation_tag, std::uint64_t>;
/// Distinguishes successive runs of a host or target under the same name and address.
using incarnation = strong<struct incarnation_tag, std::uint64_t>;
/// The store's change counter, shared by all its objects.
using store_revision = strong<struct store_revision_tag, std::uint64_t>;

/// Number of requests that a target serves concurrently.
using slot_count = strong<struct slot_tag, std::uint32_t>;
using megabits_per_second = strong<struct megabits_tag, double>;
using percent = strong<struct percent_tag, double>;

} // namespace almondquay

template <class Tag, class T> struct std::hash<almondquay::strong<Tag, T>> {
    std::size_t operator()(const almondquay::strong<Tag, T>& v) const
    {
        return std::hash<T>{}(v.value);
    }
};
