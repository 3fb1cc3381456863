#include "config/fleet_checks.h"

#include <algorithm>
#include <charconv>
#include <set>
#include <string>

namespace almondquay {

namespace {

constexpr int address_bits = 32;

/// The line of the section heading with this kind and these names; 0 if there is none.
int line_of(const ini_document& document, std::string_view kind,
            const std::vector<std::string>& names)
{
    for (const auto& section : document.sections) {
        if (section.kind == kind && section.names == names) {
            return section.line;
        }
    }
    return 0;
}

void add(ini_document& document, result_code code, int line, std::string message)
{
    document.findings.push_back({code, document.file, line, std::move(message)});
}

template <class Id, class Value>
void check_defined(ini_document& document, const std::map<Id, Value>& known, const Id& id, int line,
                   std::string_view kind)
{
    if (!id.value.empty() && !known.contains(id)) {
        add(document, result_code::unknown_reference, line,
            std::string(kind) + " '" + id.value + "' is not defined");
    }
}

void check_references(const fleet& f, ini_document& document)
{
    for (const auto& [id, d] : f.domains) {
        const int line = line_of(document, "failure_domain", {id.value});
        check_defined(document, f.regions, d.in_region, line, "region");
    }
    for (const auto& [id, h] : f.hosts) {
        const int line = line_of(document, "host", {id.value});
        check_defined(document, f.domains, h.domain, line, "failure domain");
    }
    for (const auto& [id, t] : f.targets) {
        const int line = line_of(document, "target", {id.value});
        check_defined(document, f.domains, t.domain, line, "failure domain");
        check_defined(document, f.services, t.serves, line, "service");
    }
    for (const auto& [id, s] : f.services) {
        for (const auto& needed : s.depends_on) {
            const int line = line_of(document, "service", {id.value});
            check_defined(document, f.services, needed, line, "service");
        }
    }
    for (const auto& l : f.links) {
        const int line = line_of(document, "link", {l.first.value, l.second.value});
        check_defined(document, f.regions, l.first, line, "region");
        check_defined(document, f.regions, l.second, line, "region");
    }
    for (const auto& g : f.grants) {
        const int line = line_of(document, "grant", {g.from.value, g.to.value, g.of_service.value});
        check_defined(document, f.domains, g.from, line, "failure domain");
        check_defined(document, f.domains, g.to, line, "failure domain");
        check_defined(document, f.services, g.of_service, line, "service");
    }
    for (const auto& b : f.caller_blocks) {
        check_defined(document, f.regions, b.near_region, 0, "region");
    }
}

bool reaches(const fleet& f, const service_id& from, const service_id& goal,
             std::set<service_id>& seen)
{
    const auto found = f.services.find(from);
    if (found == f.services.end() || !seen.insert(from).second) {
        return false;
    }
    return std::ranges::any_of(found->second.depends_on, [&](const service_id& next) {
        return next == goal || reaches(f, next, goal, seen);
    });
}

void check_dependencies(const fleet& f, ini_document& document)
{
    for (const auto& [id, s] : f.services) {
        std::set<service_id> seen;
        if (reaches(f, id, id, seen)) {
            add(document, result_code::dependency_cycle, line_of(document, "service", {id.value}),
                "service '" + id.value + "' depends on itself");
        }
    }
}

void check_addresses(const fleet& f, ini_document& document)
{
    std::set<endpoint> used;
    const auto check_unique = [&](const endpoint& e, int line) {
        if (!e.address.empty() && !used.insert(e).second) {
            add(document, result_code::address_in_use, line, to_string(e) + " is used twice");
        }
    };
    for (const auto& [id, h] : f.hosts) {
        const int line = line_of(document, "host", {id.value});
        check_unique(h.callers, line);
        check_unique(h.peers, line);
    }
    for (const auto& [id, t] : f.targets) {
        check_unique(t.address, line_of(document, "target", {id.value}));
    }
}

/// The slots of a service's targets in one failure domain.
std::uint64_t slots_in(const fleet& f, const failure_domain_id& domain, const service_id& id)
{
    std::uint64_t slots = 0;
    for (const auto& [target_name, t] : f.targets) {
        if (t.domain == domain && t.serves == id) {
            slots += t.slots.value;
        }
    }
    return slots;
}

void check_grants_into_domains(const fleet& f, ini_document& document)
{
    std::map<std::pair<failure_domain_id, service_id>, std::uint64_t> granted;
    for (const auto& g : f.grants) {
        auto& sum = granted[{g.to, g.of_service}];
        sum += g.in_flight;
        if (sum > slots_in(f, g.to, g.of_service)) {
            const std::vector<std::string> names{g.from.value, g.to.value, g.of_service.value};
            add(document, result_code::limit_exceeded, line_of(document, "grant", names),
                "grants of '" + g.of_service.value + "' into '" + g.to.value +
                    "' exceed the slots of its targets there");
        }
        if (g.from == g.to) {
            add(document, result_code::bad_value,
                line_of(document, "grant", {g.from.value, g.to.value, g.of_service.value}),
                "a grant needs two different failure domains");
        }
    }
}

bool joins(const link& l, const region_id& a, const region_id& b)
{
    return (l.first == a && l.second == b) || (l.first == b && l.second == a);
}

void check_grants_over_links(const fleet& f, ini_document& document)
{
    for (const auto& l : f.links) {
        // The limit applies to each direction separately, so each has its own sum.
        double forward = 0;
        double backward = 0;
        for (const auto& g : f.grants) {
            const auto from = region_of(f, g.from);
            const auto to = region_of(f, g.to);
            if (joins(l, from, to)) {
                (from == l.first ? forward : backward) += g.rate.value;
            }
        }
        if (std::max(forward, backward) > l.limit.value) {
            add(document, result_code::limit_exceeded,
                line_of(document, "link", {l.first.value, l.second.value}),
                "grants over the link exceed its limit");
        }
    }
}

void check_present(const fleet& f, ini_document& document)
{
    const auto require_any = [&](bool is_empty, std::string_view kind) {
        if (is_empty) {
            add(document, result_code::missing_section, 0,
                "section '" + std::string(kind) + "' is missing");
        }
    };
    const bool has_fleet = std::ranges::find(document.sections, "fleet", &ini_section::kind) !=
                           document.sections.end();
    require_any(!has_fleet, "fleet");
    require_any(f.regions.empty(), "region");
    require_any(f.domains.empty(), "failure_domain");
    require_any(f.hosts.empty(), "host");
    require_any(f.services.empty(), "service");
}

} // namespace

bool is_cidr(std::string_view text)
{
    const auto slash = text.find('/');
    if (slash == std::string_view::npos || !is_ipv4_address(text.substr(0, slash))) {
        return false;
    }
    const auto digits = text.substr(slash + 1);
    int bits = 0;
    const auto [end, problem] = std::from_chars(digits.data(), digits.data() + digits.size(), bits);
    return problem == std::errc{} && end == digits.data() + digits.size() && bits >= 0 &&
           bits <= address_bits;
}

void check_fleet(const fleet& f, ini_document& document)
{
    check_present(f, document);
    check_references(f, document);
    check_dependencies(f, document);
    check_addresses(f, document);
    check_grants_into_domains(f, document);
    check_grants_over_links(f, document);
    std::ranges::stable_sort(document.findings, {}, &diagnostic::line);
}

} // namespace almondquay
