#pragma once

#include <span>
#include <string_view>

/// All events that a process logs, with their fields. docs/LOG_EVENTS.md contains the same table.
namespace almondquay::log {

struct event_row {
    std::string_view name;
    std::string_view fields;  ///< field names in alphabetical order, separated by spaces
    bool is_decision = false; ///< `fields` are its inputs, in addition to `decision_fields`
    std::string_view meaning;
};

/// Fields of every decision: its id, a summary, the rule that was applied, the ids of the decisions
/// that caused it, and its inputs as "name:value name:value".
constexpr std::string_view decision_fields = "causes id inputs rule summary";

std::span<const event_row> event_schema();

} // namespace almondquay::log
