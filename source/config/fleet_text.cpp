#include "config/fleet_text.h"

#include "config/fleet_checks.h"
#include "config/section_reader.h"

#include <array>

namespace almondquay {

namespace {

constexpr number_range ttl_range{100, 600'000};
constexpr number_range percent_range{1, 100};
constexpr number_range mbit_range{0, 10'000'000};
constexpr number_range port_range{1, 65'535};
constexpr number_range deadline_range{10, 3'600'000};
constexpr number_range slot_range{1, 10'000};
constexpr number_range connection_range{1, 100'000};
constexpr number_range in_flight_range{0, 1'000'000};
constexpr number_range rank_range{1, 100};
constexpr std::int64_t default_caller_port = 7000;
constexpr std::int64_t default_peer_port = 7001;

void read_fleet_section(section_reader& r, fleet& f)
{
    f.settings.name = read_required(r, "name");
    f.settings.lookup_ttl = read_milliseconds(r, "lookup_ttl_ms", ttl_range, f.settings.lookup_ttl);
    f.settings.shift_cap.value =
        static_cast<double>(read_number(r, "shift_cap_percent", percent_range,
                                        static_cast<std::int64_t>(f.settings.shift_cap.value)));
}

/// Adds a value to `all` by its id. Reports duplicate_name.
template <class Id, class Value>
void add_named(section_reader& r, std::map<Id, Value>& all, Value value)
{
    const auto name = value.id.value;
    if (!all.emplace(value.id, std::move(value)).second) {
        report(r, "", result_code::duplicate_name,
               r.section->kind + " '" + name + "' is defined twice");
    }
}

void read_region(section_reader& r, fleet& f)
{
    add_named(r, f.regions, region{region_id(r.section->names[0])});
}

void read_domain(section_reader& r, fleet& f)
{
    add_named(r, f.domains,
              failure_domain{failure_domain_id(r.section->names[0]),
                             region_id(read_required(r, "region"))});
}

void read_link(section_reader& r, fleet& f)
{
    read_required(r, "limit_mbit");
    const auto limit = read_number(r, "limit_mbit", mbit_range, 0);
    f.links.push_back({region_id(r.section->names[0]), region_id(r.section->names[1]),
                       megabits_per_second(static_cast<double>(limit))});
}

void read_host(section_reader& r, fleet& f)
{
    host h;
    h.id.value = r.section->names[0];
    h.domain.value = read_required(r, "failure_domain");
    const auto address = read_required(r, "address");
    if (!address.empty() && !is_ipv4_address(address)) {
        report(r, "address", result_code::bad_value, "'address' must be an IPv4 address");
    }
    const auto caller_port = read_number(r, "caller_port", port_range, default_caller_port);
    const auto peer_port = read_number(r, "peer_port", port_range, default_peer_port);
    h.callers = {address, static_cast<std::uint16_t>(caller_port)};
    h.peers = {address, static_cast<std::uint16_t>(peer_port)};
    add_named(r, f.hosts, h);
}

void read_paths(section_reader& r, std::string_view key, bool repeatable, service& s)
{
    for (auto& path : read_list(r, key)) {
        if (!path.text.starts_with('/')) {
            report(r, path, result_code::bad_value,
                   "a path must start with '/', got '" + path.text + "'");
        }
        s.routes.push_back({std::move(path.text), repeatable});
    }
}

void read_service(section_reader& r, fleet& f)
{
    service s;
    s.id.value = r.section->names[0];
    for (auto& name : read_list(r, "depends_on")) {
        s.depends_on.emplace_back(std::move(name.text));
    }
    read_paths(r, "repeatable", true, s);
    read_paths(r, "not_repeatable", false, s);
    s.deadline = read_milliseconds(r, "deadline_ms", deadline_range, s.deadline);
    s.rank = static_cast<std::uint32_t>(read_number(r, "rank", rank_range, s.rank));
    add_named(r, f.services, s);
}

void read_target(section_reader& r, fleet& f)
{
    target t;
    t.id.value = r.section->names[0];
    t.serves.value = read_required(r, "service");
    t.domain.value = read_required(r, "failure_domain");
    const auto address = parse_endpoint(read_required(r, "address"));
    if (succeeded(address)) {
        t.address = value_of(address);
    } else {
        report(r, "address", result_code::bad_value, error_of(address).detail);
    }
    t.slots.value = static_cast<std::uint32_t>(read_number(r, "slots", slot_range, t.slots.value));
    t.connections =
        static_cast<std::uint32_t>(read_number(r, "connections", connection_range, t.connections));
    t.sheds_unrun = read_flag(r, "sheds_unrun", t.sheds_unrun);
    add_named(r, f.targets, t);
}

void read_grant(section_reader& r, fleet& f)
{
    grant g;
    g.from.value = r.section->names[0];
    g.to.value = r.section->names[1];
    g.of_service.value = r.section->names[2];
    g.in_flight = static_cast<std::uint32_t>(read_number(r, "in_flight", in_flight_range, 0));
    g.rate.value = static_cast<double>(read_number(r, "mbit", mbit_range, 0));
    f.grants.push_back(g);
}

void read_callers(section_reader& r, fleet& f)
{
    const region_id near_region(read_required(r, "region"));
    for (const auto& cidr : read_list(r, "blocks")) {
        if (!is_cidr(cidr.text)) {
            report(r, cidr, result_code::bad_value,
                   "'" + cidr.text + "' is not a CIDR block such as 127.1.0.0/16");
            continue;
        }
        f.caller_blocks.push_back({cidr.text, near_region});
    }
}

/// A kind of section, the number of names in its heading and the function that reads its keys.
struct section_kind {
    std::string_view kind;
    std::size_t names;
    void (*read)(section_reader&, fleet&);
};

constexpr auto section_kinds = std::to_array<section_kind>({
    {"fleet", 0, read_fleet_section},
    {"region", 1, read_region},
    {"failure_domain", 1, read_domain},
    {"link", 2, read_link},
    {"host", 1, read_host},
    {"service", 1, read_service},
    {"target", 1, read_target},
    {"grant", 3, read_grant},
    {"callers", 1, read_callers},
});

void read_section(const ini_section& section, ini_document& document, fleet& f)
{
    auto reader = make_section_reader(section, document);
    for (const auto& known : section_kinds) {
        if (known.kind == section.kind && known.names == section.names.size()) {
            known.read(reader, f);
            report_unknown_keys(reader);
            return;
        }
    }
    report(reader, "", result_code::unknown_section,
           "unknown section [" + section.kind + "] with " + std::to_string(section.names.size()) +
               " names");
}

} // namespace

std::variant<fleet, diagnostics> parse_fleet(std::string_view text, const std::string& file)
{
    auto document = read_ini(text, file);
    fleet f;
    const auto sections = document.sections;
    for (const auto& section : sections) {
        read_section(section, document, f);
    }
    check_fleet(f, document);
    if (!document.findings.empty()) {
        return document.findings;
    }
    return f;
}

} // namespace almondquay
