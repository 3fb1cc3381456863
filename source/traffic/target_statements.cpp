#include "traffic/target_statements.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <mutex>

namespace almondquay {

namespace {

using clock = std::chrono::steady_clock;

/// Entries in the store lapse and return, so the statements of unlisted targets are kept for this
/// long.
constexpr std::chrono::minutes unlisted_retention{10};

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    const auto last = text.find_last_not_of(" \t");
    return first == std::string_view::npos ? std::string_view()
                                           : text.substr(first, last - first + 1);
}

/// A decimal number that is not negative.
std::optional<double> parse_number(std::string_view text)
{
    const auto plain = trimmed(text);
    double value = 0;
    const auto [end, problem] =
        std::from_chars(plain.data(), plain.data() + plain.size(), value, std::chars_format::fixed);
    const bool is_whole = problem == std::errc{} && end == plain.data() + plain.size();
    return is_whole && std::isfinite(value) && value >= 0 ? std::optional(value) : std::nullopt;
}

bool states_something(const stated_values& values)
{
    return values.limit || values.is_leaving || values.pause;
}

/// Applies what a response states, `latest` being when the target named its limit last.
void update(target_statement& s, const stated_values& values, clock::time_point latest,
            clock::time_point sent, clock::time_point now)
{
    if (values.limit) {
        s.limited_since = s.limit ? s.limited_since : now;
        s.limit = values.limit;
    } else if (values.malformed.empty() && sent > latest) {
        s.limit.reset();
    }
    s.is_leaving = s.is_leaving || values.is_leaving;
    if (values.pause) {
        s.paused_until = std::max(s.paused_until, now + *values.pause);
    }
}

} // namespace

struct statement_board::shared_state {
    mutable std::mutex mutex;
    statement_table_ptr table{new statement_table}; ///< replaced when a statement changes
    std::map<target_id, clock::time_point> latest;  ///< when each target named its limit last
    std::map<target_id, clock::time_point> noted;   ///< when a statement of each changed last
};

std::optional<std::chrono::milliseconds> parse_pause(std::string_view text)
{
    const auto seconds = parse_number(text);
    if (!seconds) {
        return std::nullopt;
    }
    const std::chrono::duration<double> most = longest_pause;
    const std::chrono::duration<double> pause(std::min(*seconds, most.count()));
    return std::chrono::ceil<std::chrono::milliseconds>(pause);
}

std::optional<double> parse_limit(std::string_view text)
{
    const auto limit = parse_number(text);
    return limit ? std::optional(std::min(*limit, highest_limit)) : std::nullopt;
}

const target_statement* find_statement(const statement_table& table, const target_route& target)
{
    const auto found = table.targets.find(target.id);
    const bool is_valid = found != table.targets.end() && found->second.life == target.life;
    return is_valid ? &found->second : nullptr;
}

std::unique_ptr<statement_board> statement_board::create()
{
    return std::unique_ptr<statement_board>(new statement_board());
}

statement_board::statement_board() : state_(std::make_unique<shared_state>()) {}

statement_board::~statement_board() = default;

statement_table_ptr statement_board::current() const
{
    const std::scoped_lock lock(state_->mutex);
    return state_->table;
}

std::optional<target_statement> statement_board::note(const target_id& id, incarnation life,
                                                      const stated_values& values,
                                                      clock::time_point sent, clock::time_point now)
{
    const std::scoped_lock lock(state_->mutex);
    const auto known = state_->table->targets.find(id);
    const bool is_known = known != state_->table->targets.end();
    if ((!is_known && !states_something(values)) || (is_known && life < known->second.life)) {
        return std::nullopt;
    }
    const bool is_same = is_known && known->second.life == life;
    const auto before = is_same ? known->second : target_statement{life, {}, {}, false, {}};
    auto statement = before;
    auto& latest = state_->latest[id];
    update(statement, values, is_same ? latest : clock::time_point{}, sent, now);
    latest = values.limit ? now : latest;
    if (statement == before) {
        return std::nullopt;
    }
    state_->noted[id] = now;
    boost::intrusive_ptr<statement_table> next(new statement_table(*state_->table));
    next->targets[id] = statement;
    state_->table = std::move(next);
    // Each refusal of a paused target may prolong its pause; only the first one is news.
    const bool is_prolonged = statement.limit == before.limit &&
                              statement.is_leaving == before.is_leaving &&
                              before.paused_until > now;
    return is_prolonged ? std::nullopt : std::optional(statement);
}

void statement_board::apply(const routing_snapshot& snapshot, clock::time_point now)
{
    const std::scoped_lock lock(state_->mutex);
    if (state_->table->targets.empty()) {
        return;
    }
    std::map<target_id, incarnation> listed;
    for (const auto& [name, routes] : snapshot.services) {
        for (const auto& t : routes.targets) {
            listed.emplace(t.id, t.life);
        }
    }
    const auto is_outdated = [&](const auto& entry) {
        const auto found = listed.find(entry.first);
        const auto latest = std::max(state_->latest[entry.first], state_->noted[entry.first]);
        return found == listed.end() ? now - latest > unlisted_retention
                                     : entry.second.life < found->second;
    };
    if (std::ranges::none_of(state_->table->targets, is_outdated)) {
        return;
    }
    boost::intrusive_ptr<statement_table> next(new statement_table(*state_->table));
    std::erase_if(next->targets, is_outdated);
    const auto is_unknown = [&](const auto& entry) { return !next->targets.contains(entry.first); };
    std::erase_if(state_->latest, is_unknown);
    std::erase_if(state_->noted, is_unknown);
    state_->table = std::move(next);
}

} // namespace almondquay
