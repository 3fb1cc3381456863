#include "steering/route_table.h"

#include <algorithm>
#include <cctype>

namespace almondquay {

namespace {

std::string lower(std::string_view text)
{
    std::string result(text);
    std::ranges::transform(result, result.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return result;
}

std::size_t prefix_size(const route_rule& rule)
{
    return rule.path_prefix.size();
}

} // namespace

route_table_ptr make_route_table(const std::vector<route_rule>& rules)
{
    boost::intrusive_ptr<route_table> table(new route_table);
    for (const auto& rule : rules) {
        table->by_host[lower(rule.host)].push_back(rule);
    }
    for (auto& [host, host_rules] : table->by_host) {
        std::ranges::stable_sort(host_rules, std::greater{}, prefix_size);
    }
    return table;
}

const route_rule* find_rule(const route_table& table, std::string_view host, std::string_view path)
{
    const auto found = table.by_host.find(lower(host.substr(0, host.find(':'))));
    if (found == table.by_host.end()) {
        return nullptr;
    }
    const auto plain = path.substr(0, path.find('?'));
    const auto rule = std::ranges::find_if(
        found->second, [&](const route_rule& r) { return plain.starts_with(r.path_prefix); });
    return rule == found->second.end() ? nullptr : &*rule;
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
