#include "logging/log.h"

#include <array>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include <fcntl.h>
#include <unistd.h>

namespace almondquay::log {

namespace {

/// Redirects standard output to a pipe for its lifetime.
class captured_output {
public:
    captured_output() : saved_stdout_(::dup(STDOUT_FILENO))
    {
        CPPUNIT_ASSERT_EQUAL(0, ::pipe(ends_.data()));
        ::dup2(ends_[1], STDOUT_FILENO);
    }
    ~captured_output()
    {
        ::dup2(saved_stdout_, STDOUT_FILENO);
        ::close(saved_stdout_);
        ::close(ends_[0]);
        ::close(ends_[1]);
    }
    captured_output(const captured_output&) = delete;
    captured_output& operator=(const captured_output&) = delete;

    std::string text() const
    {
        ::fcntl(ends_[0], F_SETFL, O_NONBLOCK);
        std::array<char, 4096> piece{};
        const auto got = ::read(ends_[0], piece.data(), piece.size());
        return {piece.data(), got > 0 ? static_cast<std::size_t>(got) : 0};
    }

private:
    int saved_stdout_;
    std::array<int, 2> ends_{};
};

std::string logged(const std::string& value)
{
    const captured_output output;
    start(level::info, "host-1");
    write(level::info, "tested", {{"plain", "a"}, {"value", value}});
    return output.text();
}

} // namespace

class log_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(log_test);
    CPPUNIT_TEST(a_value_never_breaks_its_line);
    CPPUNIT_TEST(plain_values_are_not_quoted);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Regression test: overload resolution selected the standard library's function of the same
    /// name instead of the project's own, and control characters were written unescaped.
    void a_value_never_breaks_its_line()
    {
        const auto line = logged("one\ntime=now \"event\"\x1b");
        CPPUNIT_ASSERT_EQUAL(line.size() - 1, line.find('\n'));
        CPPUNIT_ASSERT(line.find(R"(value="one\x0atime=now \"event\"\x1b")") != std::string::npos);
    }

    void plain_values_are_not_quoted()
    {
        CPPUNIT_ASSERT(logged("t-1/2").find(" process=host-1 event=tested plain=a value=t-1/2\n") !=
                       std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_test);

} // namespace almondquay::log
