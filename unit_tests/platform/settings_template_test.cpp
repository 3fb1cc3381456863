#include "config/process_settings.h"

#include <fstream>
#include <sstream>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace almondquay::platform {

namespace {

using json = nlohmann::json;

/// The table or list entry for which a template section is rendered.
struct scope {
    std::string key;
    json entry;
    bool is_last = true;
};

/// The value of a template tag: `@` is the entry's key, `.` the entry itself, `,` a comma except
/// after the last entry; anything else is a dotted path into `fields`.
std::string value_at(const json& fields, const std::string& path, const scope& in)
{
    if (path == "@") {
        return in.key;
    }
    if (path == ",") {
        return in.is_last ? "" : ",";
    }
    const auto* found = &fields;
    std::istringstream parts(path);
    for (std::string part; path != "." && std::getline(parts, part, '.');) {
        found = &found->at(part);
    }
    const auto& value = path == "." ? in.entry : *found;
    return value.is_string() ? value.get<std::string>() : value.dump();
}

/// Implements the subset of the platform's template language that `deploy/entry-host.ini` uses:
/// values by path, and sections that iterate over tables and lists, with commas between entries.
std::string render(const std::string& text, const json& fields, const scope& in = {})
{
    std::string out;
    std::size_t at = 0;
    for (auto open = text.find("{{"); open != std::string::npos; open = text.find("{{", at)) {
        out += text.substr(at, open - at);
        const auto close = text.find("}}", open);
        auto name = text.substr(open + 2, close - open - 2);
        at = close + 2;
        if (name.front() != '#') {
            out += value_at(fields, name, in);
            continue;
        }
        const auto end_mark = "{{/" + name.substr(1) + "}}";
        const auto end = text.find(end_mark, at);
        const auto& entries = fields.at(name.substr(1));
        std::size_t number = 0;
        for (const auto& item : entries.items()) {
            const bool is_last = ++number == entries.size();
            out += render(text.substr(at, end - at), fields, {item.key(), item.value(), is_last});
        }
        at = end + end_mark.size();
    }
    return out + text.substr(at);
}

std::string template_text()
{
    std::ifstream file(std::string(PROJECT_ROOT) + "/deploy/entry-host.ini");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

json fields_with(std::size_t domains)
{
    json zones = json::object();
    for (std::size_t i = 0; i < domains; ++i) {
        zones["failure-domain-number-" + std::to_string(i)] = "region-" + std::to_string(i % 11);
    }
    return {{"node_name", "edge-1"},
            {"zone", "failure-domain-number-0"},
            {"ip_addr", "10.1.0.10"},
            {"listen",
             {{"front", "10.1.0.10:8161"},
              {"ready", "10.1.0.10:8167"},
              {"control", "10.1.0.10:8166"},
              {"directory", "10.1.0.10:8164"}}},
            {"zones", zones},
            {"seeds", {"10.1.0.10:8166", "10.2.0.40:8166", "10.3.0.7:8166"}},
            {"platform", {{"address", "10.200.1.7:8169"}}},
            {"limits", {{"cpu_share", 0.2}}},
            {"bounds",
             {{"grace_s", 6},
              {"config_apply_s", 2.5},
              {"retry_ratio", 0.2},
              {"retry_slack", 62},
              {"retry_window_s", 10},
              {"cold_over", 1.5},
              {"cold_slack", 5}}}};
}

} // namespace

class settings_template_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(settings_template_test);
    CPPUNIT_TEST(rendered_template_parses_at_the_design_size);
    CPPUNIT_TEST_SUITE_END();

public:
    void rendered_template_parses_at_the_design_size()
    {
        constexpr std::size_t design_domains = 40;
        for (const std::size_t domains : {std::size_t{1}, std::size_t{9}, design_domains}) {
            const auto text = render(template_text(), fields_with(domains));
            const auto parsed = parse_process_settings(text, "local", process_kind::daemon);
            const auto* findings = std::get_if<diagnostics>(&parsed);
            CPPUNIT_ASSERT_MESSAGE(findings == nullptr ? "" : to_string(findings->front()),
                                   findings == nullptr);
            const auto& settings = std::get<process_settings>(parsed);
            CPPUNIT_ASSERT_EQUAL(domains, settings.domains.size());
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, settings.seeds.size());
            CPPUNIT_ASSERT_EQUAL(std::string("region-0"),
                                 settings.domains.at(settings.domain).value);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_template_test);

} // namespace almondquay::platform
