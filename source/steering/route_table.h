#pragma once

#include "config/fleet.h"

#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

/// Finds the rule for a request's Host header and path.
namespace almondquay {

struct route_table : boost::intrusive_ref_counter<route_table, boost::thread_safe_counter> {
    /// By host name in lower case; each list with the longest prefixes first.
    std::map<std::string, std::vector<route_rule>, std::less<>> by_host;
};

using route_table_ptr = boost::intrusive_ptr<const route_table>;

route_table_ptr make_route_table(const std::vector<route_rule>& rules);

/// The rule with the longest prefix that begins `path`, or nullptr. A port after the host and a
/// query after the path do not count. The pointer lives as long as the table.
const route_rule* find_rule(const route_table& table, std::string_view host, std::string_view path);

/// The service that gets a request of a rule with several parts, by their weights.
std::string choose_part(const route_rule& rule, std::mt19937_64& random);

} // namespace almondquay
