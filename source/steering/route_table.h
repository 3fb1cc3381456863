#pragma once

#include "config/fleet.h"

#include <cstddef>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

/// Matches a request's Host header and path to a route rule.
namespace almondquay {

struct shared_rule : boost::intrusive_ref_counter<shared_rule, boost::thread_safe_counter> {
    explicit shared_rule(route_rule r) : rule(std::move(r)) {}

    route_rule rule;
};

using shared_rule_ptr = boost::intrusive_ptr<const shared_rule>;

/// The rules of one host name, sorted by path prefix.
struct host_rules : boost::intrusive_ref_counter<host_rules, boost::thread_safe_counter> {
    std::vector<shared_rule_ptr> rules;
    std::size_t longest_prefix = 0;
};

using host_rules_ptr = boost::intrusive_ptr<const host_rules>;

/// Immutable. The table after a change shares all rules that did not change with the one before.
struct route_table : boost::intrusive_ref_counter<route_table, boost::thread_safe_counter> {
    std::map<std::string, host_rules_ptr, std::less<>> by_host; ///< by lower-case host name
};

using route_table_ptr = boost::intrusive_ptr<const route_table>;

route_table_ptr make_route_table(const std::vector<route_rule>& rules);

/// The table without the rules `removed`, identified by id and host, and with the rules `added`.
route_table_ptr update_route_table(const route_table& before,
                                   const std::vector<route_rule>& removed,
                                   const std::vector<route_rule>& added);

/// The rule with the longest path prefix that matches, or nullptr. The host's port and the path's
/// query string are ignored. The pointer is valid as long as the table.
const route_rule* find_rule(const route_table& table, std::string_view host, std::string_view path);

/// Picks the service for a request at random, in proportion to the weights of the services
/// among which the rule splits its requests.
std::string choose_service(const route_rule& rule, std::mt19937_64& random);

} // namespace almondquay
