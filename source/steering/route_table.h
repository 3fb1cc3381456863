#pragma once

#include "config/fleet.h"

#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

/// Matches a request's Host header and path to a route rule.
namespace almondquay {

struct route_table : boost::intrusive_ref_counter<route_table, boost::thread_safe_counter> {
    /// By lower-case host name; each list is sorted by descending prefix length.
    std::map<std::string, std::vector<route_rule>, std::less<>> by_host;
};

using route_table_ptr = boost::intrusive_ptr<const route_table>;

route_table_ptr make_route_table(const std::vector<route_rule>& rules);

/// The rule with the longest path prefix that matches, or nullptr. The host's port and the path's
/// query string are ignored. The pointer is valid as long as the table.
const route_rule* find_rule(const route_table& table, std::string_view host, std::string_view path);

/// Picks the service for a request at random, in proportion to the weights of the services
/// among which the rule splits its requests.
std::string choose_service(const route_rule& rule, std::mt19937_64& random);

} // namespace almondquay
