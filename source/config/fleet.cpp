#include "config/fleet.h"

namespace almondquay {

region_id region_of(const fleet& f, const failure_domain_id& domain)
{
    const auto found = f.domains.find(domain);
    return found == f.domains.end() ? region_id{} : found->second.in_region;
}

bool is_repeatable(const service& s, std::string_view method, std::string_view path)
{
    const route* best = nullptr;
    for (const auto& r : s.routes) {
        const bool is_longer = best == nullptr || r.path_prefix.size() > best->path_prefix.size();
        if (is_longer && path.starts_with(r.path_prefix)) {
            best = &r;
        }
    }
    if (best != nullptr) {
        return best->repeatable;
    }
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

std::vector<const host*> hosts_of(const fleet& f, const failure_domain_id& domain)
{
    std::vector<const host*> found;
    for (const auto& [id, h] : f.hosts) {
        if (h.domain == domain) {
            found.push_back(&h);
        }
    }
    return found;
}

} // namespace almondquay
