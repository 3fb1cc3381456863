#pragma once

#include <span>
#include <string_view>

/// Every event that a process logs, with its fields. docs/LOG_EVENTS.md is the same table.
namespace almondquay::log {

struct event_row {
    std::string_view name;
    std::string_view fields; ///< names in alphabetical order, with a space between them
    bool is_decision =
        false; ///< `fields` are its inputs; it has those of `decision_fields` as well
    std::string_view meaning;
};

/// What each decision's line has: its id, what was decided, the rule that chose, the ids of the
/// decisions that led to it, and its inputs as "name:value name:value".
constexpr std::string_view decision_fields = "causes id inputs rule summary";

std::span<const event_row> event_schema();

} // namespace almondquay::log
