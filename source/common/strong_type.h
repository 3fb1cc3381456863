#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>

/// Strong types for identifiers and units, so that a host cannot be passed for a target.
namespace almondquay {

/// A value of type T that can only be compared and exchanged with values of the same Tag.
template <class Tag, class T> struct strong_type {
    T value{};

    strong_type() = default;
    explicit strong_type(T v) : value(std::move(v)) {}

    auto operator<=>(const strong_type&) const = default;
    bool operator==(const strong_type&) const = default;
};

using region_id = strong_type<struct region_tag, std::string>;
using failure_domain_id = strong_type<struct failure_domain_tag, std::string>;
using host_id = strong_type<struct host_tag, std::string>;
using service_id = strong_type<struct service_tag, std::string>;
using target_id = strong_type<struct target_tag, std::string>;
using route_id = strong_type<struct route_tag, std::string>;

/// Version number of the accepted configuration; a host only applies higher ones.
using generation = strong_type<struct generation_tag, std::uint64_t>;
/// Distinguishes successive runs of a host or target under the same name and address.
using incarnation = strong_type<struct incarnation_tag, std::uint64_t>;
/// Counts the returns of the store from an older copy of itself; nothing if the store has not
/// stated it.
using store_era = strong_type<struct store_era_tag, std::optional<std::uint64_t>>;

/// Number of requests that a target serves concurrently.
using slot_count = strong_type<struct slot_tag, std::uint32_t>;
using megabits_per_second = strong_type<struct megabits_tag, double>;
using percent = strong_type<struct percent_tag, double>;

/// A point in the history of the store, whose change counter is shared by all its objects. A store
/// that returns from an older copy counts from there again, so that a number names a change only
/// together with its era.
struct store_revision {
    store_era era;
    std::uint64_t value = 0;

    store_revision() = default;
    explicit store_revision(std::uint64_t number, store_era in = {}) : era(in), value(number) {}

    auto operator<=>(const store_revision&) const = default;
    bool operator==(const store_revision&) const = default;
};

} // namespace almondquay

template <class Tag, class T> struct std::hash<almondquay::strong_type<Tag, T>> {
    std::size_t operator()(const almondquay::strong_type<Tag, T>& v) const
    {
        return std::hash<T>{}(v.value);
    }
};
