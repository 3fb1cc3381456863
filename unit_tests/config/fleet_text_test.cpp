#include "config/fleet_text.h"

#include "config/fleet_envelope.h"
#include "config/process_settings.h"

#include <algorithm>
#include <random>

#include <cppunit/extensions/HelperMacros.h>

namespace almondquay {

namespace {

constexpr std::string_view good_text = R"([fleet]
name = kaju
[region mersin]
[region izmir]
[link mersin izmir]
limit_mbit = 100
[failure_domain mersin-a]
region = mersin
[failure_domain izmir-a]
region = izmir
[host m1]
failure_domain = mersin-a
address = 127.0.1.1
[service ledger]
repeatable = /tickets
not_repeatable = /tickets/stamp
[service archive]
depends_on = ledger
[target t1]
service = ledger
failure_domain = izmir-a
address = 127.1.1.1:9000
[grant mersin-a izmir-a ledger]
in_flight = 2
mbit = 60
)";

diagnostics findings_of(const std::string& text)
{
    const auto parsed = parse_fleet(text, "f");
    const auto* findings = std::get_if<diagnostics>(&parsed);
    return findings == nullptr ? diagnostics{} : *findings;
}

bool has(const diagnostics& findings, result_code code, int line)
{
    return std::ranges::any_of(
        findings, [&](const diagnostic& d) { return d.code == code && d.line == line; });
}

void expect(const std::string& extra, result_code code, int line_of_extra)
{
    const auto before = static_cast<int>(std::ranges::count(good_text, '\n'));
    const auto findings = findings_of(std::string(good_text) + extra);
    CPPUNIT_ASSERT_MESSAGE(extra, has(findings, code, before + line_of_extra));
}

constexpr std::string_view good_settings =
    "[host]\nid = a\nfailure_domain = d\naddress = 127.0.1.1\n"
    "[platform]\naddress = 127.0.0.2:7100\n"
    "[peers]\nshared_secret = sixteen letters!\n"
    "seeds = 127.0.1.1:7001, 127.0.1.2:7001\n";

} // namespace

class fleet_text_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(fleet_text_test);
    CPPUNIT_TEST(reads_a_good_text);
    CPPUNIT_TEST(safe_methods_are_repeatable_by_default);
    CPPUNIT_TEST(reports_each_kind_of_finding_with_its_line);
    CPPUNIT_TEST(reports_all_findings_in_one_run);
    CPPUNIT_TEST(reports_missing_sections);
    CPPUNIT_TEST(arbitrary_bytes_do_not_crash_the_parsers);
    CPPUNIT_TEST(envelope_survives_a_round_trip);
    CPPUNIT_TEST(lists_may_span_several_lines);
    CPPUNIT_TEST(settings_are_checked);
    CPPUNIT_TEST(each_listener_has_an_address_of_its_own);
    CPPUNIT_TEST_SUITE_END();

public:
    void reads_a_good_text()
    {
        const auto parsed = parse_fleet(good_text, "f");
        const auto* f = std::get_if<fleet>(&parsed);
        CPPUNIT_ASSERT(f != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string("izmir"),
                             region_of(*f, failure_domain_id("izmir-a")).value);
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.1.1:7001"),
                             to_string(f->hosts.at(host_id("m1")).peers));
        CPPUNIT_ASSERT_EQUAL(3U, f->targets.at(target_id("t1")).slots.value);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f->services.size());
    }

    void safe_methods_are_repeatable_by_default()
    {
        const auto parsed = parse_fleet(good_text, "f");
        const auto& s = std::get<fleet>(parsed).services.at(service_id("ledger"));
        CPPUNIT_ASSERT(is_repeatable(s, "GET", "/other"));
        CPPUNIT_ASSERT(!is_repeatable(s, "POST", "/other"));
        CPPUNIT_ASSERT(!is_repeatable(s, "DELETE", "/other"));
        CPPUNIT_ASSERT(is_repeatable(s, "POST", "/tickets/1"));
        CPPUNIT_ASSERT(!is_repeatable(s, "GET", "/tickets/stamp"));
    }

    void reports_each_kind_of_finding_with_its_line()
    {
        expect("[nonsense]\n", result_code::unknown_section, 1);
        expect("[region a b]\n", result_code::unknown_section, 1);
        expect("[region b]\ncolour = red\n", result_code::unknown_key, 2);
        expect("[failure_domain b]\n", result_code::missing_key, 1);
        expect("[region mersin]\n", result_code::duplicate_name, 1);
        expect("[host m2]\nfailure_domain = mersin-a\naddress = 127.0.1.1\n",
               result_code::address_in_use, 1);
        expect("[host m2]\nfailure_domain = moon\naddress = 127.0.1.2\n",
               result_code::unknown_reference, 1);
        expect("[host m2]\nfailure_domain = mersin-a\naddress = m2.example\n",
               result_code::bad_value, 3);
        expect("[service a]\ndepends_on = b\n[service b]\ndepends_on = a\n",
               result_code::dependency_cycle, 1);
        expect("[service self]\ndepends_on = self\n", result_code::dependency_cycle, 1);
        expect("[target t2]\nservice = ledger\nfailure_domain = izmir-a\naddress = "
               "127.1.1.2:9000\nslots = 0\n",
               result_code::bad_value, 5);
        expect("[callers c]\nregion = mersin\nblocks = 127.0.0.0/40\n", result_code::bad_value, 3);
        expect("not a line\n", result_code::text_syntax, 1);
        expect("x = " + std::string(300, 'x') + "\n", result_code::line_too_long, 1);
    }

    void reports_all_findings_in_one_run()
    {
        const auto findings =
            findings_of(std::string(good_text) + "[failure_domain x]\nregion = moon\n"
                                                 "[grant izmir-a mersin-a ledger]\nin_flight = 1\n"
                                                 "[link izmir mersin]\nlimit_mbit = 10\n");
        CPPUNIT_ASSERT(has(findings, result_code::unknown_reference, 26));
        CPPUNIT_ASSERT(has(findings, result_code::limit_exceeded, 28)); // no slots in mersin-a
        CPPUNIT_ASSERT(has(findings, result_code::limit_exceeded, 30)); // 60 over 10 Mbit/s
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, findings.size());
    }

    void reports_missing_sections()
    {
        const auto findings = findings_of("");
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, findings.size());
        CPPUNIT_ASSERT(has(findings, result_code::missing_section, 0));
    }

    void arbitrary_bytes_do_not_crash_the_parsers()
    {
        std::mt19937 random(11);
        for (int i = 0; i < 3'000; ++i) {
            std::string text(good_text);
            for (unsigned change = 0; change < 1 + random() % 8; ++change) {
                text[random() % text.size()] = static_cast<char>(random());
            }
            parse_fleet(text, "f");
            parse_process_settings(text, "f", process_kind::daemon);
            decode_fleet_envelope(text);
        }
    }

    void envelope_survives_a_round_trip()
    {
        fleet_envelope envelope{generation(7), std::string(good_text), {}, "ayse", "test", 12};
        CPPUNIT_ASSERT(set_drain(envelope.drains, {drain_kind::host, "m1"}, true));
        CPPUNIT_ASSERT(!set_drain(envelope.drains, {drain_kind::host, "m1"}, true));
        CPPUNIT_ASSERT(value_of(decode_fleet_envelope(encode(envelope))) == envelope);
        CPPUNIT_ASSERT(set_drain(envelope.drains, {drain_kind::host, "m1"}, false));
        CPPUNIT_ASSERT(envelope.drains.empty());
    }

    void lists_may_span_several_lines()
    {
        const std::string block = "[callers c]\nregion = mersin\nblocks[] = 127.0.0.0/24\n";
        const auto parsed = parse_fleet(
            std::string(good_text) + block + "blocks[] = 127.0.1.0/24, 127.0.2.0/24\n", "f");
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, std::get<fleet>(parsed).caller_blocks.size());
        expect(block + "blocks[] = 127.0.0.0/40\n", result_code::bad_value, 4);
        expect(block + "blocks = 127.0.1.0/24\n", result_code::duplicate_name, 4);
        expect("[callers c]\nregion[] = mersin\n", result_code::bad_value, 2);
    }

    void settings_are_checked()
    {
        const auto parsed = parse_process_settings(good_settings, "s", process_kind::daemon);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, std::get<process_settings>(parsed).seeds.size());
        const auto bad = parse_process_settings("[peers]\nshared_secret = short\n[traffic]\n"
                                                "threads = many\nx = 1\n",
                                                "s", process_kind::daemon);
        const auto& findings = std::get<diagnostics>(bad);
        CPPUNIT_ASSERT(has(findings, result_code::bad_value, 2));
        CPPUNIT_ASSERT(has(findings, result_code::bad_value, 4));
        CPPUNIT_ASSERT(has(findings, result_code::unknown_key, 5));
        CPPUNIT_ASSERT(has(findings, result_code::missing_section, 0));
    }

    /// Guards against two listeners at one address, among which the kernel distributes connections:
    /// what a request gets would be left to chance.
    void each_listener_has_an_address_of_its_own()
    {
        const std::string callers = "127.0.1.1:7000";
        const auto is_refused = [](const std::string& lookups, const std::string& readiness,
                                   const std::string& metrics) {
            std::string text(good_settings);
            text.insert(text.find("[platform]"),
                        "lookups = " + lookups + "\nreadiness = " + readiness + "\n");
            text += "[metrics]\naddress = " + metrics + "\n";
            const auto parsed = parse_process_settings(text, "s", process_kind::daemon);
            const auto* findings = std::get_if<diagnostics>(&parsed);
            CPPUNIT_ASSERT(findings == nullptr || has(*findings, result_code::address_in_use, 0));
            return findings != nullptr;
        };
        CPPUNIT_ASSERT(!is_refused("127.0.1.1:7002", "127.0.1.1:7003", "127.0.1.1:7004"));
        CPPUNIT_ASSERT(!is_refused("127.0.1.1:7002", "127.0.1.2:7002", "127.0.1.3:7002"));
        CPPUNIT_ASSERT(is_refused(callers, "127.0.1.1:7003", "127.0.1.1:7004"));
        CPPUNIT_ASSERT(is_refused("127.0.1.1:7002", callers, "127.0.1.1:7004"));
        CPPUNIT_ASSERT(is_refused("127.0.1.1:7002", "127.0.1.1:7002", "127.0.1.1:7004"));
        CPPUNIT_ASSERT(is_refused("127.0.1.1:7002", "127.0.1.1:7001", "127.0.1.1:7004"));
        CPPUNIT_ASSERT(is_refused("127.0.1.1:7002", "127.0.1.1:7003", "127.0.1.1:7002"));
        CPPUNIT_ASSERT(is_refused("127.0.1.1:7002", "127.0.1.1:7003", "127.0.1.1:7001"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_text_test);

} // namespace almondquay
