#include "logging/event_schema.h"

#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <set>
#include <sstream>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

namespace almondquay::log {

namespace {

namespace fs = std::filesystem;

using names = std::set<std::string>;

/// Events found in the source code, with their fields or, for decisions, their inputs.
struct logged_events {
    std::map<std::string, names> lines;
    std::map<std::string, names> decisions;
};

std::string text_of(const fs::path& path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

/// The arguments of the call whose opening parenthesis is at `open`.
std::string arguments_at(const std::string& text, std::size_t open)
{
    int depth = 0;
    for (auto at = open; at < text.size(); ++at) {
        depth += text[at] == '(' ? 1 : 0;
        depth -= text[at] == ')' ? 1 : 0;
        if (depth == 0) {
            return text.substr(open, at - open);
        }
    }
    return {};
}

std::vector<std::string> matches(const std::string& text, const std::string& pattern)
{
    std::vector<std::string> found;
    const std::regex expression(pattern);
    for (std::sregex_iterator it(text.begin(), text.end(), expression), end; it != end; ++it) {
        for (std::size_t group = 1; group < it->size(); ++group) {
            found.push_back((*it)[group].str());
        }
    }
    return found;
}

/// The first string literal of each braced list: {"word", ...}.
std::vector<std::string> first_literals(const std::string& arguments)
{
    return matches(arguments, R"re(\{\s*"([a-z_]+)"\s*,)re");
}

void read_lines(const std::string& text, logged_events& all)
{
    const std::regex call(R"re((?:log::|[^\w:])write\(\s*(?:log::)?level::)re");
    for (std::sregex_iterator it(text.begin(), text.end(), call), end; it != end; ++it) {
        const auto open = text.find('(', static_cast<std::size_t>(it->position()));
        const auto arguments = arguments_at(text, open);
        const auto name = matches(arguments, R"re(level::\w+,\s*"([a-z_]+)")re");
        if (!name.empty()) { // Decisions are logged by a call without a literal event name.
            const auto fields = first_literals(arguments);
            all.lines[name.front()].insert(fields.begin(), fields.end());
        }
    }
}

void read_decisions(const std::string& text, logged_events& all)
{
    const std::regex call(R"re([^\w]decide\(\s*state)re");
    for (std::sregex_iterator it(text.begin(), text.end(), call), end; it != end; ++it) {
        const auto open = text.find('(', static_cast<std::size_t>(it->position()));
        const auto arguments = arguments_at(text, open);
        auto kinds = matches(arguments, R"re(\{\s*\w+ \? "([a-z_]+)" : "([a-z_]+)",)re");
        auto inputs = first_literals(arguments);
        if (kinds.empty()) {
            CPPUNIT_ASSERT_MESSAGE(arguments, !inputs.empty());
            kinds.push_back(inputs.front());
            inputs.erase(inputs.begin());
        }
        for (const auto& kind : kinds) {
            all.decisions[kind].insert(inputs.begin(), inputs.end());
        }
    }
}

logged_events read_sources()
{
    logged_events all;
    for (const auto* folder : {"/source", "/platform"}) {
        for (const auto& entry :
             fs::recursive_directory_iterator(PROJECT_ROOT + std::string(folder))) {
            if (entry.path().extension() == ".cpp") {
                const auto text = text_of(entry.path());
                read_lines(text, all);
                read_decisions(text, all);
            }
        }
    }
    return all;
}

std::string joined(const names& all)
{
    std::string text;
    for (const auto& name : all) {
        text += (text.empty() ? "" : " ") + name;
    }
    return text;
}

} // namespace

class event_schema_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(event_schema_test);
    CPPUNIT_TEST(documented_events_match_the_schema);
    CPPUNIT_TEST(logged_events_match_the_schema);
    CPPUNIT_TEST_SUITE_END();

public:
    void documented_events_match_the_schema()
    {
        const auto page = text_of(PROJECT_ROOT "/docs/LOG_EVENTS.md");
        for (const auto& row : event_schema()) {
            const auto line = "| `" + std::string(row.name) + "` | " +
                              (row.is_decision ? "decision" : "event") + " | " +
                              (row.fields.empty() ? "-" : std::string(row.fields)) + " | " +
                              std::string(row.meaning) + " |\n";
            CPPUNIT_ASSERT_MESSAGE(line, page.find(line) != std::string::npos);
        }
        CPPUNIT_ASSERT_EQUAL(event_schema().size(), matches(page, "\n\\| `([a-z_]+)").size());
    }

    void logged_events_match_the_schema()
    {
        const auto written = read_sources();
        CPPUNIT_ASSERT(written.lines.size() > 10 && written.decisions.size() > 10);
        std::size_t known = 0;
        for (const auto& row : event_schema()) {
            const std::string name(row.name);
            if (name == "log_output_behind") {
                continue; // Written by the log sink without log::write.
            }
            const auto& kind = row.is_decision ? written.decisions : written.lines;
            CPPUNIT_ASSERT_MESSAGE(name + " is never written", kind.contains(name));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string(row.fields), joined(kind.at(name)));
            ++known;
        }
        CPPUNIT_ASSERT_EQUAL(known, written.lines.size() + written.decisions.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(event_schema_test);

} // namespace almondquay::log
