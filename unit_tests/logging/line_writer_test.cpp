#include "logging/line_writer.h"

#include <array>
#include <sstream>

#include <cppunit/extensions/HelperMacros.h>

#include <fcntl.h>
#include <unistd.h>

namespace almondquay::log {

namespace {

/// A pipe that is not read until read_all() is called.
class stalled_reader {
public:
    stalled_reader() { CPPUNIT_ASSERT_EQUAL(0, ::pipe(ends_.data())); }
    ~stalled_reader()
    {
        ::close(ends_[0]);
        ::close(ends_[1]);
    }
    stalled_reader(const stalled_reader&) = delete;
    stalled_reader& operator=(const stalled_reader&) = delete;

    int writable_end() const { return ends_[1]; }

    std::string read_all()
    {
        ::fcntl(ends_[0], F_SETFL, O_NONBLOCK);
        std::string text;
        std::array<char, 4096> piece{};
        for (ssize_t got = 0; (got = ::read(ends_[0], piece.data(), piece.size())) > 0;) {
            text.append(piece.data(), static_cast<std::size_t>(got));
        }
        return text;
    }

private:
    std::array<int, 2> ends_{};
};

std::string line_of(std::size_t bytes)
{
    return std::string(bytes, 'x') + "\n";
}

} // namespace

class line_writer_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(line_writer_test);
    CPPUNIT_TEST(a_stalled_reader_drops_lines_without_blocking);
    CPPUNIT_TEST(a_line_written_in_part_is_completed);
    CPPUNIT_TEST_SUITE_END();

public:
    /// With a blocking descriptor this test would hang.
    void a_stalled_reader_drops_lines_without_blocking()
    {
        constexpr int lines = 10'000; // Exceeds the capacity of a pipe.
        stalled_reader reader;
        line_writer w{reader.writable_end(), 0, {}};
        CPPUNIT_ASSERT(set_nonblocking(w));
        for (int i = 0; i < lines; ++i) {
            write_line(w, line_of(99));
        }
        CPPUNIT_ASSERT(w.dropped > 0);
        CPPUNIT_ASSERT(w.dropped < lines);
        reader.read_all();
        write_line(w, "back\n");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, w.dropped);
        const auto text = reader.read_all();
        CPPUNIT_ASSERT_EQUAL(std::string("back\n"), text.substr(text.size() - 5));
    }

    void a_line_written_in_part_is_completed()
    {
        constexpr std::size_t longer_than_a_pipe = 200'000;
        stalled_reader reader;
        line_writer w{reader.writable_end(), 0, {}};
        CPPUNIT_ASSERT(set_nonblocking(w));
        write_line(w, line_of(longer_than_a_pipe));
        std::string text;
        for (int i = 0; i < 8; ++i) {
            text += reader.read_all();
            write_line(w, "next\n");
        }
        text += reader.read_all();
        std::istringstream in(text);
        std::string line;
        std::getline(in, line);
        CPPUNIT_ASSERT_EQUAL(longer_than_a_pipe, line.size());
        std::getline(in, line);
        CPPUNIT_ASSERT_EQUAL(std::string("next"), line);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(line_writer_test);

} // namespace almondquay::log
