#include "config/process_settings.h"

#include "config/section_reader.h"

#include <algorithm>
#include <array>
#include <utility>

namespace almondquay {

namespace {

constexpr number_range port_range{1, 65'535};
constexpr number_range thread_range{1, 64};
constexpr number_range connection_range{1, 100'000};
constexpr number_range timeout_range{10, 60'000};
constexpr number_range grace_range{0, 3'600};
constexpr number_range ratio_range{0, 1};
constexpr number_range weight_range{0, 1'000};
constexpr number_range propagation_delay_range{1, 60};
constexpr number_range budget_range{0, 1'000'000};

void read_endpoint(section_reader& reader, std::string_view key, endpoint& into)
{
    const auto text = read_text(reader, key, "");
    if (text.empty()) {
        return;
    }
    const auto parsed = parse_endpoint(text);
    if (succeeded(parsed)) {
        into = value_of(parsed);
    } else {
        report(reader, key, result_code::bad_value, error_of(parsed).detail);
    }
}

/// Reads the port of "IP:PORT" and ignores the address; deployment templates render complete
/// addresses.
void read_port(section_reader& reader, std::string_view key, std::uint16_t& port)
{
    endpoint whole{"", port};
    read_endpoint(reader, key, whole);
    port = whole.port;
}

/// "mersin-a/mersin, mersin-b/mersin": failure domains with their regions.
void read_domains(section_reader& reader, process_settings& settings)
{
    for (const auto& item : read_list(reader, "failure_domains")) {
        const auto slash = item.text.find('/');
        if (slash == std::string::npos) {
            report(reader, item, result_code::bad_value,
                   "'" + item.text + "' must have the form DOMAIN/REGION");
            continue;
        }
        settings.domains.emplace(item.text.substr(0, slash), item.text.substr(slash + 1));
    }
}

void read_host(section_reader& reader, process_settings& settings)
{
    settings.host.value = read_required(reader, "id");
    settings.domain.value = read_required(reader, "failure_domain");
    settings.address = read_required(reader, "address");
    if (!settings.address.empty() && !is_ipv4_address(settings.address)) {
        report(reader, "address", result_code::bad_value, "'address' must be an IPv4 address");
    }
    settings.caller_port = static_cast<std::uint16_t>(
        read_number(reader, "caller_port", port_range, settings.caller_port));
    settings.peer_port = static_cast<std::uint16_t>(
        read_number(reader, "peer_port", port_range, settings.peer_port));
    read_port(reader, "callers", settings.caller_port);
    read_port(reader, "peers", settings.peer_port);
    read_endpoint(reader, "lookups", settings.lookups);
    read_endpoint(reader, "readiness", settings.readiness);
    settings.weight = read_decimal(reader, "weight", weight_range, settings.weight);
    read_domains(reader, settings);
}

void read_platform(section_reader& reader, process_settings& settings)
{
    const auto address = parse_endpoint(read_required(reader, "address"));
    if (succeeded(address)) {
        settings.platform = value_of(address);
    } else {
        report(reader, "address", result_code::bad_value, error_of(address).detail);
    }
    const auto kind = read_text(reader, "store", "own");
    if (kind != "own" && kind != "registry") {
        report(reader, "store", result_code::bad_value, "'store' must be own or registry");
    }
    settings.store = kind == "registry" ? store_kind::registry : store_kind::own;
    settings.platform_timeout =
        read_milliseconds(reader, "timeout_ms", timeout_range, settings.platform_timeout);
}

void read_peers(section_reader& reader, process_settings& settings)
{
    for (const auto& item : read_list(reader, "seeds")) {
        const auto seed = parse_endpoint(item.text);
        if (succeeded(seed)) {
            settings.seeds.push_back(value_of(seed));
        } else {
            report(reader, item, result_code::bad_value, error_of(seed).detail);
        }
    }
    settings.max_propagation_delay = read_seconds(reader, "news_within_s", propagation_delay_range,
                                                  settings.max_propagation_delay);
    settings.secret.bytes = read_required(reader, "shared_secret");
    if (settings.secret.bytes.size() < min_secret_length) {
        report(reader, "shared_secret", result_code::bad_value,
               "'shared_secret' must have at least " + std::to_string(min_secret_length) +
                   " characters");
    }
}

void read_traffic(section_reader& reader, process_settings& settings)
{
    settings.traffic_threads = static_cast<std::uint32_t>(
        read_number(reader, "threads", thread_range, settings.traffic_threads));
    settings.max_connections = static_cast<std::uint32_t>(
        read_number(reader, "max_connections", connection_range, settings.max_connections));
}

void read_stop(section_reader& reader, process_settings& settings)
{
    settings.stop_grace = read_seconds(reader, "grace_s", grace_range, settings.stop_grace);
}

void read_budgets(section_reader& reader, process_settings& settings)
{
    auto& b = settings.budgets;
    b.retry_ratio = read_decimal(reader, "retry_ratio", ratio_range, b.retry_ratio);
    b.retry_slack = read_decimal(reader, "retry_slack", budget_range, b.retry_slack);
    b.retry_window = read_seconds(reader, "retry_window_s", grace_range, b.retry_window);
    b.cold_factor = read_decimal(reader, "cold_factor", budget_range, b.cold_factor);
    b.cold_slack = read_decimal(reader, "cold_slack", budget_range, b.cold_slack);
    b.lookup_ttl = read_seconds(reader, "lookup_ttl_s", grace_range, b.lookup_ttl);
}

void read_section(const ini_section& section, ini_document& document, process_settings& settings)
{
    auto reader = make_section_reader(section, document);
    if (section.kind == "host") {
        read_host(reader, settings);
    } else if (section.kind == "platform") {
        read_platform(reader, settings);
    } else if (section.kind == "peers") {
        read_peers(reader, settings);
    } else if (section.kind == "traffic") {
        read_traffic(reader, settings);
    } else if (section.kind == "stop") {
        read_stop(reader, settings);
    } else if (section.kind == "budgets") {
        read_budgets(reader, settings);
    } else if (section.kind == "metrics") {
        read_endpoint(reader, "address", settings.metrics);
    } else if (section.kind == "log") {
        settings.log_level = read_text(reader, "level", settings.log_level);
    } else {
        report(reader, "", result_code::unknown_section, "unknown section '" + section.kind + "'");
        return;
    }
    report_unknown_keys(reader);
}

/// What is served depends on the address alone, so each listener needs one of its own.
void check_listeners(ini_document& document, const process_settings& settings)
{
    const std::array<std::pair<std::string_view, endpoint>, 5> listeners{
        {{"callers", {settings.address, settings.caller_port}},
         {"peers", {settings.address, settings.peer_port}},
         {"lookups", settings.lookups},
         {"readiness", settings.readiness},
         {"metrics", settings.metrics}}};
    std::map<endpoint, std::string_view> used;
    for (const auto& [name, at] : listeners) {
        const auto [other, is_new] = used.emplace(at, name);
        if (!is_new && at.port != 0) {
            document.findings.push_back({result_code::address_in_use, document.file, 0,
                                         "the addresses of " + std::string(name) + " and " +
                                             std::string(other->second) +
                                             " must differ, both are " + to_string(at)});
        }
    }
}

void require_section(ini_document& document, std::string_view kind)
{
    if (std::ranges::find(document.sections, kind, &ini_section::kind) == document.sections.end()) {
        document.findings.push_back({result_code::missing_section, document.file, 0,
                                     "section '" + std::string(kind) + "' is missing"});
    }
}

} // namespace

std::variant<process_settings, diagnostics>
parse_process_settings(std::string_view text, const std::string& file, process_kind user)
{
    auto document = read_ini(text, file);
    process_settings settings;
    settings.file = file;
    const auto sections = document.sections;
    for (const auto& section : sections) {
        read_section(section, document, settings);
    }
    if (user == process_kind::daemon) {
        require_section(document, "host");
        check_listeners(document, settings);
    }
    require_section(document, "platform");
    require_section(document, "peers");
    if (!document.findings.empty()) {
        return document.findings;
    }
    return settings;
}

} // namespace almondquay
