#include "config/process_settings.h"

#include "config/section_reader.h"

#include <algorithm>

namespace almondquay {

namespace {

constexpr number_range port_range{1, 65'535};
constexpr number_range thread_range{1, 64};
constexpr number_range connection_range{1, 100'000};
constexpr number_range timeout_range{10, 60'000};

void read_host(section_reader& reader, process_settings& settings)
{
    settings.host.value = read_required(reader, "id");
    settings.domain.value = read_required(reader, "failure_domain");
    settings.address = read_required(reader, "address");
    if (!settings.address.empty() && !is_ipv4_address(settings.address)) {
        report(reader, "address", result_code::bad_value, "'address' takes an IPv4 number");
    }
    settings.caller_port = static_cast<std::uint16_t>(
        read_number(reader, "caller_port", port_range, settings.caller_port));
    settings.peer_port = static_cast<std::uint16_t>(
        read_number(reader, "peer_port", port_range, settings.peer_port));
}

void read_platform(section_reader& reader, process_settings& settings)
{
    const auto address = parse_endpoint(read_required(reader, "address"));
    if (succeeded(address)) {
        settings.platform = value_of(address);
    } else {
        report(reader, "address", result_code::bad_value, error_of(address).detail);
    }
    settings.platform_timeout =
        read_milliseconds(reader, "timeout_ms", timeout_range, settings.platform_timeout);
}

void read_peers(section_reader& reader, process_settings& settings)
{
    for (const auto& text : read_list(reader, "seeds")) {
        const auto seed = parse_endpoint(text);
        if (succeeded(seed)) {
            settings.seeds.push_back(value_of(seed));
        } else {
            report(reader, "seeds", result_code::bad_value, error_of(seed).detail);
        }
    }
    settings.secret.bytes = read_required(reader, "shared_secret");
    if (settings.secret.bytes.size() < min_secret_length) {
        report(reader, "shared_secret", result_code::bad_value,
               "'shared_secret' needs at least " + std::to_string(min_secret_length) +
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
    } else if (section.kind == "log") {
        settings.log_level = read_text(reader, "level", settings.log_level);
    } else {
        report(reader, "", result_code::unknown_section,
               "settings have no section '" + section.kind + "'");
        return;
    }
    finish(reader);
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
parse_process_settings(std::string_view text, const std::string& file, settings_user user)
{
    auto document = read_ini(text, file);
    process_settings settings;
    const auto sections = document.sections;
    for (const auto& section : sections) {
        read_section(section, document, settings);
    }
    if (user == settings_user::daemon) {
        require_section(document, "host");
    }
    require_section(document, "platform");
    require_section(document, "peers");
    if (!document.findings.empty()) {
        return document.findings;
    }
    return settings;
}

} // namespace almondquay
