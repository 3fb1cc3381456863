#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// A configuration as separately encoded parts: each service, each route and the limits of callers.
///
/// A host parses and passes on only the parts that a change touches, so that the cost of a change
/// does not grow with the size of the configuration.
namespace almondquay {

/// Texts of parts by name, for example "route/view".
using part_texts = std::map<std::string, std::string, std::less<>>;

/// The name of the part that holds the limits of callers.
constexpr std::string_view limits_part = "limits";

struct fleet_parts {
    part_texts texts;
    std::uint64_t fingerprint = 0; ///< of all names and texts, independent of their order

    bool operator==(const fleet_parts&) const = default;
};

/// What turns one configuration into another.
struct parts_change {
    part_texts changed; ///< added parts and parts with a new text
    std::vector<std::string> removed;

    bool operator==(const parts_change&) const = default;
};

/// Adds a part or replaces its text.
void set_part(fleet_parts& parts, std::string name, std::string text);

/// The change that turns `before` into `after`.
parts_change difference(const fleet_parts& before, const fleet_parts& after);

/// The fingerprint that `before` would have after the change.
std::uint64_t fingerprint_after(const fleet_parts& before, const parts_change& change);

void apply_change(fleet_parts& parts, const parts_change& change);

/// The parts of `parts` that the change replaces or removes.
part_texts replaced_texts(const fleet_parts& parts, const parts_change& change);

} // namespace almondquay
