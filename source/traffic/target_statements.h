#pragma once

#include "steering/routing_snapshot.h"

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

/// What targets state about themselves in the headers of their responses, shared by all traffic
/// threads. A statement belongs to one incarnation of its target.
namespace almondquay {

/// What one response states.
struct stated_values {
    std::optional<double> limit; ///< requests per second that the target takes from all hosts
    bool is_leaving = false;
    /// With a refusal: for how long the target wants no requests from this host.
    std::optional<std::chrono::milliseconds> pause;
    std::string_view malformed{}; ///< a header whose value is ignored; empty if there is none
};

struct target_statement {
    incarnation life;
    std::optional<double> limit;
    std::chrono::steady_clock::time_point limited_since{}; ///< when it named a limit first
    bool is_leaving = false; ///< holds for the rest of the incarnation
    std::chrono::steady_clock::time_point paused_until{};

    bool operator==(const target_statement&) const = default;
};

struct statement_table : boost::intrusive_ref_counter<statement_table, boost::thread_safe_counter> {
    std::map<target_id, target_statement> targets;
};

using statement_table_ptr = boost::intrusive_ptr<const statement_table>;

/// Limits above this are treated like it.
constexpr double highest_limit = 1e6;

/// Longer pauses are treated like it.
constexpr std::chrono::hours longest_pause{24};

/// Parses the value of a Retry-After header in seconds, with or without fractions. Nothing if it is
/// negative or malformed; dates are not used between hosts and targets.
std::optional<std::chrono::milliseconds> parse_pause(std::string_view text);

/// Parses the value of a limit header, a decimal number. Nothing if it is negative or malformed.
std::optional<double> parse_limit(std::string_view text);

/// The statement of this incarnation of a target, or nullptr.
const target_statement* find_statement(const statement_table& table, const target_route& target);

/// All functions may be called from any thread.
class statement_board {
public:
    static std::unique_ptr<statement_board> create();
    ~statement_board();
    statement_board(const statement_board&) = delete;
    statement_board& operator=(const statement_board&) = delete;

    statement_table_ptr current() const;

    /// Records what a response states, `sent` being the time at which its request was sent. Returns
    /// the statement if it differs from the one before. A limit holds until a response without it
    /// to a request that was sent after the limit was named last, since responses on different
    /// connections overtake each other.
    std::optional<target_statement> note(const target_id& id, incarnation life,
                                         const stated_values& values,
                                         std::chrono::steady_clock::time_point sent,
                                         std::chrono::steady_clock::time_point now);

    /// Drops the statements of earlier incarnations, and of targets that have not been listed for
    /// long.
    void apply(const routing_snapshot& snapshot, std::chrono::steady_clock::time_point now);

    struct shared_state;

private:
    statement_board();

    std::unique_ptr<shared_state> state_;
};

} // namespace almondquay
