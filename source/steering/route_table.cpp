#include "steering/route_table.h"

#include <algorithm>
#include <cctype>
#include <iterator>
#include <set>

namespace almondquay {

namespace {

std::string lower(std::string_view text)
{
    std::string result(text);
    std::ranges::transform(result, result.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return result;
}

std::string_view prefix_of(const shared_rule_ptr& r)
{
    return r->rule.path_prefix;
}

/// What a change does to the rules of one host name.
struct host_change {
    std::set<route_id> removed;
    std::vector<shared_rule_ptr> added;
};

host_rules_ptr update_host(const host_rules* before, host_change&& change)
{
    boost::intrusive_ptr<host_rules> after(new host_rules);
    if (before != nullptr) {
        std::ranges::copy_if(
            before->rules, std::back_inserter(after->rules),
            [&](const shared_rule_ptr& r) { return !change.removed.contains(r->rule.id); });
    }
    const auto kept = static_cast<std::ptrdiff_t>(after->rules.size());
    std::ranges::stable_sort(change.added, {}, prefix_of);
    after->rules.insert(after->rules.end(), change.added.begin(), change.added.end());
    std::ranges::inplace_merge(after->rules, after->rules.begin() + kept, {}, prefix_of);
    for (const auto& r : after->rules) {
        after->longest_prefix = std::max(after->longest_prefix, r->rule.path_prefix.size());
    }
    return after;
}

const route_rule* find_prefix(const host_rules& all, std::string_view prefix)
{
    const auto found = std::ranges::lower_bound(all.rules, prefix, {}, prefix_of);
    return found != all.rules.end() && prefix_of(*found) == prefix ? &(*found)->rule : nullptr;
}

} // namespace

route_table_ptr make_route_table(const std::vector<route_rule>& rules)
{
    return update_route_table(route_table(), {}, rules);
}

route_table_ptr update_route_table(const route_table& before,
                                   const std::vector<route_rule>& removed,
                                   const std::vector<route_rule>& added)
{
    std::map<std::string, host_change> changes;
    for (const auto& rule : removed) {
        changes[lower(rule.host)].removed.insert(rule.id);
    }
    for (const auto& rule : added) {
        changes[lower(rule.host)].added.emplace_back(new shared_rule(rule));
    }
    boost::intrusive_ptr<route_table> after(new route_table);
    after->by_host = before.by_host;
    for (auto& [host, change] : changes) {
        auto& rules = after->by_host[host];
        rules = update_host(rules.get(), std::move(change));
        if (rules->rules.empty()) {
            after->by_host.erase(host);
        }
    }
    return after;
}

const route_rule* find_rule(const route_table& table, std::string_view host, std::string_view path)
{
    const auto found = table.by_host.find(lower(host.substr(0, host.find(':'))));
    if (found == table.by_host.end()) {
        return nullptr;
    }
    const auto& rules = *found->second;
    auto prefix = path.substr(0, path.find('?')).substr(0, rules.longest_prefix);
    while (!prefix.empty()) {
        prefix = prefix.substr(0, prefix.rfind('/') + 1); // All prefixes end with a slash.
        if (const auto* rule = find_prefix(rules, prefix)) {
            return rule;
        }
        prefix = prefix.substr(0, prefix.empty() ? 0 : prefix.size() - 1);
    }
    return nullptr;
}

std::string choose_service(const route_rule& rule, std::mt19937_64& random)
{
    double all = 0;
    for (const auto& part : rule.parts) {
        all += part.weight;
    }
    std::uniform_real_distribution<double> uniform(0, all);
    auto point = uniform(random);
    for (const auto& part : rule.parts) {
        point -= part.weight;
        if (point < 0) {
            return part.to.value;
        }
    }
    return rule.parts.empty() ? std::string() : rule.parts.back().to.value;
}

} // namespace almondquay
