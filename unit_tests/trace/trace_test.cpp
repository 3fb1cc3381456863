#include "trace/log_line.h"
#include "trace/logged_host_state.h"
#include "trace/request_cause.h"
#include "trace/request_trace.h"

#include <filesystem>
#include <fstream>
#include <map>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

namespace almondquay {

namespace {

namespace fs = std::filesystem;

/// A temporary directory with one log file per host.
class log_folder {
public:
    explicit log_folder(const std::map<std::string, std::string>& logs)
        : path_(fs::temp_directory_path() / ("almondquay-trace-" + std::to_string(next_++)))
    {
        fs::create_directories(path_);
        for (const auto& [host, text] : logs) {
            std::ofstream(path_ / (host + ".log")) << text;
        }
    }
    ~log_folder() { fs::remove_all(path_); }
    log_folder(const log_folder&) = delete;
    log_folder& operator=(const log_folder&) = delete;

    log_source open() const { return std::move(value_of(log_source::open({path_.string()}))); }

private:
    static inline int next_ = 0;
    fs::path path_;
};

std::string line(const std::string& second, const std::string& host, const std::string& rest)
{
    return "time=2026-12-04T10:00:" + second + "Z level=info process=" + host + " event=" + rest +
           "\n";
}

std::string decision(const std::string& second, const std::string& host, const std::string& kind,
                     const std::string& summary, const std::string& inputs)
{
    return line(second, host,
                kind + " id=x summary=\"" + summary + "\" rule=\"r\" causes=\"\" inputs=\"" +
                    inputs + "\"");
}

request_cause cause_in(const log_folder& logs, const std::string& id)
{
    return find_cause(value_of(read_request_trace(logs.open(), id)));
}

log_time at(const std::string& second)
{
    return *parse_log_time("2026-12-04T10:00:" + second + "Z");
}

} // namespace

class trace_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(trace_test);
    CPPUNIT_TEST(a_prefix_before_the_line_is_ignored);
    CPPUNIT_TEST(invalid_lines_are_ignored);
    CPPUNIT_TEST(truncated_lines_are_parsed_or_ignored);
    CPPUNIT_TEST(lines_of_several_hosts_are_merged_by_time);
    CPPUNIT_TEST(lines_of_one_host_keep_their_order_when_its_clock_jumps);
    CPPUNIT_TEST(a_crash_is_found_in_later_decisions);
    CPPUNIT_TEST(the_decisive_attempt_need_not_be_the_last);
    CPPUNIT_TEST(lost_contact_with_the_store_is_reported);
    CPPUNIT_TEST(ids_that_contain_another_are_told_apart);
    CPPUNIT_TEST(dropped_lines_are_reported_if_the_request_is_not_logged);
    CPPUNIT_TEST(a_request_without_an_end_is_not_explained);
    CPPUNIT_TEST(a_restart_resets_the_host_state);
    CPPUNIT_TEST(lines_after_the_given_time_are_ignored);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_prefix_before_the_line_is_ignored()
    {
        const auto read =
            parse_log_line("  33.09 edge-a time=2026-12-04T10:00:01.5Z level=info "
                           "process=edge-a event=tested a=1 b=\"two \\\"2\\\"\\x0a\" c=\"\"");
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("tested"), read->event);
        CPPUNIT_ASSERT_EQUAL(std::string("edge-a"), read->process);
        CPPUNIT_ASSERT(read->time == at("01.500000"));
        CPPUNIT_ASSERT_EQUAL(std::string("1"), std::string(field_of(*read, "a")));
        CPPUNIT_ASSERT_EQUAL(std::string("two \"2\"\n"), std::string(field_of(*read, "b")));
        CPPUNIT_ASSERT(field_of(*read, "c").empty());
        CPPUNIT_ASSERT(field_of(*read, "d").empty());
    }

    void invalid_lines_are_ignored()
    {
        for (const auto* text :
             {"", "time=", "time=yesterday event=x", "a stack trace",
              "time=2026-13-04T10:00:01Z event=x", "time=2026-12-04T10:00:01Z"}) {
            CPPUNIT_ASSERT(!parse_log_line(text).has_value());
        }
    }

    void truncated_lines_are_parsed_or_ignored()
    {
        const auto whole =
            decision("01", "edge-a", "target_gone", "T \\x1b\\\" is gone", "target:t");
        for (std::size_t size = 0; size <= whole.size(); ++size) {
            const auto read = parse_log_line(std::string_view(whole).substr(0, size));
            CPPUNIT_ASSERT(!read || input_of(*read, "target").size() <= 1);
        }
    }

    void lines_of_several_hosts_are_merged_by_time()
    {
        const log_folder logs(
            {{"a", line("01", "a", "attempt_failed request=r target=t1 result=target_shed") +
                       line("03", "a", "request_ended request=r result=target_shed")},
             {"b", line("02", "b", "attempt_failed request=r target=t2 result=target_shed") +
                       line("04", "b", "request_ended request=r result=ok outcome=ran")}});
        const auto trace = value_of(read_request_trace(logs.open(), "r"));
        std::string hosts;
        for (const auto& l : trace.lines) {
            hosts += l.process;
        }
        CPPUNIT_ASSERT_EQUAL(std::string("abab"), hosts);
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), find_cause(trace).result);
    }

    void lines_of_one_host_keep_their_order_when_its_clock_jumps()
    {
        const log_folder logs(
            {{"a", line("40", "a", "attempt_failed request=r target=t1 result=target_answer_lost") +
                       line("10", "a",
                            "attempt_failed request=r target=t2 result=deadline_passed "
                            "took_ms=700") +
                       line("11", "a", "request_ended request=r result=deadline_passed")}});
        const auto cause = cause_in(logs, "r");
        CPPUNIT_ASSERT_EQUAL(std::string("t2"), cause.target);
        CPPUNIT_ASSERT_EQUAL(
            std::string("Target t2 did not answer within 700 ms. 1 other attempt failed."),
            cause.text);
    }

    void a_crash_is_found_in_later_decisions()
    {
        const log_folder logs(
            {{"a", line("01", "a",
                        "attempt_failed request=r target=t1 result=target_answer_lost "
                        "took_ms=20") +
                       line("01", "a", "request_ended request=r result=target_answer_lost") +
                       decision("02", "a", "target_gone", "Target t2 is gone.", "target:t2") +
                       decision("03", "a", "target_gone", "Target t1 is gone.", "target:t1")}});
        CPPUNIT_ASSERT_EQUAL(std::string("Target t1 closed the connection after 20 ms without a "
                                         "complete answer. 2000 ms later: Target t1 is gone."),
                             cause_in(logs, "r").text);
    }

    /// Regression test: the last attempt was reported as the cause although an earlier one, which
    /// may have run, had determined the result.
    void the_decisive_attempt_need_not_be_the_last()
    {
        const log_folder logs(
            {{"a", line("01", "a",
                        "attempt_failed request=r target=t1 result=target_answer_lost "
                        "took_ms=20") +
                       line("02", "a",
                            "attempt_failed request=r target=t2 "
                            "result=target_unreachable took_ms=300") +
                       line("02", "a",
                            "request_ended request=r result=target_answer_lost "
                            "outcome=unknown")}});
        const auto cause = cause_in(logs, "r");
        CPPUNIT_ASSERT_EQUAL(std::string("t1"), cause.target);
        CPPUNIT_ASSERT(cause.text.ends_with("1 other attempt failed."));
    }

    void lost_contact_with_the_store_is_reported()
    {
        const log_folder logs(
            {{"a", decision("01", "a", "store_away", "The store does not answer.", "away_ms:0") +
                       line("05", "a",
                            "attempt_failed request=r target=t1 "
                            "result=target_unreachable") +
                       line("05", "a", "request_ended request=r result=target_unreachable")}});
        CPPUNIT_ASSERT_EQUAL(
            std::string("Target t1 did not accept the connection. The host had been "
                        "unable to reach the store since 2026-12-04T10:00:01Z."),
            cause_in(logs, "r").text);
    }

    void ids_that_contain_another_are_told_apart()
    {
        const log_folder logs(
            {{"a", line("01", "a", "request_ended request=r-10 result=overloaded") +
                       line("02", "a", "request_ended request=r-1 result=ok")}});
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), cause_in(logs, "r-1").result);
    }

    void dropped_lines_are_reported_if_the_request_is_not_logged()
    {
        const log_folder logs({{"a", line("01", "a", "log_lines_dropped lines=7") +
                                         line("02", "a", "log_lines_dropped lines=3")}});
        const auto cause = cause_in(logs, "r");
        CPPUNIT_ASSERT(cause.result.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("No log line has this request id. a dropped 10 log lines "
                                         "about failures."),
                             cause.text);
    }

    void a_request_without_an_end_is_not_explained()
    {
        const log_folder logs(
            {{"a", line("01", "a", "attempt_failed request=r target=t1 result=target_shed")}});
        CPPUNIT_ASSERT(cause_in(logs, "r").result.empty());
    }

    void a_restart_resets_the_host_state()
    {
        const log_folder logs(
            {{"a",
              line("01", "a", "started callers=x") +
                  decision("02", "a", "eject_target", "Target t1 gets no work.", "target:t1") +
                  line("10", "a", "started callers=x") +
                  decision("11", "a", "adopt_fleet", "Generation 4 is in force", "before:0") +
                  decision("11", "a", "start_serving", "This host starts serving.", "") +
                  decision("12", "a", "evacuate", "Domain d is evacuated.", "failure_domain:d") +
                  decision("13", "a", "host_dead", "Host b is dead.", "host:b")},
             {"b", decision("12", "b", "adopt_fleet", "Generation 9 is in force", "before:0")}});
        const auto state = value_of(read_host_state(logs.open(), "a", at("20")));
        CPPUNIT_ASSERT_EQUAL(std::string("serving"), state.stage);
        CPPUNIT_ASSERT(state.targets_out.empty());
        CPPUNIT_ASSERT(state.generation.ends_with("Generation 4 is in force"));
        CPPUNIT_ASSERT(state.evacuated.contains("d"));
        CPPUNIT_ASSERT(state.dead_hosts.contains("b"));
        CPPUNIT_ASSERT(!state.clock_went_back);
    }

    void lines_after_the_given_time_are_ignored()
    {
        const log_folder logs(
            {{"a",
              line("01", "a", "started callers=x") +
                  decision("05", "a", "store_away", "The store does not answer.", "away_ms:0") +
                  decision("09", "a", "store_answers", "The store answers.", "away_ms:4000") +
                  decision("07", "a", "host_dead", "Host b is dead.", "host:b")}});
        const auto early = value_of(read_host_state(logs.open(), "a", at("06")));
        CPPUNIT_ASSERT_EQUAL(std::string("away"), early.store);
        CPPUNIT_ASSERT(early.dead_hosts.empty());
        CPPUNIT_ASSERT(early.clock_went_back);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                             value_of(read_host_state(logs.open(), "c", at("06"))).lines);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(trace_test);

} // namespace almondquay
