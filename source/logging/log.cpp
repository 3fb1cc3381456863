#include "logging/log.h"

#include "logging/line_writer.h"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstring>

#include <unistd.h>

#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/trivial.hpp>
#include <boost/smart_ptr/make_shared_object.hpp>

namespace almondquay::log {

namespace {

namespace sinks = boost::log::sinks;
namespace trivial = boost::log::trivial;

std::string& process_name()
{
    static std::string name;
    return name;
}

trivial::severity_level severity_of(level l)
{
    switch (l) {
    case level::debug:
        return trivial::debug;
    case level::info:
        return trivial::info;
    case level::warning:
        return trivial::warning;
    case level::error:
        return trivial::error;
    }
    return trivial::error;
}

std::string line_prefix(std::string_view severity, std::string_view event)
{
    const auto now = boost::posix_time::microsec_clock::universal_time();
    std::string head = "time=" + boost::posix_time::to_iso_extended_string(now) + "Z level=";
    head += severity;
    head += " process=" + quoted_value(process_name()) + " event=";
    head += event;
    return head;
}

/// Sink for standard output. Lines whose write would block are dropped and counted.
class output_backend
    : public sinks::basic_formatted_sink_backend<char, sinks::synchronized_feeding> {
public:
    explicit output_backend(line_writer writer) : writer_(std::move(writer)) {}

    void consume(const boost::log::record_view& /*record*/, const string_type& line)
    {
        const auto before = writer_.dropped;
        write_line(writer_, line + "\n");
        if (before != 0 && writer_.dropped == 0) {
            write_line(writer_, line_prefix("warning", "log_output_behind") +
                                    " lines=" + std::to_string(before) + "\n");
        }
    }

private:
    line_writer writer_;
};

} // namespace

void start(level lowest, std::string process)
{
    process_name() = std::move(process);
    const line_writer writer{STDOUT_FILENO, 0, {}};
    const bool is_nonblocking = set_nonblocking(writer);
    auto backend = boost::make_shared<output_backend>(writer);
    auto sink = boost::make_shared<sinks::synchronous_sink<output_backend>>(backend);
    boost::log::core::get()->remove_all_sinks();
    boost::log::core::get()->add_sink(sink);
    set_level(lowest);
    if (!is_nonblocking) {
        write(level::warning, "log_output_may_wait", {{"why", std::strerror(errno)}});
    }
}

void set_level(level lowest)
{
    boost::log::core::get()->set_filter(trivial::severity >= severity_of(lowest));
}

void write(level l, std::string_view event, std::initializer_list<field> fields)
{
    boost::log::sources::severity_logger_mt<trivial::severity_level>& logger =
        trivial::logger::get();
    const auto severity = severity_of(l);
    boost::log::record record = logger.open_record(boost::log::keywords::severity = severity);
    if (!record) {
        return;
    }
    boost::log::record_ostream stream(record);
    stream << line_prefix(boost::log::trivial::to_string(severity), event);
    for (const auto& f : fields) {
        stream << ' ' << f.key << '=' << quoted_value(f.value);
    }
    stream.flush();
    logger.push_record(std::move(record));
}

level parse_level(std::string_view word)
{
    if (word == "debug") {
        return level::debug;
    }
    if (word == "warning") {
        return level::warning;
    }
    return word == "error" ? level::error : level::info;
}

std::string quoted_value(std::string_view value)
{
    const auto is_plain = [](unsigned char c) {
        return std::isgraph(c) != 0 && c != '"' && c != '=' && c != '\\';
    };
    if (!value.empty() && std::ranges::all_of(value, is_plain)) {
        return std::string(value);
    }
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text = "\"";
    for (const unsigned char c : value) {
        if (c == '"' || c == '\\') {
            text += '\\';
            text += static_cast<char>(c);
        } else if (std::iscntrl(c) != 0) {
            text += "\\x";
            text += digits[c >> 4U];
            text += digits[c & 0x0fU];
        } else {
            text += static_cast<char>(c);
        }
    }
    return text + "\"";
}

} // namespace almondquay::log
